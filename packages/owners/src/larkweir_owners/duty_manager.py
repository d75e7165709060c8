"""All duties at one process: registers, terms, followers, and the keeper if this process is one.

Calls go in by `came` and `tick`; what goes out goes by the Mail that it was handed, but for what a keeper says, which
rests on its disk: `take` gives steps, and each must be flushed before `flushed` is called with it, in their order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from larkweir_owners.acceptor import Acceptor, AcceptorOutput
from larkweir_owners.leadership import Leadership, LeaseTiming, Phase
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
    batched,
    decode,
    encode,
)
from larkweir_owners.placement import preference_order
from larkweir_owners.ports import Duty, Transport
from larkweir_owners.proposer import Proposer
from larkweir_owners.replica_set_change import ReplicaSetChange
from larkweir_owners.state_replicator import Sampler, StateReplicator

CANDIDATES = 3  # processes that watch a duty
PLACEMENT_INTERVAL_MS = 1000.0  # between two looks at who is alive
MAX_BATCHED_MESSAGES = 64  # small items in one
MAX_INBOX_MESSAGES = 1024  # items from this process to itself, and steps not flushed yet


class _Outbox:
    """Mail that also reaches this process itself. Between `gather` and `send` it holds what goes out, so that small
    items to one process go as one."""

    def __init__(self, me: str, transport: Transport, inbox: deque[bytes]) -> None:
        self._me, self._transport, self._inbox = me, transport, inbox
        self._gathered: dict[str, list[bytes]] = {}
        self._is_gathering = False

    def gather(self) -> None:
        self._is_gathering = True

    def send(self) -> None:
        self._is_gathering = False
        held, self._gathered = self._gathered, {}
        for to, items in held.items():
            for message in batched(items):
                self._transport.post(to, message)

    def post(self, to: str, message: bytes) -> bool:
        """What is held counts as sent: whoever posts an item bears its loss anyway."""
        if to != self._me:
            if not self._is_gathering:
                return self._transport.post(to, message)
            self._gathered.setdefault(to, []).append(message)
            return True
        if len(self._inbox) >= MAX_INBOX_MESSAGES:
            return False
        self._inbox.append(message)
        return True

    def alive(self) -> Sequence[str]:
        return self._transport.alive()


class DutyManager:
    """`spread`: a number from 0 to 1; `pick`: so many of a list, at random; `life`: random, made at each start."""

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
        held: Iterable[tuple[str, Record]] = (),
    ) -> None:
        self.me = me
        self.acceptor = acceptor
        self.timing = timing if timing is not None else LeaseTiming()
        self._inbox: deque[bytes] = deque()
        self._outputs: deque[AcceptorOutput] = deque()
        self._unflushed = 0  # steps not flushed yet, taken or not
        self._outbox = _Outbox(me, transport, self._inbox)
        if acceptor is not None and acceptor.state.replica_set.epoch > replica_set.epoch:
            replica_set = acceptor.state.replica_set
        self.proposer = Proposer(me, incarnation, replica_set, self._outbox, jitter)
        self.replicator = StateReplicator(
            me, self._outbox, self.proposer, sample, self._on_applied, held, jitter()
        )
        self.set_change = ReplicaSetChange(self.proposer, self._outbox)
        self.duties = {duty.name: duty for duty in duties}
        self.leaderships = {
            name: Leadership(
                duty,
                (me, incarnation),
                self.proposer,
                self.timing,
                self.replicator.announce,
                self.replicator.version,
                self.replicator.notify_preferred_owner,
                self._on_renewed,
            )
            for name, duty in self.duties.items()
        }
        self._candidates: dict[str, list[str]] = {}
        self.is_draining = False
        self.dropped = 0
        self.failed = 0  # duties that raised when they were told
        self._placement_ms = 0.0
        self._now_ms = 0.0

    # In

    def on_message(self, source: str, message: bytes, now_ms: float) -> None:
        self._now_ms = now_ms
        self.proposer.set_time(now_ms)
        self._outbox.gather()
        self._on_data(source, message, now_ms)
        self._drain_inbox(now_ms)
        self._outbox.send()

    def tick(self, now_ms: float) -> None:
        self._now_ms = now_ms
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
        """A duty has something to do: where this process owns it, its step is due with the next `tick`."""
        if (leadership := self.leaderships.get(name)) is not None:
            leadership.wake(now_ms)

    def on_lag(self, lag_ms: float, now_ms: float) -> None:
        """The loop came so late to its turns: where that is much of a lease, this process gives up what it owns."""
        if lag_ms > self.timing.max_lag_ms:
            for leadership in self.leaderships.values():
                leadership.release(now_ms, self.timing.lease_ms * self.timing.settle_leases)

    def drain(self, now_ms: float) -> None:
        """Hand over all duties, and take none from now on. Done when `owned` is empty."""
        self.is_draining = True
        for leadership in self.leaderships.values():
            leadership.release(now_ms, float("inf"))
        self.tick(now_ms)

    def resume(self, now_ms: float) -> None:
        """After `drain`: it may take duties again."""
        self.is_draining = False
        for leadership in self.leaderships.values():
            leadership.resume()
        self._placement_ms = now_ms
        self.tick(now_ms)

    # Out

    @property
    def next_ms(self) -> float:
        due = [self._placement_ms, self.proposer.next_ms, self.replicator.next_ms, self.set_change.next_ms]
        due.extend(leadership.next_ms for leadership in self.leaderships.values())
        if self.acceptor is not None:
            due.append(self.acceptor.next_ms)
        return min(due)

    @property
    def owned_duties(self) -> list[str]:
        return [name for name, leadership in self.leaderships.items() if leadership.is_owner]

    def take_outputs(self) -> list[AcceptorOutput]:
        """Steps of the keeper, to be flushed in this order."""
        steps = list(self._outputs)
        self._outputs.clear()
        return steps

    def on_flushed(self, output: AcceptorOutput, now_ms: float) -> None:
        """What the step wanted flushed is on disk: what it says may be sent. Once for each step, in their order."""
        self.on_all_flushed((output,), now_ms)

    def on_all_flushed(self, steps: Iterable[AcceptorOutput], now_ms: float) -> None:
        """As `flushed` of each, in their order: what they say to one process goes together."""
        self._outbox.gather()
        for output in steps:
            self._unflushed -= 1
            for to, message in output.messages:
                self._outbox.post(to, encode(message))
        self._drain_inbox(now_ms)
        self._outbox.send()

    def on_flush_failed(self) -> None:
        """The keeper stops voting, and nothing of what waited is sent."""
        if self.acceptor is not None:
            self.acceptor.on_disk_failed()
        self._outputs.clear()

    def status(self) -> dict[str, Any]:
        """For STATUS: by duty its owner, term, number and this process's part; the keeper's state."""
        duties = {}
        for name, leadership in self.leaderships.items():
            record = leadership.record or self.replicator.records.get(name)
            duties[name] = {
                "phase": "rests" if leadership.is_suspended else leadership.phase.value,
                "owner": record.owner if record is not None else "",
                "term": record.term if record is not None else 0,
                "number": record.number if record is not None else 0,
                "refused": leadership.rejected,
                "failed": leadership.failed_steps,
            }
        asked = [
            leadership
            for leadership in self.leaderships.values()
            if leadership.phase is not Phase.WATCHING or leadership.record
        ]
        return {
            "duties": duties,
            "majority": any(leadership.has_majority for leadership in asked),
            "keepers": self.proposer.replica_set.names,
            "epoch": self.proposer.replica_set.epoch,
            "keeper": self.acceptor.mode if self.acceptor is not None else "",
            "late": self.replicator.stale,
            "dropped": self.dropped + self.proposer.dropped,
        }

    # Inside

    def _drain_inbox(self, now_ms: float) -> None:
        for _ in range(MAX_INBOX_MESSAGES):
            if not self._inbox:
                return
            self._on_data(self.me, self._inbox.popleft(), now_ms)

    def _on_data(self, source: str, data: bytes, now_ms: float) -> None:
        message = decode(data)
        if isinstance(message, Batch):
            for each in message.items[:MAX_BATCHED_MESSAGES]:
                inner = decode(each)
                self._handle(source, None if isinstance(inner, Batch) else inner, now_ms)
        else:
            self._handle(source, message, now_ms)

    def _handle(self, source: str, message: AnyMessage | None, now_ms: float) -> None:
        match message:
            case (
                ReadRequest()
                | Prepare()
                | Accept()
                | RecoveryQuery()
                | RecoveryReply()
                | CatchUpRequest()
                | CatchUpPage()
                | AdoptSet()
            ):
                self._to_acceptor(source, message)
                if isinstance(message, RecoveryReply):
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
            # An answer without news of its own may tell of what is not on disk yet: it waits its turn
            self._outputs.append(output)
            self._unflushed += 1
        else:
            for to, message in output.messages:
                self._outbox.post(to, encode(message))

    def _place_duties(self) -> None:
        alive = set(self._outbox.alive())
        alive.add(self.me)
        for name, leadership in self.leaderships.items():
            order = preference_order(name, alive, CANDIDATES + 1)
            self._candidates[name] = [other for other in order[:CANDIDATES] if other != self.me]
            rank = order.index(self.me) if self.me in order[:CANDIDATES] and not self.is_draining else None
            leadership.set_preference(rank, next((other for other in order if other != self.me), ""))

    def _on_renewed(self, key: str, record: Record) -> None:
        """Those that watch are told by the owner itself, so that they need not read. Nobody passes that on."""
        for name in self._candidates.get(key, ()):
            self._outbox.post(name, encode(StateUpdates(((key, record),))))

    def _on_applied(self, key: str, record: Record) -> None:
        duty = self.duties.get(key)
        if duty is not None:
            try:
                duty.on_committed(record.value, record.version)
            except Exception:  # a duty's fault ends no process
                self.failed += 1
