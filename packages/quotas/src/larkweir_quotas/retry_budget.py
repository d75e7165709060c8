"""A retry budget: how many attempts beyond the first all processes together may add to a service's load.

A process' part may be smaller than one retry. It is rounded at random, by a draw that holds for a window. A window may
meet two draws, so each is the square of a uniform one: the greater of two is uniform, and the expected sum the budget.
"""

from __future__ import annotations

import math
from collections import deque
from random import Random

RATIO_FRACTION = (
    0.75  # of the allowed ratio: the others' clocks may count requests at a window's edge differently
)
SLACK_FRACTION = 0.7  # of the fixed allowance, split evenly over the processes
ROUNDING_DEVIATIONS = 6.0  # of the rounded sum, which the rest of the fixed allowance has to cover


class RetryBudget:
    """The budget of one service, over a sliding window of this process' own requests and retries.

    Attributes:
        process_count: how many processes share the slack, as far as is known.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, rng: Random | None = None) -> None:
        """Create the budget of a service.

        Args:
            ratio: retries that are allowed for each request, over all processes.
            slack: retries that are allowed beyond that, over all processes.
            window_s: the time within which both are counted.
            rng: rounds this process' part.
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
        """Count a client's request for the service."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, now_ms: float) -> bool:
        """Count one more retry, and return True, where the budget allows it."""
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
        """Return what is added before rounding down; 0 where the sum of many could pass the allowance."""
        if now_ms >= self._drawn_ms + self._window_ms:
            self._rounding, self._drawn_ms = self._rng.random() ** 2, now_ms
        deviation = math.sqrt(self.process_count) / 2.0
        is_covered = ROUNDING_DEVIATIONS * deviation <= (1.0 - SLACK_FRACTION) * self._slack
        return self._rounding if is_covered else 0.0

    def _expire(self, now_ms: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
