"""How many routers share the limits, as controllers tell."""

from __future__ import annotations

RETENTION_MS = 10_000.0  # a controller that has just started knows few routers for a while


class RouterCount:
    """The most that was told of late: a router that believes in a smaller fleet takes too large a part of a limit."""

    def __init__(self) -> None:
        """Nothing was told yet."""
        self._max_routers = 1
        self._reported_ms = float("-inf")

    def report(self, routers: int, now_ms: float) -> int:
        """A controller counts so many at present; how many to reckon with."""
        if routers >= self._max_routers or now_ms >= self._reported_ms + RETENTION_MS:
            self._max_routers, self._reported_ms = max(1, routers), now_ms
        return self._max_routers
