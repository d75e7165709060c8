"""How many requests may be sent a second time, so that all processes together stay under one budget."""

from __future__ import annotations

from collections import deque

RATIO_FRACTION = 0.75  # of the allowed ratio: requests at a window's edge are counted by others' clocks
SLACK_FRACTION = 0.7  # of the fixed allowance, split evenly


class RetryBudget:
    """Of one service: a window over this process' own requests and retries."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """`ratio` of requests may be retried within `window_s`, and `slack` more, over all processes."""
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_s * 1000.0
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.process_count = 1  # how many share the slack, as far as is known

    def record_request(self, now_ms: float) -> None:
        """A client's request for the service came here."""
        self._requests.append(now_ms)
        self._expire(now_ms)

    def try_consume(self, now_ms: float) -> bool:
        """Whether one more retry may be sent; if so it is counted."""
        self._expire(now_ms)
        own = RATIO_FRACTION * self._ratio * len(self._requests)
        allowed = own + SLACK_FRACTION * self._slack / max(1, self.process_count)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_ms)
        return True

    def _expire(self, now_ms: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now_ms - self._window_ms:
                times.popleft()
