"""Faults planted in registries: the plays of `test_registry_fleet` must find each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import test_registry_fleet as plays
from larkweir_registry import registry
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import Registry

SEEDS_MOST = 60
Patch = Callable[[pytest.MonkeyPatch], None]


def departures_are_acknowledged_alone(patch: pytest.MonkeyPatch) -> None:
    def tell(self: Any, controller: Any, said: Upstream) -> bool:
        controller.detector.record_heartbeat(said.id, said.sequence, self.now_ms)
        controller.registry.update(said, self.now_ms)
        return True

    patch.setattr(plays.Fleet, "_tell", tell)


def the_newest_word_wins(patch: pytest.MonkeyPatch) -> None:
    """Ready said later undoes draining said before."""

    def newest(one: Upstream, other: Upstream) -> Upstream:
        return max(
            other, one, key=lambda upstream: upstream.sequence + (upstream.state is UpstreamState.READY)
        )

    patch.setattr(registry, "join", newest)


def silence_is_never_noticed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FailureDetector, "timed_out", lambda self, ids, now_ms: [])


def what_is_merged_is_not_passed_on(patch: pytest.MonkeyPatch) -> None:
    original = Registry.delta
    patch.setattr(
        Registry,
        "delta",
        lambda self, vector: [one for one in original(self, vector) if one.origin == self.origin],
    )


def a_silence_is_never_taken_back(patch: pytest.MonkeyPatch) -> None:
    def stay_silent(one: Upstream, other: Upstream) -> Upstream:
        joined = join(one, other)
        if one.has_timed_out or other.has_timed_out:
            return msgspec.structs.replace(
                joined, timed_out_sequence=max(joined.timed_out_sequence, joined.sequence + 1_000)
            )
        return joined

    patch.setattr(registry, "join", stay_silent)


def returns(seed: int) -> None:
    plays.test_returns_of_controllers_bring_nothing_back_and_lose_nothing(seed)


FAULTS: list[tuple[Patch, Callable[[int], None]]] = [
    (departures_are_acknowledged_alone, returns),
    (the_newest_word_wins, returns),
    (silence_is_never_noticed, returns),
    (what_is_merged_is_not_passed_on, returns),
    (a_silence_is_never_taken_back, returns),
]


@pytest.mark.parametrize(("plant", "find"), FAULTS, ids=lambda one: one.__name__)
def test_the_plays_find_it(
    plant: Patch, find: Callable[[int], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    for seed in range(SEEDS_MOST):
        try:
            find(seed)
        except AssertionError:
            print(f"{plant.__name__}: found by seed {seed}")
            return
    pytest.fail(f"{SEEDS_MOST} plays did not find it")
