"""How often a replica asks to join or to leave."""

from __future__ import annotations

from larkweir_replication.membership_requests import MembershipRequests
from larkweir_replication.messages import Join, Leave
from larkweir_replication.timing import Timing
from replication_factories import sent, snapshot, state_of

TIMING = Timing(join_interval_ms=300.0, leave_interval_ms=100.0)


def test_join_requests_go_to_all_known_nodes_at_the_interval() -> None:
    state = state_of("d", known=("a", "e"))
    requests = MembershipRequests(state, TIMING, 0.0)
    requests.request_join_if_due(299.0)
    assert state.take_effects() == []
    for now_ms in (300.0, 599.0):
        requests.request_join_if_due(now_ms)
    assert sent(state.take_effects()) == [("a", Join()), ("e", Join())]


def test_leave_requests_are_repeated_until_the_node_is_replaced() -> None:
    state = state_of("a")
    requests = MembershipRequests(state, TIMING, 0.0)
    assert requests.is_leave_due(0.0)
    requests.request_leave(0.0)
    assert sent(state.take_effects()) == [("b", Leave()), ("c", Leave())]
    assert not requests.is_leave_due(99.0)
    assert requests.is_leave_due(100.0)
    state.commit(snapshot(1, members=("b", "c", "d")))
    assert not requests.is_leave_due(100.0)
