"""How many routers share the limits, as controllers tell."""

from __future__ import annotations

REMEMBERED_MS = 10_000.0  # a controller that has just started knows few routers for a while


class FleetSize:
    """The most that was told of late: a router that believes in a smaller fleet takes too large a part of a limit."""

    def __init__(self) -> None:
        """Nothing was told yet."""
        self._most = 1
        self._told_ms = float("-inf")

    def told(self, routers: int, now_ms: float) -> int:
        """A controller counts so many at present; how many to reckon with."""
        if routers >= self._most or now_ms >= self._told_ms + REMEMBERED_MS:
            self._most, self._told_ms = max(1, routers), now_ms
        return self._most
