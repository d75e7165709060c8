"""A retry budget: a bound on the retries that all processes together send to a service.

The part of one process may be smaller than one retry, so it is rounded at random, by a random number that is kept for
one window. A sliding window may overlap the windows of two random numbers. Each is therefore the square of a uniformly
distributed number: the larger of two squares is uniformly distributed, so the expected sum of the rounded parts is the
budget.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

# Of the allowed ratio; the rest covers requests at a window's edge, which other clocks may count in another window.
RATIO_FRACTION = 0.75
SLACK_FRACTION = 0.7  # of the fixed allowance, split evenly over the processes
# Standard deviations of the rounded sum that the rest of the fixed allowance must cover.
ROUNDING_DEVIATIONS = 6.0


class RetryBudget:
    """The retry budget of one service in one process, over a sliding window of its own requests and retries.

    Attributes:
        process_count: number of processes that share the slack, as far as this process knows.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, rng: Random | None = None) -> None:
        """Create the retry budget of a service.

        Args:
            ratio: retries allowed per request, over all processes.
            slack: further retries allowed within the window, over all processes.
            window_s: length of the sliding window, in seconds.
            rng: rounds the part of this process at random.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_s * 1000.0
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._rng = rng or Random()
        self._rounding = 0.0
        self._drawn_ms = -math.inf
        self.process_count = 1

    def record_request(self, now_ms: float) -> None:
        """Count a client request to the service."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, now_ms: float) -> bool:
        """Count one more retry and return True if the budget allows it; otherwise return False."""
        self._expire(now_ms)
        allowed_by_ratio = RATIO_FRACTION * self._ratio * len(self._requests)
        allowed = (
            allowed_by_ratio
            + SLACK_FRACTION * self._slack / max(1, self.process_count)
            + self._round_up(now_ms)
        )
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _round_up(self, now_ms: float) -> float:
        """Return the random amount to add to the allowance; 0 if the sum over all processes might exceed the slack."""
        if now_ms >= self._drawn_ms + self._window_ms:
            self._rounding, self._drawn_ms = self._rng.random() ** 2, now_ms
        deviation = math.sqrt(self.process_count) / 2.0
        is_covered = ROUNDING_DEVIATIONS * deviation <= (1.0 - SLACK_FRACTION) * self._slack
        return self._rounding if is_covered else 0.0

    def _expire(self, now_ms: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
