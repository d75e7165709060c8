"""How many routers share quotas and retry budgets, as controllers report it."""

from __future__ import annotations

RETENTION_MS = 10_000.0  # a controller that has just started knows few routers for a while


class RouterCount:
    """The highest count reported of late: a router that believes in a smaller fleet uses too much of a limit."""

    def __init__(self) -> None:
        """Assume that this router is alone."""
        self._max_routers = 1
        self._reported_ms = float("-inf")

    def report(self, routers: int, now_ms: float) -> int:
        """Take in a report, and return the count to reckon with.

        Args:
            routers: that a controller counts at present.
            now_ms: the event loop's time.
        """
        if routers >= self._max_routers or now_ms >= self._reported_ms + RETENTION_MS:
            self._max_routers, self._reported_ms = max(1, routers), now_ms
        return self._max_routers
