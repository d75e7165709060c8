"""Outlier ejection by the fleet: which upstreams it ejects, given the outcomes of requests."""

from __future__ import annotations

import pytest
from larkweir_balancing import fleet_outlier_detection
from larkweir_balancing.fleet_outlier_detection import (
    FIRST_EJECTION_MS,
    MIN_FAILURES,
    PROBATION_MS,
    WINDOW_MS,
    FleetOutlierDetector,
    OutcomeCounts,
    OutcomeWindow,
    sum_outcomes,
)

SERVICE = [f"u{n}" for n in range(10)]
FAILING = OutcomeCounts(succeeded=2, failed=MIN_FAILURES)


def test_upstreams_without_failures_are_not_scanned(monkeypatch: pytest.MonkeyPatch) -> None:
    counts = OutcomeWindow()
    for number in range(1_000):
        counts.record(f"u{number}", 100.0, failed=False)
    scanned: list[int] = []
    monkeypatch.setattr(
        fleet_outlier_detection, "_drop_expired", lambda outcomes, now_ms: scanned.append(len(outcomes))
    )
    assert counts.failing_upstreams(200.0) == {}
    assert scanned == []
    counts.record("u7", 200.0, failed=True)
    scanned.clear()
    assert counts.failing_upstreams(300.0) == {"u7": OutcomeCounts(1, 1)}
    assert scanned == [2], "only the upstream where a request failed"


def test_upstreams_without_requests_are_forgotten() -> None:
    counts = OutcomeWindow()
    for number in range(1_000):
        counts.record(f"u{number}", number * WINDOW_MS, failed=number % 2 == 0)
    assert len(counts._outcomes) == 1
    assert len(counts._last_failures_ms) <= 1


def test_only_upstreams_with_failures_within_the_window_are_reported() -> None:
    counts = OutcomeWindow()
    counts.record("u0", 0.0, failed=False)
    assert counts.failing_upstreams(1.0) == {}
    counts.record("u0", 100.0, failed=True)
    counts.record("u1", 100.0, failed=False)
    assert counts.failing_upstreams(200.0) == {"u0": OutcomeCounts(1, 1)}
    assert counts.failing_upstreams(WINDOW_MS + 50.0) == {"u0": OutcomeCounts(0, 1)}
    assert counts.failing_upstreams(WINDOW_MS + 100.0) == {}


def test_failures_of_several_routers_together_eject_an_upstream() -> None:
    one = {"u0": OutcomeCounts(0, 1)}
    detector = FleetOutlierDetector()
    assert not detector.evaluate([SERVICE], sum_outcomes([one] * (MIN_FAILURES - 1)), 0.0)
    assert detector.evaluate([SERVICE], sum_outcomes([one] * MIN_FAILURES), 0.0)
    assert detector.ejected == {"u0"}


def test_an_upstream_that_mostly_succeeds_is_not_ejected() -> None:
    detector = FleetOutlierDetector()
    assert not detector.evaluate([SERVICE], {"u0": OutcomeCounts(succeeded=40, failed=5)}, 0.0)


def test_at_most_the_maximum_fraction_of_a_service_is_ejected() -> None:
    detector = FleetOutlierDetector()
    detector.evaluate([SERVICE, ["v0", "v1"]], dict.fromkeys(("u0", "u1", "u2", "v0"), FAILING), 0.0)
    assert detector.ejected == {"u0", "u1", "u2"}
    detector.evaluate([SERVICE], {"u3": FAILING}, 1.0)
    assert detector.ejected == {"u0", "u1", "u2"}


def test_if_too_many_fail_none_is_ejected() -> None:
    detector = FleetOutlierDetector()
    detector.evaluate([SERVICE], dict.fromkeys(SERVICE[:4], FAILING), 0.0)
    assert detector.ejected == set()


def test_a_restored_upstream_is_on_probation_and_its_next_ejection_is_longer() -> None:
    detector = FleetOutlierDetector()
    detector.evaluate([SERVICE], {"u0": FAILING}, 0.0)
    assert not detector.evaluate([SERVICE], {}, FIRST_EJECTION_MS - 1.0)
    assert detector.evaluate([SERVICE], {}, FIRST_EJECTION_MS)
    assert detector.ejected == set()
    assert detector.evaluate(
        [SERVICE], {"u0": OutcomeCounts(1, MIN_FAILURES - 1)}, FIRST_EJECTION_MS + PROBATION_MS / 2
    )
    restored_ms = FIRST_EJECTION_MS + PROBATION_MS / 2 + 2 * FIRST_EJECTION_MS
    assert not detector.evaluate([SERVICE], {}, restored_ms - 1.0)
    assert detector.evaluate([SERVICE], {}, restored_ms)


def test_a_removed_upstream_does_not_count_as_ejected() -> None:
    detector = FleetOutlierDetector()
    detector.evaluate([SERVICE], {id_: FAILING for id_ in ("u0", "u1", "u2")}, 0.0)
    assert len(detector.ejected) == 3
    remaining = SERVICE[3:]
    detector.evaluate([remaining], {"u5": FAILING}, 1.0)
    assert detector.ejected == {"u5"}
