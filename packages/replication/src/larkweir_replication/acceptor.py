"""What a replica answers to primaries, candidates and recovering replicas: the acceptor of Paxos (Lamport 2001).

A promise and an acceptance are sent only once they are durable.
"""

from __future__ import annotations

from larkweir_replication.errors import DeltaMismatchError
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
    SnapshotDelta,
    SnapshotRequest,
    StaleEpoch,
)
from larkweir_replication.snapshot_delta import apply_delta
from larkweir_replication.state import ReplicaState


class Acceptor:
    """Accepts states and gives promises. The caller has refused messages of stale epochs before."""

    def __init__(self, state: ReplicaState) -> None:
        """`state`: of the replica that answers."""
        self._state = state

    def reject_stale(self, sender: str) -> None:
        """Names the promised epoch to a sender of a lower one."""
        self._state.send(sender, StaleEpoch(self._state.promised))

    def on_pre_vote(self, sender: str, message: PreVote, *, is_granted: bool) -> None:
        """Reports whether a candidacy of the sender would have this vote, and the members that it may not know."""
        state = self._state
        members = state.accepted.members if state.accepted is not None else ()
        state.send(sender, PreVoteReply(message.round, is_granted, state.promised, members))

    def on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        """Learns what is committed, and reports what is durable here."""
        state = self._state
        accepted = state.accepted
        if (
            accepted is not None
            and accepted.epoch == message.epoch
            and accepted.sequence <= message.committed
        ):
            state.commit(accepted)
        durable = state.durability.durable.snapshot
        epoch, sequence = durable.rank if durable is not None else (NO_EPOCH, -1)
        state.send(sender, HeartbeatAck(message.epoch, message.round, epoch, sequence, accepts_deltas=True))

    def on_replicate(self, sender: str, message: Replicate | ReplicateDelta) -> None:
        """Accepts the state unless a newer one is accepted already; asks for all of it where a delta does not fit."""
        state = self._state
        snapshot = message.snapshot if isinstance(message, Replicate) else self._apply_delta(message.delta)
        if snapshot is None:
            state.send(sender, SnapshotRequest(message.epoch))
            return
        if state.accepted is not None and snapshot.rank < state.accepted.rank:
            return
        state.accepted = snapshot
        state.known_nodes.update(snapshot.members)
        if state.durability.durable.snapshot == snapshot:
            state.send(sender, Accepted(snapshot.epoch, snapshot.sequence))
        else:
            state.persist_if_missing(snapshot)
        if snapshot.sequence <= message.committed:
            state.commit(snapshot)

    def _apply_delta(self, delta: SnapshotDelta) -> Snapshot | None:
        """The state that it makes; None where its base is not the state that is accepted here."""
        accepted = self._state.accepted
        if accepted is None:
            return None
        if accepted.rank >= delta.rank:
            return accepted  # it has arrived before, or a later one has
        try:
            return apply_delta(accepted, delta)
        except DeltaMismatchError:
            return None

    def on_prepare(self, sender: str, epoch: Epoch) -> None:
        """Gives the promise that the state has noted, now or once it is durable."""
        state = self._state
        if state.durability.durable.promised >= epoch:
            state.send(sender, Promise(epoch, state.accepted))
        else:
            state.persist()

    def on_promise_durable(self, epoch: Epoch) -> None:
        """Sends the promise to the candidate, unless it has become the primary meanwhile."""
        state = self._state
        if state.accepted is None or state.accepted.epoch != epoch:
            state.send(epoch.node, Promise(epoch, state.accepted))

    def on_snapshot_durable(self, snapshot: Snapshot) -> None:
        """Confirms the state to the primary of its epoch, unless that epoch is over."""
        state = self._state
        if state.accepted is not None and snapshot.epoch == state.promised and snapshot.epoch.number:
            state.send(snapshot.epoch.node, Accepted(snapshot.epoch, snapshot.sequence))

    def on_recover(self, sender: str, message: Recover) -> None:
        """Reports the promised epoch and the newest state, also those still on their way to the disk."""
        state = self._state
        if state.accepted is not None:
            state.send(sender, RecoverReply(message.nonce, state.promised, state.accepted))
