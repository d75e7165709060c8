"""Whether a canary does worse than its control, watched all the time, with a bound on false alarms.

A threshold that is looked at again and again is crossed by chance in the end. This is a sequential test: a bet
against "the canary is no worse", whose stake grows only if that is wrong. By Ville's inequality it reaches 1/alpha
with a probability of alpha at the most, however long it is watched and whenever one looks (Robbins' mixture test, as
mSPRT).

It looks only at the bad ends, each beside the last few good ones of its class. If the canary is no worse, any of
those few is as likely as any other to be the bad one, whatever part of the requests falls to the canary just then and
whatever the rate of bad ends: an outage of what lies behind both moves nothing, nor does a ramp, since only ends of one
step of it are put beside each other. Were it worse by a
factor, the bad one would be the canary's so much more often. The factors are mixed, so that none need be guessed. No
request is looked at twice.

What it can't tell apart: a canary that is worse, and tenants that are, where requests keep to their part by tenant.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

FACTORS = (1.5, 2.0, 4.0, 8.0, 16.0, 64.0)
MAX_GOOD_KEPT = 10  # good ends beside a bad one: more than that say little more


@dataclass(slots=True)
class Bet:
    """One kind of bad end."""

    logs: list[float] = field(default_factory=lambda: [0.0] * len(FACTORS))
    _good: dict[int, deque[bool]] = field(
        default_factory=dict
    )  # by class: whether the last ones were the canary's

    def good(self, canary: bool, cls: int) -> None:
        self._good.setdefault(cls, deque(maxlen=MAX_GOOD_KEPT)).append(canary)

    def bad(self, canary: bool, cls: int) -> None:
        recent_good = self._good.get(cls)
        if not recent_good:
            return
        canary_ends = sum(recent_good) + canary  # of all these, the canary's
        control_ends = len(recent_good) + 1 - canary_ends
        recent_good.clear()
        if canary_ends and control_ends:
            for at, factor in enumerate(FACTORS):
                odds = (canary_ends + control_ends) / (factor * canary_ends + control_ends)
                self.logs[at] += math.log(factor * odds if canary else odds)

    def forget(self) -> None:
        """Good ends are beside no later bad one any more; the stake stays."""
        self._good.clear()

    @property
    def stake(self) -> float:
        """What the bet is worth: 1 at its start."""
        if max(self.logs) > 700.0:
            return math.inf
        return sum(math.exp(value) for value in self.logs) / len(FACTORS)


class SlowThreshold:
    """The time from which an end counts as slow: the 90th of a hundred of all ends, canary's and control's alike, by a
    stochastic approximation in logarithms (Robbins and Monro): no sample is kept.
    """

    QUANTILE = 0.9
    STEP = 0.05

    __slots__ = ("_log", "count")

    def __init__(self) -> None:
        self._log = 0.0
        self.count = 0

    def is_slow(self, spent_ms: float) -> bool:
        """Whether it is slow by what was usual before it; it counts for what comes behind."""
        value = math.log(max(spent_ms, 0.001))
        self.count += 1
        if self.count == 1:
            self._log = value
            return False
        slow = value > self._log
        # Large steps at first, so that a bad first guess is left soon.
        step = max(self.STEP, 1.0 / self.count)
        self._log += step * (self.QUANTILE if slow else self.QUANTILE - 1.0) * 2.0
        return slow and self.count > 50


def ignore_bad_end() -> None:
    """Is told of a trial's growth where no fleet listens."""


@dataclass(slots=True)
class Trial:
    """A canary beside its control. `alpha` bounds how often one that is no worse is ever ended."""

    alpha: float = 0.01
    failures: Bet = field(default_factory=Bet)
    delays: Bet = field(default_factory=Bet)
    requests: list[int] = field(default_factory=lambda: [0, 0])  # control's, canary's
    failure_counts: list[int] = field(default_factory=lambda: [0, 0])
    slow_counts: list[int] = field(default_factory=lambda: [0, 0])
    _slow_thresholds: dict[int, SlowThreshold] = field(default_factory=dict)  # by class
    verdict: str = ""  # why it ended; empty: it goes on
    ends_locally: bool = True  # it ends by what is seen here; else by what a fleet says
    on_bad_end: Callable[[], None] = ignore_bad_end  # called behind each bad or slow end

    def record(self, canary: bool, failed: bool, spent_ms: float, cls: int = 0) -> bool:
        """A request has had its answer; whether the trial ends with it."""
        if self.verdict:
            return False
        self.requests[canary] += 1
        # A failure counts as fast or slow by nothing: its time says how it was given up.
        slow = False
        if not failed:
            slow = self._slow_thresholds.setdefault(cls, SlowThreshold()).is_slow(spent_ms)
        if failed:
            self.failure_counts[canary] += 1
            self.failures.bad(canary, cls)
        else:
            self.failures.good(canary, cls)
            if slow:
                self.slow_counts[canary] += 1
                self.delays.bad(canary, cls)
            else:
                self.delays.good(canary, cls)
        if failed or slow:
            self.on_bad_end()
        if not self.ends_locally:
            return False
        # Two bets share the alarms.
        if self.failures.stake >= 2.0 / self.alpha:
            self.verdict = f"it fails more: {rates(self.failure_counts, self.requests)}"
        elif self.delays.stake >= 2.0 / self.alpha:
            self.verdict = f"it is slow more often: {rates(self.slow_counts, self.requests)}"
        return bool(self.verdict)

    def forget(self) -> None:
        """Other parts count from here on: an end under these is not compared with one under those."""
        self.failures.forget()
        self.delays.forget()

    @property
    def logs(self) -> tuple[float, ...]:
        """Both bets' logarithms, a factor after the other."""
        return (*self.failures.logs, *self.delays.logs)

    @property
    def counts(self) -> tuple[int, ...]:
        """Requests, failures and slow ends, each the control's and the canary's."""
        return (*self.requests, *self.failure_counts, *self.slow_counts)


def rates(counts: Sequence[int], requests: Sequence[int]) -> str:
    """The canary's part of its requests, beside the control's."""
    canary, control = (counts[at] / max(1, requests[at]) for at in (1, 0))
    return f"{canary:.1%} of {requests[1]}, beside {control:.1%} of {requests[0]}"
