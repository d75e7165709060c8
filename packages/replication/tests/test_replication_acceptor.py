"""The acceptor's replies, and that it sends no promise or acceptance before it is durable."""

from __future__ import annotations

import msgspec
import pytest
from larkweir_replication.acceptor import Acceptor
from larkweir_replication.effects import Committed, Persist, Send
from larkweir_replication.messages import (
    NO_EPOCH,
    Accepted,
    Epoch,
    Heartbeat,
    HeartbeatAck,
    PreVote,
    PreVoteReply,
    Promise,
    Recover,
    RecoverReply,
    Replicate,
    ReplicateDelta,
    Snapshot,
    SnapshotRequest,
    StaleEpoch,
)
from larkweir_replication.snapshot_delta import make_delta
from larkweir_replication.state import ReplicaState
from replication_factories import EPOCH, MEMBERS, snapshot, state_of, write_all


@pytest.fixture
def state() -> ReplicaState:
    """The state of a backup that has snapshot 3 of the primary `a` on disk."""
    state = state_of("b", snapshot(3))
    state.persist()
    write_all(state)
    return state


def test_a_stale_sender_is_sent_the_promised_epoch(state: ReplicaState) -> None:
    Acceptor(state).reject_stale("c")
    assert state.take_effects() == [Send("c", StaleEpoch(EPOCH))]


def test_a_pre_vote_changes_nothing(state: ReplicaState) -> None:
    Acceptor(state).on_pre_vote("c", PreVote(7), is_granted=True)
    assert state.take_effects() == [Send("c", PreVoteReply(7, True, EPOCH, MEMBERS))]
    assert state.promised == EPOCH


def test_a_new_state_is_written_first(state: ReplicaState) -> None:
    Acceptor(state).on_replicate("a", Replicate(snapshot(4), 3))
    assert [type(effect) for effect in state.take_effects()] == [Persist]
    Acceptor(state).on_snapshot_durable(snapshot(4))
    assert state.take_effects() == [Send("a", Accepted(EPOCH, 4))]


def test_a_state_that_is_durable_is_confirmed_at_once(state: ReplicaState) -> None:
    Acceptor(state).on_replicate("a", Replicate(snapshot(3), 3))
    assert state.take_effects() == [Send("a", Accepted(EPOCH, 3)), Committed(snapshot(3))]


def test_an_older_state_is_ignored(state: ReplicaState) -> None:
    Acceptor(state).on_replicate("a", Replicate(snapshot(2), 3))
    assert state.take_effects() == []
    assert state.accepted == snapshot(3)


def test_a_state_of_an_epoch_that_is_over_is_not_confirmed(state: ReplicaState) -> None:
    state.promised = Epoch(2, "c")
    Acceptor(state).on_snapshot_durable(snapshot(3))
    assert state.take_effects() == []


def test_a_promise_is_written_first(state: ReplicaState) -> None:
    epoch = state.promised = Epoch(2, "c")
    Acceptor(state).on_prepare("c", epoch)
    assert write_all(state) == []
    Acceptor(state).on_promise_durable(epoch)
    assert state.take_effects() == [Send("c", Promise(epoch, snapshot(3)))]
    Acceptor(state).on_prepare("c", epoch)
    assert state.take_effects() == [Send("c", Promise(epoch, snapshot(3)))]


def test_a_heartbeat_reports_what_is_durable(state: ReplicaState) -> None:
    state.accepted = snapshot(4)
    Acceptor(state).on_heartbeat("a", Heartbeat(EPOCH, 4, 9))
    ack = HeartbeatAck(EPOCH, 9, EPOCH, 3, accepts_deltas=True)
    assert state.take_effects() == [Committed(snapshot(4)), Send("a", ack)]


def test_an_empty_disk_is_reported_as_such() -> None:
    state = state_of("b")
    Acceptor(state).on_heartbeat("a", Heartbeat(EPOCH, -1, 9))
    assert state.take_effects() == [Send("a", HeartbeatAck(EPOCH, 9, NO_EPOCH, -1, accepts_deltas=True))]


def test_a_recovering_replica_is_sent_all_that_is_known(state: ReplicaState) -> None:
    state.accepted = snapshot(4)
    Acceptor(state).on_recover("c", Recover(5))
    assert state.take_effects() == [Send("c", RecoverReply(5, EPOCH, snapshot(4)))]


def changed(base: Snapshot, sequence: int, value: str) -> Snapshot:
    return msgspec.structs.replace(base, sequence=sequence, value=value)


def test_a_delta_is_accepted_only_on_its_base(state: ReplicaState) -> None:
    base, later = changed(snapshot(3), 3, "{a}{b}"), changed(snapshot(3), 4, "{a}{c}")
    delta = make_delta(base, later)
    assert delta is not None
    state.accepted = base
    Acceptor(state).on_replicate("a", ReplicateDelta(delta, 3))
    assert state.accepted == later
    state.accepted = snapshot(2)
    state.take_effects()
    Acceptor(state).on_replicate("a", ReplicateDelta(delta, 3))
    assert state.accepted == snapshot(2)
    assert state.take_effects() == [Send("a", SnapshotRequest(EPOCH))]


def test_a_repeated_delta_is_confirmed_again(state: ReplicaState) -> None:
    base, later = snapshot(3), changed(snapshot(3), 4, "x")
    delta = make_delta(base, later)
    assert delta is not None
    state.accepted = later
    state.persist()
    write_all(state)
    Acceptor(state).on_replicate("a", ReplicateDelta(delta, 3))
    assert state.take_effects() == [Send("a", Accepted(EPOCH, 4))]
