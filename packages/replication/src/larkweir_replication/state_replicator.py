"""Replicates the primary's newest state to a majority of disks, one state at a time.

This is phase 2 of Paxos (Lamport 2001) for the state as a whole: there is no log of commands. A node whose disk has the
previous state is sent a delta; a repeated transmission always carries the whole state.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from larkweir_replication.member_tracker import MemberTracker
from larkweir_replication.messages import Epoch, Replicate, ReplicateDelta, Snapshot, SnapshotDelta
from larkweir_replication.snapshot_delta import make_delta
from larkweir_replication.state import ReplicaState

RESEND_INTERVAL_MS = 300.0  # an unacknowledged state is sent again after this long
TRANSFER_BYTES_PER_MS = 2_000  # assumed throughput of a slow link and disk; large states get more time


@dataclass(slots=True)
class Proposal:
    """A state that is not committed yet; `ticket` identifies the command that led to it, None if no command did."""

    snapshot: Snapshot
    ticket: int | None
    accepted_by: set[str] = field(default_factory=set)


class StateReplicator:
    """Sends a state until a majority has it on disk."""

    def __init__(self, state: ReplicaState, members: MemberTracker) -> None:
        """`members`: determines which nodes the states are sent to."""
        self._state = state
        self._members = members
        self._sent_ms: dict[str, float] = {}  # by node
        self._durable_ranks: dict[str, tuple[Epoch, int]] = {}  # by node, as it last reported
        self._accepts_deltas: set[str] = set()
        self._delta: SnapshotDelta | None = None  # from the previous state to the newest one
        self.proposal: Proposal | None = None

    def propose(self, snapshot: Snapshot, ticket: int | None, now_ms: float, *, persist: bool = True) -> None:
        """Accepts the state here and sends it to all recipients. `persist`: False if the local write has begun."""
        base = self._state.newest()
        self._delta = make_delta(base, snapshot) if self._accepts_deltas and base is not snapshot else None
        self._state.accepted = snapshot
        self.proposal = Proposal(snapshot, ticket)
        if persist:
            self._state.persist()
        for node in self._members.recipients():
            if self._delta is not None and self._has_base(node, self._delta):
                self._sent_ms[node] = now_ms
                self._state.send(node, ReplicateDelta(self._delta, self._state.committed_sequence))
            else:
                self._replicate(node, snapshot, now_ms)

    def _has_base(self, node: str, delta: SnapshotDelta) -> bool:
        return node in self._accepts_deltas and self._durable_ranks.get(node) == delta.base_rank

    def enable_deltas(self, node: str) -> None:
        """Records that `node` accepts deltas."""
        self._accepts_deltas.add(node)

    def send_newest(self, node: str, now_ms: float) -> None:
        """Sends the newest state to a node, even if the node already has it."""
        self._replicate(node, self._state.newest(), now_ms)

    def resend(self, now_ms: float) -> None:
        """Repeats the proposal to nodes that have not acknowledged it in time, and the local write if it failed."""
        if self.proposal is None:
            return
        self._state.persist_if_missing(self.proposal.snapshot)
        for node in self._members.recipients():
            if node not in self.proposal.accepted_by and self._can_resend(node, now_ms):
                self._replicate(node, self.proposal.snapshot, now_ms)

    def on_reconnected(self, node: str) -> None:
        """Handles a new connection to `node`: messages on the previous one may have been lost."""
        self._sent_ms.pop(node, None)
        self._durable_ranks.pop(node, None)

    def on_accepted(self, node: str, epoch: Epoch, sequence: int, now_ms: float) -> Proposal | None:
        """Counts a state that is durable at `node`; sends the newest state to a node that is behind.

        Returns the proposal if a majority has it now, else None.
        """
        self._durable_ranks[node] = (epoch, sequence)
        newest = self._state.newest()
        if (epoch, sequence) != newest.rank:
            is_behind = (epoch, sequence) < newest.rank and node != self._state.node
            if is_behind and self._can_resend(node, now_ms):
                self._replicate(node, newest, now_ms)
            return None
        proposal = self.proposal
        if proposal is None:
            return None
        proposal.accepted_by.add(node)
        if not proposal.snapshot.has_quorum(proposal.accepted_by):
            return None
        self.proposal = None
        return proposal

    def transfer_ms(self) -> float:
        """How long the transfer of a pending proposal may delay the heartbeats queued behind it."""
        return 0.0 if self.proposal is None else self.proposal.snapshot.size_bytes / TRANSFER_BYTES_PER_MS

    def _can_resend(self, node: str, now_ms: float) -> bool:
        sent_ms = self._sent_ms.get(node)
        transfer_ms = self._state.newest().size_bytes / TRANSFER_BYTES_PER_MS
        return sent_ms is None or now_ms >= sent_ms + RESEND_INTERVAL_MS + transfer_ms

    def _replicate(self, node: str, snapshot: Snapshot, now_ms: float) -> None:
        self._sent_ms[node] = now_ms
        self._state.send(node, Replicate(snapshot, self._state.committed_sequence))
