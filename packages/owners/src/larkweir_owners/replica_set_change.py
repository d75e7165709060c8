"""The set of keepers changes by one keeper at a time, by the registers themselves.

1. The next set (epoch + 1, with the one before) is written to a register of its own, by a majority of the present set.
2. Keepers adopt it until a majority of each set has: from then on none of the old epoch can count.
3. Each key that those of the old set hold is read and accepted anew by a majority of the new set.
4. The register is written once more, without the set before: only then may the next change begin.

Two sets that differ by one keeper have no two majorities apart, so reads and writes go on meanwhile. Whoever finds a
change that its beginner left undone can carry it on (`resume`).
"""

from __future__ import annotations

from collections.abc import Callable

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
    encode,
)
from larkweir_owners.ports import Outcome, Result, Transport
from larkweir_owners.proposer import Proposer

SETS_KEY = "\0keepers"
RESEND_MS = 300.0
CHANGE_TIMEOUT_MS = 20_000.0  # a change that stands still for longer is left undone, and can be resumed
SETTLED_SENDS = (
    4  # times that a settled set is told; a keeper that misses all goes on as if it were not settled
)
INCARNATIONS_PER_EPOCH = 1 << 20  # a new keeper's lives are numbered from its epoch times this


class ReplicaSetChange:
    """At most one change at a time. `state`: "" when none is under way, else what it waits for; `fault`: how the last
    one ended, "" when well."""

    def __init__(self, proposer: Proposer, transport: Transport) -> None:
        self.next_ms = float("inf")
        self.state = ""
        self.fault = ""
        self._proposer, self._transport = proposer, transport
        self._now_ms = 0.0
        self._deadline_ms = 0.0
        self._names: tuple[str, ...] = ()
        self._added_name = ""  # the keeper that is added
        self._added_disk_id = 0
        self._next_set: ReplicaSet | None = None
        self._adopted_up_to: dict[str, str | None] = {}  # from whom, keys up to which; None when all
        self._keys: set[str] = set()
        self._settled_names: set[str] = set()
        self._sends_left = 0
        self._on_end: Callable[[str], None] = lambda fault: None

    def begin(self, names: tuple[str, ...], on_end: Callable[[str], None], now_ms: float) -> str:
        """One name more or one less than now. "", or why it can't be begun; `then` gets the fault, "" when done."""
        present = self._proposer.replica_set
        added, removed = set(names) - set(present.names), set(present.names) - set(names)
        if self.state:
            return "a change is under way"
        if len(names) != len(set(names)) or len(added) + len(removed) != 1 or not 1 <= len(names) <= 7:
            return "a change is one keeper more or one less, of 1 to 7"
        self._names, self._added_name = tuple(sorted(names)), next(iter(added), "")
        self._start("asking the new one" if self._added_name else "reading", on_end, now_ms)
        return ""

    def resume(self, on_end: Callable[[str], None], now_ms: float) -> str:
        """Go on with a change that was left undone, if there is one."""
        if self.state:
            return "a change is under way"
        self._names, self._added_name = (), ""
        self._start("reading", on_end, now_ms)
        return ""

    def _start(self, state: str, on_end: Callable[[str], None], now_ms: float) -> None:
        self._now_ms, self._deadline_ms, self._on_end = now_ms, now_ms + CHANGE_TIMEOUT_MS, on_end
        self.state, self.fault, self._sends_left = state, "", 0
        self._next_set, self._added_disk_id = None, 0
        self._adopted_up_to.clear()
        self._keys.clear()
        self.next_ms = now_ms + RESEND_MS
        if state == "reading":
            self._proposer.read(SETS_KEY, self._on_read)
        else:
            self._transport.post(self._added_name, encode(RecoveryQuery(0)))

    def _finish(self, fault: str) -> None:
        self.state, self.fault = "", fault
        self.next_ms = float("inf")
        self._on_end(fault)

    def tick(self, now_ms: float) -> None:
        self._now_ms = now_ms
        self.next_ms = now_ms + RESEND_MS if self.state else float("inf")
        if not self.state:
            if self._sends_left and self._next_set is not None:
                self._sends_left -= 1
                self.next_ms = now_ms + RESEND_MS
                for name in sorted(self._settled_names):
                    self._transport.post(name, encode(AdoptSet(self._next_set)))
            return
        if now_ms >= self._deadline_ms:
            self._finish(f"gave up while {self.state}")
        elif self.state == "asking the new one":
            self._transport.post(self._added_name, encode(RecoveryQuery(0)))
        elif self.state == "adopting":
            self._adopt()

    def on_message(self, source: str, message: AnyMessage, now_ms: float) -> None:
        self._now_ms = now_ms
        match message:
            case RecoveryReply() if self.state == "asking the new one" and source == self._added_name:
                if message.progress[0] != 0:
                    self._finish(f"{source} has kept before: its file must be removed first")
                    return
                self._added_disk_id = message.progress[1]
                self.state = "reading"
                self._proposer.read(SETS_KEY, self._on_read)
            case SetAdopted() if self.state == "adopting" and self._next_set is not None:
                if (
                    message.epoch == self._next_set.epoch
                    and self._adopted_up_to.get(source, "") == message.after_key
                ):
                    self._keys.update(message.keys)
                    self._adopted_up_to[source] = message.keys[-1] if message.has_more else None
                    if message.has_more:
                        self._transport.post(source, encode(AdoptSet(self._next_set, message.keys[-1])))
                    self._check_quorums()

    def _on_read(self, result: Result) -> None:
        if self.state != "reading":
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
                self._finish("the register of keepers can't be read")
                return
        if present.previous:  # one that was left undone goes first
            self._next_set = present
            self._on_written(Result(Outcome.DONE, result.record))
            return
        if not self._names:
            self._finish("")
            return
        if len(set(present.names) ^ set(self._names)) != 1:
            self._finish(f"the keepers are {', '.join(present.names)} by now")
            return
        epoch = present.epoch + 1
        added = (
            (self._added_name, epoch * INCARNATIONS_PER_EPOCH, self._added_disk_id)
            if self._added_name
            else ("", 0, 0)
        )
        self._next_set = ReplicaSet(epoch, self._names, present.names, added)
        self.state = "writing"
        self._proposer.write(SETS_KEY, version, self._record(version), self._on_written)

    def _record(self, version: tuple[int, int]) -> Record:
        assert self._next_set is not None
        value = msgspec.msgpack.encode(self._next_set)
        return Record(
            self._next_set.epoch, version[1] + 1, self._proposer.name, self._proposer.incarnation, value=value
        )

    def _on_written(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            self._finish("no majority" if result.outcome is Outcome.UNKNOWN else "another change was first")
            return
        self.state = "adopting"
        self._keys = {SETS_KEY}
        self._adopt()

    def _adopt(self) -> None:
        assert self._next_set is not None
        for name in sorted({*self._next_set.names, *self._next_set.previous}):
            after = self._adopted_up_to.get(name, "")
            if after is not None:
                self._transport.post(name, encode(AdoptSet(self._next_set, after)))

    def _check_quorums(self) -> None:
        assert self._next_set is not None
        have = {name for name, after in self._adopted_up_to.items() if after is None}
        for names in (self._next_set.names, self._next_set.previous):
            if len(have.intersection(names)) < len(names) // 2 + 1:
                return
        self._proposer.adopt(self._next_set)
        self.state = "rewriting"
        self._rewrite_next(Result(Outcome.DONE, None))

    def _rewrite_next(self, result: Result) -> None:
        if self.state != "rewriting" or self._next_set is None:
            return
        if result.outcome is Outcome.UNKNOWN:
            self._finish("no majority of the new set; resume when there is one")
        elif self._keys:
            self._deadline_ms = self._now_ms + CHANGE_TIMEOUT_MS
            key = min(self._keys)
            self._keys.remove(key)
            self._proposer.rewrite(key, self._rewrite_next)
        else:
            self.state = "settling"
            self._proposer.read(SETS_KEY, self._on_rewritten)

    def _on_rewritten(self, result: Result) -> None:
        if result.outcome is not Outcome.DONE or result.record is None or self._next_set is None:
            self._finish("no majority of the new set; resume when there is one")
            return
        self._settled_names = {*self._next_set.names, *self._next_set.previous}
        self._next_set = ReplicaSet(self._next_set.epoch, self._next_set.names)
        version = result.record.version
        self._proposer.write(SETS_KEY, version, self._record(version), self._on_settled)

    def _on_settled(self, result: Result) -> None:
        if result.outcome is Outcome.DONE and self._next_set is not None:
            self._proposer.adopt(self._next_set)
            self._finish("")
            self._sends_left = SETTLED_SENDS
            self.tick(self._now_ms)
        else:
            self._finish("not settled; resume")
