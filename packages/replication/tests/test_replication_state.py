"""The state that the roles of a replica share."""

from __future__ import annotations

import pytest
from larkweir_replication.effects import Committed
from larkweir_replication.errors import NotRecoveredError, ReplicationError
from larkweir_replication.messages import NO_EPOCH, DurableState, Epoch, Snapshot
from larkweir_replication.state import ReplicaState
from replication_factories import EPOCH, MEMBERS, snapshot, state_of


def test_each_sequence_is_announced_once_and_none_after_a_later_one() -> None:
    state = state_of()
    later_epoch = Epoch(2, "b")
    for committed in (snapshot(1), snapshot(1), snapshot(3), snapshot(2), snapshot(3, epoch=later_epoch)):
        state.commit(committed)
    assert state.take_effects() == [Committed(snapshot(1)), Committed(snapshot(3))]
    assert state.committed == snapshot(3, epoch=later_epoch)
    assert state.committed_sequence == 3


def test_a_replica_that_has_not_recovered_has_no_state() -> None:
    state = ReplicaState("a", MEMBERS)
    with pytest.raises(NotRecoveredError):
        state.newest()
    assert issubclass(NotRecoveredError, ReplicationError)
    assert not state.is_member
    assert state.other_members() == []
    assert state.committed_sequence == -1


def test_members_of_both_sides_of_a_change_count() -> None:
    state = state_of("a", Snapshot(EPOCH, 1, ("a", "b", "d"), MEMBERS))
    assert state.other_members() == ["b", "c", "d"]
    state.commit(Snapshot(EPOCH, 2, ("b", "c", "d"), MEMBERS))
    assert not state.has_left
    state.commit(snapshot(3, members=("b", "c", "d")))
    assert state.has_left


def test_the_stored_state_is_restored() -> None:
    state = ReplicaState("a", ())
    state.restore(DurableState(Epoch(4, "c"), snapshot(2)))
    assert (state.promised, state.accepted) == (Epoch(4, "c"), snapshot(2))
    assert state.known_nodes == set(MEMBERS)
    state.persist_if_missing(snapshot(2))
    assert state.take_effects() == []


def test_the_first_group_begins_empty() -> None:
    state = ReplicaState("a", ())
    state.bootstrap(MEMBERS)
    assert state.accepted == Snapshot(NO_EPOCH, 0, MEMBERS)
    assert state.durability.has_pending_writes
