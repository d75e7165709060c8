"""The replies of a replica to primaries, candidates and recovering replicas: the acceptor of Paxos (Lamport 2001).

A replica sends a promise or an acceptance only once it is durable.
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
    """Accepts states and gives promises. The caller has already rejected messages of stale epochs."""

    def __init__(self, state: ReplicaState) -> None:
        """`state`: the state of the replica that replies."""
        self._state = state

    def reject_stale(self, sender: str) -> None:
        """Sends the promised epoch to a sender whose epoch is lower."""
        self._state.send(sender, StaleEpoch(self._state.promised))

    def on_pre_vote(self, sender: str, message: PreVote, *, is_granted: bool) -> None:
        """Reports whether this replica would vote for the sender, and the members, which the sender may not know."""
        state = self._state
        members = state.accepted.members if state.accepted is not None else ()
        state.send(sender, PreVoteReply(message.round, is_granted, state.promised, members))

    def on_heartbeat(self, sender: str, message: Heartbeat) -> None:
        """Commits the accepted state if the primary has committed it, and reports the durable state of this replica."""
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
        """Accepts the state unless a newer one is accepted; requests the whole state if a delta does not apply."""
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
        """Returns the state that results from the delta, or None if its base is not the accepted state."""
        accepted = self._state.accepted
        if accepted is None:
            return None
        if accepted.rank >= delta.rank:
            return accepted  # this state or a later one has already arrived
        try:
            return apply_delta(accepted, delta)
        except DeltaMismatchError:
            return None

    def on_prepare(self, sender: str, epoch: Epoch) -> None:
        """Sends the promise that is already recorded in the state: now if it is durable, otherwise once it is."""
        state = self._state
        if state.durability.durable.promised >= epoch:
            state.send(sender, Promise(epoch, state.accepted))
        else:
            state.persist()

    def on_promise_durable(self, epoch: Epoch) -> None:
        """Sends the promise to the candidate, unless the candidate has become the primary meanwhile."""
        state = self._state
        if state.accepted is None or state.accepted.epoch != epoch:
            state.send(epoch.node, Promise(epoch, state.accepted))

    def on_snapshot_durable(self, snapshot: Snapshot) -> None:
        """Tells the primary of the state's epoch that the state is durable, unless that epoch has been superseded."""
        state = self._state
        if state.accepted is not None and snapshot.epoch == state.promised and snapshot.epoch.number:
            state.send(snapshot.epoch.node, Accepted(snapshot.epoch, snapshot.sequence))

    def on_recover(self, sender: str, message: Recover) -> None:
        """Reports the promised epoch and the newest state, even if their write is not complete yet."""
        state = self._state
        if state.accepted is not None:
            state.send(sender, RecoverReply(message.nonce, state.promised, state.accepted))
