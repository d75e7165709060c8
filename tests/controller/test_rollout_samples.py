"""Reports of routers that count for a roll-out."""

from __future__ import annotations

import pytest
from larkweir_rollouts.state import RolloutState

from larkweir.controller.rollout_samples import RolloutSamples
from tests.controller.rollout_factories import report, rollout

ORDER = rollout()
LATER = rollout(target_version="v3")


@pytest.fixture
def samples() -> RolloutSamples:
    made = RolloutSamples()
    made.update([ORDER])
    return made


def answered(samples: RolloutSamples) -> int:
    pool = samples.pool("s")
    assert pool is not None
    return sum(route.answered for route in pool.totals().target.routes.values())


def test_reports_are_cumulative_and_summed_over_routers(samples: RolloutSamples) -> None:
    samples.report("a/1", {"s": report(ORDER, 3)})
    samples.report("a/1", {"s": report(ORDER, 5)})
    samples.report("b/1", {"s": report(ORDER, 2), "nobody": report(ORDER, 9)})
    samples.report("b/1", {})
    assert answered(samples) == 7


def test_a_report_that_came_before_its_order_was_committed_here_counts(samples: RolloutSamples) -> None:
    samples.report("a/1", {"s": report(LATER, 4)})
    assert answered(samples) == 0
    samples.update([LATER])
    assert answered(samples) == 4


def test_a_report_of_a_router_that_disconnected_before_the_order_does_not_count(
    samples: RolloutSamples,
) -> None:
    samples.report("a/1", {"s": report(LATER, 4)})
    samples.disconnected("a/1")
    samples.update([LATER])
    assert answered(samples) == 0


def test_a_lost_router_has_nothing_in_flight_but_its_answers_stay(samples: RolloutSamples) -> None:
    samples.report("a/1", {"s": report(ORDER, 3, others_in_flight=6)})
    samples.disconnected("a/1")
    pool = samples.pool("s")
    assert pool is not None
    assert pool.totals().others.in_flight == 0
    assert answered(samples) == 3


def test_a_step_of_the_same_order_keeps_its_samples(samples: RolloutSamples) -> None:
    samples.report("a/1", {"s": report(ORDER, 3)})
    samples.update([rollout(target_weight=0.5)])
    assert answered(samples) == 3


def test_a_finished_rollout_has_no_samples(samples: RolloutSamples) -> None:
    samples.update([rollout(state=RolloutState.COMPLETED)])
    assert samples.pool("s") is None
    samples.report("a/1", {"s": report(ORDER, 3)})
