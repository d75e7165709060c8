"""The sequence number of a roll-out's state, and a roll-out's age independent of jumps of the wall clock."""

from __future__ import annotations

import pytest
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.messages import RolloutAge
from larkweir.controller.committed_rollouts import CATCH_UP_MS, CommittedRollout, CommittedRollouts
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, rollout

SETTLED_MS = 50_000.0


@pytest.fixture
def known() -> CommittedRollouts:
    """The roll-outs of a controller whose catch-up period after the start is over."""
    known = CommittedRollouts()
    known.update(document(), 1, SETTLED_MS - 2 * CATCH_UP_MS, ORDERED_UNIX_MS)
    return known


def only(known: CommittedRollouts) -> CommittedRollout:
    (found,) = known.all()
    return found


@pytest.mark.parametrize("skew_ms", [-6_000.0, 0.0, 6_000.0, 1e9])
def test_the_age_of_an_order_counts_from_its_commit_regardless_of_the_wall_clock(
    skew_ms: float, known: CommittedRollouts
) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS + skew_ms)
    assert only(known).elapsed_s(SETTLED_MS) == 0.0
    known.update(document(rollout(target_weight=0.5)), 3, SETTLED_MS + 2_000.0, ORDERED_UNIX_MS - skew_ms)
    assert only(known).elapsed_s(SETTLED_MS + 3_000.0) == 3.0


@pytest.mark.parametrize(
    ("unix_ms", "elapsed_s"),
    [
        (ORDERED_UNIX_MS + 4_000.0, 4.0),
        (ORDERED_UNIX_MS - 9_000.0, 0.0),
        (ORDERED_UNIX_MS + 99_000.0, 12.0),
    ],
)
def test_after_a_start_the_age_is_estimated_from_the_wall_clock(unix_ms: float, elapsed_s: float) -> None:
    known = CommittedRollouts()
    known.update(document(rollout()), 9, 500.0, unix_ms)
    assert only(known).elapsed_s(500.0) == elapsed_s
    assert only(known).elapsed_s(1_500.0) == elapsed_s + 1.0


def test_after_a_loss_of_contact_the_age_is_estimated_from_the_wall_clock(known: CommittedRollouts) -> None:
    known.mark_outdated(SETTLED_MS)
    known.update(document(rollout()), 2, SETTLED_MS + 1.0, ORDERED_UNIX_MS + 4_000.0)
    assert only(known).elapsed_s(SETTLED_MS + 1.0) == 4.0


def test_a_known_order_keeps_its_age_after_a_loss_of_contact(known: CommittedRollouts) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    known.mark_outdated(SETTLED_MS + 1_000.0)
    known.update(document(rollout(target_weight=1.0)), 7, SETTLED_MS + 1_500.0, ORDERED_UNIX_MS + 99_000.0)
    assert only(known).elapsed_s(SETTLED_MS + 2_000.0) == 2.0


def test_a_state_has_the_sequence_of_the_first_configuration_that_contains_it(
    known: CommittedRollouts,
) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    known.update({**document(rollout()), "generation": 2}, 3, SETTLED_MS, ORDERED_UNIX_MS)
    assert only(known).sequence == 2
    known.update(document(rollout(target_weight=0.5)), 4, SETTLED_MS, ORDERED_UNIX_MS)
    assert only(known).sequence == 4


def test_ended_rollouts_are_known_but_not_running(known: CommittedRollouts) -> None:
    ended = rollout(service="t", state=RolloutState.COMPLETED)
    known.update(document(rollout(), ended), 2, SETTLED_MS, ORDERED_UNIX_MS)
    assert [one.rollout for one in known.running()] == [rollout()]
    found: Rollout | None = known.of("t")
    assert found == ended
    assert known.of("nobody") is None
    known.update(document(ended), 3, SETTLED_MS, ORDERED_UNIX_MS)
    assert known.of("s") is None


@pytest.mark.parametrize("step_ms", [-2_000.0, 0.0, 2_000.0])
def test_a_clock_step_does_not_move_the_deadline_while_another_controller_knows_the_order(
    step_ms: float, known: CommittedRollouts
) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    started = CommittedRollouts()
    started.update(document(rollout()), 2, 500.0, ORDERED_UNIX_MS + 4_000.0 + step_ms)
    assert started.ages(500.0) == {}, "an estimate is not reported to other controllers"
    started.adopt_ages(known.ages(SETTLED_MS + 4_000.0), 500.0)
    assert only(started).elapsed_s(500.0) == 4.0
    assert started.ages(1_500.0) == known.ages(
        SETTLED_MS + 5_000.0
    ), "an adopted age is reported to other controllers"
    started.update(document(rollout(target_weight=1.0)), 3, 2_500.0, ORDERED_UNIX_MS)
    assert only(started).elapsed_s(2_500.0) == 6.0


def test_the_highest_age_is_adopted_and_only_for_the_current_order(known: CommittedRollouts) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    for elapsed_ms, kept_s in ((3_000.0, 3.0), (1_000.0, 3.0), (3_500.0, 3.5)):
        known.adopt_ages({"s": RolloutAge(rollout().order_id, elapsed_ms)}, SETTLED_MS)
        assert only(known).elapsed_s(SETTLED_MS) == kept_s
    known.adopt_ages({"s": RolloutAge("v9/1", 9_000.0), "nobody": RolloutAge("v2/1", 1.0)}, SETTLED_MS)
    assert only(known).elapsed_s(SETTLED_MS) == 3.5
    known.update(document(rollout(state=RolloutState.COMPLETED)), 3, SETTLED_MS, ORDERED_UNIX_MS)
    assert known.ages(SETTLED_MS) == {}
