"""Changes the replica set by one replica at a time. The set itself is stored in a register.

1. The next set (epoch + 1, with the previous names) is written to its register by a majority of the current set.
2. Replicas adopt the set until a majority of both sets has adopted it. From then on, no write of the old epoch can
   count.
3. Each key that replicas of the old set hold is read, and accepted again by a majority of the new set.
4. The register is written again without the previous names. Only then may the next change begin.

Any two majorities of sets that differ by one replica overlap, so reads and writes continue during a change. Any process
that finds an abandoned change can continue it (`resume`). Pure logic.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum

import msgspec

from larkweir_owners.messages import (
    NO_VERSION,
    AdoptSet,
    AnyMessage,
    Record,
    RecoveryQuery,
    RecoveryReply,
    ReplicaSet,
    SetAdopted,
    Version,
    encode,
)
from larkweir_owners.ports import Outcome, Result, Transport
from larkweir_owners.proposer import Proposer

SETS_KEY = "\0keepers"  # the key of the register that holds the replica set
RESEND_MS = 300.0
CHANGE_TIMEOUT_MS = 20_000.0  # a change without progress for this long is abandoned; it can be resumed
COMMITTED_SET_SENDS = (
    4  # of a committed set; a replica that misses them all keeps treating the set as uncommitted
)
INCARNATIONS_PER_EPOCH = 1 << 20  # the first incarnation of an added replica is its epoch times this number
MAX_REPLICAS = 7
NO_MAJORITY = "no majority of the new set answered; resume the change when a majority is available"


class ChangeState(StrEnum):
    """The step that a change is waiting for. The fault of an abandoned change contains the value."""

    IDLE = ""
    QUERYING = "asking the new one"
    READING = "reading"
    WRITING = "writing"
    ADOPTING = "adopting"
    REWRITING = "rewriting"
    COMMITTING = "settling"


class ReplicaSetChange:
    """Runs at most one change at a time. `fault`: the error of the last change, or "" if it succeeded."""

    def __init__(self, proposer: Proposer, transport: Transport) -> None:
        self.next_ms = float("inf")
        self.state = ChangeState.IDLE
        self.fault = ""
        self._proposer, self._transport = proposer, transport
        self._now_ms = 0.0
        self._deadline_ms = 0.0
        self._names: tuple[str, ...] = ()
        self._added_name = ""  # the replica to add, or ""
        self._added_disk_id = 0
        self._next_set: ReplicaSet | None = None
        # By replica: the last key received; None when complete
        self._adopted_up_to: dict[str, str | None] = {}
        self._keys: set[str] = set()
        self._committed_names: set[str] = set()
        self._sends_left = 0
        self._on_end: Callable[[str], None] = lambda fault: None

    def begin(self, names: tuple[str, ...], on_end: Callable[[str], None], now_ms: float) -> str:
        """Change to a set with one replica more or one less. Return "", or the reason why the change can't begin.
        `on_end` is called with the error, or with "" if the change succeeded.
        """
        present = self._proposer.replica_set
        added, removed = set(names) - set(present.names), set(present.names) - set(names)
        if self.state:
            return "another change is in progress"
        is_by_one = len(names) == len(set(names)) and len(added) + len(removed) == 1
        if not is_by_one or not 1 <= len(names) <= MAX_REPLICAS:
            return "a change must add or remove exactly one replica, and leave 1 to 7 replicas"
        self._names, self._added_name = tuple(sorted(names)), next(iter(added), "")
        self._start(ChangeState.QUERYING if self._added_name else ChangeState.READING, on_end, now_ms)
        return ""

    def resume(self, on_end: Callable[[str], None], now_ms: float) -> str:
        """Continue an abandoned change, if there is one. The result is the same as for `begin`."""
        if self.state:
            return "another change is in progress"
        self._names, self._added_name = (), ""
        self._start(ChangeState.READING, on_end, now_ms)
        return ""

    def _start(self, state: ChangeState, on_end: Callable[[str], None], now_ms: float) -> None:
        self._now_ms, self._deadline_ms, self._on_end = now_ms, now_ms + CHANGE_TIMEOUT_MS, on_end
        self.state, self.fault, self._sends_left = state, "", 0
        self._next_set, self._added_disk_id = None, 0
        self._adopted_up_to.clear()
        self._keys.clear()
        self.next_ms = now_ms + RESEND_MS
        if state is ChangeState.READING:
            self._proposer.read(SETS_KEY, self._on_read)
        else:
            self._send(self._added_name, RecoveryQuery(0))

    def _finish(self, fault: str) -> None:
        self.state, self.fault = ChangeState.IDLE, fault
        self.next_ms = float("inf")
        self._on_end(fault)

    def _send(self, to: str, message: AnyMessage) -> None:
        self._transport.post(to, encode(message))

    def tick(self, now_ms: float) -> None:
        """Resend unanswered messages, and abandon a change that makes no progress."""
        self._now_ms = now_ms
        if not self.state:
            self._send_committed_set()
            return
        self.next_ms = now_ms + RESEND_MS
        if now_ms >= self._deadline_ms:
            self._finish(f"timed out while {self.state}")
        elif self.state is ChangeState.QUERYING:
            self._send(self._added_name, RecoveryQuery(0))
        elif self.state is ChangeState.ADOPTING:
            self._send_next_set()

    def on_message(self, source: str, message: AnyMessage, now_ms: float) -> None:
        """Handle a replica's answer; any other message is ignored."""
        self._now_ms = now_ms
        match message:
            case RecoveryReply() if self.state is ChangeState.QUERYING and source == self._added_name:
                self._on_added_replied(source, message)
            case SetAdopted() if self.state is ChangeState.ADOPTING and self._next_set is not None:
                if message.epoch == self._next_set.epoch:
                    self._on_adopted(source, message, self._next_set)

    # ------------------------------------------------ 1. the next set is written

    def _on_added_replied(self, source: str, reply: RecoveryReply) -> None:
        if reply.progress[0] != 0:
            self._finish(f"{source} was a replica before: its file must be removed first")
            return
        self._added_disk_id = reply.progress[1]
        self.state = ChangeState.READING
        self._proposer.read(SETS_KEY, self._on_read)

    def _on_read(self, result: Result) -> None:
        if self.state is not ChangeState.READING:
            return
        if result.outcome is Outcome.UNKNOWN:
            self._finish("no majority")
            return
        present, version = self._proposer.replica_set, NO_VERSION
        if result.record is not None:
            version = result.record.version
            try:
                present = msgspec.msgpack.decode(result.record.value, type=ReplicaSet)
            except msgspec.DecodeError:
                self._finish("the record of the replica set can't be decoded")
                return
        if present.previous:  # an abandoned change is completed first
            self._next_set = present
            self._on_written(Result(Outcome.DONE, result.record))
        elif not self._names:
            self._finish("")
        elif len(set(present.names) ^ set(self._names)) != 1:
            self._finish(f"the replica set has changed to {', '.join(present.names)}")
        else:
            self._write_next_set(present, version)

    def _write_next_set(self, present: ReplicaSet, version: Version) -> None:
        epoch = present.epoch + 1
        added = ("", 0, 0)
        if self._added_name:
            added = (self._added_name, epoch * INCARNATIONS_PER_EPOCH, self._added_disk_id)
        self._next_set = ReplicaSet(epoch, self._names, present.names, added)
        self.state = ChangeState.WRITING
        self._proposer.write(SETS_KEY, version, self._record(self._next_set, version), self._on_written)

    def _record(self, replica_set: ReplicaSet, version: Version) -> Record:
        value = msgspec.msgpack.encode(replica_set)
        proposer = self._proposer
        return Record(replica_set.epoch, version[1] + 1, proposer.name, proposer.incarnation, value=value)

    # ------------------------------------------------ 2. replicas adopt the next set

    def _on_written(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            unknown = result.outcome is Outcome.UNKNOWN
            self._finish("no majority" if unknown else "another change began first")
            return
        self.state = ChangeState.ADOPTING
        self._keys = {SETS_KEY}
        self._send_next_set()

    def _send_next_set(self) -> None:
        assert self._next_set is not None
        for name in sorted({*self._next_set.names, *self._next_set.previous}):
            after = self._adopted_up_to.get(name, "")
            if after is not None:
                self._send(name, AdoptSet(self._next_set, after))

    def _on_adopted(self, source: str, message: SetAdopted, next_set: ReplicaSet) -> None:
        """Handle a page of the keys that a replica holds; the replica has adopted the set."""
        if self._adopted_up_to.get(source, "") != message.after_key:
            return
        self._keys.update(message.keys)
        self._adopted_up_to[source] = message.keys[-1] if message.has_more else None
        if message.has_more:
            self._send(source, AdoptSet(next_set, message.keys[-1]))
        complete = {name for name, after in self._adopted_up_to.items() if after is None}
        if all(
            len(complete.intersection(names)) >= len(names) // 2 + 1
            for names in (next_set.names, next_set.previous)
        ):
            self._proposer.adopt(next_set)
            self.state = ChangeState.REWRITING
            self._rewrite_next(Result(Outcome.DONE, None))

    # ------------------------------------------------ 3. each key is accepted again

    def _rewrite_next(self, result: Result) -> None:
        if self.state is not ChangeState.REWRITING or self._next_set is None:
            return
        if result.outcome is Outcome.UNKNOWN:
            self._finish(NO_MAJORITY)
        elif self._keys:
            self._deadline_ms = self._now_ms + CHANGE_TIMEOUT_MS
            key = min(self._keys)
            self._keys.remove(key)
            self._proposer.rewrite(key, self._rewrite_next)
        else:
            self.state = ChangeState.COMMITTING
            self._proposer.read(SETS_KEY, self._on_rewritten)

    # ------------------------------------------------ 4. the set is committed

    def _on_rewritten(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE or result.record is None or self._next_set is None:
            self._finish(NO_MAJORITY)
            return
        self._committed_names = {*self._next_set.names, *self._next_set.previous}
        self._next_set = ReplicaSet(self._next_set.epoch, self._next_set.names)
        version = result.record.version
        self._proposer.write(SETS_KEY, version, self._record(self._next_set, version), self._on_set_committed)

    def _on_set_committed(self, result: Result) -> None:
        if result.outcome is Outcome.DONE and self._next_set is not None:
            self._proposer.adopt(self._next_set)
            self._finish("")
            self._sends_left = COMMITTED_SET_SENDS
            self.tick(self._now_ms)
        else:
            self._finish("the new set is not committed; resume the change")

    def _send_committed_set(self) -> None:
        """Send the committed set to all replicas that may still use the previous one."""
        self.next_ms = float("inf")
        if self._sends_left and self._next_set is not None:
            self._sends_left -= 1
            self.next_ms = self._now_ms + RESEND_MS
            for name in sorted(self._committed_names):
                self._send(name, AdoptSet(self._next_set))
