"""The proposer of CASPaxos (Rystsov 2018, section 2.2): conditional registers over replicas that vote by majority.

A write runs rounds of prepare and accept on one key, with ballots of (counter, name, incarnation). It proposes the
record with the highest accepted ballot among the majority's promises, or the new record if that record has the expected
version. A round counts accepts only from acceptors that promised its ballot, in the same incarnations. A read first
asks without a ballot, and runs a round only if no majority agrees. Pure logic.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from larkweir_owners.errors import InvalidWriteError
from larkweir_owners.messages import (
    MAX_NAME_CHARS,
    MAX_STATE_BYTES,
    NO_BALLOT,
    NO_PROGRESS,
    NO_VERSION,
    Accept,
    Accepted,
    AdoptSet,
    AnyMessage,
    Ballot,
    Prepare,
    Progress,
    Promised,
    ReadReply,
    ReadRequest,
    Record,
    Rejected,
    RejectReason,
    ReplicaSet,
    Version,
    encode,
)
from larkweir_owners.ports import OnResult, Outcome, Result, Transport

MAX_OPERATIONS = 256  # in progress at a time; any further operation ends at once as UNKNOWN
RESEND_MS = 40.0  # first retry delay of an unanswered round; it doubles with each retry
MAX_RESEND_MS = 800.0
READ_RETRY_MS = 25.0  # before a read without a majority asks again
SENDS_PER_ROUND = 4  # before a new round starts with a higher ballot
OPERATION_TIMEOUT_MS = 3000.0  # after which the outcome is unknown


class OperationPhase(Enum):
    """The kind of answers that an operation waits for."""

    READ = "read"
    PREPARE = "prepare"
    ACCEPT = "accept"


@dataclass(slots=True)
class Operation:
    """One read or write, over as many rounds as it takes. All fields from `ballot` to `proposal` describe the current
    round.
    """

    key: str
    on_result: OnResult
    deadline_ms: float
    expected: Version = NO_VERSION
    record: Record | None = None  # what to write; None reads
    rewrite: bool = False  # propose the current record even if a majority agrees on it
    phase: OperationPhase = OperationPhase.READ
    operation_id: int = 0
    ballot: Ballot = NO_BALLOT
    replies: dict[str, ReadReply] = field(default_factory=dict)
    promises: dict[str, Promised] = field(default_factory=dict)
    promised_by: dict[str, Progress] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    proposal: Record | None = None
    outcome: Outcome = Outcome.DONE
    may_have_counted: bool = False  # an accept request with the new record was sent
    sends: int = 0
    resend_at_ms: float = 0.0


class Proposer:
    """Implements `Registers`."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        replica_set: ReplicaSet,
        transport: Transport,
        jitter: Callable[[], float],
    ) -> None:
        """`incarnation`: a random number chosen at each start of the process. `jitter`: returns a number from 0 to 1,
        so that two contending proposers do not retry in lockstep.
        """
        self.name, self.incarnation, self.replica_set = name, incarnation, replica_set
        self._transport = transport
        self._jitter = jitter
        self._now_ms = 0.0
        self._counter = 0
        self._last_operation = 0
        self._open: list[Operation] = []
        self.dropped = 0
        self.rounds = 0
        self.last_majority_ms = float("-inf")

    # ------------------------------------------------ registers

    def read(self, key: str, on_result: OnResult) -> None:
        """Read a register. `on_result` is called immediately if `MAX_OPERATIONS` are in progress."""
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS))

    def write(self, key: str, expected: Version, record: Record, on_result: OnResult) -> None:
        """Write a register if it holds the version `expected`.

        Raises:
            InvalidWriteError: `record.version` is not above `expected`, or the key or the value is too long.
        """
        if record.version <= expected or len(record.value) > MAX_STATE_BYTES or len(key) > MAX_NAME_CHARS:
            raise InvalidWriteError(
                f"{key}: version {record.version} is not above {expected}, or the key or value is too long"
            )
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS, expected, record))

    def rewrite(self, key: str, on_result: OnResult) -> None:
        """Read a register, and have a majority of the current replica set accept its record again."""
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS, rewrite=True))

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        return min((min(op.resend_at_ms, op.deadline_ms) for op in self._open), default=float("inf"))

    def adopt(self, replica_set: ReplicaSet) -> None:
        """Use a newer replica set, and restart the operations in progress with it. An older set is ignored."""
        present = self.replica_set
        if (replica_set.epoch, not replica_set.previous) <= (present.epoch, not present.previous):
            return
        self.replica_set = replica_set
        if replica_set.epoch != present.epoch:
            for op in list(self._open):
                self._start_round(op)

    def set_time(self, now_ms: float) -> None:
        """Set the current time for the calls that follow."""
        self._now_ms = max(now_ms, self._now_ms)

    def tick(self, now_ms: float) -> None:
        """Resend unanswered requests, and end operations that are past their deadlines."""
        self.set_time(now_ms)
        for op in list(self._open):
            if op.deadline_ms <= now_ms:
                self._finish(op, Outcome.UNKNOWN, None)
            elif op.resend_at_ms <= now_ms:
                if op.sends < SENDS_PER_ROUND:
                    self._send(op)
                else:
                    self._start_round(op)

    def on_message(self, source: str, message: AnyMessage, now_ms: float) -> None:
        """Handle an acceptor's answer."""
        self.set_time(now_ms)
        if source not in self.replica_set.names and source not in self.replica_set.previous:
            self.dropped += 1
            return
        match message:
            case ReadReply() if source in self.replica_set.names:
                for op in self._reads_of(message.operation_id):
                    op.replies[source] = message
                    self._on_read_reply(op)
            case Promised() if source in self.replica_set.names:
                for op in self._rounds_of(message.ballot, message.key):
                    self._on_promised(op, source, message)
            case Accepted():
                for op in self._rounds_of(message.ballot, message.key):
                    self._on_accepted(op, source, message)
            case Rejected():
                self._on_rejected(source, message)
            case _:
                self.dropped += 1

    # ------------------------------------------------ operations

    def _reads_of(self, operation_id: int) -> list[Operation]:
        return [
            op for op in self._open if op.phase is OperationPhase.READ and op.operation_id == operation_id
        ]

    def _rounds_of(self, ballot: Ballot, key: str) -> list[Operation]:
        return [
            op
            for op in self._open
            if op.ballot == ballot and op.key == key and op.phase is not OperationPhase.READ
        ]

    def _start(self, op: Operation) -> None:
        if len(self._open) >= MAX_OPERATIONS:
            op.on_result(Result(Outcome.UNKNOWN, None))
            return
        self._last_operation += 1
        op.operation_id = (self.incarnation << 24) + (self._last_operation & 0xFFFFFF)
        self._open.append(op)
        if op.record is None and not op.rewrite:
            self._send(op)
        else:
            self._start_round(op)

    def _finish(self, op: Operation, outcome: Outcome, record: Record | None) -> None:
        self._open.remove(op)
        if outcome is not Outcome.UNKNOWN:
            self.last_majority_ms = self._now_ms
        op.on_result(Result(outcome, record, op.may_have_counted and outcome is not Outcome.DONE))

    def _start_round(self, op: Operation) -> None:
        self.rounds += 1
        self._counter += 1
        op.ballot = (self._counter, self.name, self.incarnation)
        op.phase = OperationPhase.PREPARE
        op.promises, op.promised_by, op.accepted_by, op.proposal = {}, {}, set(), None
        op.sends = 0
        self._send(op)

    def _send(self, op: Operation) -> None:
        """Send the request of the current phase to all replicas that have not answered it yet."""
        backoff_ms = min(RESEND_MS * 2**op.sends, MAX_RESEND_MS)
        op.resend_at_ms = self._now_ms + backoff_ms * (1 + 0.5 * self._jitter())
        op.sends += 1
        epoch = self.replica_set.epoch
        op.replies.clear()
        for name in self.replica_set.names:
            if op.phase is OperationPhase.READ:
                self._send_to(name, ReadRequest(op.operation_id, epoch, op.key))
            elif op.phase is OperationPhase.PREPARE:
                if name not in op.promises:
                    self._send_to(name, Prepare(epoch, op.key, op.ballot))
            elif name in op.promised_by and name not in op.accepted_by:
                self._send_accept(op, name)

    def _send_to(self, to: str, message: AnyMessage) -> None:
        self._transport.post(to, encode(message))

    def _send_accept(self, op: Operation, to: str) -> None:
        if op.proposal is not None:
            promised_by = tuple(sorted(op.promised_by.items()))
            self._send_to(to, Accept(self.replica_set.epoch, op.key, op.ballot, op.proposal, promised_by))

    # ------------------------------------------------ answers

    def _on_read_reply(self, op: Operation) -> None:
        if len(op.replies) < self.replica_set.quorum:
            return
        best = max(op.replies.values(), key=lambda reply: reply.ballot)
        if sum(reply.ballot == best.ballot for reply in op.replies.values()) >= self.replica_set.quorum:
            self._finish(op, Outcome.DONE, best.record)
        elif len(op.replies) == len(self.replica_set.names):
            # Another proposer is writing, and a round would interrupt it, so ask again first
            op.resend_at_ms = min(op.resend_at_ms, self._now_ms + READ_RETRY_MS * (1 + self._jitter()))

    def _on_promised(self, op: Operation, source: str, message: Promised) -> None:
        if op.phase is not OperationPhase.PREPARE:
            return  # the accepts that were sent do not name it, so no acceptor would check its incarnation
        op.promises[source] = message
        latest: dict[str, Progress] = {}
        for promise in op.promises.values():
            for name, progress in promise.known_progress:
                latest[name] = max(progress, latest.get(name, progress))
        # An acceptor may have lost its promise if another acceptor knows a later incarnation of it
        valid = {
            name: promise
            for name, promise in op.promises.items()
            if promise.progress[:2] >= latest.get(name, promise.progress)[:2]
        }
        quorum = self.replica_set.quorum
        if len(valid) < quorum:
            return
        best = max(valid.values(), key=lambda promise: promise.accepted_ballot)
        agreeing = sum(promise.accepted_ballot == best.accepted_ballot for promise in valid.values())
        op.promised_by = {name: promise.progress for name, promise in valid.items()}
        self._propose(op, best.record, agreeing >= quorum)

    def _propose(self, op: Operation, current: Record | None, agree: bool) -> None:
        """Propose a record under a ballot that a majority has promised. `current`: the record that was accepted last;
        `agree`: a majority has accepted it, so it is already chosen.
        """
        op.outcome = Outcome.DONE
        op.proposal = current
        if op.record is not None and current != op.record:
            if (current.version if current is not None else NO_VERSION) == op.expected:
                op.proposal, agree = op.record, False
                op.may_have_counted = True
            else:
                op.outcome = Outcome.CONFLICT
        if op.proposal is None or (agree and not op.rewrite):
            self._finish(op, op.outcome, current)
            return
        op.phase = OperationPhase.ACCEPT
        op.sends = 0
        self._send(op)

    def _on_accepted(self, op: Operation, source: str, message: Accepted) -> None:
        promised = op.promised_by.get(source, NO_PROGRESS)
        if op.phase is not OperationPhase.ACCEPT or promised[:2] != message.progress[:2]:
            return
        op.accepted_by.add(source)
        if len(op.accepted_by) >= self.replica_set.quorum:
            self._finish(op, op.outcome, op.proposal)

    def _on_rejected(self, source: str, message: Rejected) -> None:
        if message.reason == RejectReason.EPOCH and message.replica_set is not None:
            if message.replica_set.epoch < self.replica_set.epoch:
                self._send_to(source, AdoptSet(self.replica_set))
            self.adopt(message.replica_set)
            return
        if message.reason not in (RejectReason.BALLOT, RejectReason.INCARNATION):
            return
        for op in self._rounds_of(message.ballot, message.key):
            # Start a new round after a short pause, with a ballot above the one promised to another proposer
            self._counter = max(self._counter, message.promised_ballot[0])
            op.sends = SENDS_PER_ROUND
            op.resend_at_ms = min(op.resend_at_ms, self._now_ms + RESEND_MS * self._jitter())
