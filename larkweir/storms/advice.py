"""Chooses the `Retry-After` wait of refused clients and records which clients return too early.

Returns are spread over the time that the tier needs for the waiting clients: the number of clients that were asked to
return, divided by the tier's spare rate. A client's position in that time comes from its fingerprint, so it keeps its
position from retry to retry, and clients do not return at the same instant. A client that returns early gets a longer
wait, one penalty step per early return, up to the longest wait of the settings. A client that returns on time loses
one step.

A fingerprint covers the client's address, which can't be forged on TCP, and its tenant, class, object and idempotency
key. A forger at another address therefore has other fingerprints; at the same address it can affect only clients that
share that address. The table of clients is a fixed 4-way set-associative table: a full set drops the entry
that expires first, and clients are never mixed up. Times are milliseconds.
"""

from __future__ import annotations

from array import array
from hashlib import blake2b

from larkweir.storms.shares import Kind


class ClientTable:
    """The wait and penalty of each refused client, in a table of fixed size."""

    WAYS = 4
    MAX_PENALTY_STEPS = 4

    def __init__(self, sets: int = 1024) -> None:
        size = sets * self.WAYS
        self._sets = sets
        self._tags = array("Q", bytes(8 * size))
        self._due_ms = array("d", bytes(8 * size))
        self._expires_ms = array("d", bytes(8 * size))
        self._steps = array("B", bytes(size))
        self.last_expiry_ms = 0.0  # when the last entry expires

    def _find(self, client: int, now_ms: float) -> int:
        base = (client % self._sets) * self.WAYS
        for at in range(base, base + self.WAYS):
            if self._tags[at] == client and self._expires_ms[at] > now_ms:
                return at
        return -1

    def record(self, now_ms: float, client: int, due_ms: float, until_ms: float, steps: int) -> None:
        """Record that a client may return from `due_ms` on. The entry expires at `until_ms`."""
        at = self._find(client, now_ms)
        if at < 0:
            base = (client % self._sets) * self.WAYS
            at = min(range(base, base + self.WAYS), key=self._expires_ms.__getitem__)
            self._tags[at] = client
        self._due_ms[at], self._expires_ms[at] = due_ms, until_ms
        self._steps[at] = min(self.MAX_PENALTY_STEPS, steps)
        self.last_expiry_ms = max(self.last_expiry_ms, until_ms)

    def classify(self, now_ms: float, client: int) -> tuple[Kind, int] | None:
        """The kind of a request that arrives now and its client's penalty steps; None for an unknown client."""
        if now_ms >= self.last_expiry_ms:
            return None
        at = self._find(client, now_ms)
        if at < 0:
            return None
        steps = self._steps[at]
        if now_ms < self._due_ms[at]:
            return Kind.IGNORING, min(self.MAX_PENALTY_STEPS, steps + 1)
        return Kind.PROMISED, max(0, steps - 1)

    def forget(self, now_ms: float, client: int) -> None:
        """Forget a client that was served, unless it has penalty steps: these go only by returning on time."""
        at = self._find(client, now_ms)
        if at >= 0 and not self._steps[at]:
            self._expires_ms[at] = 0.0


class ScheduledReturns:
    """Counts the clients that are due to return, per time slot in a ring, with no state per client."""

    SLOTS = 64

    def __init__(self, max_wait_ms: float) -> None:
        self.slot_ms = max(1.0, max_wait_ms / (self.SLOTS - 4))
        self._slots = [0] * self.SLOTS
        self._current_slot = 0  # number of the slot of the present time, counted from time 0
        self.total = 0

    def _advance(self, now_ms: float) -> None:
        slot = int(now_ms / self.slot_ms)
        for past in range(max(self._current_slot, slot - self.SLOTS), slot):
            self.total -= self._slots[past % self.SLOTS]
            self._slots[past % self.SLOTS] = 0
        self._current_slot = max(self._current_slot, slot)

    def add(self, now_ms: float, wait_ms: float) -> None:
        self._advance(now_ms)
        ahead = min(self.SLOTS - 1, int(wait_ms / self.slot_ms))
        self._slots[(self._current_slot + ahead) % self.SLOTS] += 1
        self.total += 1

    def count(self, now_ms: float) -> int:
        self._advance(now_ms)
        return self.total


