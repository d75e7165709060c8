"""The proposer of CASPaxos (Rystsov 2018, 2.2): conditional registers over keepers that vote by majority.

A write is a round of prepare and accept on one key, with a ballot of (counter, name, life); what it proposes is what
the majority's highest ballot holds, or the new record where that is the version expected. A round counts accepts only
from those that promised it, in the same lives. Reads ask without a promise first, and go the long way where a majority
does not agree.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir_owners.messages import (
    MAX_NAME_CHARS,
    MAX_STATE_BYTES,
    NO_BALLOT,
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
    ReplicaSet,
    Version,
    encode,
)
from larkweir_owners.ports import OnResult, Outcome, Result, Transport

MAX_OPERATIONS = 256  # operations under way; further ones end as unknown at once
RESEND_MS = 40.0  # an unanswered round sends again after this much, then twice as much, ...
MAX_RESEND_MS = 800.0
READ_RETRY_MS = 25.0
SENDS_PER_ROUND = 4  # sendings of one round before it takes a higher ballot
OPERATION_TIMEOUT_MS = 3000.0  # an operation is unknown after this


@dataclass(slots=True)
class Operation:
    """One read or write, over as many rounds as it takes."""

    key: str
    on_result: OnResult
    deadline_ms: float
    expected: Version = NO_VERSION
    record: Record | None = None  # what to write; None reads
    rewrite: bool = False  # propose what is there even where a majority agrees
    phase: str = "ask"
    operation_id: int = 0
    ballot: Ballot = NO_BALLOT
    replies: dict[str, ReadReply] = field(default_factory=dict)
    promises: dict[str, Promised] = field(default_factory=dict)
    promised_by: dict[str, Progress] = field(default_factory=dict)
    accepted_by: set[str] = field(default_factory=set)
    proposal: Record | None = None
    outcome: Outcome = Outcome.DONE
    may_have_counted: bool = False  # an accept with the new record was sent
    sends: int = 0
    resend_at_ms: float = 0.0


class Proposer:
    """Carries out `Registers`. `life`: random, made at each start of the process. `spread`: gives a number from 0 to 1,
    so that two that contend do not go on in step."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        replica_set: ReplicaSet,
        transport: Transport,
        jitter: Callable[[], float],
    ) -> None:
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

    # Registers

    def read(self, key: str, on_result: OnResult) -> None:
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS))

    def write(self, key: str, expected: Version, record: Record, on_result: OnResult) -> None:
        if record.version <= expected or len(record.value) > MAX_STATE_BYTES or len(key) > MAX_NAME_CHARS:
            raise ValueError(f"{key}: version {record.version} is not above {expected}, or it is too long")
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS, expected, record))

    def rewrite(self, key: str, on_result: OnResult) -> None:
        """Read it, and have a majority of the present set take it anew."""
        self._start(Operation(key, on_result, self._now_ms + OPERATION_TIMEOUT_MS, rewrite=True))

    @property
    def next_ms(self) -> float:
        return min((min(op.resend_at_ms, op.deadline_ms) for op in self._open), default=float("inf"))

    def adopt(self, replica_set: ReplicaSet) -> None:
        """Another set of keepers counts: what is under way begins anew with it."""
        if (replica_set.epoch, not replica_set.previous) <= (
            self.replica_set.epoch,
            not self.replica_set.previous,
        ):
            return
        is_new_epoch = replica_set.epoch != self.replica_set.epoch
        self.replica_set = replica_set
        if is_new_epoch:
            for op in list(self._open):
                self._start_round(op)

    def set_time(self, now_ms: float) -> None:
        """The time of what is called next."""
        self._now_ms = max(now_ms, self._now_ms)

    def tick(self, now_ms: float) -> None:
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
        self.set_time(now_ms)
        if source not in self.replica_set.names and source not in self.replica_set.previous:
            self.dropped += 1
            return
        match message:
            case ReadReply() if source in self.replica_set.names:
                for op in [
                    op for op in self._open if op.phase == "ask" and op.operation_id == message.operation_id
                ]:
                    op.replies[source] = message
                    self._on_read_reply(op)
            case Promised() if source in self.replica_set.names:
                for op in self._operations_of(message.ballot, message.key):
                    self._on_promised(op, source, message)
            case Accepted():
                for op in self._operations_of(message.ballot, message.key):
                    self._on_accepted(op, source, message)
            case Rejected():
                self._on_rejected(source, message)
            case _:
                self.dropped += 1

    # Rounds

    def _operations_of(self, ballot: Ballot, key: str) -> list[Operation]:
        return [op for op in self._open if op.ballot == ballot and op.key == key and op.phase != "ask"]

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

    def _start_round(self, op: Operation, above: int = 0) -> None:
        self.rounds += 1
        self._counter = max(self._counter, above) + 1
        op.ballot = (self._counter, self.name, self.incarnation)
        op.phase = "prepare"
        op.promises, op.promised_by, op.accepted_by, op.proposal = {}, {}, set(), None
        op.sends = 0
        self._send(op)

    def _send(self, op: Operation) -> None:
        """To all that have not answered yet."""
        op.resend_at_ms = self._now_ms + min(RESEND_MS * 2**op.sends, MAX_RESEND_MS) * (
            1 + 0.5 * self._jitter()
        )
        op.sends += 1
        epoch = self.replica_set.epoch
        op.replies.clear()
        for name in self.replica_set.names:
            if op.phase == "ask":
                self._send_to(name, ReadRequest(op.operation_id, epoch, op.key))
            elif op.phase == "prepare" and name not in op.promises:
                self._send_to(name, Prepare(epoch, op.key, op.ballot))
            elif op.phase == "accept" and name in op.promised_by and name not in op.accepted_by:
                self._send_accept(op, name)

    def _send_to(self, to: str, message: AnyMessage) -> None:
        self._transport.post(to, encode(message))

    def _send_accept(self, op: Operation, to: str) -> None:
        if op.proposal is not None:
            promised_by = tuple(sorted(op.promised_by.items()))
            self._send_to(to, Accept(self.replica_set.epoch, op.key, op.ballot, op.proposal, promised_by))

    def _on_read_reply(self, op: Operation) -> None:
        if len(op.replies) < self.replica_set.quorum:
            return
        best = max(op.replies.values(), key=lambda reply: reply.ballot)
        if sum(reply.ballot == best.ballot for reply in op.replies.values()) >= self.replica_set.quorum:
            self._finish(op, Outcome.DONE, best.record)
        elif len(op.replies) == len(self.replica_set.names):
            # Somebody writes just now: a round would stop that, so ask again first
            op.resend_at_ms = min(op.resend_at_ms, self._now_ms + READ_RETRY_MS * (1 + self._jitter()))

    def _on_promised(self, op: Operation, source: str, message: Promised) -> None:
        if op.phase != "prepare":
            return  # who was not named in the first accept can't join: the others have not checked its life
        op.promises[source] = message
        latest: dict[str, Progress] = {}
        for promise in op.promises.values():
            for name, word in promise.known_progress:
                latest[name] = max(word, latest.get(name, word))
        # A promise of a life that another keeper knows to be over may be forgotten
        valid = {
            name: promise
            for name, promise in op.promises.items()
            if promise.progress[:2] >= latest.get(name, promise.progress)[:2]
        }
        if len(valid) < self.replica_set.quorum:
            return
        best = max(valid.values(), key=lambda promise: promise.accepted_ballot)
        agree = (
            sum(promise.accepted_ballot == best.accepted_ballot for promise in valid.values())
            >= self.replica_set.quorum
        )
        op.promised_by = {name: promise.progress for name, promise in valid.items()}
        self._propose(op, best.record, agree)

    def _propose(self, op: Operation, current: Record | None, agree: bool) -> None:
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
        op.phase = "accept"
        op.sends = 0
        self._send(op)

    def _on_accepted(self, op: Operation, source: str, message: Accepted) -> None:
        if op.phase != "accept" or op.promised_by.get(source, (0, 0, 0))[:2] != message.progress[:2]:
            return
        op.accepted_by.add(source)
        if len(op.accepted_by) >= self.replica_set.quorum:
            self._finish(op, op.outcome, op.proposal)

    def _on_rejected(self, source: str, message: Rejected) -> None:
        if message.reason == "epoch" and message.replica_set is not None:
            if message.replica_set.epoch < self.replica_set.epoch:
                self._send_to(source, AdoptSet(self.replica_set))
            self.adopt(message.replica_set)
            return
        if message.reason not in ("ballot", "life"):
            return
        for op in self._operations_of(message.ballot, message.key):
            # Wait a little, then a new round above what was promised to another
            self._counter = max(self._counter, message.promised_ballot[0])
            op.sends = SENDS_PER_ROUND
            op.resend_at_ms = min(op.resend_at_ms, self._now_ms + RESEND_MS * self._jitter())
