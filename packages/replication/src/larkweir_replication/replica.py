"""One replica of the value: dispatches messages, ticks and disk completions to the roles, and changes its status.

Safety depends on epochs alone. A primary has the promise of a majority for its epoch; a state is committed once a
majority has it on disk under that epoch; any two majorities share a member (Paxos, Lamport 2001). The lease only
prevents elections while a primary is alive.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from larkweir_replication.acceptor import Acceptor
from larkweir_replication.commands import ApplyChange
from larkweir_replication.departure import Departure, DepartureReason
from larkweir_replication.effects import Effect
from larkweir_replication.election import Election
from larkweir_replication.election_timer import ElectionTimer
from larkweir_replication.leadership import Leadership
from larkweir_replication.membership_requests import MembershipRequests
from larkweir_replication.messages import (
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
    ReplicateDelta,
    Resign,
    Snapshot,
    SnapshotRequest,
    StaleEpoch,
)
from larkweir_replication.primary_contact import PrimaryContact
from larkweir_replication.recovery import Recovery
from larkweir_replication.state import ReplicaState
from larkweir_replication.status import ReplicaStatus
from larkweir_replication.timing import Timing


class Replica:
    """Takes messages, ticks and disk completions; `take_effects` returns what the caller must do. Not thread-safe."""

    def __init__(
        self,
        node: str,
        apply: ApplyChange,
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
        """Starts from the state on disk. Times are milliseconds of one monotonic clock.

        `stored_state`: the newest durable state, None if the disk has none. `first_members`: the members of a new group
        at its very first start, else None. `known_nodes`: nodes to contact while there is no member list.
        `target_member_count`: commands wait until the group has this many members. `process_start_ms`: when this
        process began, if that is known to be before `now_ms`.
        """
        started_ms = now_ms if process_start_ms is None else process_start_ms
        self.status = ReplicaStatus.RECOVERING
        self._timing = timing or Timing()
        self._apply = apply
        self._target_member_count = target_member_count
        self._state = ReplicaState(node, known_nodes)
        self._acceptor = Acceptor(self._state)
        self._contact = PrimaryContact(self._timing, started_ms)
        self._timer = ElectionTimer(self._timing, rng, now_ms)
        self._election = Election(self._state, self._timing, now_ms)
        self._recovery = Recovery(self._state, rng)
        self._membership = MembershipRequests(self._state, self._timing, now_ms)
        self._leadership: Leadership | None = None  # while this replica is the primary
        self._departure = Departure(self._state, self._timing)
        self._start(stored_state, first_members, started_ms)
        self._timer.extend(now_ms, self._timer.draw_connect_grace_ms())

    def _start(
        self, stored_state: DurableState | None, first_members: tuple[str, ...] | None, now_ms: float
    ) -> None:
        status = ReplicaStatus.RECOVERING
        if stored_state is not None and stored_state.snapshot is not None:
            self._state.restore(stored_state)
            status = ReplicaStatus.FOLLOWER
        elif first_members is not None and self.node in first_members:
            self._state.bootstrap(first_members)
            status = ReplicaStatus.FOLLOWER
        self._become(status, now_ms)

    # What callers may read

    @property
    def node(self) -> str:
        """The name of this node."""
        return self._state.node

    @property
    def primary(self) -> str | None:
        """The node that this replica follows, possibly itself; None if it knows no primary."""
        return self._contact.primary

    @property
    def promised(self) -> Epoch:
        """The highest epoch that this replica has promised, or has learned of during a pre-vote."""
        return self._state.promised

    @property
    def accepted(self) -> Snapshot | None:
        """The newest state, committed or not; None before the replica has recovered."""
        return self._state.accepted

    @property
    def committed(self) -> Snapshot | None:
        """The newest state that is known to be on a majority of disks."""
        return self._state.committed

    @property
    def known_nodes(self) -> set[str]:
        """Nodes to contact to find the group or its primary. The caller may add and remove nodes."""
        return self._state.known_nodes

    @property
    def is_member(self) -> bool:
        """Whether the vote of this replica counts, as far as it knows."""
        return self._state.is_member

    def take_effects(self) -> list[Effect]:
        """Returns the effects since the last call, in order."""
        return self._state.take_effects()

    # Time and the disk

    def tick(self, now_ms: float) -> None:
        """Handles the passing of time. The caller must call this every few tens of milliseconds."""
        self._departure.observe_members(now_ms)
        if self._departure.is_begun and self._membership.is_leave_due(now_ms):
            if self._leadership is not None:
                self._leadership.on_leave(self.node, now_ms)
            self._membership.request_leave(now_ms)
        match self.status:
            case ReplicaStatus.RECOVERING:
                self._recover(now_ms)
            case ReplicaStatus.PRIMARY:
                if self._leadership is not None and not self._leadership.tick(now_ms):
                    self.resign(now_ms)
            case ReplicaStatus.FOLLOWER:
                self._follow(now_ms)
            case ReplicaStatus.PRE_CANDIDATE | ReplicaStatus.CANDIDATE:
                self._campaign(now_ms)

    def on_persisted(self, token: int, now_ms: float) -> None:
        """Handles the completion of a `Persist`: its record and all before it survive a loss of power."""
        before = self._state.durability.durable
        durable = self._state.durability.complete_write(token)
        if durable is None:
            return
        if self.status is ReplicaStatus.RECOVERING:
            self._become(ReplicaStatus.FOLLOWER, now_ms)
            return
        if durable.promised > before.promised:
            self._on_promise_durable(durable.promised, now_ms)
        if durable.snapshot is not None and durable.snapshot != before.snapshot:
            self._on_snapshot_durable(durable.snapshot, now_ms)

    def on_persist_failed(self, token: int) -> None:
        """Handles a failed write of a record and all before it: requests that need it get no reply until repeated."""
        self._state.durability.fail_write(token)

    def _on_promise_durable(self, epoch: Epoch, now_ms: float) -> None:
        if epoch != self.promised or epoch.number == 0:
            return
        if epoch.node == self.node:
            self._count_promise(self.node, self.accepted, now_ms)
        else:
            self._acceptor.on_promise_durable(epoch)

    def _on_snapshot_durable(self, snapshot: Snapshot, now_ms: float) -> None:
        if self._leadership is not None:
            self._leadership.on_accepted(self.node, snapshot.epoch, snapshot.sequence, now_ms)
        else:
            self._acceptor.on_snapshot_durable(snapshot)

    # Status

    def _become(self, status: ReplicaStatus, now_ms: float) -> None:
        """Changes the status and sets up what the new status needs. All changes of status happen here."""
        if self._leadership is not None and status is not ReplicaStatus.PRIMARY:
            self._leadership.abandon()
            self._leadership = None
            if self._contact.primary == self.node:
                self._contact.primary = None
        self.status = status
        match status:
            case ReplicaStatus.FOLLOWER:
                self._timer.restart(now_ms, self._timer.draw_election_timeout_ms(self._departure.is_begun))
            case ReplicaStatus.PRE_CANDIDATE:
                self._election.begin_pre_vote()
                self._contact.primary = None
                self._timer.restart(now_ms, self._timing.campaign_timeout_ms)
            case ReplicaStatus.CANDIDATE:
                self._timer.restart(now_ms, self._timer.draw_campaign_timeout_ms())
            case ReplicaStatus.PRIMARY:
                self._contact.primary = self.node
                self._leadership = Leadership(
                    self._state, self._timing, self._apply, self._target_member_count, now_ms
                )
            case ReplicaStatus.RECOVERING:
                self._timer.restart(now_ms, 0.0)

    def step_down(self, now_ms: float) -> None:
        """Ends a term or a candidacy. The same node may be elected again."""
        if self.status in (ReplicaStatus.PRIMARY, ReplicaStatus.CANDIDATE, ReplicaStatus.PRE_CANDIDATE):
            self._become(ReplicaStatus.FOLLOWER, now_ms)

    def resign(self, now_ms: float) -> None:
        """Gives up the lease, so that another node can be elected at once."""
        if self._leadership is not None:
            for node in self._state.other_members():
                self._state.send(node, Resign(self.promised))
            self.step_down(now_ms)

    def leave(self, now_ms: float) -> None:
        """Prepares a planned exit: the node remains a member until `departure_reason` returns a reason."""
        self._departure.begin(now_ms)
        self.resign(now_ms)

    def departure_reason(self, now_ms: float) -> DepartureReason | None:
        """Returns why a node may exit now after `leave`, or None while it must remain a member."""
        observer = self._leadership or self._contact
        return self._departure.reason(observer.unreachable_members(now_ms), now_ms)

    def on_partial_message(self, node: str, now_ms: float) -> None:
        """Handles the arrival of part of a large message from `node`, whose heartbeats are queued behind it."""
        if node == self.primary and self.status is ReplicaStatus.FOLLOWER:
            self._contact.renew(now_ms)
            self._timer.extend(now_ms, self._timer.draw_election_timeout_ms(self._departure.is_begun))

    def on_reconnected(self, node: str) -> None:
        """Handles a new connection to `node`."""
        if self._leadership is not None:
            self._leadership.on_reconnected(node)

    # Messages

    def receive(self, sender: str, message: Message, now_ms: float) -> None:
        """Handles one message. Messages of an earlier process or epoch have no effect."""
        if self.status is ReplicaStatus.RECOVERING:
            if isinstance(message, RecoverReply) and self._recovery.on_reply(sender, message):
                self._contact.renew(now_ms)  # this replica may have granted a lease before it lost its state
            return
        match message:
            case HeartbeatAck() | Accepted() | Join() | Leave() | SnapshotRequest():
                if self._leadership is not None:
                    self._leadership.receive(sender, message, now_ms)
            case Heartbeat():
                if self._follow_sender(sender, message.epoch, now_ms):
                    self._contact.reported_unreachable = message.unreachable
                    self._acceptor.on_heartbeat(sender, message)
            case Replicate() | ReplicateDelta():
                if self._follow_sender(sender, message.epoch, now_ms):
                    self._acceptor.on_replicate(sender, message)
            case PreVote():
                self._on_pre_vote(sender, message, now_ms)
            case PreVoteReply():
                self._on_pre_vote_reply(sender, message, now_ms)
            case Prepare():
                self._on_prepare(sender, message, now_ms)
            case Promise():
                if message.epoch == self.promised:
                    self._count_promise(sender, message.snapshot, now_ms)
            case StaleEpoch():
                self._raise_promise(message.promised, now_ms)
            case Resign():
                self._on_resign(sender, message, now_ms)
            case Recover():
                self._acceptor.on_recover(sender, message)
            case RecoverReply():
                pass  # late: this replica has already recovered

    # Following

    def _follow(self, now_ms: float) -> None:
        if self.is_member and self._timer.is_due(now_ms):
            self._become(ReplicaStatus.PRE_CANDIDATE, now_ms)
            self._election.request_pre_votes(now_ms)
            self._count_grant(self.node, now_ms)
        elif not self.is_member and not self._departure.is_begun:
            self._membership.request_join_if_due(now_ms)

    def _raise_promise(self, epoch: Epoch, now_ms: float) -> None:
        """Rejects lower epochs from now on."""
        if epoch > self.promised:
            self._state.promised = epoch
            self.step_down(now_ms)

    def _follow_sender(self, sender: str, epoch: Epoch, now_ms: float) -> bool:
        """Follows `sender` as the primary of that epoch; returns False if the epoch is stale."""
        if epoch < self.promised:
            self._acceptor.reject_stale(sender)
            return False
        self._raise_promise(epoch, now_ms)
        if self.status in (ReplicaStatus.PRE_CANDIDATE, ReplicaStatus.CANDIDATE):
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        self._contact.primary = sender
        self._contact.renew(now_ms)
        self._timer.restart(now_ms, self._timer.draw_election_timeout_ms(self._departure.is_begun))
        return True

    def _on_resign(self, sender: str, message: Resign, now_ms: float) -> None:
        if message.epoch != self.promised or self.primary != sender:
            return
        self._contact.expire(now_ms)
        if not self._departure.is_begun:
            self._timer.restart(now_ms, self._timer.draw_succession_delay_ms())

    # Elections

    def is_lease_valid(self, now_ms: float) -> bool:
        """Whether the lease is valid, so that no primary other than the known one can be elected."""
        if self._leadership is not None:
            return self._leadership.is_lease_valid(now_ms)
        return self._contact.is_lease_valid(now_ms)

    def _campaign(self, now_ms: float) -> None:
        """Repeats the request to nodes that have not replied, until the candidacy ends."""
        if self._timer.is_due(now_ms):
            self._become(ReplicaStatus.FOLLOWER, now_ms)
        elif not self._election.is_request_due(now_ms):
            return
        elif self.status is ReplicaStatus.PRE_CANDIDATE:
            self._election.request_pre_votes(now_ms)
        else:
            self._election.request_promises(now_ms)

    def _on_pre_vote(self, sender: str, message: PreVote, now_ms: float) -> None:
        self._acceptor.on_pre_vote(sender, message, is_granted=not self.is_lease_valid(now_ms))
        if self._leadership is not None and sender not in self._state.other_members():
            self._leadership.send_newest_state(sender, now_ms)

    def _on_pre_vote_reply(self, sender: str, message: PreVoteReply, now_ms: float) -> None:
        self.known_nodes.update(message.members)
        is_current = self._election.is_current_round(message.round)
        if self.status is not ReplicaStatus.PRE_CANDIDATE or not is_current:
            return
        self._state.promised = max(self.promised, message.promised)
        if message.granted:
            self._count_grant(sender, now_ms)

    def _count_grant(self, node: str, now_ms: float) -> None:
        if not self._election.add_grant(node):
            return
        self._become(ReplicaStatus.CANDIDATE, now_ms)
        self._election.prepare(now_ms)

    def _on_prepare(self, sender: str, message: Prepare, now_ms: float) -> None:
        if message.epoch < self.promised or (message.epoch > self.promised and self.is_lease_valid(now_ms)):
            self._acceptor.reject_stale(sender)
            return
        self._raise_promise(message.epoch, now_ms)
        self._timer.extend(now_ms, self._timing.election_timeout_ms)
        self._acceptor.on_prepare(sender, message.epoch)

    def _count_promise(self, node: str, snapshot: Snapshot | None, now_ms: float) -> None:
        if self.status is ReplicaStatus.CANDIDATE and self._election.add_promise(node, snapshot):
            self._become(ReplicaStatus.PRIMARY, now_ms)

    def _recover(self, now_ms: float) -> None:
        if self._timer.is_due(now_ms) and not self._state.durability.has_pending_writes:
            self._timer.restart(now_ms, self._timing.recover_interval_ms)
            self._recovery.request()

    # Calls that only the primary accepts

    def submit(self, ticket: int, command: Command, now_ms: float) -> bool:
        """Queues a command, whose outcome is a `CommandFinished`; returns False if this is not the primary."""
        if self._leadership is None:
            return False
        self._leadership.submit(ticket, command, now_ms)
        return True

    def read(self, ticket: int, now_ms: float) -> bool:
        """Starts a read, whose result is a `ReadFinished`; returns False if this is not the primary."""
        if self._leadership is None:
            return False
        self._leadership.read(ticket, now_ms)
        return True