class Advice:
    """The wait that a refusal asks for. There is none if the settings state no longest wait."""

    PENALTY_GROWTH = 1.5  # factor on the wait for each penalty step
    SPREAD_START = 0.7  # share of the longest wait: waits that would exceed it are spread from here up to it
    CALM_SPREAD_START = 0.5  # the same for refusals in the state CALM
    MIN_SPARE_SHARE = 0.2  # least share of the admitted rate that counts as free for returning clients
    FORGET_AFTER = 4.0  # an entry expires after the wait plus this many times the longest wait
    # How early a return still counts as on time: in ms, and as a share of the wait.
    EARLY_TOLERANCE_MS, EARLY_TOLERANCE_SHARE = 20.0, 0.05

    def __init__(self, max_wait_ms: float, min_wait_ms: float, secret: bytes, sets: int = 1024) -> None:
        self._secret = secret
        self.clients = ClientTable(sets)
        self.configure(max_wait_ms, min_wait_ms)

    def configure(self, max_wait_ms: float, min_wait_ms: float) -> None:
        self.max_wait_ms = max(0.0, max_wait_ms)
        self.min_wait_ms = min(min_wait_ms, self.max_wait_ms)
        self.returns = ScheduledReturns(max(self.max_wait_ms, 1.0))

    def fingerprint(self, *parts: bytes) -> int:
        """A fingerprint of a client and its request, never 0. Keyed with a secret of this process, so that nobody can
        search for collisions.
        """
        digest = blake2b(digest_size=8, key=self._secret)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return int.from_bytes(digest.digest(), "big") | 1

    def classify(self, now_ms: float, client: int) -> tuple[Kind, int] | None:
        return self.clients.classify(now_ms, client)

    def wait_ms(
        self, now_ms: float, client: int, steps: int, admitted_per_s: float, unscheduled_per_s: float
    ) -> float:
        """Choose and record how long a refused client is asked to wait.

        `admitted_per_s` is the rate that the tier admits, infinite where nothing limits it. `unscheduled_per_s` is
        the part of that rate that goes to requests whose clients were not asked to return now.
        """
        if self.max_wait_ms <= 0.0:
            return 0.0
        position = (client >> 11) / (1 << 53)  # from 0 to 1, fixed for this client
        if admitted_per_s == float("inf"):
            wait = self.max_wait_ms * (self.CALM_SPREAD_START + (1.0 - self.CALM_SPREAD_START) * position)
        else:
            spare = max(admitted_per_s - unscheduled_per_s, self.MIN_SPARE_SHARE * admitted_per_s, 0.01)
            span = 1000.0 * (self.returns.count(now_ms) + 1) / spare
            if span < self.max_wait_ms:
                wait = self.min_wait_ms + position * max(0.0, span - self.min_wait_ms)
            else:  # serving all waiting clients takes longer than the longest wait
                wait = self.max_wait_ms * (self.SPREAD_START + (1.0 - self.SPREAD_START) * position)
        wait = max(wait, self.min_wait_ms) * self.PENALTY_GROWTH**steps
        wait = min(wait, self.max_wait_ms * (self.SPREAD_START + (1.0 - self.SPREAD_START) * position))
        self.returns.add(now_ms, wait)
        until = now_ms + wait + self.FORGET_AFTER * self.max_wait_ms
        tolerance_ms = min(max(self.EARLY_TOLERANCE_MS, self.EARLY_TOLERANCE_SHARE * wait), 0.5 * wait)
        self.clients.record(now_ms, client, now_ms + wait - tolerance_ms, until, steps)
        return wait
