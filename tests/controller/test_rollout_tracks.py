"""The upstreams that get regular requests, by the state of the roll-out."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
from larkweir_registry.registry import Registry
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.controller.rollout_tracks import regular_upstreams, split_into_tracks
from tests.controller.rollout_factories import rollout, versioned

REGISTRY = versioned(Registry("c/1"), a="v1", b="", c="v2", d="v2")
ALL, TARGET, OTHERS = ["a", "b", "c", "d"], ["c", "d"], ["a", "b"]
CANARY = rollout(target_weight=0.08)
FULL = rollout(target_weight=1.0)
COMPLETED = rollout(state=RolloutState.COMPLETED, target_weight=1.0)
ROLLED_BACK = rollout(state=RolloutState.ROLLED_BACK, target_weight=0.5)


@pytest.mark.parametrize(
    ("placed", "ready", "regular"),
    [
        (None, ALL, ALL),
        (rollout(), ALL, OTHERS),
        (CANARY, ALL, OTHERS),
        (CANARY, TARGET, TARGET),
        (CANARY, [], []),
        (FULL, ALL, TARGET),
        (FULL, OTHERS, OTHERS),
        (COMPLETED, ALL, TARGET),
        (COMPLETED, OTHERS, OTHERS),
        (ROLLED_BACK, ALL, OTHERS),
        (ROLLED_BACK, TARGET, []),
    ],
)
def test_regular_upstreams(placed: Rollout | None, ready: Sequence[str], regular: Sequence[str]) -> None:
    assert regular_upstreams(placed, ready, REGISTRY.upstreams) == regular


def test_an_upstream_without_a_version_is_not_on_the_target_track() -> None:
    assert split_into_tracks(CANARY, ALL, REGISTRY.upstreams) == (TARGET, OTHERS)


def test_versions_that_appear_without_an_order_are_used_after_a_completion() -> None:
    upstreams = versioned(Registry("c/1"), a="v1", b="v2", c="v3", d="", e="v0").upstreams
    ended = msgspec.structs.replace(COMPLETED, other_versions=("v1",), withdrawn_versions=("v0",))
    assert regular_upstreams(ended, list("abcde"), upstreams) == list("bcd")
    assert regular_upstreams(ended, list("ae"), upstreams) == list("ae")
    assert split_into_tracks(ended, list("abcde"), upstreams) == (list("bcd"), ["a"])
