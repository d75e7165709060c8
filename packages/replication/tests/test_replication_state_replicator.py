"""How a state is replicated to a majority of disks."""

from __future__ import annotations

import msgspec
import pytest
from larkweir_replication.member_tracker import MemberTracker
from larkweir_replication.messages import Replicate, ReplicateDelta
from larkweir_replication.snapshot_delta import make_delta
from larkweir_replication.state import ReplicaState
from larkweir_replication.state_replicator import TRANSFER_BYTES_PER_MS, StateReplicator
from larkweir_replication.timing import Timing
from replication_factories import EPOCH, sent, snapshot, state_of, write_all


@pytest.fixture
def state() -> ReplicaState:
    return state_of("a", snapshot(3))


@pytest.fixture
def replicator(state: ReplicaState) -> StateReplicator:
    """The replicator of primary `a` at 0 ms, without a pending proposal."""
    return StateReplicator(state, MemberTracker(state, Timing(), 0.0))


def test_a_majority_of_disks_commits_a_state(state: ReplicaState, replicator: StateReplicator) -> None:
    replicator.propose(snapshot(4), 8, 0.0)
    assert state.durability.has_pending_writes
    assert sent(state.take_effects()) == [(node, Replicate(snapshot(4), -1)) for node in ("b", "c")]
    assert replicator.on_accepted("b", EPOCH, 4, 1.0) is None
    proposal = replicator.on_accepted("a", EPOCH, 4, 2.0)
    assert proposal is not None
    assert (proposal.snapshot, proposal.ticket) == (snapshot(4), 8)
    assert replicator.proposal is None


def test_an_unacknowledged_state_is_sent_again(state: ReplicaState, replicator: StateReplicator) -> None:
    replicator.propose(snapshot(4), None, 0.0)
    replicator.on_accepted("b", EPOCH, 4, 1.0)
    state.take_effects()
    replicator.resend(299.0)
    assert state.take_effects() == []
    replicator.resend(301.0)
    assert sent(state.take_effects()) == [("c", Replicate(snapshot(4), -1))]


def test_a_large_state_has_a_longer_resend_interval(state: ReplicaState, replicator: StateReplicator) -> None:
    large = msgspec.structs.replace(snapshot(4), value="x" * TRANSFER_BYTES_PER_MS * 100)
    replicator.propose(large, None, 0.0)
    state.take_effects()
    assert replicator.transfer_ms() == 100.0
    replicator.resend(399.0)
    assert state.take_effects() == []
    replicator.resend(400.0)
    assert len(state.take_effects()) == 2


def test_a_new_connection_is_sent_the_state_at_once(state: ReplicaState, replicator: StateReplicator) -> None:
    replicator.propose(snapshot(4), None, 0.0)
    state.take_effects()
    replicator.on_reconnected("c")
    replicator.resend(1.0)
    assert [node for node, _ in sent(state.take_effects())] == ["c"]


def test_a_member_that_is_behind_is_sent_the_newest(state: ReplicaState, replicator: StateReplicator) -> None:
    assert replicator.on_accepted("b", EPOCH, 2, 0.0) is None
    assert sent(state.take_effects()) == [("b", Replicate(snapshot(3), -1))]
    assert replicator.on_accepted("b", EPOCH, 2, 299.0) is None
    assert state.take_effects() == []


def test_a_failed_local_write_is_retried(state: ReplicaState, replicator: StateReplicator) -> None:
    replicator.propose(snapshot(4), None, 0.0)
    state.take_effects()
    state.durability.fail_write(1)
    replicator.resend(1.0)
    assert state.durability.has_pending_writes
    assert write_all(state) == []
    replicator.resend(2.0)
    assert not state.durability.has_pending_writes


def test_a_node_with_the_base_on_disk_is_sent_a_delta_first_and_later_the_state(
    state: ReplicaState, replicator: StateReplicator
) -> None:
    later = msgspec.structs.replace(snapshot(4), value="x")
    delta = make_delta(snapshot(3), later)
    assert delta is not None
    for node in ("b", "c"):
        replicator.enable_deltas(node)
    replicator.on_accepted("b", EPOCH, 3, 0.0)
    replicator.propose(later, None, 1.0)
    assert sent(state.take_effects()) == [("b", ReplicateDelta(delta, -1)), ("c", Replicate(later, -1))]
    replicator.resend(302.0)
    assert sent(state.take_effects()) == [(node, Replicate(later, -1)) for node in ("b", "c")]


def test_a_node_that_does_not_accept_deltas_is_sent_the_full_state(
    state: ReplicaState, replicator: StateReplicator
) -> None:
    replicator.enable_deltas("c")
    replicator.on_accepted("b", EPOCH, 3, 0.0)
    replicator.propose(snapshot(4), None, 1.0)
    assert sent(state.take_effects()) == [(node, Replicate(snapshot(4), -1)) for node in ("b", "c")]


def test_a_delta_is_not_sent_on_a_new_connection(state: ReplicaState, replicator: StateReplicator) -> None:
    replicator.enable_deltas("b")
    replicator.on_accepted("b", EPOCH, 3, 0.0)
    replicator.on_reconnected("b")
    replicator.propose(snapshot(4), None, 1.0)
    assert sent(state.take_effects())[0] == ("b", Replicate(snapshot(4), -1))
