"""Tests of the schedule: when a target's weight grows and shrinks, and how a roll-out ends."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from larkweir_rollouts.exposure import ExposureBounds, exposure_budget
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples
from larkweir_rollouts.schedule import (
    CANARY_WEIGHT,
    COMPLETION_MARGIN_S,
    CONFIRMATION_GRACE_S,
    MAX_CANARY_WEIGHT,
    ROLLBACK_MARGIN_S,
    View,
    full_weight_time_s,
    needed_answers,
    next_step,
)
from larkweir_rollouts.state import Rollout, RolloutState
from larkweir_rollouts.verdict import Verdict

ROLLOUT = Rollout("chat", "v2", 15.0, 1_000.0, target_weight=CANARY_WEIGHT)
BAD = Verdict(True, True, "all routes: 4 of 10 answers failed", 5e3, 10)
SUSPECT = Verdict(False, True, "all routes: 3 of 10 answers failed", 50.0, 30)
CLEAN = Verdict(target_answers=60)


def totals(target: int, others: int, target_in_flight: int = 0) -> RolloutReport:
    return RolloutReport(
        ROLLOUT.order_id,
        TrackSamples(target_in_flight, {"ask": RouteSamples(target)}),
        TrackSamples(0, {"ask": RouteSamples(others)}),
    )


def view(elapsed_s: float, weight: float = CANARY_WEIGHT, **changes: Any) -> View:
    """Return the view of a large service, 200 requests per second, without any obstacle."""
    rollout = msgspec.structs.replace(ROLLOUT, target_weight=weight)
    sent = 200.0 * elapsed_s
    seen = View(rollout, elapsed_s, CLEAN, totals(round(0.08 * sent), round(0.92 * sent)), 70, 70, True, 0)
    return msgspec.structs.replace(seen, **changes)


def outcome(step: Advance | None) -> tuple[RolloutState, float] | None:
    return None if step is None else (step.state, round(step.target_weight, 2))


RUNNING, COMPLETED, ROLLED_BACK = RolloutState.RUNNING, RolloutState.COMPLETED, RolloutState.ROLLED_BACK
BACK = (ROLLED_BACK, 0.0)
DONE = (COMPLETED, 1.0)


@pytest.mark.parametrize(
    ("seen", "result"),
    [
        (view(0.2), None),
        (view(0.0, totals=totals(0, 0), target_ready=0), None),
        (view(0.2, totals=totals(0, 2), target_ready=0), None),
        (view(2.0), (RUNNING, 0.14)),
        (view(2.0, 0.125), None),
        (view(9.0, 0.125), None),
        (view(10.3, 0.125), (RUNNING, 1.0)),
        (view(10.3, 0.125, target_ready=41), None),
        (view(10.3, 0.125, target_ready=42), (RUNNING, 1.0)),
        (view(10.3, 0.125, target_ready=0, others_ready=0), None),
        (view(10.3, 0.125, verdict=Verdict(target_answers=19)), None),
        (view(10.3, 0.125, totals=totals(100, 1_900, target_in_flight=200)), (RUNNING, 0.03)),
        (view(10.3, 0.125, verdict=SUSPECT), (RUNNING, 0.08)),
        (view(10.3, 0.08, verdict=SUSPECT), None),
        (view(12.5, 0.125), BACK),
    ],
)
def test_the_weight_of_the_target_before_full_weight(
    seen: View, result: tuple[RolloutState, float] | None
) -> None:
    assert outcome(next_step(seen)) == result


@pytest.mark.parametrize(
    ("seen", "result"),
    [
        (view(11.0, 1.0), None),
        (view(12.0, 1.0), DONE),
        (view(12.0, 1.0, others_in_flight=1), None),
        (view(12.0, 1.0, are_routers_confirmed=False), None),
        (view(15.1 - COMPLETION_MARGIN_S, 1.0, others_in_flight=1), DONE),
        (view(15.1 - COMPLETION_MARGIN_S, 1.0, are_routers_confirmed=False), None),
        (view(14.4, 1.0, verdict=SUSPECT), None),
        (view(15.0 - ROLLBACK_MARGIN_S, 1.0, verdict=SUSPECT), BACK),
        (view(15.0 - ROLLBACK_MARGIN_S, 1.0, verdict=Verdict()), BACK),
        (view(15.5, 1.0), DONE),
        (view(15.5, 1.0, are_routers_confirmed=False), None),
        (view(15.0 + CONFIRMATION_GRACE_S, 1.0, are_routers_confirmed=False), BACK),
    ],
)
def test_the_end_of_a_roll_out_at_full_weight(seen: View, result: tuple[RolloutState, float] | None) -> None:
    assert outcome(next_step(seen)) == result


@pytest.mark.parametrize("weight", [0.02, CANARY_WEIGHT, 1.0])
@pytest.mark.parametrize("elapsed_s", [0.2, 8.0, 14.0, 16.0])
def test_a_bad_version_is_rolled_back_at_any_time(weight: float, elapsed_s: float) -> None:
    step = next_step(view(elapsed_s, weight, verdict=BAD))
    assert step == Advance("chat", ROLLOUT.order_id, ROLLED_BACK, 0.0, BAD.reason)


@pytest.mark.parametrize("state", [COMPLETED, ROLLED_BACK])
def test_an_ended_roll_out_does_not_change(state: RolloutState) -> None:
    ended = msgspec.structs.replace(ROLLOUT, state=state)
    assert next_step(view(3.0, rollout=ended, verdict=BAD)) is None


@pytest.mark.parametrize(
    ("seen", "reason"),
    [
        (view(12.5, verdict=SUSPECT), "no time left: suspect: all routes: 3 of 10 answers failed"),
        (view(12.5, target_ready=3), "no time left: 3 upstreams of the target ready beside 70 others"),
        (view(12.5, verdict=Verdict(target_answers=2)), "no time left: 2 answers of the target, 20 needed"),
        (view(12.5), "no time left: too late for full weight"),
        (view(14.5, 1.0, verdict=Verdict()), "no time left: no answer of the target"),
        (view(18.0, 1.0, are_routers_confirmed=False), "no time left: not confirmed by all routers"),
    ],
)
def test_the_reason_names_the_obstacle(seen: View, reason: str) -> None:
    step = next_step(seen)
    assert step is not None and step.reason == reason


@pytest.mark.parametrize(
    ("duration_s", "time_s"), [(2.0, 1.36), (8.0, 4.0), (12.0, 8.0), (15.0, 10.2), (60.0, 40.8)]
)
def test_full_weight_leaves_time_for_requests_in_flight(duration_s: float, time_s: float) -> None:
    assert full_weight_time_s(duration_s) == pytest.approx(time_s)


def test_a_small_service_needs_few_answers_and_gets_a_larger_share() -> None:
    assert needed_answers(totals(1, 19)) == 0
    assert needed_answers(totals(10, 200)) == 5
    small = view(3.0, totals=totals(9, 141), verdict=Verdict(target_answers=9))
    assert outcome(next_step(small)) == (RUNNING, 0.24)
    tiny = view(3.0, totals=totals(1, 8), verdict=Verdict(target_answers=1))
    assert outcome(next_step(tiny)) == (RUNNING, MAX_CANARY_WEIGHT)


def test_the_budget_is_a_tenth_of_the_traffic_plus_fifty_requests() -> None:
    budget = exposure_budget(totals(100, 880, target_in_flight=20), elapsed_s=5.0, duration_s=15.0)
    assert (budget.rate_per_s, budget.allowed, budget.spent) == (200.0, 350.0, 120.0)
    assert budget.weight_until(0.5, 5.0) == pytest.approx(55.0 / 1_000.0)
    assert budget.weight_until(0.2, 5.0) == 0.0
    assert budget.weight_until(1.0, 1.0) == 1.0
    assert budget.weight_until(1.0, 0.0) == 1.0, "without requests no weight exhausts the budget"


def test_wider_exposure_bounds_give_a_larger_planned_weight() -> None:
    default = view(5.0)
    narrow = msgspec.structs.replace(default, bounds=ExposureBounds(0.05, 0.0))
    wide = msgspec.structs.replace(default, bounds=ExposureBounds(0.5, 500.0))
    weights = [planned_weight(next_step(one)) for one in (narrow, default, wide)]
    assert weights == sorted(set(weights))


def planned_weight(step: Advance | None) -> float:
    return step.target_weight if step is not None else CANARY_WEIGHT
