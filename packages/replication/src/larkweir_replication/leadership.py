"""One term of a primary, which orders commands, one at a time, and renews its lease by heartbeats."""

from __future__ import annotations

from collections import deque

import msgspec

from larkweir_replication.commands import ApplyChange, PendingCommand, evaluate
from larkweir_replication.confirmation import ConfirmationQueue
from larkweir_replication.effects import CommandFinished, CommandOutcome, ReadFinished
from larkweir_replication.leader_lease import LeaderLease
from larkweir_replication.member_tracker import MemberTracker
from larkweir_replication.membership import Step
from larkweir_replication.messages import (
    Accepted,
    Command,
    Epoch,
    Heartbeat,
    HeartbeatAck,
    Join,
    Leave,
    Snapshot,
    SnapshotRequest,
)
from larkweir_replication.state import ReplicaState
from larkweir_replication.state_replicator import StateReplicator
from larkweir_replication.timing import Timing

MAX_LEASES_WITHOUT_QUORUM = 3.0  # the term ends after this many lease durations without a quorum
MAX_GROWTH_WAIT_MS = 4_000.0  # how long commands wait for the group to reach its target size

PrimaryMessage = HeartbeatAck | Accepted | Join | Leave | SnapshotRequest


class Leadership:
    """One term as primary. It starts by replicating the state that it took over, under its own epoch."""

    def __init__(
        self, state: ReplicaState, timing: Timing, apply: ApplyChange, target_member_count: int, now_ms: float
    ) -> None:
        """`state`: its accepted state is the one taken over, and the write of that state has begun."""
        self._state = state
        self._timing = timing
        self._apply = apply
        self._target_member_count = target_member_count
        self._epoch = state.promised
        self._begun_ms = now_ms
        self._queue: deque[PendingCommand] = deque()
        self._confirmations = ConfirmationQueue()
        self._lease = LeaderLease(timing, now_ms)
        self._members = MemberTracker(state, timing, now_ms)
        self._replicator = StateReplicator(state, self._members)
        self._replicator.propose(state.newest(), None, now_ms, persist=False)

    # Time

    def tick(self, now_ms: float) -> bool:
        """Returns whether the term continues: a majority has replied recently, and this node is still a member."""
        if self._lease.is_heartbeat_due(now_ms):
            self._send_heartbeats(now_ms)
        self._replicator.resend(now_ms)
        self._change_members(now_ms)
        self._process_queue(now_ms)
        if self._replicator.proposal is None and not self._state.newest().has_member(self._state.node):
            return False
        silence_ms = now_ms - max(self._lease.granted_from_ms, self._begun_ms)
        max_silence_ms = MAX_LEASES_WITHOUT_QUORUM * self._timing.lease_duration_ms
        return silence_ms < max_silence_ms + self._replicator.transfer_ms()

    def is_lease_valid(self, now_ms: float) -> bool:
        """Whether no other primary can have been elected."""
        return self._lease.is_valid(now_ms)

    def _send_heartbeats(self, now_ms: float) -> None:
        number = self._lease.begin_round(now_ms)
        unreachable = self.unreachable_members(now_ms)
        message = Heartbeat(self._epoch, self._state.committed_sequence, number, unreachable)
        for node in self._members.recipients():
            self._state.send(node, message)
        self._lease.acknowledge(self._state.node, number)
        self._renew_lease()

    def _renew_lease(self) -> None:
        confirmed = self._lease.renew(self._state.newest())
        if confirmed is not None:
            for effect in self._confirmations.confirm(confirmed, self._state.committed):
                self._state.emit(effect)

    def unreachable_members(self, now_ms: float) -> tuple[str, ...]:
        """Members that have not been heard from recently, sorted by name."""
        return self._members.unreachable_members(now_ms)

    # Messages

    def receive(self, sender: str, message: PrimaryMessage, now_ms: float) -> None:
        """Handles a message to the primary; acknowledgements of another epoch are ignored."""
        match message:
            case HeartbeatAck():
                if message.epoch == self._state.promised:
                    self._on_heartbeat_ack(sender, message, now_ms)
            case Accepted():
                self.on_accepted(sender, message.epoch, message.sequence, now_ms)
            case Join():
                self._members.on_join(sender, now_ms)
                self._change_members(now_ms)
            case Leave():
                self.on_leave(sender, now_ms)
            case SnapshotRequest():
                if message.epoch == self._epoch:
                    self.send_newest_state(sender, now_ms)

    def _on_heartbeat_ack(self, node: str, ack: HeartbeatAck, now_ms: float) -> None:
        self._lease.acknowledge(node, ack.round)
        if ack.accepts_deltas:
            self._replicator.enable_deltas(node)
        self.on_accepted(node, ack.accepted, ack.sequence, now_ms)
        self._renew_lease()

    def on_accepted(self, node: str, epoch: Epoch, sequence: int, now_ms: float) -> None:
        """Handles the news that a state is durable at `node`, which may be this node."""
        self._members.on_contact(node, now_ms)
        proposal = self._replicator.on_accepted(node, epoch, sequence, now_ms)
        if proposal is None:
            return
        self._state.commit(proposal.snapshot)
        if proposal.ticket is not None:
            self._state.emit(CommandFinished(proposal.ticket, CommandOutcome.COMMITTED))
        self._send_heartbeats(now_ms)
        self._change_members(now_ms)
        self._process_queue(now_ms)

    def on_leave(self, node: str, now_ms: float) -> None:
        """Handles the request to leave of `node`, which may be this node."""
        self._members.on_leave(node, now_ms)
        self._change_members(now_ms)

    def on_reconnected(self, node: str) -> None:
        """Handles a new connection to `node`."""
        self._replicator.on_reconnected(node)

    def send_newest_state(self, node: str, now_ms: float) -> None:
        """Sends the newest state to a node that was removed while unreachable, so that the node requests to join."""
        self._replicator.send_newest(node, now_ms)

    # Commands and reads

    def submit(self, ticket: int, command: Command, now_ms: float) -> None:
        """Queues a command after the earlier ones."""
        self._queue.append(PendingCommand(ticket, command))
        self._process_queue(now_ms)

    def read(self, ticket: int, now_ms: float) -> None:
        """Returns the newest committed state through `ReadFinished` once a majority confirms this primary."""
        committed = self._state.committed
        if committed is None or committed.epoch != self._epoch:
            self._state.emit(ReadFinished(ticket, None))  # the state that was taken over is not committed yet
            return
        self._confirmations.add_read(self._lease.round + 1, ticket)
        self._send_heartbeats(now_ms)

    def _process_queue(self, now_ms: float) -> None:
        """Starts queued commands while no proposal is pending."""
        has_rejected = False
        while self._queue and self._replicator.proposal is None and self._can_accept_changes(now_ms):
            has_rejected |= self._start_command(self._queue.popleft(), now_ms)
        if has_rejected:
            self._send_heartbeats(now_ms)

    def _start_command(self, pending: PendingCommand, now_ms: float) -> bool:
        """Starts a command; returns whether it was rejected. The caller is notified once the primary is confirmed."""
        result = evaluate(self._state.newest(), pending, self._apply)
        if isinstance(result, Snapshot):
            self._replicator.propose(result, pending.ticket, now_ms)
            return False
        if result.outcome is CommandOutcome.REJECTED:
            self._confirmations.add_rejection(self._lease.round + 1, result)
            return True
        self._state.emit(result)
        return False

    def _can_accept_changes(self, now_ms: float) -> bool:
        """Whether the group has its target size, or has had enough time to reach it."""
        has_waited = now_ms >= self._begun_ms + MAX_GROWTH_WAIT_MS
        return len(self._state.newest().members) >= self._target_member_count or has_waited

    def abandon(self) -> None:
        """Ends the term: the outcome of all pending commands and reads is unknown."""
        state, proposal = self._state, self._replicator.proposal
        if proposal is not None and proposal.ticket is not None:
            state.emit(CommandFinished(proposal.ticket, CommandOutcome.UNKNOWN))
        for pending in self._queue:
            state.emit(CommandFinished(pending.ticket, CommandOutcome.UNKNOWN))
        for effect in self._confirmations.abandon():
            state.emit(effect)

    # Members

    def _change_members(self, now_ms: float) -> None:
        """Proposes the next step of a change of members; each step is committed before the next one."""
        self._members.drop_expired_requests(now_ms)
        if self._replicator.proposal is not None:
            return
        step = self._members.next_step(self._target_member_count, now_ms)
        if step is not None:
            self._propose_members(step, now_ms)

    def _propose_members(self, step: Step, now_ms: float) -> None:
        current = self._state.newest()
        following = msgspec.structs.replace(
            current,
            sequence=current.sequence + 1,
            members=step.members,
            previous_members=step.previous_members,
        )
        self._replicator.propose(following, None, now_ms)
