"""Which nodes a candidate sends requests to, and when it wins."""

from __future__ import annotations

import pytest
from larkweir_replication.election import Election
from larkweir_replication.messages import Epoch, Prepare, PreVote
from larkweir_replication.timing import Timing
from replication_factories import MEMBERS, sent, snapshot, state_of


@pytest.fixture
def election() -> Election:
    """The election of node `a`, which knows `d`, a node that is not a member."""
    return Election(state_of("a", snapshot(3), known=(*MEMBERS, "d")), Timing(), 0.0)


def test_pre_vote_requests_go_to_all_known_nodes_without_a_grant(election: Election) -> None:
    election.begin_pre_vote()
    assert not election.add_grant("a")
    assert election.add_grant("b")
    election.request_pre_votes(0.0)
    assert sent(election._state.take_effects()) == [("c", PreVote(1)), ("d", PreVote(1))]
    assert election.is_current_round(1)
    election.begin_pre_vote()
    assert not election.is_current_round(1)


def test_grants_of_non_members_are_not_votes(election: Election) -> None:
    election.begin_pre_vote()
    assert not election.add_grant("d")


def test_requests_are_repeated_at_the_interval_of_heartbeats(election: Election) -> None:
    election.begin_pre_vote()
    election.request_pre_votes(100.0)
    assert not election.is_request_due(179.0)
    assert election.is_request_due(180.0)


def test_a_candidate_requests_promises_of_a_higher_epoch(election: Election) -> None:
    election.prepare(0.0)
    assert election._state.promised == Epoch(2, "a")
    assert sent(election._state.take_effects()) == [(node, Prepare(Epoch(2, "a"))) for node in ("b", "c")]


def test_the_winner_takes_the_newest_state_over_under_its_epoch(election: Election) -> None:
    election.prepare(0.0)
    assert not election.add_promise("a", snapshot(3))
    assert election.add_promise("b", snapshot(4))
    assert election._state.accepted == snapshot(4, epoch=Epoch(2, "a"))


def test_members_named_only_in_a_newer_state_receive_requests_too(election: Election) -> None:
    election.prepare(0.0)
    election.add_promise("a", snapshot(3))
    election._state.take_effects()
    newer = snapshot(4, members=("b", "e", "f"))
    assert not election.add_promise("b", newer)
    assert [node for node, _ in sent(election._state.take_effects())] == ["e", "f"]
    assert election.add_promise("e", None)
