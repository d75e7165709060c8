"""An acceptor of CASPaxos (Rystsov 2018, section 2.2): a replica that promises and accepts. Pure logic.

An acceptor may only answer from state that is on its disk, so each call returns the entries to flush first and the
messages to send afterwards. An accept request names the progress of all acceptors that promised its ballot. An acceptor
rejects the request if it knows a later incarnation of one of them, or if its own promise is for another ballot.
`recovery` decides when an acceptor may vote.
"""

from __future__ import annotations

from larkweir_owners.acceptor_state import (
    AcceptorOutput,
    AcceptorState,
    PeerProgressEntry,
    ReplicaSetEntry,
    Slot,
    SlotEntry,
)
from larkweir_owners.messages import (
    MAX_NAME_CHARS,
    MAX_STATE_BYTES,
    NO_BALLOT,
    NO_PROGRESS,
    Accept,
    Accepted,
    AdoptSet,
    AnyMessage,
    Ballot,
    CatchUpPage,
    CatchUpRequest,
    Incarnation,
    Prepare,
    Progress,
    Promised,
    ReadReply,
    ReadRequest,
    RecoveryQuery,
    RecoveryReply,
    Rejected,
    RejectReason,
    ReplicaSet,
    SetAdopted,
)
from larkweir_owners.recovery import MAX_PAGE_KEYS, Recovery, ReplicaMode

MAX_KEYS = 4096
MAX_REPLICAS = 7


