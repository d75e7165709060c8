"""What a replica does while it is the primary: one change at a time to a majority of disks, leases, members."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err

from larkweir_replication.effects import CommandFinished, CommandOutcome, ReadFinished, Send
from larkweir_replication.membership import Candidates, Step, next_step
from larkweir_replication.messages import (
    AppliedCommand,
    Command,
    Epoch,
    Heartbeat,
    HeartbeatAck,
    Message,
    Replicate,
    Snapshot,
)

if TYPE_CHECKING:
    from larkweir_replication.replica import Replica

MAX_APPLIED_COMMANDS = 8_192  # commands that are remembered, to acknowledge them again: more than a day has
RESEND_INTERVAL_MS = 300.0  # a state that is not acknowledged is sent again
TRANSFER_BYTES_PER_MS = 2_000  # after this much more for a large one: what a slow link and disk take in
MAX_LEASES_WITHOUT_QUORUM = 3.0  # without an answer of a majority for so many leases, a term ends
REQUEST_EXPIRY_INTERVALS = 3.0  # intervals after which a node that has not asked again is forgotten
MAX_GROWTH_WAIT_MS = 4_000.0  # changes wait so long for a group of the wanted size


@dataclass(frozen=True, slots=True)
class _PendingCommand:
    ticket: int
    command: Command


@dataclass(slots=True)
class _Proposal:
    """A state on its way to a majority of disks; `ticket` is that of the change that made it, if one did."""

    snapshot: Snapshot
    ticket: int | None
    accepted: set[str]


@dataclass(frozen=True, slots=True)
class _AwaitingConfirmation:
    """An answer that holds only if this was still the primary after `round` was sent."""

    round: int
    decided: CommandFinished | None
    read: int | None


class Leadership:
    """The state of one term as primary. It begins by replicating what it took over under its own epoch."""

    def __init__(self, replica: Replica, now_ms: float) -> None:
        assert replica.accepted is not None
        self._replica = replica
        self._timing = replica.timing
        self._epoch = replica.promised
        self._begun_ms = now_ms
        self._queue: deque[_PendingCommand] = deque()
        self._awaiting_confirmation: deque[_AwaitingConfirmation] = deque()
        self._proposal: _Proposal | None = None
        self._round = 0
        self._round_sent_ms: dict[int, float] = {}
        self._acked_rounds: dict[str, int] = {}
        self._last_contact_ms: dict[str, float] = {}
        self._sent_ms: dict[str, float] = {}
        self._lease_from_ms = now_ms - self._timing.lease_duration_ms
        self._next_heartbeat_ms = now_ms
        self._standby_nodes: dict[str, float] = {}  # nodes that are no members, by when they asked last
        self._leaving_nodes: dict[str, float] = {}  # the same of nodes that are about to end
        self._propose(replica.accepted, None, now_ms, persist=False)

    # Time

    def tick(self, now_ms: float) -> bool:
        """False once the term should end: no majority has answered for long, or this node is no member any more."""
        if now_ms >= self._next_heartbeat_ms:
            self._heartbeat(now_ms)
        self._resend(now_ms)
        self._change_members(now_ms)
        self._process_queue(now_ms)
        if self._is_removed():
            return False
        silent_ms = now_ms - max(self._lease_from_ms, self._begun_ms)
        return silent_ms < MAX_LEASES_WITHOUT_QUORUM * self._timing.lease_duration_ms + self._transfer_ms()

    def _transfer_ms(self) -> float:
        """How long a state under way may hold up the heartbeats behind it."""
        return 0.0 if self._proposal is None else self._proposal.snapshot.size_bytes / TRANSFER_BYTES_PER_MS

    def _is_removed(self) -> bool:
        """Whether a group without this node has been committed."""
        current = self._replica.accepted
        assert current is not None
        return self._proposal is None and self._replica.node not in (
            *current.members,
            *current.previous_members,
        )

    def is_lease_valid(self, now_ms: float) -> bool:
        """Whether no other can have been elected: the majority's lease, less a margin."""
        return now_ms < self._lease_from_ms + self._timing.lease_duration_ms - self._timing.lease_margin_ms

    def _heartbeat(self, now_ms: float) -> None:
        self._round += 1
        self._round_sent_ms[self._round] = now_ms
        for old in [one for one in self._round_sent_ms if one < self._round - 64]:
            del self._round_sent_ms[old]
        self._next_heartbeat_ms = now_ms + self._timing.heartbeat_interval_ms
        committed = self._replica.committed
        message = Heartbeat(self._epoch, committed.sequence if committed else -1, self._round)
        for node in self._recipients():
            self._send(node, message)
        self._acked_rounds[self._replica.node] = self._round
        self._count_rounds(now_ms)

    def on_heartbeat_ack(self, node: str, ack: HeartbeatAck, now_ms: float) -> None:
        """A member grants the lease from when that round was sent, and tells what it has on disk."""
        self._last_contact_ms[node] = now_ms
        self._acked_rounds[node] = max(ack.round, self._acked_rounds.get(node, 0))
        self.accepted(node, ack.accepted, ack.sequence, now_ms)
        self._count_rounds(now_ms)

    def _count_rounds(self, now_ms: float) -> None:
        """Finds the newest round that a majority has acknowledged: it renews the lease and confirms answers."""
        snapshot = self._replica.accepted
        assert snapshot is not None
        for number in sorted(set(self._acked_rounds.values()), reverse=True):
            nodes = {node for node, acked in self._acked_rounds.items() if acked >= number}
            if snapshot.has_quorum(nodes):
                sent_ms = self._round_sent_ms.get(number, self._lease_from_ms)
                self._lease_from_ms = max(self._lease_from_ms, sent_ms)
                self._confirm(number)
                return

    # Replication

    def _propose(self, snapshot: Snapshot, ticket: int | None, now_ms: float, persist: bool = True) -> None:
        self._replica.accepted = snapshot
        self._proposal = _Proposal(snapshot, ticket, set())
        if persist:
            self._replica._persist()
        for node in self._recipients():
            self._replicate(node, snapshot, now_ms)

    def _recipients(self) -> list[str]:
        """All that are to know the newest state: members, and whoever stands by or waits to be let go."""
        return sorted(
            {*self._replica.other_members(), *self._standby_nodes, *self._leaving_nodes}
            - {self._replica.node}
        )

    def _replicate(self, node: str, snapshot: Snapshot, now_ms: float) -> None:
        committed = self._replica.committed
        self._sent_ms[node] = now_ms
        self._send(node, Replicate(snapshot, committed.sequence if committed else -1))

    def _resend(self, now_ms: float) -> None:
        if self._proposal is None:
            return
        self._replica.persist_if_missing(
            self._proposal.snapshot
        )  # a disk that was full has refused it, perhaps
        for node in self._recipients():
            if node not in self._proposal.accepted and self._can_resend(node, now_ms):
                self._replicate(node, self._proposal.snapshot, now_ms)

    def _can_resend(self, node: str, now_ms: float) -> bool:
        current = self._replica.accepted
        assert current is not None
        sent_ms = self._sent_ms.get(node)
        return (
            sent_ms is None
            or now_ms >= sent_ms + RESEND_INTERVAL_MS + current.size_bytes / TRANSFER_BYTES_PER_MS
        )

    def on_reconnected(self, node: str) -> None:
        """A new connection to that node: what was sent on the one before may not have arrived."""
        self._sent_ms.pop(node, None)

    def accepted(self, node: str, epoch: Epoch, sequence: int, now_ms: float) -> None:
        """A member has that state on disk."""
        self._last_contact_ms[node] = now_ms
        current = self._replica.accepted
        assert current is not None
        if (epoch, sequence) != current.rank:
            behind = (epoch, sequence) < current.rank and node != self._replica.node
            if behind and self._can_resend(node, now_ms):
                self._replicate(node, current, now_ms)
            return
        proposal = self._proposal
        if proposal is None:
            return
        proposal.accepted.add(node)
        if proposal.snapshot.has_quorum(proposal.accepted):
            self._proposal = None
            self._replica.commit(proposal.snapshot)
            if proposal.ticket is not None:
                self._replica.effects.append(CommandFinished(proposal.ticket, CommandOutcome.COMMITTED))
            self._heartbeat(now_ms)
            self._change_members(now_ms)
            self._process_queue(now_ms)

    def send_newest_state(self, node: str, now_ms: float) -> None:
        """Tells the newest state to a node that was taken out while it was away, so that it asks to join."""
        assert self._replica.accepted is not None
        self._replicate(node, self._replica.accepted, now_ms)

    # Changes and reads

    def submit(self, ticket: int, command: Command, now_ms: float) -> None:
        """Queues a command behind those before it."""
        self._queue.append(_PendingCommand(ticket, command))
        self._process_queue(now_ms)

    def read(self, ticket: int, now_ms: float) -> None:
        """Answers with the newest value once a majority confirms that this is the primary still."""
        if self._replica.committed is None or self._replica.committed.epoch != self._epoch:
            self._replica.effects.append(
                ReadFinished(ticket, None)
            )  # the state taken over is not committed yet
            return
        self._awaiting_confirmation.append(_AwaitingConfirmation(self._round + 1, None, ticket))
        self._heartbeat(now_ms)

    def _process_queue(self, now_ms: float) -> None:
        """Takes up waiting commands while no state is on its way."""
        refused = False
        while self._queue and self._proposal is None and self._can_accept_changes(now_ms):
            submitted = self._queue.popleft()
            refused |= self._start_command(submitted, now_ms)
        if refused:
            self._heartbeat(now_ms)

    def _start_command(self, submitted: _PendingCommand, now_ms: float) -> bool:
        """Whether it is refused, which holds once a majority has confirmed that this is still the primary."""
        ticket, command = submitted.ticket, submitted.command
        current = self._replica.accepted
        assert current is not None
        if AppliedCommand(command.base, command.identity) in current.applied_commands:
            self._replica.effects.append(CommandFinished(ticket, CommandOutcome.COMMITTED))
            return False
        outcome = self._replica.apply(current.value, command.text)
        if not isinstance(outcome, Err):
            self._propose(_with_command_applied(current, outcome.ok_value, command), ticket, now_ms)
            return False
        if command.base <= current.latest_forgotten_base:
            self._replica.effects.append(CommandFinished(ticket, CommandOutcome.TOO_OLD))
            return False
        decided = CommandFinished(ticket, CommandOutcome.REJECTED, outcome.err_value)
        self._awaiting_confirmation.append(_AwaitingConfirmation(self._round + 1, decided, None))
        return True

    def _can_accept_changes(self, now_ms: float) -> bool:
        current = self._replica.accepted
        assert current is not None
        waited = now_ms >= self._begun_ms + MAX_GROWTH_WAIT_MS
        return len(current.members) >= self._replica.target_member_count or waited

    def _confirm(self, number: int) -> None:
        while self._awaiting_confirmation and self._awaiting_confirmation[0].round <= number:
            answer = self._awaiting_confirmation.popleft()
            if answer.decided is not None:
                self._replica.effects.append(answer.decided)
            if answer.read is not None:
                self._replica.effects.append(ReadFinished(answer.read, self._replica.committed))

    def abandon(self) -> None:
        """The term is over: whoever waits is told that the outcome is unknown."""
        effects = self._replica.effects
        if self._proposal is not None and self._proposal.ticket is not None:
            effects.append(CommandFinished(self._proposal.ticket, CommandOutcome.UNKNOWN))
        effects.extend(CommandFinished(submitted.ticket, CommandOutcome.UNKNOWN) for submitted in self._queue)
        for answer in self._awaiting_confirmation:
            if answer.decided is not None:
                effects.append(CommandFinished(answer.decided.ticket, CommandOutcome.UNKNOWN))
            if answer.read is not None:
                effects.append(ReadFinished(answer.read, None))

    # Members

    def on_join(self, node: str, now_ms: float) -> None:
        """A replica with a recovered memory would be a member."""
        self._standby_nodes[node] = now_ms
        self._change_members(now_ms)

    def leaving(self, node: str, now_ms: float) -> None:
        """A node is about to end."""
        self._leaving_nodes[node] = now_ms
        self._change_members(now_ms)

    def _change_members(self, now_ms: float) -> None:
        """One step of a change of members at a time, each committed before the next."""
        self._drop_expired_requests(now_ms)
        current = self._replica.accepted
        assert current is not None
        if self._proposal is not None:
            return
        candidates = Candidates(
            standing_by=list(self._standby_nodes),
            leaving=list(self._leaving_nodes),
            lost=self._silent(current, self._timing.replace_after_silence_ms, now_ms),
            gone=self._silent(current, self._timing.remove_after_silence_ms, now_ms),
        )
        step = next_step(current, self._replica.target_member_count, self._replica.node, candidates)
        if step is not None:
            self._propose_members(step, now_ms)

    def _drop_expired_requests(self, now_ms: float) -> None:
        """Those that have not asked again for long, and newcomers that have become members."""
        current = self._replica.accepted
        assert current is not None
        for node, asked_ms in list(self._standby_nodes.items()):
            if (
                node in current.members
                or now_ms > asked_ms + REQUEST_EXPIRY_INTERVALS * self._timing.join_interval_ms
            ):
                del self._standby_nodes[node]
        for node, asked_ms in list(self._leaving_nodes.items()):
            if now_ms > asked_ms + REQUEST_EXPIRY_INTERVALS * self._timing.leave_interval_ms:
                del self._leaving_nodes[node]

    def _silent(self, current: Snapshot, for_ms: float, now_ms: float) -> list[str]:
        """Members not heard for so long, the longest first."""
        heard = {node: self._last_contact_ms.get(node, self._begun_ms) for node in current.members}
        heard.pop(self._replica.node, None)
        silent = [node for node, when_ms in heard.items() if now_ms >= when_ms + for_ms]
        return sorted(silent, key=lambda node: heard[node])

    def _propose_members(self, step: Step, now_ms: float) -> None:
        current = self._replica.accepted
        assert current is not None
        following = msgspec.structs.replace(
            current,
            sequence=current.sequence + 1,
            members=step.members,
            previous_members=step.previous_members,
        )
        self._propose(following, None, now_ms)

    def _send(self, node: str, message: Message) -> None:
        self._replica.effects.append(Send(node, message))


def _with_command_applied(current: Snapshot, value: str, command: Command) -> Snapshot:
    """The next state: that value, and the command among those that were carried out."""
    taken = (*current.applied_commands, AppliedCommand(command.base, command.identity))
    dropped, kept = taken[:-MAX_APPLIED_COMMANDS], taken[-MAX_APPLIED_COMMANDS:]
    latest_forgotten_base = max((current.latest_forgotten_base, *(one.base for one in dropped)))
    return msgspec.structs.replace(
        current,
        sequence=current.sequence + 1,
        value=value,
        applied_commands=kept,
        latest_forgotten_base=latest_forgotten_base,
    )
