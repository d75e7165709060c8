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


class Memory:
    """Who was told what, in a fixed table."""

    WAYS = 4
    STEPS = 4  # of a penalty

    def __init__(self, sets: int = 1024) -> None:
        size = sets * self.WAYS
        self._sets = sets
        self._tags = array("Q", bytes(8 * size))
        self._due = array("d", bytes(8 * size))
        self._until = array("d", bytes(8 * size))
        self._steps = array("B", bytes(size))
        self.last_ms = 0.0  # when the last of all is forgotten

    def _find(self, client: int, now_ms: float) -> int:
        base = (client % self._sets) * self.WAYS
        for at in range(base, base + self.WAYS):
            if self._tags[at] == client and self._until[at] > now_ms:
                return at
        return -1

    def told(self, now_ms: float, client: int, due_ms: float, until_ms: float, steps: int) -> None:
        """A client that comes from `due_ms` on comes as told, which is remembered until `until_ms`."""
        at = self._find(client, now_ms)
        if at < 0:
            base = (client % self._sets) * self.WAYS
            at = min(range(base, base + self.WAYS), key=self._until.__getitem__)
            self._tags[at] = client
        self._due[at], self._until[at] = due_ms, until_ms
        self._steps[at] = min(self.STEPS, steps)
        self.last_ms = max(self.last_ms, until_ms)

    def comes(self, now_ms: float, client: int) -> tuple[Kind, int] | None:
        """What a client is that comes now, and its steps; None for one that nothing is known of."""
        if now_ms >= self.last_ms:
            return None
        at = self._find(client, now_ms)
        if at < 0:
            return None
        steps = self._steps[at]
        if now_ms < self._due[at]:
            return Kind.IGNORING, min(self.STEPS, steps + 1)
        return Kind.PROMISED, max(0, steps - 1)

    def forget(self, now_ms: float, client: int) -> None:
        """It was served: nothing is owed to it, but a penalty fades only as told."""
        at = self._find(client, now_ms)
        if at >= 0 and not self._steps[at]:
            self._until[at] = 0.0


class Promises:
    """How many were told to come, by when: a wheel of slots, so that nothing is kept of each."""

    SLOTS = 64

    def __init__(self, most_ms: float) -> None:
        self.slot_ms = max(1.0, most_ms / (self.SLOTS - 4))
        self._slots = [0] * self.SLOTS
        self._turn = 0  # the slot that now lies in, counted from the clock's beginning
        self.total = 0

    def _roll(self, now_ms: float) -> None:
        turn = int(now_ms / self.slot_ms)
        for past in range(max(self._turn, turn - self.SLOTS), turn):
            self.total -= self._slots[past % self.SLOTS]
            self._slots[past % self.SLOTS] = 0
        self._turn = max(self._turn, turn)

    def promise(self, now_ms: float, wait_ms: float) -> None:
        self._roll(now_ms)
        ahead = min(self.SLOTS - 1, int(wait_ms / self.slot_ms))
        self._slots[(self._turn + ahead) % self.SLOTS] += 1
        self.total += 1

    def waiting(self, now_ms: float) -> int:
        self._roll(now_ms)
        return self.total


class Advice:
    """The word that a refusal carries. Without a bound in the settings there is none."""

    GROWTH = 1.5  # times, for each step
    SURE = 0.7  # of the most: where a wait that would be longer still begins, spread from there on
    CALM = 0.5  # of the most: the same of one that was turned away without a storm
    SPARE = 0.2  # of what is let in, at the least, is taken to be left for those who come back
    FORGET = 4.0  # times the most, until what a client did is forgotten
    EARLY_MS, EARLY = 20.0, 0.05  # sooner than told that is still as told: a time, or a part of the wait

    def __init__(self, most_ms: float, least_ms: float, secret: bytes, sets: int = 1024) -> None:
        self._secret = secret
        self.memory = Memory(sets)
        self.configure(most_ms, least_ms)

    def configure(self, most_ms: float, least_ms: float) -> None:
        self.most_ms = max(0.0, most_ms)
        self.least_ms = min(least_ms, self.most_ms)
        self.promises = Promises(max(self.most_ms, 1.0))

    def fingerprint(self, *parts: bytes) -> int:
        """A client's, and what it asks; never 0. By a secret of this life, so that nobody can look for a clash."""
        digest = blake2b(digest_size=8, key=self._secret)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return int.from_bytes(digest.digest(), "big") | 1

    def comes(self, now_ms: float, client: int) -> tuple[Kind, int] | None:
        return self.memory.comes(now_ms, client)

    def wait_ms(
        self, now_ms: float, client: int, steps: int, let_in_per_s: float, unasked_per_s: float
    ) -> float:
        """When to come back, and remember it. `let_in_per_s` is what the tier is given, `unasked_per_s` what of that
        goes
        to those who were not told to come now; infinite where nothing is bounded.
        """
        if self.most_ms <= 0.0:
            return 0.0
        place = (client >> 11) / (1 << 53)  # from 0 to 1, the client's own
        if let_in_per_s == float("inf"):
            wait = self.most_ms * (self.CALM + (1.0 - self.CALM) * place)
        else:
            spare = max(let_in_per_s - unasked_per_s, self.SPARE * let_in_per_s, 0.01)
            span = 1000.0 * (self.promises.waiting(now_ms) + 1) / spare
            if span < self.most_ms:
                wait = self.least_ms + place * max(0.0, span - self.least_ms)
            else:  # more wait than can be served in the longest time that may be named
                wait = self.most_ms * (self.SURE + (1.0 - self.SURE) * place)
        wait = max(wait, self.least_ms) * self.GROWTH**steps
        wait = min(wait, self.most_ms * (self.SURE + (1.0 - self.SURE) * place))
        self.promises.promise(now_ms, wait)
        until = now_ms + wait + self.FORGET * self.most_ms
        early = min(max(self.EARLY_MS, self.EARLY * wait), 0.5 * wait)
        self.memory.told(now_ms, client, now_ms + wait - early, until, steps)
        return wait
