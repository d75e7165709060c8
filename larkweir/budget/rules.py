"""What a request may still cost, divided on the way down and given back on the way up.

The law: the attempts at the last tier that a request causes are never more than the budget that it came with. Each
attempt down takes a part of what is left; what comes back unspent is added again; what is not heard of is spent. So
at any time what is left, what is granted and out, and what was spent add up to the budget, whatever is lost, late or
told twice below.
"""

from __future__ import annotations

from collections.abc import Callable

Share = Callable[[int, int], int]


def even(left: int, tries: int) -> int:
    """An even part of what is left for each further try here."""
    return max(1, left // max(1, tries))


def half(left: int, tries: int) -> int:
    """The larger half first."""
    return left if tries <= 1 else (left + 1) // 2


def front(left: int, tries: int) -> int:
    """All but one for each further try here."""
    return max(1, left - max(0, tries - 1))


def most(left: int, tries: int) -> int:
    """All but one, which is kept for a try here: who is nearest to a fault tries again, and a lost answer does not
    cost all.
    """
    return max(1, left - 1) if tries > 1 else left


def everything(left: int, tries: int) -> int:
    """All of it: who is nearest to a fault tries again, and gives back what is not needed. A lost answer costs all."""
    return left


SHARES: dict[str, Share] = {"even": even, "half": half, "front": front, "most": most, "all": everything}


class Account:
    """One request's budget at one tier."""

    __slots__ = ("_granted", "_last", "_share", "budget", "left", "looped", "overspent", "spent")

    def __init__(self, budget: int, last: bool, share: Share) -> None:
        """`last`: this tier's own attempts are what is counted."""
        self.budget = budget
        self.left = budget
        self.spent = 0
        self.overspent = 0  # told by a lower tier beyond what it was granted: it does not divide
        self.looped = False  # a lower tier has refused a loop
        self._granted: dict[int, int] = {}
        self._last = last
        self._share = share

    def grant(self, attempt: int, tries: int) -> int:
        """What an attempt may cost, taken from what is left; 0 if nothing is. `tries` may still begin here, this
        one among them.
        """
        if self.left < 1 or self.looped or attempt in self._granted:
            return 0
        part = 1 if self._last else min(self.left, self._share(self.left, tries))
        self._granted[attempt] = part
        self.left -= part
        return part

    def settle(self, attempt: int, reported_spent: int | None, never_ran: bool) -> None:
        """An attempt has ended. `never`: nothing of it can have been taken below; `told` is what the tier below
        says that it spent. A second word for the same attempt changes nothing.
        """
        part = self._granted.pop(attempt, None)
        if part is None:
            return
        if never_ran:
            used = 0
        elif self._last:
            used = 1
        elif reported_spent is None:
            used = part
        else:
            self.overspent += max(0, reported_spent - part)
            used = min(part, max(0, reported_spent))
        self.spent += used
        self.left += part - used

    @property
    def reported(self) -> int:
        """What the tier above is told: spent, or still out and not to be heard of any more."""
        return self.budget - self.left


class RetryRatio:
    """A tier's retries as a bounded share of its traffic, with a floor for a quiet one (gRPC A6, Finagle, Envoy).
    Memory of fixed size.
    """

    def __init__(self, ratio: float, floor_per_s: float, cap: float = 100.0) -> None:
        """Each first attempt earns `ratio` of a retry, and each second `floor_per_s`; `cap` bounds what is saved."""
        self.ratio = ratio
        self.floor_per_s = floor_per_s
        self.cap = cap
        self._tokens = min(cap, max(1.0, floor_per_s))
        self._refilled_ms: float | None = None

    def _refill(self, now_ms: float) -> None:
        if self._refilled_ms is not None:
            earned = max(0.0, now_ms - self._refilled_ms) * self.floor_per_s / 1000.0
            self._tokens = min(self.cap, self._tokens + earned)
        self._refilled_ms = now_ms

    def on_first_attempt(self, now_ms: float) -> None:
        self._refill(now_ms)
        self._tokens = min(self.cap, self._tokens + self.ratio)

    def take_retry(self, now_ms: float) -> bool:
        """Whether one more retry is within the share; it is taken if so."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class UsefulTime:
    """What a useful attempt takes, for each class: a low running quantile of the times of answers that were served.
    Robust to few samples: until there are enough of them nothing is known, and a single odd one moves it little.
    """

    MIN_SAMPLES = 20
    QUANTILE = 0.05  # of answers are faster
    STEP = 0.05  # of the present value, at a time

    def __init__(self, classes: int) -> None:
        self._value = [0.0] * classes
        self._count = [0] * classes

    def grow(self, classes: int) -> None:
        """There are so many classes now; those known keep their places."""
        self._value += [0.0] * (classes - len(self._value))
        self._count += [0] * (classes - len(self._count))

    def forget(self, cls: int) -> None:
        """Another class has this place now."""
        self._value[cls], self._count[cls] = 0.0, 0

    def observe(self, cls: int, spent_ms: float) -> None:
        count = self._count[cls] = min(self.MIN_SAMPLES, self._count[cls] + 1)
        value = self._value[cls]
        if count == 1 or (count < self.MIN_SAMPLES and spent_ms < value):
            self._value[cls] = spent_ms
        elif spent_ms < value:
            self._value[cls] = value * (1.0 - self.STEP * (1.0 - self.QUANTILE))
        else:
            self._value[cls] = value * (1.0 + self.STEP * self.QUANTILE)

    def min_ms(self, cls: int) -> float:
        """Below this no attempt is of use; 0 while that is not known."""
        return self._value[cls] if self._count[cls] >= self.MIN_SAMPLES else 0.0


class WorthGate:
    """Which requests a tier under pressure gives up first: those of the least worth. Sixteen steps of worth, each
    twice the one below, whatever the number of classes or tenants; of each step a part is let through all the same,
    so that none is starved for good.
    """

    STEPS = 16
    SMOOTHING = 1.0 / 64.0
    PRESSURE_THRESHOLD = 0.1  # of requests given up, from which there is pressure
    MIN_ADMITTED_SHARE = 0.1  # of each step, whatever the pressure

    def __init__(self) -> None:
        self._share = [0.0] * self.STEPS  # of arrivals
        self._refusals_due = [0.0] * self.STEPS  # requests to give up, in parts of one
        self.pressure = 0.0  # of requests, given up for want of time or room

    @classmethod
    def step_of(cls, worth: float) -> int:
        at = 0
        while worth >= 2.0 and at < cls.STEPS - 1:
            worth /= 2.0
            at += 1
        return at

    def ended(self, given_up: bool) -> None:
        self.pressure += self.SMOOTHING * (given_up - self.pressure)

    def admits(self, worth: float) -> bool:
        """Count an arrival; whether it may go on. Under pressure as much of the least worth is given up as was
        given up of all lately.
        """
        at = self.step_of(worth)
        for n in range(self.STEPS):
            self._share[n] += self.SMOOTHING * ((n == at) - self._share[n])
        if self.pressure <= self.PRESSURE_THRESHOLD:
            return True
        below, here = sum(self._share[:at]), self._share[at]
        part = (self.pressure - self.PRESSURE_THRESHOLD - below) / here if here > 0.0 else 0.0
        if part <= 0.0:
            return True  # giving up all that is worth less is enough
        self._refusals_due[at] += min(part, 1.0 - self.MIN_ADMITTED_SHARE)
        if self._refusals_due[at] < 1.0:
            return True
        self._refusals_due[at] -= 1.0
        return False


# ---------------------------------------------------------------- what travels

MAX_BUDGET = 1000
MAX_WORTH = 1e6
MAX_HOPS = 32
MAX_HOP_BYTES = 64  # bytes of a hop's name


def parse_number(text: bytes | None, low: int, high: int) -> int | None:
    """A whole number as it travels, brought within bounds; None if it is unreadable."""
    if text is None or not text.isdigit() or len(text) > 18:
        return None
    return min(high, max(low, int(text)))


def parse_worth(text: bytes | None, high: float) -> float | None:
    """A worth as it travels, `high` at most; None if it is unreadable."""
    if text is None or len(text) > 20 or not text.replace(b".", b"", 1).isdigit():
        return None
    return min(high, float(text))


def parse_path(text: bytes | None) -> tuple[bytes, ...] | None:
    """The hops that a request has passed, first to last; None if that is unreadable or past all bounds."""
    if not text:
        return ()
    hops = tuple(item.strip() for item in text.split(b","))
    if len(hops) > MAX_HOPS or not all(0 < len(hop) <= MAX_HOP_BYTES and is_valid_hop(hop) for hop in hops):
        return None
    return hops


def is_valid_hop(hop: bytes) -> bool:
    return hop.replace(b"-", b"").replace(b"_", b"").replace(b".", b"").replace(b"/", b"").isalnum()
