"""Manages all duties at one process: leadership, replicated states, and the acceptor if the process is a replica.

The driver passes in messages and time by `on_message` and `tick`. Outgoing messages are sent by the transport, except
for an acceptor's answers, which must not be sent before its state is on disk. The driver gets these by `take_outputs`;
for each output, in order, it flushes the entries and then calls `on_flushed`. Pure logic.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorOutput
from larkweir_owners.leadership import Leadership
from larkweir_owners.lease_timing import LeaseTiming, Phase
from larkweir_owners.messages import (
    Accept,
    Accepted,
    AdoptSet,
    AnyMessage,
    Batch,
    CatchUpPage,
    CatchUpRequest,
    Digest,
    Prepare,
    Promised,
    ReadReply,
    ReadRequest,
    Record,
    RecoveryQuery,
    RecoveryReply,
    Rejected,
    ReplicaSet,
    SetAdopted,
    StateUpdates,
    decode,
    encode,
)
from larkweir_owners.outbox import MAX_INBOX_MESSAGES, Outbox
from larkweir_owners.placement import preference_order
from larkweir_owners.ports import Duty, Transport
from larkweir_owners.proposer import Proposer
from larkweir_owners.replica_set_change import ReplicaSetChange
from larkweir_owners.state_replicator import Sampler, StateReplicator

CANDIDATES = 3  # number of processes that watch a duty
PLACEMENT_INTERVAL_MS = 1000.0  # interval between two rankings of the live processes
MAX_BATCHED_MESSAGES = 64
SUSPENDED = "rests"  # shown in STATUS instead of a phase


@dataclass(frozen=True, slots=True)
class DutyStatus:
    """One duty as this process knows it. `phase`: a value of `Phase`, or `SUSPENDED`."""

    phase: str
    owner: str
    term: int
    number: int
    rejected: int
    failed_steps: int


@dataclass(frozen=True, slots=True)
class ManagerStatus:
    """The manager's state, for STATUS. `mode`: the acceptor's mode, or "" if the process is not a replica."""

    duties: dict[str, DutyStatus]
    has_majority: bool
    epoch: int
    mode: str
    stale_updates: int
    dropped: int


class DutyManager:
    """Decides which duties this process owns, and holds the latest state of every duty."""

    def __init__(
        self,
        me: str,
        incarnation: int,
        replica_set: ReplicaSet,
        duties: Iterable[Duty],
        transport: Transport,
        jitter: Callable[[], float],
        sample: Sampler,
        timing: LeaseTiming | None = None,
        acceptor: Acceptor | None = None,
        initial_records: Iterable[tuple[str, Record]] = (),
    ) -> None:
        """`incarnation`: a random number chosen at each start; `jitter`: returns a number from 0 to 1; `sample`: draws
        a random sample from a list; `initial_records`: records of an earlier incarnation, from a store.
        """
        self.me = me
        self.acceptor = acceptor
        self.timing = timing if timing is not None else LeaseTiming()
        self._outputs: deque[AcceptorOutput] = deque()
        self._unflushed = 0  # outputs not flushed yet, taken or not
        self._outbox = Outbox(me, transport)
        if acceptor is not None and acceptor.state.replica_set.epoch > replica_set.epoch:
            replica_set = acceptor.state.replica_set
        self.proposer = Proposer(me, incarnation, replica_set, self._outbox, jitter)
        self.replicator = StateReplicator(
            me, self._outbox, self.proposer, sample, self._on_applied, initial_records, jitter()
        )
        self.set_change = ReplicaSetChange(self.proposer, self._outbox)
        self.duties = {duty.name: duty for duty in duties}
        self.leaderships = {
            name: Leadership(duty, (me, incarnation), self.proposer, self.timing, self.replicator)
            for name, duty in self.duties.items()
        }
        self.is_draining = False
        self.dropped = 0
        self.failed_commits = 0  # calls of `Duty.on_committed` that raised
        self._placement_ms = 0.0

    # ------------------------------------------------ in

    def on_message(self, source: str, message: bytes, now_ms: float) -> None:
        """Handle a message from another process. A message that can't be decoded is dropped and counted."""
        self.proposer.set_time(now_ms)
        self._outbox.gather()
        self._on_data(source, message, now_ms)
        self._drain_inbox(now_ms)
        self._outbox.send()

    def tick(self, now_ms: float) -> None:
        """Run the work that is due; call it at `next_ms`."""
        self.proposer.set_time(now_ms)
        self._outbox.gather()
        if now_ms >= self._placement_ms:
            self._placement_ms = now_ms + PLACEMENT_INTERVAL_MS
            self._place_duties()
        if self.acceptor is not None and now_ms >= self.acceptor.next_ms:
            self._on_output(self.acceptor.tick(now_ms))
        self.proposer.tick(now_ms)
        for leadership in self.leaderships.values():
            if now_ms >= leadership.next_ms:
                leadership.tick(now_ms)
        if any(leadership.is_writing for leadership in self.leaderships.values()):
            for leadership in self.leaderships.values():
                leadership.piggyback(now_ms)
        if now_ms >= self.replicator.next_ms:
            self.replicator.tick(now_ms)
        if now_ms >= self.set_change.next_ms:
            self.set_change.tick(now_ms)
        self._drain_inbox(now_ms)
        self._outbox.send()

    def wake(self, name: str, now_ms: float) -> None:
        """Report that a duty has work to do. If this process owns the duty, its next step becomes due early."""
        if (leadership := self.leaderships.get(name)) is not None:
            leadership.wake(now_ms)

    def on_lag(self, lag_ms: float, now_ms: float) -> None:
        """Report that the event loop was late by `lag_ms`. Above `LeaseTiming.max_lag_ms` all duties are released."""
        if lag_ms > self.timing.max_lag_ms:
            for leadership in self.leaderships.values():
                leadership.release(now_ms, self.timing.min_tenure_ms)

    def drain(self, now_ms: float) -> None:
        """Release all duties, and acquire none from now on. Draining is complete when `owned_duties` is empty."""
        self.is_draining = True
        for leadership in self.leaderships.values():
            leadership.release(now_ms, float("inf"))
        self.tick(now_ms)

    def resume(self, now_ms: float) -> None:
        """Allow this process to acquire duties again after `drain`."""
        self.is_draining = False
        for leadership in self.leaderships.values():
            leadership.resume()
        self._placement_ms = now_ms
        self.tick(now_ms)

    # ------------------------------------------------ out

    @property
    def next_ms(self) -> float:
        """When `tick` is due."""
        due = [self._placement_ms, self.proposer.next_ms, self.replicator.next_ms, self.set_change.next_ms]
        due.extend(leadership.next_ms for leadership in self.leaderships.values())
        if self.acceptor is not None:
            due.append(self.acceptor.next_ms)
        return min(due)

    @property
    def owned_duties(self) -> list[str]:
        """Names of the duties that this process believes it owns."""
        return [name for name, leadership in self.leaderships.items() if leadership.is_owner]

    def take_outputs(self) -> list[AcceptorOutput]:
        """Return the acceptor's pending outputs, which must be flushed in this order."""
        outputs = list(self._outputs)
        self._outputs.clear()
        return outputs

    def on_flushed(self, output: AcceptorOutput, now_ms: float) -> None:
        """Send the messages of an output whose entries are on disk. Call this once per output, in order."""
        self.on_all_flushed((output,), now_ms)

    def on_all_flushed(self, outputs: Iterable[AcceptorOutput], now_ms: float) -> None:
        """Like `on_flushed` for each output in order, but messages to one process are batched."""
        self._outbox.gather()
        for output in outputs:
            self._unflushed -= 1
            self._send_all(output)
        self._drain_inbox(now_ms)
        self._outbox.send()

    def on_flush_failed(self) -> None:
        """Stop voting, and discard all pending messages of the acceptor."""
        if self.acceptor is not None:
            self.acceptor.on_disk_failed()
        self._outputs.clear()

    def status(self) -> ManagerStatus:
        """Return the state of each duty and of the acceptor, for STATUS."""
        queried = [
            leadership
            for leadership in self.leaderships.values()
            if leadership.phase is not Phase.WATCHING or leadership.record
        ]
        return ManagerStatus(
            {name: self._status_of(name, leadership) for name, leadership in self.leaderships.items()},
            any(leadership.has_majority for leadership in queried),
            self.proposer.replica_set.epoch,
            self.acceptor.mode if self.acceptor is not None else "",
            self.replicator.stale,
            self.dropped + self.proposer.dropped,
        )

    def _status_of(self, name: str, leadership: Leadership) -> DutyStatus:
        record = leadership.record or self.replicator.records.get(name)
        return DutyStatus(
            SUSPENDED if leadership.is_suspended else leadership.phase.value,
            record.owner if record is not None else "",
            record.term if record is not None else 0,
            record.number if record is not None else 0,
            leadership.rejected,
            leadership.failed_steps,
        )

    # ------------------------------------------------ messages

    def _drain_inbox(self, now_ms: float) -> None:
        """Handle the messages that this process has sent to itself."""
        for _ in range(MAX_INBOX_MESSAGES):
            if not self._outbox.inbox:
                return
            self._on_data(self.me, self._outbox.inbox.popleft(), now_ms)

    def _on_data(self, source: str, data: bytes, now_ms: float) -> None:
        message = decode(data)
        if isinstance(message, Batch):
            for item in message.items[:MAX_BATCHED_MESSAGES]:
                inner = decode(item)
                self._handle(source, None if isinstance(inner, Batch) else inner, now_ms)
        else:
            self._handle(source, message, now_ms)

    def _handle(self, source: str, message: AnyMessage | None, now_ms: float) -> None:
        match message:
            case ReadRequest() | Prepare() | Accept():
                self._to_acceptor(source, message)
            case RecoveryQuery() | CatchUpRequest() | CatchUpPage() | AdoptSet():
                self._to_acceptor(source, message)
            case RecoveryReply():
                self._to_acceptor(source, message)
                self.set_change.on_message(source, message, now_ms)
            case ReadReply() | Promised() | Accepted() | Rejected():
                self.proposer.on_message(source, message, now_ms)
            case SetAdopted():
                self.set_change.on_message(source, message, now_ms)
            case StateUpdates():
                self.replicator.on_updates(source, message, now_ms)
                for key, record in message.updates:
                    if key in self.leaderships:
                        self.leaderships[key].on_record_seen(record, now_ms, source)
            case Digest():
                self.replicator.on_digest(source, message, now_ms)
            case None:
                self.dropped += 1

    def _to_acceptor(self, source: str, message: AnyMessage) -> None:
        if self.acceptor is None:
            self.dropped += 1
            return
        self._on_output(self.acceptor.on_message(source, message))
        if self.acceptor.state.replica_set.epoch > self.proposer.replica_set.epoch:
            self.proposer.adopt(self.acceptor.state.replica_set)

    def _on_output(self, output: AcceptorOutput) -> None:
        if output.entries or (output.messages and self._unflushed):
            # An answer without entries may depend on earlier entries that are not on disk yet, so it waits for them
            self._outputs.append(output)
            self._unflushed += 1
        else:
            self._send_all(output)

    def _send_all(self, output: AcceptorOutput) -> None:
        for to, message in output.messages:
            self._outbox.post(to, encode(message))

    # ------------------------------------------------ duties

    def _place_duties(self) -> None:
        """Rank the live processes for each duty."""
        alive = set(self._outbox.alive())
        alive.add(self.me)
        for name, leadership in self.leaderships.items():
            order = preference_order(name, alive, CANDIDATES + 1)
            candidates = order[:CANDIDATES]
            self.replicator.set_watchers(name, [other for other in candidates if other != self.me])
            is_candidate = self.me in candidates and not self.is_draining
            rank = order.index(self.me) if is_candidate else None
            leadership.set_preference(rank, next((other for other in order if other != self.me), ""))

    def _on_applied(self, key: str, record: Record) -> None:
        duty = self.duties.get(key)
        if duty is not None:
            try:
                duty.on_committed(record.value, record.version)
            except Exception:  # a faulty duty must not stop the process
                self.failed_commits += 1
