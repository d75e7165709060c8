"""How many replies a replica without a usable state needs to recover."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_replication.messages import Epoch, Recover, RecoverReply
from larkweir_replication.recovery import Recovery
from larkweir_replication.state import ReplicaState
from replication_factories import MEMBERS, sent, snapshot, write_all


@pytest.fixture
def state() -> ReplicaState:
    return ReplicaState("a", MEMBERS)


def request(recovery: Recovery, state: ReplicaState) -> int:
    """Sends a new request and returns its nonce."""
    recovery.request()
    messages = sent(state.take_effects())
    assert [node for node, _ in messages] == ["b", "c"]
    (nonce,) = {message.nonce for _, message in messages if isinstance(message, Recover)}
    return nonce


def test_a_member_of_three_needs_both_others(state: ReplicaState) -> None:
    recovery = Recovery(state, Random(1))
    nonce = request(recovery, state)
    assert not recovery.on_reply("b", RecoverReply(nonce, Epoch(1, "a"), snapshot(4)))
    assert not recovery.on_reply("b", RecoverReply(nonce, Epoch(1, "a"), snapshot(4)))
    assert recovery.on_reply("c", RecoverReply(nonce, Epoch(5, "c"), snapshot(3)))
    assert (state.promised, state.accepted) == (Epoch(5, "c"), snapshot(4))
    assert state.durability.has_pending_writes


def test_a_node_that_was_not_a_member_needs_a_majority(state: ReplicaState) -> None:
    recovery = Recovery(state, Random(1))
    nonce = request(recovery, state)
    others = snapshot(4, members=("b", "c", "d"))
    assert not recovery.on_reply("b", RecoverReply(nonce, Epoch(1, "b"), others))
    assert recovery.on_reply("d", RecoverReply(nonce, Epoch(1, "b"), others))


def test_answers_to_an_earlier_request_do_not_count(state: ReplicaState) -> None:
    recovery = Recovery(state, Random(1))
    earlier = request(recovery, state)
    assert not recovery.on_reply("b", RecoverReply(earlier, Epoch(1, "a"), snapshot(4)))
    nonce = request(recovery, state)
    assert not recovery.on_reply("c", RecoverReply(earlier, Epoch(1, "a"), snapshot(4)))
    assert not recovery.on_reply("c", RecoverReply(nonce, Epoch(1, "a"), snapshot(4)))
    assert state.accepted is None


def test_answers_after_a_successful_recovery_are_ignored(state: ReplicaState) -> None:
    recovery = Recovery(state, Random(1))
    nonce = request(recovery, state)
    recovery.on_reply("b", RecoverReply(nonce, Epoch(1, "a"), snapshot(4)))
    recovery.on_reply("c", RecoverReply(nonce, Epoch(1, "a"), snapshot(4)))
    assert not recovery.on_reply("c", RecoverReply(nonce, Epoch(1, "a"), snapshot(9)))
    assert state.accepted == snapshot(4)
    write_all(state)
    assert not state.durability.has_pending_writes
