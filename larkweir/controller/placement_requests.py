"""Answers routers that ask which engine owns the prefix of a prompt."""

from __future__ import annotations

from larkweir_registry.registry import Registry

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.controller.clock import now_ms
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.upstream_ejection import UpstreamEjection


class PlacementRequests:
    """Places prefixes at engines that are ready and not ejected."""

    def __init__(self, registry: Registry, ejection: UpstreamEjection, placement: PrefixPlacement) -> None:
        """All three are the controller's own."""
        self._registry = registry
        self._ejection = ejection
        self._placement = placement

    def answer(self, request: PlacementRequest) -> PlacementResponse:
        """The engine for the prefix; none where no engine of the service is ready."""
        ready = self._ejection.without_ejected(self._registry.ready_ids(request.service))
        found = self._placement.place(
            request.prefix, request.prompt_tokens, ready, request.known_engine, now_ms()
        )
        if found is None:
            return PlacementResponse(request.prefix, None)
        return PlacementResponse(request.prefix, found.engine, found.is_cached)
