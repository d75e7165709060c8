"""The number of routers that share quotas and retry budgets, as reported by controllers."""

from __future__ import annotations

# How long the highest count is kept. A controller that has just started knows only a few routers.
RETENTION_MS = 10_000.0
# How long after the first report the count is reliable. A fleet that started together is connected by then.
MIN_REPORTING_MS = 2_000.0


class RouterCount:
    """Keeps the highest count reported recently: a count that is too low makes a router use too much of a limit."""

    def __init__(self) -> None:
        """Assume a fleet of this router alone."""
        self._max_routers = 1
        self._reported_ms = float("-inf")
        self._first_reported_ms = float("inf")

    @property
    def routers(self) -> int:
        """The number of routers to divide limits by."""
        return self._max_routers

    def is_reliable(self, now_ms: float) -> bool:
        """Whether enough time has passed since the first report for the count to include all routers.

        A count that is too low would make this router's part of each limit too large.
        """
        return now_ms >= self._first_reported_ms + MIN_REPORTING_MS

    def report(self, routers: int, now_ms: float, *, may_lower: bool = True) -> int:
        """Process a report. Returns the number of routers to divide limits by.

        Args:
            routers: the number of routers connected to a controller at present.
            now_ms: the event loop's time.
            may_lower: whether the report may lower the count: a controller without a majority may see only part of
                the fleet.
        """
        self._first_reported_ms = min(self._first_reported_ms, now_ms)
        is_outdated = may_lower and now_ms >= self._reported_ms + RETENTION_MS
        if routers >= self._max_routers or is_outdated:
            self._max_routers, self._reported_ms = max(1, routers), now_ms
        return self._max_routers
