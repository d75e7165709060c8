"""What each controller last reported of the fleet, and how differing reports are joined."""

from __future__ import annotations

from larkweir.cluster.messages import Delta


class ControllerReports:
    """The last reports of connected controllers, by their node. Each knows only the routers that reach it."""

    def __init__(self) -> None:
        """No controller has reported yet."""
        self._router_counts: dict[str, int] = {}
        self._queued_tokens: dict[str, dict[str, int]] = {}
        self._ejected: dict[str, list[str]] = {}

    def update(self, node: str, delta: Delta) -> None:
        """Take in a response to a pull. Ejections that it leaves out are unchanged."""
        self._router_counts[node] = delta.router_count
        self._queued_tokens[node] = delta.queued_prefill_tokens
        if delta.ejected is not None:
            self._ejected[node] = delta.ejected

    def remove(self, node: str) -> bool:
        """Forget a controller that has disconnected; whether that may change `ejected`."""
        self._router_counts.pop(node, None)
        self._queued_tokens.pop(node, None)
        return bool(self._ejected.pop(node, None))

    def max_router_count(self) -> int:
        """The highest count of routers. ValueError where no controller has reported."""
        return max(self._router_counts.values())

    def max_queued_tokens(self) -> dict[str, float]:
        """By engine, the most prefill tokens of other routers that any controller reports."""
        most: dict[str, float] = {}
        for reported in self._queued_tokens.values():
            for engine, tokens in reported.items():
                most[engine] = max(most.get(engine, 0.0), float(tokens))
        return most

    def ejected(self) -> set[str]:
        """The upstreams that any controller has ejected."""
        return {id_ for ids in self._ejected.values() for id_ in ids}
