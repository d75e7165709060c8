"""Selection of the engines that are eligible for a prefix."""

from __future__ import annotations

import asyncio

import pytest
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.placement_requests import PlacementRequests
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.subscriptions import Subscriptions
from larkweir.controller.upstream_ejection import UpstreamEjection
from tests.controller.rollout_factories import document, rollout, versioned


class Ejection(UpstreamEjection):
    """Ejects the upstreams that the test sets."""

    names: frozenset[str] = frozenset()

    @property
    def ejected(self) -> frozenset[str]:
        return self.names


@pytest.fixture
def registry() -> Registry:
    made = Registry("c/1")
    for id_ in ("e0", "e1"):
        made.update(Upstream(id_, "s", "127.0.0.1:1", "z"), 0.0)
    made.update(Upstream("e2", "s", "127.0.0.1:1", "z", state=UpstreamState.DRAINING), 0.0)
    made.update(Upstream("other", "t", "127.0.0.1:1", "z"), 0.0)
    return made


@pytest.fixture
def ejection(registry: Registry) -> Ejection:
    return Ejection(registry, Subscriptions())


def answers(registry: Registry, ejection: Ejection, *requests: PlacementRequest) -> list[PlacementResponse]:
    async def run() -> list[PlacementResponse]:
        placements = PlacementRequests(registry, ejection, PrefixPlacement())
        return [placements.answer(request) for request in requests]

    return asyncio.run(run())


def test_a_prefix_is_placed_at_a_ready_engine_of_its_service(registry: Registry, ejection: Ejection) -> None:
    found = answers(registry, ejection, *(PlacementRequest("s", f"p{n}", 50_000.0) for n in range(8)))
    assert {one.engine for one in found} == {"e0", "e1"}


def test_ejected_engines_are_left_out(registry: Registry, ejection: Ejection) -> None:
    ejection.names = frozenset({"e0"})
    found = answers(registry, ejection, *(PlacementRequest("s", f"p{n}", 50_000.0) for n in range(8)))
    assert {one.engine for one in found} == {"e1"}


def test_if_all_engines_are_ejected_all_stay_eligible(registry: Registry, ejection: Ejection) -> None:
    ejection.names = frozenset({"e0", "e1"})
    found = answers(registry, ejection, *(PlacementRequest("s", f"p{n}", 50_000.0) for n in range(8)))
    assert {one.engine for one in found} == {"e0", "e1"}


def test_without_a_ready_engine_the_response_names_none(registry: Registry, ejection: Ejection) -> None:
    assert answers(registry, ejection, PlacementRequest("unknown", "p", 1.0)) == [
        PlacementResponse("p", None)
    ]


def test_the_second_request_finds_the_prefix_cached(registry: Registry, ejection: Ejection) -> None:
    first, second = answers(registry, ejection, *[PlacementRequest("s", "p", 1.0)] * 2)
    assert not first.is_cached
    assert second == PlacementResponse("p", first.engine, True)


def engines(registry: Registry, ejection: Ejection, placed: Rollout) -> set[str | None]:
    """Returns the engines at which eight prefixes are placed during a roll-out."""

    async def run() -> set[str | None]:
        rollouts = CommittedRollouts()
        rollouts.update(document(placed), 1, 0.0, 0.0)
        placements = PlacementRequests(registry, ejection, PrefixPlacement(), rollouts)
        requests = [PlacementRequest("s", f"p{n}", 50_000.0) for n in range(8)]
        return {placements.answer(request).engine for request in requests}

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("placed", "expected"),
    [
        (rollout(target_weight=0.08), {"e0", "e1"}),
        (rollout(target_weight=1.0), {"n0", "n1"}),
        (rollout(state=RolloutState.COMPLETED), {"n0", "n1"}),
        (rollout(state=RolloutState.ROLLED_BACK), {"e0", "e1"}),
    ],
)
def test_a_prefix_is_placed_where_regular_requests_go(
    placed: Rollout, expected: set[str], registry: Registry, ejection: Ejection
) -> None:
    versioned(registry, n0="v2", n1="v2")
    assert engines(registry, ejection, placed) == expected


def test_ejected_engines_of_the_track_are_left_out_too(registry: Registry, ejection: Ejection) -> None:
    versioned(registry, n0="v2", n1="v2")
    ejection.names = frozenset({"n0", "e0"})
    assert engines(registry, ejection, rollout(target_weight=1.0)) == {"n1"}
