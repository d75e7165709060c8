"""When a leaving node may exit."""

from __future__ import annotations

import pytest
from larkweir_replication.departure import Departure, DepartureReason
from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing
from replication_factories import snapshot, state_of

TIMING = Timing(min_leave_ms=1_000.0, max_leave_ms=5_000.0, stable_membership_ms=10_000.0)


def leaving(state: ReplicaState) -> Departure:
    """Returns a departure that begins at 0 ms, after the members were observed."""
    departure = Departure(state, TIMING)
    departure.observe_members(0.0)
    departure.begin(0.0)
    return departure


def test_a_node_that_does_not_leave_has_no_departure_reason() -> None:
    departure = Departure(state_of(), TIMING)
    assert departure.reason((), 1e9) is None
    assert not departure.is_begun


def test_a_replaced_node_ends_at_once() -> None:
    state = state_of()
    departure = leaving(state)
    state.commit(snapshot(1, members=("b", "c", "d")))
    assert departure.reason(None, 1.0) is DepartureReason.REPLACED


def test_a_restarting_node_ends_after_the_minimum_wait_for_a_newcomer() -> None:
    departure = leaving(state_of())
    assert departure.reason((), 999.0) is None
    assert departure.reason((), 1_000.0) is DepartureReason.OTHERS_REACHABLE


def test_a_sole_member_ends_without_a_primary() -> None:
    departure = leaving(state_of(accepted=snapshot(members=("a",))))
    assert departure.reason(None, 1_000.0) is DepartureReason.OTHERS_REACHABLE


@pytest.mark.parametrize("unreachable", [None, ("b",)])
def test_a_leaving_node_stays_while_others_are_unreachable(unreachable: tuple[str, ...] | None) -> None:
    departure = leaving(state_of())
    assert departure.reason(unreachable, 4_999.0) is None
    assert departure.reason(unreachable, 5_000.0) is DepartureReason.TIMED_OUT


def test_a_leaving_node_stays_after_a_newcomer_replaced_another_member() -> None:
    state = state_of()
    departure = Departure(state, TIMING)
    departure.observe_members(0.0)
    state.accepted = snapshot(1, members=("a", "b", "d"))
    departure.observe_members(500.0)
    departure.begin(9_000.0)
    assert departure.reason((), 10_499.0) is None, "the newcomer may have been meant to replace this node"
    assert departure.reason((), 10_500.0) is DepartureReason.OTHERS_REACHABLE


def test_a_leaving_node_stays_during_a_change_of_members() -> None:
    state = state_of()
    departure = leaving(state)
    current = snapshot(1)
    state.accepted = type(current)(current.epoch, 1, current.members, ("a", "b", "c", "d"))
    assert departure.reason((), 1_000.0) is None


def test_only_the_first_call_of_begin_counts() -> None:
    departure = leaving(state_of())
    departure.begin(4_000.0)
    assert departure.reason(None, 5_000.0) is DepartureReason.TIMED_OUT
