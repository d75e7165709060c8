"""The last report of each controller on the fleet, and how differing reports are combined."""

from __future__ import annotations

from larkweir.cluster.messages import Delta


class ControllerReports:
    """Stores the last report of each connected controller. A controller knows only the routers connected to it."""

    def __init__(self) -> None:
        """Start without reports."""
        self._router_counts: dict[str, int] = {}
        self._queued_tokens: dict[str, dict[str, int]] = {}
        self._ejected: dict[str, list[str]] = {}

    def update(self, node: str, delta: Delta) -> None:
        """Store a response to a pull. If it leaves out the ejections, they are unchanged."""
        self._router_counts[node] = delta.router_count
        self._queued_tokens[node] = delta.queued_prefill_tokens
        if delta.ejected is not None:
            self._ejected[node] = delta.ejected

    def remove(self, node: str) -> bool:
        """Forget a controller that has disconnected. Returns whether that may change `ejected`."""
        self._router_counts.pop(node, None)
        self._queued_tokens.pop(node, None)
        return bool(self._ejected.pop(node, None))

    def max_router_count(self) -> int:
        """Return the highest reported number of routers. Raises ValueError if no controller has reported."""
        return max(self._router_counts.values())

    def max_queued_tokens(self) -> dict[str, float]:
        """Return, by engine, the highest reported number of queued prefill tokens of the other routers."""
        most: dict[str, float] = {}
        for reported in self._queued_tokens.values():
            for engine, tokens in reported.items():
                most[engine] = max(most.get(engine, 0.0), float(tokens))
        return most

    def ejected(self) -> set[str]:
        """Return the ids of all upstreams that at least one controller has ejected."""
        return {id_ for ids in self._ejected.values() for id_ in ids}
