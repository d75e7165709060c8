"""Since when a roll-out is in its state, and since when it runs, whatever the time of day says."""

from __future__ import annotations

import pytest
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.controller.committed_rollouts import CATCH_UP_MS, CommittedRollout, CommittedRollouts
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, rollout

SETTLED_MS = 50_000.0


@pytest.fixture
def known() -> CommittedRollouts:
    """Of a controller that has been in contact for long."""
    made = CommittedRollouts()
    made.update(document(), 1, SETTLED_MS - 2 * CATCH_UP_MS, ORDERED_UNIX_MS)
    return made


def only(known: CommittedRollouts) -> CommittedRollout:
    (found,) = known.all()
    return found


@pytest.mark.parametrize("skew_ms", [-6_000.0, 0.0, 6_000.0, 1e9])
def test_an_order_counts_from_its_commit_whatever_the_time_of_day(
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
def test_after_a_start_the_age_is_told_from_the_time_of_day(unix_ms: float, elapsed_s: float) -> None:
    known = CommittedRollouts()
    known.update(document(rollout()), 9, 500.0, unix_ms)
    assert only(known).elapsed_s(500.0) == elapsed_s
    assert only(known).elapsed_s(1_500.0) == elapsed_s + 1.0


def test_after_a_loss_of_contact_too(known: CommittedRollouts) -> None:
    known.mark_outdated(SETTLED_MS)
    known.update(document(rollout()), 2, SETTLED_MS + 1.0, ORDERED_UNIX_MS + 4_000.0)
    assert only(known).elapsed_s(SETTLED_MS + 1.0) == 4.0


def test_a_known_order_keeps_its_age_over_a_loss_of_contact(known: CommittedRollouts) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    known.mark_outdated(SETTLED_MS + 1_000.0)
    known.update(document(rollout(target_weight=1.0)), 7, SETTLED_MS + 1_500.0, ORDERED_UNIX_MS + 99_000.0)
    assert only(known).elapsed_s(SETTLED_MS + 2_000.0) == 2.0


def test_a_state_has_the_sequence_under_which_it_came(known: CommittedRollouts) -> None:
    known.update(document(rollout()), 2, SETTLED_MS, ORDERED_UNIX_MS)
    known.update({**document(rollout()), "generation": 2}, 3, SETTLED_MS, ORDERED_UNIX_MS)
    assert only(known).sequence == 2
    known.update(document(rollout(target_weight=0.5)), 4, SETTLED_MS, ORDERED_UNIX_MS)
    assert only(known).sequence == 4


def test_the_ones_that_have_ended_are_known_but_do_not_run(known: CommittedRollouts) -> None:
    ended = rollout(service="t", state=RolloutState.COMPLETED)
    known.update(document(rollout(), ended), 2, SETTLED_MS, ORDERED_UNIX_MS)
    assert [one.rollout for one in known.running()] == [rollout()]
    found: Rollout | None = known.of("t")
    assert found == ended
    assert known.of("nobody") is None
    known.update(document(ended), 3, SETTLED_MS, ORDERED_UNIX_MS)
    assert known.of("s") is None
