"""When whoever was turned away is to come back, and who came sooner than told.

Returns are spread over the time that the tier needs for those who wait: as many as were told to come, by what it has
left over for them. Where in that time a client's place is goes by its fingerprint, so it keeps its place from try to
try, and no two have the same reason to come in the same instant. Who comes sooner than told waits longer, by a step for
each time and no further than the settings allow; who comes as told is taken down a step.

A fingerprint names what is asked by whom: the address, which nobody on TCP can forge, with tenant, class, object and
key. A forger at another address so has other fingerprints; at the same address it can reach only who shares that
address. The memory is a fixed table of four ways a set; what is crowded out is forgotten, never mixed up. Times are
milliseconds.
"""

from __future__ import annotations

from array import array
from hashlib import blake2b

from larkweir.storms.shares import Kind


class ClientTable:
    """Who was told what, in a fixed table."""

    WAYS = 4
    MAX_PENALTY_STEPS = 4  # of a penalty

    def __init__(self, sets: int = 1024) -> None:
        size = sets * self.WAYS
        self._sets = sets
        self._tags = array("Q", bytes(8 * size))
        self._due_ms = array("d", bytes(8 * size))
        self._expires_ms = array("d", bytes(8 * size))
        self._steps = array("B", bytes(size))
        self.last_expiry_ms = 0.0  # when the last of all is forgotten

    def _find(self, client: int, now_ms: float) -> int:
        base = (client % self._sets) * self.WAYS
        for at in range(base, base + self.WAYS):
            if self._tags[at] == client and self._expires_ms[at] > now_ms:
                return at
        return -1

    def record(self, now_ms: float, client: int, due_ms: float, until_ms: float, steps: int) -> None:
        """A client that comes from `due_ms` on comes as told, which is remembered until `until_ms`."""
        at = self._find(client, now_ms)
        if at < 0:
            base = (client % self._sets) * self.WAYS
            at = min(range(base, base + self.WAYS), key=self._expires_ms.__getitem__)
            self._tags[at] = client
        self._due_ms[at], self._expires_ms[at] = due_ms, until_ms
        self._steps[at] = min(self.MAX_PENALTY_STEPS, steps)
        self.last_expiry_ms = max(self.last_expiry_ms, until_ms)

    def classify(self, now_ms: float, client: int) -> tuple[Kind, int] | None:
        """What a client is that comes now, and its steps; None for one that nothing is known of."""
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
        """It was served: nothing is owed to it, but a penalty fades only as told."""
        at = self._find(client, now_ms)
        if at >= 0 and not self._steps[at]:
            self._expires_ms[at] = 0.0


class ScheduledReturns:
    """How many were told to come, by when: a wheel of slots, so that nothing is kept of each."""

    SLOTS = 64

    def __init__(self, max_wait_ms: float) -> None:
        self.slot_ms = max(1.0, max_wait_ms / (self.SLOTS - 4))
        self._slots = [0] * self.SLOTS
        self._current_slot = 0  # the slot that now lies in, counted from the clock's beginning
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
    """The word that a refusal carries. Without a bound in the settings there is none."""

    PENALTY_GROWTH = 1.5  # times, for each step
    SPREAD_START = 0.7  # of the most: where a wait that would be longer still begins, spread from there on
    CALM_SPREAD_START = 0.5  # of the most: the same of one that was turned away without a storm
    MIN_SPARE_SHARE = 0.2  # of what is let in, at the least, is taken to be left for those who come back
    FORGET_AFTER = 4.0  # times the most, until what a client did is forgotten
    EARLY_TOLERANCE_MS, EARLY_TOLERANCE_SHARE = (
        20.0,
        0.05,
    )  # sooner than told that is still as told: a time, or a part of the wait

    def __init__(self, max_wait_ms: float, min_wait_ms: float, secret: bytes, sets: int = 1024) -> None:
        self._secret = secret
        self.clients = ClientTable(sets)
        self.configure(max_wait_ms, min_wait_ms)

    def configure(self, max_wait_ms: float, min_wait_ms: float) -> None:
        self.max_wait_ms = max(0.0, max_wait_ms)
        self.min_wait_ms = min(min_wait_ms, self.max_wait_ms)
        self.returns = ScheduledReturns(max(self.max_wait_ms, 1.0))

    def fingerprint(self, *parts: bytes) -> int:
        """A client's, and what it asks; never 0. By a secret of this life, so that nobody can look for a clash."""
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
        position = (client >> 11) / (1 << 53)  # from 0 to 1, the client's own
        if admitted_per_s == float("inf"):
            wait = self.max_wait_ms * (self.CALM_SPREAD_START + (1.0 - self.CALM_SPREAD_START) * position)
        else:
            spare = max(admitted_per_s - unscheduled_per_s, self.MIN_SPARE_SHARE * admitted_per_s, 0.01)
            span = 1000.0 * (self.returns.count(now_ms) + 1) / spare
            if span < self.max_wait_ms:
                wait = self.min_wait_ms + position * max(0.0, span - self.min_wait_ms)
            else:  # more wait than can be served in the longest time that may be named
                wait = self.max_wait_ms * (self.SPREAD_START + (1.0 - self.SPREAD_START) * position)
        wait = max(wait, self.min_wait_ms) * self.PENALTY_GROWTH**steps
        wait = min(wait, self.max_wait_ms * (self.SPREAD_START + (1.0 - self.SPREAD_START) * position))
        self.returns.add(now_ms, wait)
        until = now_ms + wait + self.FORGET_AFTER * self.max_wait_ms
        tolerance_ms = min(max(self.EARLY_TOLERANCE_MS, self.EARLY_TOLERANCE_SHARE * wait), 0.5 * wait)
        self.clients.record(now_ms, client, now_ms + wait - tolerance_ms, until, steps)
        return wait
