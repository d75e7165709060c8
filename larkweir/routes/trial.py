"""Tests continuously whether a canary does worse than its control, with a bound on the rate of false alarms.

A fixed threshold that is checked again and again is eventually exceeded by chance. This is a sequential test instead: a
bet against the null hypothesis "the canary is no worse", whose stake is expected to grow only if the hypothesis is
wrong. By Ville's inequality the stake reaches 1/alpha with a probability of at most alpha, however long the trial runs
and whenever it is checked (Robbins' mixture test, also known as mSPRT).

The test compares each bad outcome (a failed or slow request) with the last few good outcomes of the same class. If the
canary is no worse, each request of such a group is equally likely to be the bad one, whatever the canary's share of the
traffic and the overall rate of bad outcomes. So an outage of something that both depend on has no effect. Neither has a
ramp, since only outcomes of the same ramp step are compared. If the canary is worse by some factor, the bad request is
the canary's more often by that factor. The test mixes several factors, so that none has to be guessed. No request is
used twice.

Limitation: if requests are split by tenant, the test can't distinguish a worse canary from worse tenants.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

FACTORS = (1.5, 2.0, 4.0, 8.0, 16.0, 64.0)
MAX_GOOD_KEPT = 10  # good outcomes per bad one; more would add little information


@dataclass(slots=True)
class Bet:
    """The test for one kind of bad outcome. `logs` are the logarithms of the stakes, one for each factor."""

    logs: list[float] = field(default_factory=lambda: [0.0] * len(FACTORS))
    # The last good outcomes by class: True for the canary's, False for the control's.
    _good: dict[int, deque[bool]] = field(default_factory=dict)

    def good(self, canary: bool, cls: int) -> None:
        self._good.setdefault(cls, deque(maxlen=MAX_GOOD_KEPT)).append(canary)

    def bad(self, canary: bool, cls: int) -> None:
        recent_good = self._good.get(cls)
        if not recent_good:
            return
        canary_ends = sum(recent_good) + canary  # of this group, with the bad one
        control_ends = len(recent_good) + 1 - canary_ends
        recent_good.clear()
        if canary_ends and control_ends:
            for at, factor in enumerate(FACTORS):
                odds = (canary_ends + control_ends) / (factor * canary_ends + control_ends)
                self.logs[at] += math.log(factor * odds if canary else odds)

    def forget(self) -> None:
        """Discard the good outcomes, so that later bad ones are not compared with them. The stake is kept."""
        self._good.clear()

    @property
    def stake(self) -> float:
        """The current stake; it starts at 1."""
        if max(self.logs) > 700.0:
            return math.inf
        return sum(math.exp(value) for value in self.logs) / len(FACTORS)


class SlowThreshold:
    """The duration above which a request counts as slow: the 90th percentile over canary and control together.

    It is estimated by stochastic approximation of the logarithm (Robbins and Monro), without storing samples.
    """

    QUANTILE = 0.9
    STEP = 0.05

    __slots__ = ("_log", "count")

    def __init__(self) -> None:
        self._log = 0.0
        self.count = 0

    def is_slow(self, spent_ms: float) -> bool:
        """Whether a request is slow by the estimate so far; then update the estimate with it."""
        value = math.log(max(spent_ms, 0.001))
        self.count += 1
        if self.count == 1:
            self._log = value
            return False
        slow = value > self._log
        # Large steps at first, so that a bad first estimate is corrected quickly.
        step = max(self.STEP, 1.0 / self.count)
        self._log += step * (self.QUANTILE if slow else self.QUANTILE - 1.0) * 2.0
        return slow and self.count > 50


def ignore_bad_end() -> None:
    """The default of `Trial.on_bad_end`: does nothing."""


@dataclass(slots=True)
class Trial:
    """Compares a canary with its control. `alpha` bounds the probability of ending a canary that is no worse."""

    alpha: float = 0.01
    failures: Bet = field(default_factory=Bet)
    delays: Bet = field(default_factory=Bet)
    requests: list[int] = field(default_factory=lambda: [0, 0])  # control, canary
    failure_counts: list[int] = field(default_factory=lambda: [0, 0])
    slow_counts: list[int] = field(default_factory=lambda: [0, 0])
    _slow_thresholds: dict[int, SlowThreshold] = field(default_factory=dict)  # by class
    verdict: str = ""  # why the trial ended; empty while it is running
    ends_locally: bool = True  # whether this process decides; else the fleet does
    on_bad_end: Callable[[], None] = ignore_bad_end  # called after each failed or slow request

    def record(self, canary: bool, failed: bool, spent_ms: float, cls: int = 0) -> bool:
        """Count an answered request. Returns whether the trial ends with it."""
        if self.verdict:
            return False
        self.requests[canary] += 1
        # The duration of a failed request is ignored: it depends on how the request was given up.
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
        # The two tests share the false alarms that `alpha` allows.
        if self.failures.stake >= 2.0 / self.alpha:
            self.verdict = f"it fails more: {rates(self.failure_counts, self.requests)}"
        elif self.delays.stake >= 2.0 / self.alpha:
            self.verdict = f"it is slow more often: {rates(self.slow_counts, self.requests)}"
        return bool(self.verdict)

    def forget(self) -> None:
        """To be called when the shares change: outcomes before and after are not compared with each other."""
        self.failures.forget()
        self.delays.forget()

    @property
    def logs(self) -> tuple[float, ...]:
        """The logarithms of the stakes of both tests, failures first, each in the order of FACTORS."""
        return (*self.failures.logs, *self.delays.logs)

    @property
    def counts(self) -> tuple[int, ...]:
        """Numbers of requests, of failures and of slow requests, each for the control and then the canary."""
        return (*self.requests, *self.failure_counts, *self.slow_counts)


def rates(counts: Sequence[int], requests: Sequence[int]) -> str:
    """The rate of `counts` among the canary's requests and among the control's, as text."""
    canary, control = (counts[at] / max(1, requests[at]) for at in (1, 0))
    return f"{canary:.1%} of {requests[1]}, beside {control:.1%} of {requests[0]}"
