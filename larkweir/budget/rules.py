"""How many attempts a request may still cost: divided on the way down, and returned on the way up.

Invariant: a request causes no more attempts at the last tier than the budget that it arrived with. Each attempt takes
part of what is left down with it. What it reports as unspent is added again; without a report, all of it counts as
spent. So the amounts left, granted to attempts in flight, and spent always add up to the budget, even if the reports
of the tiers below are lost, late or repeated.
"""

from __future__ import annotations

from collections.abc import Callable

Share = Callable[[int, int], int]


def even(left: int, tries: int) -> int:
    """An even part of what is left for each further attempt here."""
    return max(1, left // max(1, tries))


def half(left: int, tries: int) -> int:
    """The larger half first."""
    return left if tries <= 1 else (left + 1) // 2


def front(left: int, tries: int) -> int:
    """All but one for each further attempt here."""
    return max(1, left - max(0, tries - 1))


def most(left: int, tries: int) -> int:
    """All but one, which is kept for an attempt here: the tier nearest to a fault retries, and a lost answer does not
    cost the whole budget.
    """
    return max(1, left - 1) if tries > 1 else left


def everything(left: int, tries: int) -> int:
    """All of it: the tier nearest to a fault retries, and returns what it does not need. A lost answer costs all."""
    return left


SHARES: dict[str, Share] = {"even": even, "half": half, "front": front, "most": most, "all": everything}


class Account:
    """One request's budget at one tier."""

    __slots__ = ("_granted", "_last", "_share", "budget", "left", "looped", "overspent", "spent")

    def __init__(self, budget: int, last: bool, share: Share) -> None:
        """`last`: this is the last tier, whose own attempts are counted."""
        self.budget = budget
        self.left = budget
        self.spent = 0
        self.overspent = (
            0  # reported by lower tiers beyond their grants, as by a hop that does not divide its budget
        )
        self.looped = False  # a lower tier has refused a loop
        self._granted: dict[int, int] = {}
        self._last = last
        self._share = share

    def grant(self, attempt: int, tries: int) -> int:
        """Take the budget of an attempt from what is left; 0 if nothing is left.

        `tries` is the number of attempts that may still begin here, including this one.
        """
        if self.left < 1 or self.looped or attempt in self._granted:
            return 0
        part = 1 if self._last else min(self.left, self._share(self.left, tries))
        self._granted[attempt] = part
        self.left -= part
        return part

    def settle(self, attempt: int, reported_spent: int | None, never_ran: bool) -> None:
        """Record the end of an attempt; a second report for the same attempt changes nothing.

        `never_ran`: the tier below can't have spent any of the budget. `reported_spent` is what it reports as spent.
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
        """What the tier above is told: the amount spent, or granted to attempts that have not ended."""
        return self.budget - self.left


class RetryRatio:
    """Limits a tier's retries to a share of its traffic, with a floor for quiet tiers (gRPC A6, Finagle, Envoy)."""

    def __init__(self, ratio: float, floor_per_s: float, cap: float = 100.0) -> None:
        """Each first attempt earns `ratio` of a retry, each second `floor_per_s`; `cap` bounds what is saved."""
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
        """Whether one more retry is within the limit; it is counted if so."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class UsefulTime:
    """The least time that a useful attempt needs, per class: a low running quantile of the times of successful answers.

    Unknown until there are enough samples; after that a single outlier changes it little.
    """

    MIN_SAMPLES = 20
    QUANTILE = 0.05  # share of answers that are faster
    STEP = 0.05  # change per sample, as a share of the present value

    def __init__(self, classes: int) -> None:
        self._value = [0.0] * classes
        self._count = [0] * classes

    def grow(self, classes: int) -> None:
        """Extend to so many classes; known classes keep their indexes."""
        self._value += [0.0] * (classes - len(self._value))
        self._count += [0] * (classes - len(self._count))

    def forget(self, cls: int) -> None:
        """Reset an index that another class uses now."""
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
        """An attempt with less time than this is useless; 0 while unknown."""
        return self._value[cls] if self._count[cls] >= self.MIN_SAMPLES else 0.0


class WorthGate:
    """Refuses the requests of least worth first while a tier is under pressure.

    Worths are grouped in sixteen steps, each twice the one below, whatever the number of classes or tenants. Part of
    each step is always admitted, so that none starves.
    """

    STEPS = 16
    SMOOTHING = 1.0 / 64.0
    PRESSURE_THRESHOLD = 0.1  # pressure above which requests are refused
    MIN_ADMITTED_SHARE = 0.1  # share of each step that is admitted at any pressure

    def __init__(self) -> None:
        self._share = [0.0] * self.STEPS  # share of arrivals, per step
        self._refusals_due = [0.0] * self.STEPS  # fractions of requests to refuse, per step
        self.pressure = 0.0  # recent share of requests refused or failed for lack of time or capacity

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
        """Count an arrival; whether to admit it.

        Refuses the share of requests by which the pressure exceeds `PRESSURE_THRESHOLD`, those of least worth first.
        """
        at = self.step_of(worth)
        for n in range(self.STEPS):
            self._share[n] += self.SMOOTHING * ((n == at) - self._share[n])
        if self.pressure <= self.PRESSURE_THRESHOLD:
            return True
        below, here = sum(self._share[:at]), self._share[at]
        part = (self.pressure - self.PRESSURE_THRESHOLD - below) / here if here > 0.0 else 0.0
        if part <= 0.0:
            return True  # refusing all requests of lower steps is enough
        self._refusals_due[at] += min(part, 1.0 - self.MIN_ADMITTED_SHARE)
        if self._refusals_due[at] < 1.0:
            return True
        self._refusals_due[at] -= 1.0
        return False


# ---------------------------------------------------------------- header values

MAX_BUDGET = 1000
MAX_WORTH = 1e6
MAX_HOPS = 32
MAX_HOP_BYTES = 64


def parse_number(text: bytes | None, low: int, high: int) -> int | None:
    """Parse a whole number from a header and clamp it to the bounds; None if it is unreadable."""
    if text is None or not text.isdigit() or len(text) > 18:
        return None
    return min(high, max(low, int(text)))


def parse_worth(text: bytes | None, high: float) -> float | None:
    """Parse a worth from a header, limited to `high`; None if it is unreadable."""
    if text is None or len(text) > 20 or not text.replace(b".", b"", 1).isdigit():
        return None
    return min(high, float(text))


def parse_path(text: bytes | None) -> tuple[bytes, ...] | None:
    """Parse the hops that a request has passed, first to last; None if unreadable or beyond the bounds."""
    if not text:
        return ()
    hops = tuple(item.strip() for item in text.split(b","))
    if len(hops) > MAX_HOPS or not all(0 < len(hop) <= MAX_HOP_BYTES and is_valid_hop(hop) for hop in hops):
        return None
    return hops


def is_valid_hop(hop: bytes) -> bool:
    return hop.replace(b"-", b"").replace(b"_", b"").replace(b".", b"").replace(b"/", b"").isalnum()
