"""What a replica does while it is the primary: one change at a time to a majority of disks, leases, members."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from result import Err

from larkweir_replication.effects import Decided, ReadDone, Send, Verdict
from larkweir_replication.messages import Epoch, Heartbeat, HeartbeatAck, Message, Replicate, Snapshot

if TYPE_CHECKING:
    from larkweir_replication.replica import Replica

TAKEN_MOST = 1_024  # identities of changes that are kept, to acknowledge them again
RESEND_MS = 300.0  # a state that is not acknowledged is sent again
LOST_LEASES = 3.0  # without an answer of a majority for so many leases, a term ends
GROWTH_WAIT_MS = 4_000.0  # changes wait so long for a group of the wanted size


@dataclass(frozen=True, slots=True)
class _Change:
    ticket: int
    identity: str
    change: str


@dataclass(slots=True)
class _Proposal:
    """A state on its way to a majority of disks; `ticket` is that of the change that made it, if one did."""

    snapshot: Snapshot
    ticket: int | None
    accepted: set[str]


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    """An answer that holds only if this was still the primary after `round` was sent."""

    round: int
    decided: Decided | None
    read: int | None


class Leadership:
    """The state of one term as primary. It begins by replicating what it took over under its own epoch."""

    def __init__(self, replica: Replica, now_ms: float) -> None:
        assert replica.accepted is not None
        self._replica = replica
        self._timing = replica.timing
        self._epoch = replica.promised
        self._begun_ms = now_ms
        self._queue: deque[_Change] = deque()
        self._unconfirmed: deque[_Unconfirmed] = deque()
        self._proposal: _Proposal | None = None
        self._round = 0
        self._round_sent_ms: dict[int, float] = {}
        self._acked_rounds: dict[str, int] = {}
        self._heard_ms: dict[str, float] = {}
        self._sent_ms: dict[str, float] = {}
        self._lease_from_ms = now_ms - self._timing.lease_ms
        self._next_heartbeat_ms = now_ms
        self._joining: dict[str, float] = {}
        self._propose(replica.accepted, None, now_ms, persist=False)

    # Time

    def tick(self, now_ms: float) -> bool:
        """False once no majority has answered for so long that the term should end."""
        if now_ms >= self._next_heartbeat_ms:
            self._heartbeat(now_ms)
        self._resend(now_ms)
        self._change_members(now_ms)
        self._pump(now_ms)
        silent_ms = now_ms - max(self._lease_from_ms, self._begun_ms)
        return silent_ms < LOST_LEASES * self._timing.lease_ms

    def lease_holds(self, now_ms: float) -> bool:
        """Whether no other can have been elected: the majority's lease, less a margin."""
        return now_ms < self._lease_from_ms + self._timing.lease_ms - self._timing.lease_margin_ms

    def _heartbeat(self, now_ms: float) -> None:
        self._round += 1
        self._round_sent_ms[self._round] = now_ms
        for old in [one for one in self._round_sent_ms if one < self._round - 64]:
            del self._round_sent_ms[old]
        self._next_heartbeat_ms = now_ms + self._timing.heartbeat_ms
        committed = self._replica.committed
        message = Heartbeat(self._epoch, committed.sequence if committed else -1, self._round)
        for node in self._replica.others():
            self._send(node, message)
        self._acked_rounds[self._replica.node] = self._round
        self._count_rounds(now_ms)

    def heartbeat_acked(self, node: str, ack: HeartbeatAck, now_ms: float) -> None:
        """A member grants the lease from when that round was sent, and tells what it has on disk."""
        self._heard_ms[node] = now_ms
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
        for node in self._replica.others():
            self._replicate(node, snapshot, now_ms)

    def _replicate(self, node: str, snapshot: Snapshot, now_ms: float) -> None:
        committed = self._replica.committed
        self._sent_ms[node] = now_ms
        self._send(node, Replicate(snapshot, committed.sequence if committed else -1))

    def _resend(self, now_ms: float) -> None:
        if self._proposal is None:
            return
        for node in self._replica.others():
            overdue = now_ms >= self._sent_ms.get(node, 0.0) + RESEND_MS
            if overdue and node not in self._proposal.accepted:
                self._replicate(node, self._proposal.snapshot, now_ms)

    def accepted(self, node: str, epoch: Epoch, sequence: int, now_ms: float) -> None:
        """A member has that state on disk."""
        self._heard_ms[node] = now_ms
        current = self._replica.accepted
        assert current is not None
        if (epoch, sequence) != current.rank:
            behind = (epoch, sequence) < current.rank and node != self._replica.node
            if behind and now_ms >= self._sent_ms.get(node, 0.0) + RESEND_MS:
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
                self._replica.effects.append(Decided(proposal.ticket, Verdict.ACCEPTED))
            self._heartbeat(now_ms)
            self._change_members(now_ms)
            self._pump(now_ms)

    def inform(self, node: str, now_ms: float) -> None:
        """Tells the newest state to a node that was taken out while it was away, so that it asks to join."""
        assert self._replica.accepted is not None
        self._replicate(node, self._replica.accepted, now_ms)

    # Changes and reads

    def submit(self, ticket: int, identity: str, change: str, now_ms: float) -> None:
        """Queues a change behind those before it."""
        self._queue.append(_Change(ticket, identity, change))
        self._pump(now_ms)

    def read(self, ticket: int, now_ms: float) -> None:
        """Answers with the newest value once a majority confirms that this is the primary still."""
        if self._replica.committed is None or self._replica.committed.epoch != self._epoch:
            self._replica.effects.append(ReadDone(ticket, None))  # the state taken over is not committed yet
            return
        self._unconfirmed.append(_Unconfirmed(self._round + 1, None, ticket))
        self._heartbeat(now_ms)

    def _pump(self, now_ms: float) -> None:
        """Takes up waiting changes while no state is on its way."""
        refused = False
        while self._queue and self._proposal is None and self._large_enough(now_ms):
            change = self._queue.popleft()
            current = self._replica.accepted
            assert current is not None
            if change.identity in current.taken:
                self._replica.effects.append(Decided(change.ticket, Verdict.ACCEPTED))
                continue
            outcome = self._replica.apply(current.value, change.change)
            if isinstance(outcome, Err):
                decided = Decided(change.ticket, Verdict.REJECTED, outcome.err_value)
                self._unconfirmed.append(_Unconfirmed(self._round + 1, decided, None))
                refused = True
                continue
            taken = (*current.taken, change.identity)[-TAKEN_MOST:]
            following = msgspec.structs.replace(
                current, sequence=current.sequence + 1, value=outcome.ok_value, taken=taken
            )
            self._propose(following, change.ticket, now_ms)
        if refused:
            self._heartbeat(now_ms)

    def _large_enough(self, now_ms: float) -> bool:
        current = self._replica.accepted
        assert current is not None
        waited = now_ms >= self._begun_ms + GROWTH_WAIT_MS
        return len(current.members) >= self._replica.members_wanted or waited

    def _confirm(self, number: int) -> None:
        while self._unconfirmed and self._unconfirmed[0].round <= number:
            answer = self._unconfirmed.popleft()
            if answer.decided is not None:
                self._replica.effects.append(answer.decided)
            if answer.read is not None:
                self._replica.effects.append(ReadDone(answer.read, self._replica.committed))

    def abandon(self) -> None:
        """The term is over: whoever waits is told that the outcome is unknown."""
        effects = self._replica.effects
        if self._proposal is not None and self._proposal.ticket is not None:
            effects.append(Decided(self._proposal.ticket, Verdict.UNKNOWN))
        effects.extend(Decided(change.ticket, Verdict.UNKNOWN) for change in self._queue)
        for answer in self._unconfirmed:
            if answer.decided is not None:
                effects.append(Decided(answer.decided.ticket, Verdict.UNKNOWN))
            if answer.read is not None:
                effects.append(ReadDone(answer.read, None))

    # Members

    def joining(self, node: str, now_ms: float) -> None:
        """A replica with a recovered memory would be a member."""
        self._joining[node] = now_ms
        self._change_members(now_ms)

    def _change_members(self, now_ms: float) -> None:
        """One step of a change of members at a time, each committed before the next."""
        current = self._replica.accepted
        assert current is not None
        if self._proposal is not None:
            return
        if current.previous_members:
            self._propose_members(current.members, (), now_ms)
            return
        newcomer = self._newcomer(current, now_ms)
        if newcomer is not None:
            dead = self._silent(current, self._timing.dead_ms, now_ms)
            full = len(current.members) >= self._replica.members_wanted
            leaving = {dead[0]} if dead and full else set()
            members = tuple(sorted(({*current.members} - leaving) | {newcomer}))
            self._propose_members(members, current.members, now_ms)
        elif len(current.members) > self._replica.members_wanted:
            dead = self._silent(current, self._timing.remove_ms, now_ms)
            if dead:
                members = tuple(one for one in current.members if one != dead[0])
                self._propose_members(members, current.members, now_ms)

    def _newcomer(self, current: Snapshot, now_ms: float) -> str | None:
        for node, asked_ms in sorted(self._joining.items()):
            if node in current.members or now_ms > asked_ms + 2.0 * self._timing.join_ms:
                del self._joining[node]
            else:
                return node
        return None

    def _silent(self, current: Snapshot, for_ms: float, now_ms: float) -> list[str]:
        """Members not heard for so long, the longest first."""
        heard = {node: self._heard_ms.get(node, self._begun_ms) for node in current.members}
        del heard[self._replica.node]
        silent = [node for node, when_ms in heard.items() if now_ms >= when_ms + for_ms]
        return sorted(silent, key=lambda node: heard[node])

    def _propose_members(self, members: tuple[str, ...], previous: tuple[str, ...], now_ms: float) -> None:
        current = self._replica.accepted
        assert current is not None
        following = msgspec.structs.replace(
            current, sequence=current.sequence + 1, members=members, previous_members=previous
        )
        self._propose(following, None, now_ms)

    def _send(self, node: str, message: Message) -> None:
        self._replica.effects.append(Send(node, message))
