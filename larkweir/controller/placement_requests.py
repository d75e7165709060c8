"""Answers the requests of routers for the engine that owns a prompt prefix."""

from __future__ import annotations

from larkweir_registry.registry import Registry

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.controller.clock import now_ms
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.rollout_tracks import regular_upstreams
from larkweir.controller.upstream_ejection import UpstreamEjection


class PlacementRequests:
    """Places prefixes at engines that are ready and not ejected, and that get regular requests during a roll-out."""

    def __init__(
        self,
        registry: Registry,
        ejection: UpstreamEjection,
        placement: PrefixPlacement,
        rollouts: CommittedRollouts | None = None,
    ) -> None:
        """All arguments belong to this controller. `rollouts`: None for no roll-outs."""
        self._registry = registry
        self._ejection = ejection
        self._placement = placement
        self._rollouts = rollouts or CommittedRollouts()

    def answer(self, request: PlacementRequest) -> PlacementResponse:
        """Returns the engine for the prefix, or a response without an engine if none of the service is ready."""
        registry = self._registry
        regular = regular_upstreams(
            self._rollouts.of(request.service), registry.ready_ids(request.service), registry.upstreams
        )
        ready = self._ejection.without_ejected(regular)
        found = self._placement.place(
            request.prefix, request.prompt_tokens, ready, request.known_engine, now_ms()
        )
        if found is None:
            return PlacementResponse(request.prefix, None)
        return PlacementResponse(request.prefix, found.engine, found.is_cached)
