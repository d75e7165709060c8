"""One replica of the value: elections, replication and recovery as rules without I/O.

Safety rests on epochs alone. A primary has the promise of a majority for its epoch; a state is committed once a
majority has it on disk under that epoch; any two majorities share a member. The lease only keeps elections away
from a primary that lives, and singleton duties with one holder.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from random import Random

import msgspec
from result import Result

from larkweir_replication.effects import Committed, Effect, Persist, Send
from larkweir_replication.leadership import Leadership
from larkweir_replication.messages import (
    NO_EPOCH,
    Accepted,
    Command,
    DurableState,
    Epoch,
    Heartbeat,
    HeartbeatAck,
    Join,
    Leave,
    Message,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    Recover,
    RecoverReply,
    Replicate,
    Resign,
    Snapshot,
    StaleEpoch,
)
from larkweir_replication.recovery import Recovery
from larkweir_replication.timing import Timing

Apply = Callable[[str, str], Result[str, object]]
"""The value and a change to the next value, or the reason why the change is refused."""


class ReplicaStatus(Enum):
    """What a replica is doing; `Replica._become` is the one place where it changes."""

    RECOVERING = "recovering"  # its disk tells nothing: no vote yet
    FOLLOWER = "follower"
    PRE_CANDIDATE = "canvassing"
    CANDIDATE = "candidate"
    PRIMARY = "primary"


class Replica:
    """Messages, time and the disk's answers in; `take_effects` gives what is to be done."""

    def __init__(
        self,
        node: str,
        apply: Apply,
        rng: Random,
        now_ms: float,
        *,
        stored_state: DurableState | None,
        first_members: tuple[str, ...] | None,
        known_nodes: Iterable[str],
        target_member_count: int,
        timing: Timing | None = None,
        process_start_ms: float | None = None,
    ) -> None:
        """Starts from what the disk holds.

        `stored_state`: the newest durable state, None where the disk has none. `first_members`: the group at the very
        first start, else None. `known_nodes`: nodes to ask while there is no member list. `target_member_count`:
        changes wait until the group has so many members. `process_start_ms`: when this process began, where that is
        known to be before `now_ms` (a lease may have been granted since).
        """
        self.node = node
        self.apply = apply
        self.rng = rng
        self.timing = timing or Timing()
        self.target_member_count = target_member_count
        self.known_nodes = set(known_nodes) | {node}
        self.effects: list[Effect] = []
        self.promised: Epoch = NO_EPOCH
        self.accepted: Snapshot | None = None
        self.committed: Snapshot | None = None
        self.primary: str | None = None  # whom this replica follows, itself included
        self.leadership: Leadership | None = None  # while it is the primary
        self.is_leaving = False
        self.status = ReplicaStatus.RECOVERING
        self._durable = DurableState(NO_EPOCH, None)
        self._writes: dict[int, DurableState] = {}
        self._token = 0
        # From the primary; a start counts, since a lease may have been granted before it.
        self._last_contact_ms = now_ms if process_start_ms is None else process_start_ms
        self._deadline_ms = now_ms
        self._last_request_ms = now_ms
        self._last_join_ms = now_ms
        self._last_leave_ms = now_ms - self.timing.leave_interval_ms
        self._round = 0
        self._grants: set[str] = set()
        self._promises: dict[str, Snapshot | None] = {}
        self._recovery = Recovery(node, rng)
        self._start(stored_state, first_members, now_ms if process_start_ms is None else process_start_ms)
        self._deadline_ms = max(
            self._deadline_ms, now_ms + self.timing.connect_grace_ms * (1.0 + rng.random())
        )

    def _start(
        self, stored_state: DurableState | None, first_members: tuple[str, ...] | None, now_ms: float
    ) -> None:
        if stored_state is not None and stored_state.snapshot is not None:
            self.promised, self.accepted, self._durable = (
                stored_state.promised,
                stored_state.snapshot,
                stored_state,
            )
            self.known_nodes.update(stored_state.snapshot.members)
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        elif first_members is not None and self.node in first_members:
            self.accepted = Snapshot(NO_EPOCH, 0, first_members)
            self._persist()
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        else:
            self._become(ReplicaStatus.RECOVERING, now_ms)

    # Time and the disk

    def tick(self, now_ms: float) -> None:
        """To be called every few tens of milliseconds."""
        if self.is_leaving:
            self._request_leave(now_ms)
        match self.status:
            case ReplicaStatus.RECOVERING:
                self._request_recovery(now_ms)
            case ReplicaStatus.PRIMARY:
                assert self.leadership is not None
                if not self.leadership.tick(now_ms):
                    self.resign(now_ms)
            case ReplicaStatus.FOLLOWER:
                self._follow(now_ms)
            case ReplicaStatus.PRE_CANDIDATE | ReplicaStatus.CANDIDATE:
                self._campaign(now_ms)

    def on_persisted(self, token: int, now_ms: float) -> None:
        """The record of that `Persist`, and all before it, will be found after a loss of power."""
        durable = self._writes.pop(token, None)
        if durable is None:
            return
        for earlier in [other for other in self._writes if other < token]:
            del self._writes[earlier]
        if self.status is ReplicaStatus.RECOVERING:
            self._durable = durable
            self._become(ReplicaStatus.FOLLOWER, now_ms)
            return
        before, self._durable = self._durable, durable
        if durable.promised > before.promised:
            self._promise_is_durable(durable.promised, now_ms)
        if durable.snapshot is not None and durable.snapshot != before.snapshot:
            self._snapshot_is_durable(durable.snapshot, now_ms)

    def on_persist_failed(self, token: int) -> None:
        """The disk refused the record, and all before it: what waited for them stays unanswered until asked again."""
        for refused in [one for one in self._writes if one <= token]:
            del self._writes[refused]

    def persist_if_missing(self, snapshot: Snapshot) -> None:
        """Writes that state where it is neither on the disk nor on its way there."""
        if self._durable.snapshot != snapshot and not self._is_writing(snapshot):
            self._persist()

    def _is_writing(self, snapshot: Snapshot) -> bool:
        return any(write.snapshot == snapshot for write in self._writes.values())

    def _persist(self) -> None:
        self._token += 1
        durable = DurableState(self.promised, self.accepted)
        self._writes[self._token] = durable
        self.effects.append(Persist(self._token, durable))

    def _promise_is_durable(self, epoch: Epoch, now_ms: float) -> None:
        if epoch != self.promised or epoch.number == 0:
            return
        if epoch.node == self.node:
            self._count_promise(self.node, self.accepted, now_ms)
        elif self.accepted is None or self.accepted.epoch != epoch:
            self._send(epoch.node, Promise(epoch, self.accepted))

    def _snapshot_is_durable(self, snapshot: Snapshot, now_ms: float) -> None:
        if self.leadership is not None:
            self.leadership.accepted(self.node, snapshot.epoch, snapshot.sequence, now_ms)
        elif self.accepted is not None and snapshot.epoch == self.promised and snapshot.epoch.number:
            self._send(snapshot.epoch.node, Accepted(snapshot.epoch, snapshot.sequence))

    # States

    def _become(self, status: ReplicaStatus, now_ms: float) -> None:
        """The one change of state: what the new state needs is set up here."""
        if self.leadership is not None and status is not ReplicaStatus.PRIMARY:
            self.leadership.abandon()
            self.leadership = None
            if self.primary == self.node:
                self.primary = None
        self.status = status
        match status:
            case ReplicaStatus.FOLLOWER:
                self._deadline_ms = now_ms + self._election_ms()
            case ReplicaStatus.PRE_CANDIDATE:
                self._round += 1
                self._grants = {self.node}
                self.primary = None
                self._deadline_ms = now_ms + self.timing.campaign_timeout_ms
            case ReplicaStatus.CANDIDATE:
                self._promises = {}
                self._deadline_ms = now_ms + self.timing.campaign_timeout_ms * (1.0 + self.rng.random())
            case ReplicaStatus.PRIMARY:
                assert self.accepted is not None
                self.primary = self.node
                self.leadership = Leadership(self, now_ms)
            case ReplicaStatus.RECOVERING:
                self._deadline_ms = now_ms

    def _election_ms(self) -> float:
        penalty_ms = self.timing.leaving_election_delay_ms if self.is_leaving else 0.0
        return (
            self.timing.election_timeout_ms
            + self.timing.election_timeout_spread_ms * self.rng.random()
            + penalty_ms
        )

    def step_down(self, now_ms: float) -> None:
        """Stops being the primary or a candidate; the same node may be elected again."""
        if self.status in (ReplicaStatus.PRIMARY, ReplicaStatus.CANDIDATE, ReplicaStatus.PRE_CANDIDATE):
            self._become(ReplicaStatus.FOLLOWER, now_ms)

    def resign(self, now_ms: float) -> None:
        """Gives the lease back, so that another is elected at once."""
        if self.leadership is not None:
            for node in self.other_members():
                self._send(node, Resign(self.promised))
            self.step_down(now_ms)

    def leave(self, now_ms: float) -> None:
        """Prepares a planned end: others lead, and where one stands by it takes this node's place first.

        Until `has_left`, or until the caller has waited for long enough, the node goes on as a member.
        """
        self.is_leaving = True
        self.resign(now_ms)

    @property
    def has_left(self) -> bool:
        """Whether another has taken its place, so that its end is no loss."""
        committed = self.committed
        return committed is not None and self.node not in (*committed.members, *committed.previous_members)

    def _request_leave(self, now_ms: float) -> None:
        if now_ms < self._last_leave_ms + self.timing.leave_interval_ms or self.has_left:
            return
        self._last_leave_ms = now_ms
        if self.leadership is not None:
            self.leadership.leaving(self.node, now_ms)
        for node in self.other_members():
            self._send(node, Leave())

    def on_partial_message(self, node: str, now_ms: float) -> None:
        """A message of that node is arriving, too large to be whole yet: its heartbeats are behind it."""
        if node == self.primary and self.status is ReplicaStatus.FOLLOWER:
            self._last_contact_ms = now_ms
            self._deadline_ms = max(self._deadline_ms, now_ms + self._election_ms())

    def on_reconnected(self, node: str) -> None:
        """There is a new connection to that node."""
        if self.leadership is not None:
            self.leadership.on_reconnected(node)

    def other_members(self) -> list[str]:
        """All members, also those before a change that is under way, but this node."""
        if self.accepted is None:
            return []
        members = set(self.accepted.members) | set(self.accepted.previous_members)
        return sorted(members - {self.node})

    @property
    def is_member(self) -> bool:
        """Whether its vote counts, as far as it knows."""
        return self.accepted is not None and self.node in self.accepted.members

    def _follow(self, now_ms: float) -> None:
        if not self.is_member:
            if not self.is_leaving and now_ms >= self._last_join_ms + self.timing.join_interval_ms:
                self._last_join_ms = now_ms
                for node in sorted(self.known_nodes - {self.node}):
                    self._send(node, Join())
            return
        if now_ms < self._deadline_ms:
            return
        self._become(ReplicaStatus.PRE_CANDIDATE, now_ms)
        self._request_votes(now_ms)
        self._count_grant(self.node, now_ms)

    # Messages

    def receive(self, sender: str, message: Message, now_ms: float) -> None:
        """Takes one message; those of a life or an epoch that is over change nothing."""
        if self.status is ReplicaStatus.RECOVERING:
            if isinstance(message, RecoverReply):
                self._on_recover_reply(sender, message, now_ms)
            return
        match message:
            case Heartbeat():
                self._on_heartbeat(sender, message, now_ms)
            case HeartbeatAck():
                if self.leadership is not None and message.epoch == self.promised:
                    self.leadership.on_heartbeat_ack(sender, message, now_ms)
            case Replicate():
                self._on_replicate(sender, message, now_ms)
            case Accepted():
                if self.leadership is not None:
                    self.leadership.accepted(sender, message.epoch, message.sequence, now_ms)
            case PreVote():
                self._on_pre_vote(sender, message, now_ms)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message, now_ms)
            case Prepare():
                self._on_prepare(sender, message, now_ms)
            case Promise():
                if self.status is ReplicaStatus.CANDIDATE and message.epoch == self.promised:
                    self._count_promise(sender, message.snapshot, now_ms)
            case StaleEpoch():
                if message.promised > self.promised:
                    self.promised = message.promised
                    self.step_down(now_ms)
            case Resign():
                if message.epoch == self.promised and self.primary == sender:
                    self.primary = None
                    self._last_contact_ms = now_ms - self.timing.lease_duration_ms
                    if not self.is_leaving:
                        self._deadline_ms = now_ms + self.timing.heartbeat_interval_ms * self.rng.random()
            case Recover():
                self._on_recover(sender, message)
            case Join():
                if self.leadership is not None:
                    self.leadership.on_join(sender, now_ms)
            case Leave():
                if self.leadership is not None:
                    self.leadership.leaving(sender, now_ms)
            case RecoverReply():
                pass  # late: the memory has been recovered

    def _send(self, node: str, message: Message) -> None:
        self.effects.append(Send(node, message))

    def take_effects(self) -> list[Effect]:
        """What is to be done since the last call, in order."""
        taken, self.effects = self.effects, []
        return taken

    # Following

    def _raise_promise(self, epoch: Epoch, now_ms: float) -> None:
        if epoch > self.promised:
            self.promised = epoch
            self.step_down(now_ms)

    def _on_primary_contact(self, sender: str, epoch: Epoch, now_ms: float) -> None:
        self._raise_promise(epoch, now_ms)
        if self.status in (ReplicaStatus.PRE_CANDIDATE, ReplicaStatus.CANDIDATE):
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        self.primary = sender
        self._last_contact_ms = now_ms
        self._deadline_ms = now_ms + self._election_ms()

    def _on_heartbeat(self, sender: str, message: Heartbeat, now_ms: float) -> None:
        if message.epoch < self.promised:
            self._send(sender, StaleEpoch(self.promised))
            return
        self._on_primary_contact(sender, message.epoch, now_ms)
        accepted = self.accepted
        if (
            accepted is not None
            and accepted.epoch == message.epoch
            and accepted.sequence <= message.committed
        ):
            self.commit(accepted)
        durable = self._durable.snapshot
        epoch, sequence = durable.rank if durable is not None else (NO_EPOCH, -1)
        self._send(sender, HeartbeatAck(message.epoch, message.round, epoch, sequence))

    def _on_replicate(self, sender: str, message: Replicate, now_ms: float) -> None:
        snapshot = message.snapshot
        if snapshot.epoch < self.promised:
            self._send(sender, StaleEpoch(self.promised))
            return
        self._on_primary_contact(sender, snapshot.epoch, now_ms)
        if self.accepted is not None and snapshot.rank < self.accepted.rank:
            return
        self.accepted = snapshot
        self.known_nodes.update(snapshot.members)
        if self._durable.snapshot == snapshot:
            self._send(sender, Accepted(snapshot.epoch, snapshot.sequence))
        else:
            self.persist_if_missing(snapshot)
        if snapshot.sequence <= message.committed:
            self.commit(snapshot)

    def commit(self, snapshot: Snapshot) -> None:
        """That snapshot is on a majority of disks; told once, and never back."""
        before = self.committed
        if before is None or snapshot.rank > before.rank:
            self.committed = snapshot
        if before is None or snapshot.sequence > before.sequence:
            self.effects.append(Committed(snapshot))

    # Elections

    def _is_lease_valid(self, now_ms: float) -> bool:
        if self.leadership is not None:
            return self.leadership.is_lease_valid(now_ms)
        return now_ms < self._last_contact_ms + self.timing.lease_duration_ms

    def _campaign(self, now_ms: float) -> None:
        """Asks again those who may not have heard, until it is over."""
        if now_ms >= self._deadline_ms:
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        elif now_ms >= self._last_request_ms + self.timing.heartbeat_interval_ms:
            self._request_votes(now_ms)

    def _request_votes(self, now_ms: float) -> None:
        self._last_request_ms = now_ms
        if (
            self.status is ReplicaStatus.PRE_CANDIDATE
        ):  # also those that are no members, as one of them may be the primary
            for node in sorted({*self.other_members(), *self.known_nodes} - self._grants - {self.node}):
                self._send(node, PreVote(self._round))
        for node in self.other_members():
            if self.status is ReplicaStatus.CANDIDATE and node not in self._promises:
                self._send(node, Prepare(self.promised))

    def _on_pre_vote(self, sender: str, message: PreVote, now_ms: float) -> None:
        granted = not self._is_lease_valid(now_ms)
        members = self.accepted.members if self.accepted is not None else ()
        self._send(sender, PreVoteReply(message.round, granted, self.promised, members))
        if self.leadership is not None and sender not in self.other_members():
            self.leadership.send_newest_state(sender, now_ms)

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply, now_ms: float) -> None:
        self.known_nodes.update(message.members)
        if self.status is not ReplicaStatus.PRE_CANDIDATE or message.round != self._round:
            return
        if message.promised > self.promised:
            self.promised = message.promised
        if message.granted:
            self._count_grant(sender, now_ms)

    def _count_grant(self, node: str, now_ms: float) -> None:
        assert self.accepted is not None
        self._grants.add(node)
        if not self.accepted.has_quorum(self._grants):
            return
        self._become(ReplicaStatus.CANDIDATE, now_ms)
        self.promised = Epoch(self.promised.number + 1, self.node)
        self._persist()
        self._request_votes(now_ms)

    def _on_prepare(self, sender: str, message: Prepare, now_ms: float) -> None:
        if message.epoch < self.promised or (message.epoch > self.promised and self._is_lease_valid(now_ms)):
            self._send(sender, StaleEpoch(self.promised))
            return
        self._raise_promise(message.epoch, now_ms)
        self._deadline_ms = max(self._deadline_ms, now_ms + self.timing.election_timeout_ms)
        if self._durable.promised >= message.epoch:
            self._send(sender, Promise(message.epoch, self.accepted))
        else:
            self._persist()

    def _count_promise(self, node: str, snapshot: Snapshot | None, now_ms: float) -> None:
        if self.status is not ReplicaStatus.CANDIDATE:
            return
        self._promises[node] = snapshot
        known = [one for one in (*self._promises.values(), self.accepted) if one is not None]
        newest = max(known, key=lambda one: one.rank)
        if not newest.has_quorum(set(self._promises)):
            for other in sorted({*newest.members, *newest.previous_members} - {self.node, *self._promises}):
                if other not in self.other_members():  # a member that only the newer list names
                    self._send(other, Prepare(self.promised))
            return
        self.accepted = msgspec.structs.replace(newest, epoch=self.promised)
        self.known_nodes.update(newest.members)
        self._persist()
        self._become(ReplicaStatus.PRIMARY, now_ms)

    # Recovery of what a lost disk had promised

    def _on_recover(self, sender: str, message: Recover) -> None:
        if self.accepted is not None:
            self._send(sender, RecoverReply(message.nonce, self.promised, self.accepted))

    def _request_recovery(self, now_ms: float) -> None:
        if now_ms < self._deadline_ms or self._writes:
            return
        self._deadline_ms = now_ms + self.timing.recover_interval_ms
        question = self._recovery.ask()
        for node in sorted(self.known_nodes - {self.node}):
            self._send(node, question)

    def _on_recover_reply(self, sender: str, message: RecoverReply, now_ms: float) -> None:
        self.known_nodes.update(message.snapshot.members)
        if self._writes:
            return
        memory = self._recovery.learn(sender, message)
        if memory is None:
            return
        self.promised, self.accepted = memory.promised, memory.snapshot
        self._last_contact_ms = now_ms
        self._persist()

    # The primary's calls, refused elsewhere

    def submit(self, ticket: int, command: Command, now_ms: float) -> bool:
        """Queues a command; False where this is not the primary. Its end is a `Decided`."""
        if self.leadership is None:
            return False
        self.leadership.submit(ticket, command, now_ms)
        return True

    def read(self, ticket: int, now_ms: float) -> bool:
        """Begins a read of the newest value; False where this is not the primary. Its end is a `ReadDone`."""
        if self.leadership is None:
            return False
        self.leadership.read(ticket, now_ms)
        return True
