"""A retry budget: how many attempts beyond the first all processes together may add to a service's load."""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = (
    0.75  # of the allowed ratio: the others' clocks may count requests at a window's edge differently
)
SLACK_FRACTION = 0.7  # of the fixed allowance, split evenly over the processes


class RetryBudget:
    """The budget of one service, over a sliding window of this process' own requests and retries.

    Attributes:
        process_count: how many processes share the slack, as far as is known.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Create the budget of a service.

        Args:
            ratio: retries that are allowed for each request, over all processes.
            slack: retries that are allowed beyond that, over all processes.
            window_s: the time within which both are counted.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_s * 1000.0
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.process_count = 1

    def record_request(self, now_ms: float) -> None:
        """Count a client's request for the service."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, now_ms: float) -> bool:
        """Count one more retry, and return True, where the budget allows it."""
        self._expire(now_ms)
        earned = RATIO_FRACTION * self._ratio * len(self._requests)
        allowed = earned + SLACK_FRACTION * self._slack / max(1, self.process_count)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