class Acceptor:
    """One replica of the registers. For each output that a call returns, the driver flushes its entries, then sends
    its messages.
    """

    def __init__(self, name: str, state: AcceptorState, closed_fingerprint: str = "") -> None:
        """`closed_fingerprint`: see `Recovery`; empty if no earlier process handed the file over."""
        self.name = name
        self.state = state
        self.dropped = 0  # messages that can't be handled or exceed a limit
        self.rejected = 0
        self._recovery = Recovery(name, state, closed_fingerprint)

    @property
    def mode(self) -> ReplicaMode:
        """Whether the acceptor votes, and if not, the stage of its recovery."""
        return self._recovery.mode

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        return self._recovery.next_ms

    @property
    def progress(self) -> Progress:
        """The acceptor's incarnation, and the number of answers it has given in this incarnation."""
        return (*self.state.incarnation, self.state.answer_count)

    @property
    def voting_incarnation(self) -> Incarnation | None:
        """The incarnation under which the acceptor votes; None if it does not vote."""
        return self.state.incarnation if self.mode is ReplicaMode.VOTING else None

    def on_disk_failed(self) -> None:
        """Stop voting after a failed write: the content of the disk is unknown, so nothing more may be promised."""
        self._recovery.mode = ReplicaMode.FAILED

    def tick(self, now_ms: float) -> AcceptorOutput:
        """Continue the recovery of an acceptor that does not vote yet."""
        return self._recovery.tick(now_ms)

    def on_message(self, source: str, message: AnyMessage) -> AcceptorOutput:
        """Handle a message that is meant for acceptors; any other message is counted in `dropped`."""
        output = AcceptorOutput()
        match message:
            case ReadRequest():
                self._on_read(source, message, output)
            case Prepare():
                self._on_prepare(source, message, output)
            case Accept():
                self._on_accept(source, message, output)
            case RecoveryQuery():
                self._recovery.on_query(source, output)
            case RecoveryReply():
                self._recovery.on_reply(source, message, output)
            case CatchUpRequest():
                self._recovery.on_catch_up_request(source, message, output)
            case CatchUpPage():
                self._recovery.on_page(source, message, output)
            case AdoptSet():
                self._on_adopt_set(source, message, output)
            case _:
                self.dropped += 1
        return output

    # ------------------------------------------------ votes

    def _reject(
        self, to: str, key: str, ballot: Ballot, reason: RejectReason, output: AcceptorOutput
    ) -> None:
        self.rejected += 1
        slot = self.state.slots.get(key, Slot())
        promised = slot.promised_ballot if reason is RejectReason.BALLOT else NO_BALLOT
        replica_set = self.state.replica_set if reason is RejectReason.EPOCH else None
        output.send(to, Rejected(key, ballot, reason, promised, replica_set))

    def _can_vote(self, to: str, epoch: int, key: str, ballot: Ballot, output: AcceptorOutput) -> bool:
        """Whether this acceptor votes in `epoch`. If not, this method rejects the request."""
        if epoch != self.state.replica_set.epoch:
            self._reject(to, key, ballot, RejectReason.EPOCH, output)
        elif self.mode is not ReplicaMode.VOTING or self.name not in self.state.replica_set.names:
            self._reject(to, key, ballot, RejectReason.NOT_VOTING, output)
        else:
            return True
        return False

    def _on_read(self, source: str, request: ReadRequest, output: AcceptorOutput) -> None:
        if self._can_vote(source, request.epoch, request.key, (request.operation_id, "", 0), output):
            slot = self.state.slots.get(request.key, Slot())
            reply = ReadReply(request.operation_id, request.key, slot.accepted_ballot, slot.record)
            output.send(source, reply)

    def _on_prepare(self, source: str, request: Prepare, output: AcceptorOutput) -> None:
        state, key, ballot = self.state, request.key, request.ballot
        if not self._can_vote(source, request.epoch, key, ballot, output):
            return
        slot = state.slots.get(key, Slot())
        if ballot < slot.promised_ballot:
            self._reject(source, key, ballot, RejectReason.BALLOT, output)
            return
        if ballot > slot.promised_ballot:
            if key not in state.slots and (len(state.slots) >= MAX_KEYS or len(key) > MAX_NAME_CHARS):
                self.dropped += 1
                return
            slot = Slot(ballot, slot.accepted_ballot, slot.record)
            output.persist(state, SlotEntry(key, slot, state.answer_count + 1))
        known_progress = tuple(sorted(state.peer_progress.items()))
        reply = Promised(key, ballot, slot.accepted_ballot, slot.record, self.progress, known_progress)
        output.send(source, reply)

    def _on_accept(self, source: str, request: Accept, output: AcceptorOutput) -> None:
        state, key, ballot = self.state, request.key, request.ballot
        if not self._can_vote(source, request.epoch, key, ballot, output):
            return
        slot = state.slots.get(key, Slot())
        if not self._are_incarnations_current(dict(request.promised_by)):
            self._reject(source, key, ballot, RejectReason.INCARNATION, output)
            return
        if ballot != slot.promised_ballot:
            self._reject(source, key, ballot, RejectReason.BALLOT, output)
            return
        if ballot > slot.accepted_ballot:
            if len(request.record.value) > MAX_STATE_BYTES:
                self.dropped += 1
                return
            slot = Slot(ballot, ballot, request.record)
            learned = tuple(
                (name, progress)
                for name, progress in request.promised_by
                if name != self.name and progress > state.peer_progress.get(name, NO_PROGRESS)
            )
            output.persist(state, SlotEntry(key, slot, state.answer_count + 1, learned))
        output.send(source, Accepted(key, ballot, self.progress))

    def _are_incarnations_current(self, promised_by: dict[str, Progress]) -> bool:
        """Whether no later incarnation of a promising acceptor is known, and this one promised in its current one."""
        if promised_by.get(self.name, NO_PROGRESS)[:2] != self.state.incarnation:
            return False
        known = self.state.peer_progress
        return not any(
            known.get(name, NO_PROGRESS)[:2] > progress[:2] for name, progress in promised_by.items()
        )

    # ------------------------------------------------ changes of the replica set

    def _on_adopt_set(self, source: str, request: AdoptSet, output: AcceptorOutput) -> None:
        new, present = request.replica_set, self.state.replica_set
        if new.epoch < present.epoch:
            self._reject(source, "", NO_BALLOT, RejectReason.EPOCH, output)
            return
        if not new.names or len(new.names) > MAX_REPLICAS:
            self.dropped += 1
            return
        if new != present:
            # Within an epoch, the only change is that `previous` is cleared once the new set holds all records
            if new.epoch == present.epoch and new.previous:
                return
            self._adopt(new, output)
        is_empty = self.mode in (ReplicaMode.NEW, ReplicaMode.LOST) and not self.state.can_vote
        if self.mode is ReplicaMode.VOTING or (is_empty and self._recovery.is_added()):
            if is_empty:
                self._recovery.start_voting(self.state.replica_set.added[1:], output)
            keys: list[str] = sorted(key for key in self.state.slots if key > request.after_key)
            page, has_more = tuple(keys[:MAX_PAGE_KEYS]), len(keys) > MAX_PAGE_KEYS
            output.send(source, SetAdopted(new.epoch, request.after_key, page, has_more))

    def _adopt(self, replica_set: ReplicaSet, output: AcceptorOutput) -> None:
        output.persist(self.state, ReplicaSetEntry(replica_set))
        name, *incarnation = replica_set.added
        if name and name != self.name:
            progress = (incarnation[0], incarnation[1], 0)
            output.persist(self.state, PeerProgressEntry(((name, progress),)))
        self._recovery.on_replica_set_changed()
