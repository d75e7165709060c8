"""How many routers share quotas and retry budgets, as controllers report it."""

from __future__ import annotations

RETENTION_MS = 10_000.0  # a controller that has just started knows few routers for a while
MIN_REPORTING_MS = 2_000.0  # after the first report, by when a fleet that started together is connected


class RouterCount:
    """The highest count reported of late: a router that believes in a smaller fleet uses too much of a limit."""

    def __init__(self) -> None:
        """Assume that this router is alone."""
        self._max_routers = 1
        self._reported_ms = float("-inf")
        self._first_reported_ms = float("inf")

    @property
    def routers(self) -> int:
        """The count to reckon with."""
        return self._max_routers

    def is_reliable(self, now_ms: float) -> bool:
        """Whether the count may be relied on: one that is too small makes this router's parts of limits too large."""
        return now_ms >= self._first_reported_ms + MIN_REPORTING_MS

    def report(self, routers: int, now_ms: float, *, may_lower: bool = True) -> int:
        """Take in a report, and return the count to reckon with.

        Args:
            routers: that a controller counts at present.
            now_ms: the event loop's time.
            may_lower: whether that controller belongs to a majority; others may not see a part of the fleet.
        """
        self._first_reported_ms = min(self._first_reported_ms, now_ms)
        is_outdated = may_lower and now_ms >= self._reported_ms + RETENTION_MS
        if routers >= self._max_routers or is_outdated:
            self._max_routers, self._reported_ms = max(1, routers), now_ms
        return self._max_routers
