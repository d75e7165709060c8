"""Which upstreams the fleet leaves out, by how calls there have ended."""

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


def test_without_failures_nothing_is_walked(monkeypatch: pytest.MonkeyPatch) -> None:
    counts = OutcomeWindow()
    for number in range(1_000):
        counts.record(f"u{number}", 100.0, failed=False)
    walked: list[int] = []
    monkeypatch.setattr(
        fleet_outlier_detection, "_drop_expired", lambda outcomes, now_ms: walked.append(len(outcomes))
    )
    assert counts.failing_upstreams(200.0) == {}
    assert walked == []
    counts.record("u7", 200.0, failed=True)
    walked.clear()
    assert counts.failing_upstreams(300.0) == {"u7": OutcomeCounts(1, 1)}
    assert walked == [2], "only the one where a request failed"


def test_upstreams_without_requests_are_forgotten() -> None:
    counts = OutcomeWindow()
    for number in range(1_000):
        counts.record(f"u{number}", number * WINDOW_MS, failed=number % 2 == 0)
    assert len(counts._outcomes) == 1
    assert len(counts._last_failures_ms) <= 1


def test_calm_routers_tell_nothing_and_failures_are_told_while_they_are_fresh() -> None:
    counts = OutcomeWindow()
    counts.record("u0", 0.0, failed=False)
    assert counts.failing_upstreams(1.0) == {}
    counts.record("u0", 100.0, failed=True)
    counts.record("u1", 100.0, failed=False)
    assert counts.failing_upstreams(200.0) == {"u0": OutcomeCounts(1, 1)}
    assert counts.failing_upstreams(WINDOW_MS + 50.0) == {"u0": OutcomeCounts(0, 1)}
    assert counts.failing_upstreams(WINDOW_MS + 100.0) == {}


def test_what_one_router_sees_is_not_enough_and_all_together_is() -> None:
    one = {"u0": OutcomeCounts(0, 1)}
    judge = FleetOutlierDetector()
    assert not judge.evaluate([SERVICE], sum_outcomes([one] * (MIN_FAILURES - 1)), 0.0)
    assert judge.evaluate([SERVICE], sum_outcomes([one] * MIN_FAILURES), 0.0)
    assert judge.ejected == {"u0"}


def test_an_upstream_that_mostly_succeeds_stays() -> None:
    judge = FleetOutlierDetector()
    assert not judge.evaluate([SERVICE], {"u0": OutcomeCounts(succeeded=40, failed=5)}, 0.0)


def test_no_more_are_ejected_than_the_others_can_bear() -> None:
    judge = FleetOutlierDetector()
    judge.evaluate([SERVICE, ["v0", "v1"]], dict.fromkeys(("u0", "u1", "u2", "v0"), FAILING), 0.0)
    assert judge.ejected == {"u0", "u1", "u2"}
    judge.evaluate([SERVICE], {"u3": FAILING}, 1.0)
    assert judge.ejected == {"u0", "u1", "u2"}


def test_where_too_many_fail_it_is_the_load_and_none_is_ejected() -> None:
    judge = FleetOutlierDetector()
    judge.evaluate([SERVICE], dict.fromkeys(SERVICE[:4], FAILING), 0.0)
    assert judge.ejected == set()


def test_it_comes_back_on_probation_and_is_out_for_longer_the_next_time() -> None:
    judge = FleetOutlierDetector()
    judge.evaluate([SERVICE], {"u0": FAILING}, 0.0)
    assert not judge.evaluate([SERVICE], {}, FIRST_EJECTION_MS - 1.0)
    assert judge.evaluate([SERVICE], {}, FIRST_EJECTION_MS)
    assert judge.ejected == set()
    assert judge.evaluate(
        [SERVICE], {"u0": OutcomeCounts(1, MIN_FAILURES - 1)}, FIRST_EJECTION_MS + PROBATION_MS / 2
    )
    back_ms = FIRST_EJECTION_MS + PROBATION_MS / 2 + 2 * FIRST_EJECTION_MS
    assert not judge.evaluate([SERVICE], {}, back_ms - 1.0)
    assert judge.evaluate([SERVICE], {}, back_ms)


def test_a_gone_upstream_takes_no_place_of_the_ejected() -> None:
    judge = FleetOutlierDetector()
    judge.evaluate([SERVICE], {id_: FAILING for id_ in ("u0", "u1", "u2")}, 0.0)
    assert len(judge.ejected) == 3
    left = SERVICE[3:]
    judge.evaluate([left], {"u5": FAILING}, 1.0)
    assert judge.ejected == {"u5"}
