"""Answers routers that ask which engine owns the prefix of a prompt."""

from __future__ import annotations

from larkweir_registry.registry import Registry

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.controller.clock import now_ms
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.rollout_tracks import regular_upstreams
from larkweir.controller.upstream_ejection import UpstreamEjection


class PlacementRequests:
    """Places prefixes at engines that are ready, not ejected, and where regular requests go during a roll-out."""

    def __init__(
        self,
        registry: Registry,
        ejection: UpstreamEjection,
        placement: PrefixPlacement,
        rollouts: CommittedRollouts | None = None,
    ) -> None:
        """All are the controller's own. `rollouts`: None where there are none."""
        self._registry = registry
        self._ejection = ejection
        self._placement = placement
        self._rollouts = rollouts or CommittedRollouts()

    def answer(self, request: PlacementRequest) -> PlacementResponse:
        """The engine for the prefix; none where no engine of the service is ready."""
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
