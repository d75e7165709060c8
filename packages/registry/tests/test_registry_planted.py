"""Faults planted in registries: the tests of `test_registry_fleet` must detect each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import pytest
import registry_fleet
import test_registry_fleet as fleet_tests
from larkweir_registry import registry
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams

MAX_SEEDS = 60
Patch = Callable[[pytest.MonkeyPatch], None]


def departures_are_acknowledged_alone(patch: pytest.MonkeyPatch) -> None:
    def report_alone(self: Any, controller: Any, reported: Upstream) -> bool:
        controller.detector.record_heartbeat(reported.id, reported.sequence, self.now_ms)
        controller.registry.update(reported, self.now_ms)
        return True

    patch.setattr(registry_fleet.Fleet, "_report", report_alone)


def the_newest_heartbeat_wins(patch: pytest.MonkeyPatch) -> None:
    """A later heartbeat that reports READY undoes an earlier one that reports DRAINING."""

    def newest(one: Upstream, other: Upstream) -> Upstream:
        return max(
            other, one, key=lambda upstream: upstream.sequence + (upstream.state is UpstreamState.READY)
        )

    patch.setattr(registry, "join", newest)


def time_outs_are_never_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FailureDetector, "timed_out", lambda self, ids, now_ms: [])


def merged_records_are_not_forwarded(patch: pytest.MonkeyPatch) -> None:
    original = Registry.delta
    patch.setattr(
        Registry,
        "delta",
        lambda self, vector: [one for one in original(self, vector) if one.origin == self.origin],
    )


def a_time_out_is_never_undone(patch: pytest.MonkeyPatch) -> None:
    def stay_timed_out(one: Upstream, other: Upstream) -> Upstream:
        joined = join(one, other)
        if one.has_timed_out or other.has_timed_out:
            return msgspec.structs.replace(
                joined, timed_out_sequence=max(joined.timed_out_sequence, joined.sequence + 1_000)
            )
        return joined

    patch.setattr(registry, "join", stay_timed_out)


def offered_records_are_ignored(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UnconfirmedUpstreams, "add", lambda self, offered, now_ms: False)


def offered_records_are_passed_on(patch: pytest.MonkeyPatch) -> None:
    def add(self: UnconfirmedUpstreams, offered: Iterable[Upstream], now_ms: float) -> bool:
        for upstream in offered:
            self._registry.update(upstream, now_ms)
        return True

    patch.setattr(UnconfirmedUpstreams, "add", add)


def run_with_lost_records(seed: int) -> None:
    fleet_tests.test_a_reader_that_was_away_brings_no_departed_upstream_back(seed)


def run_with_returning_controllers(seed: int) -> None:
    fleet_tests.test_returning_controllers_undo_no_departure_and_lose_no_upstream(seed)


FAULTS: list[tuple[Patch, Callable[[int], None]]] = [
    (departures_are_acknowledged_alone, run_with_returning_controllers),
    (the_newest_heartbeat_wins, run_with_returning_controllers),
    (time_outs_are_never_detected, run_with_returning_controllers),
    (merged_records_are_not_forwarded, run_with_returning_controllers),
    (a_time_out_is_never_undone, run_with_returning_controllers),
    (offered_records_are_ignored, run_with_returning_controllers),
    (offered_records_are_passed_on, run_with_lost_records),
]


@pytest.mark.parametrize(("plant_fault", "run_test"), FAULTS, ids=lambda one: one.__name__)
def test_the_fleet_tests_detect_it(
    plant_fault: Patch, run_test: Callable[[int], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_fault(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            run_test(seed)
        except AssertionError:
            print(f"{plant_fault.__name__}: detected with seed {seed}")
            return
    pytest.fail(f"not detected with {MAX_SEEDS} seeds")
