"""A keeper of registers, the acceptor of CASPaxos (Rystsov 2018, 2.2), and how it comes to vote.

What it says rests on what is on its disk: each step gives what must be flushed first and what may be sent then. It
names its disk by a life: a new or lost disk is a new life. An accept names the words (life, how many answers) of all
that promised; a keeper refuses it where it knows a later life of one of them, or where it has not promised just that
ballot. Each start without a witness begins a new life, which votes once it has caught up from n - m + 1 others, m
being the majority of n (docs/design/owners.md has the proof). What was heard in accepts is remembered, so that a keeper
whose disk was put back from an older copy is told so; that one is as one that lost its disk: nobody learns from it
until it has caught up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TypeAlias

import msgspec

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
    Record,
    RecoveryQuery,
    RecoveryReply,
    Rejected,
    ReplicaSet,
    SetAdopted,
)

MAX_KEYS = 4096
MAX_REPLICAS = 7
RECOVERY_RETRY_MS = 500.0  # between two questions of one that does not vote yet
MAX_PAGE_BYTES = 4096  # of values in an answer to Catch; names and numbers come on top
MAX_PAGE_KEYS = 32


class Slot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    record: Record | None = None


# What is flushed. One entry is whole or not there.


class SlotEntry(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    key: str
    slot: Slot
    answer_count: int
    peer_progress: tuple[tuple[str, Progress], ...] = ()


class IncarnationEntry(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """`born`: it may vote, or could before it stopped."""

    incarnation: Incarnation
    can_vote: bool
    answer_count: int


class PeerProgressEntry(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    peer_progress: tuple[tuple[str, Progress], ...]


class ReplicaSetEntry(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    replica_set: ReplicaSet


LogEntry: TypeAlias = SlotEntry | IncarnationEntry | PeerProgressEntry | ReplicaSetEntry


@dataclass(slots=True)
class AcceptorState:
    """What the entries say together."""

    disk_id: int  # random, made with the file
    replica_set: ReplicaSet
    incarnation: Incarnation = (0, 0)
    can_vote: bool = False
    answer_count: int = 0
    peer_progress: dict[str, Progress] = field(default_factory=dict)
    slots: dict[str, Slot] = field(default_factory=dict)

    def copy(self) -> AcceptorState:
        return AcceptorState(
            self.disk_id,
            self.replica_set,
            self.incarnation,
            self.can_vote,
            self.answer_count,
            dict(self.peer_progress),
            dict(self.slots),
        )

    def apply(self, entry: LogEntry) -> None:
        match entry:
            case SlotEntry(key, slot, answer_count, peer_progress):
                self.slots[key] = slot
                self.answer_count = answer_count
                self.peer_progress.update(peer_progress)
            case IncarnationEntry(incarnation, can_vote, answer_count):
                self.incarnation, self.can_vote, self.answer_count = incarnation, can_vote, answer_count
            case PeerProgressEntry(peer_progress):
                self.peer_progress.update(peer_progress)
            case ReplicaSetEntry(replica_set):
                self.replica_set = replica_set

    def entries(self) -> Iterable[LogEntry]:
        """All of it anew, as a compacted file has it."""
        yield ReplicaSetEntry(self.replica_set)
        yield PeerProgressEntry(tuple(sorted(self.peer_progress.items())))
        for key in sorted(self.slots):
            yield SlotEntry(key, self.slots[key], self.answer_count)
        yield IncarnationEntry(self.incarnation, self.can_vote, self.answer_count)


def fingerprint(state: AcceptorState) -> str:
    """One for all that a disk says: two that differ in a promise, a life or a set of keepers differ in it."""
    contents = msgspec.msgpack.encode((state.disk_id, list(state.entries())))
    return blake2b(contents, digest_size=16).hexdigest()


@dataclass(slots=True)
class AcceptorOutput:
    """Flush all of `flush`, then send all of `send`; neither, where the flush fails."""

    entries: list[LogEntry] = field(default_factory=list)
    messages: list[tuple[str, AnyMessage]] = field(default_factory=list)


class Acceptor:
    """`mode`: "new" (no life yet), "back" (has a disk, asks whether it is the latest), "catching" (it is, as far as
    others have heard: catches up, and others may learn from it), "lost" (its disk is gone or old: catches up),
    "voting", "failed" (its disk can't be written)."""

    def __init__(self, name: str, state: AcceptorState, closed_fingerprint: str = "") -> None:
        """`witness`: the mark of what stood in this file when the process that voted by it closed it just now, as that
        process told (a handover). Where it is the disk's own, nothing was promised since, and nobody need be asked.
        """
        self.name = name
        self.state = state
        self.mode = "back" if state.can_vote else "new"
        if state.can_vote and closed_fingerprint and closed_fingerprint == fingerprint(state):
            self.mode = "voting"
        self.next_ms = 0.0
        self.dropped = 0
        self.refused = 0
        self._replies: dict[str, RecoveryReply] = {}
        self._catch_up_incarnation: Incarnation | None = None
        self._caught_up_to: dict[str, str | None] = {}  # from whom, up to which key; None when whole
        self._learned_slots: dict[str, Slot] = {}

    @property
    def progress(self) -> Progress:
        return (*self.state.incarnation, self.state.answer_count)

    @property
    def voting_incarnation(self) -> Incarnation | None:
        """The life that it votes as; None where it does not."""
        return self.state.incarnation if self.mode == "voting" else None

    def on_disk_failed(self) -> None:
        """The disk can't be written: what it holds is not known, so nothing is promised from here on."""
        self.mode = "failed"

    def tick(self, now_ms: float) -> AcceptorOutput:
        output = AcceptorOutput()
        if self.mode in ("voting", "failed") or self.name not in self._all_names():
            self.next_ms = float("inf")
            return output
        self.next_ms = now_ms + RECOVERY_RETRY_MS
        for other in self._peers():
            if self._catch_up_incarnation is None:
                output.messages.append((other, RecoveryQuery(self.state.disk_id)))
            elif (after := self._caught_up_to.get(other, "")) is not None:
                output.messages.append((other, CatchUpRequest(self._catch_up_incarnation, after)))
        return output

    def on_message(self, source: str, message: AnyMessage) -> AcceptorOutput:
        output = AcceptorOutput()
        match message:
            case ReadRequest():
                self._on_read(source, message, output)
            case Prepare():
                self._on_prepare(source, message, output)
            case Accept():
                self._on_accept(source, message, output)
            case RecoveryQuery():
                asker_progress = self.state.peer_progress.get(source, NO_PROGRESS)
                output.messages.append(
                    (
                        source,
                        RecoveryReply(
                            asker_progress, self.mode, self._shown_progress(), self.state.replica_set
                        ),
                    )
                )
            case RecoveryReply():
                self._on_recovery_reply(source, message, output)
            case CatchUpRequest():
                self._on_catch_up_request(source, message, output)
            case CatchUpPage():
                self._on_catch_up_page(source, message, output)
            case AdoptSet():
                self._on_adopt_set(source, message, output)
            case _:
                self.dropped += 1
        return output

    # Voting

    def _reject(self, to: str, key: str, ballot: Ballot, reason: str, output: AcceptorOutput) -> None:
        self.refused += 1
        promised = self.state.slots.get(key, Slot()).promised_ballot if reason == "ballot" else NO_BALLOT
        replica_set = self.state.replica_set if reason == "epoch" else None
        output.messages.append((to, Rejected(key, ballot, reason, promised, replica_set)))

    def _can_vote(self, to: str, epoch: int, key: str, ballot: Ballot, output: AcceptorOutput) -> bool:
        if epoch != self.state.replica_set.epoch:
            self._reject(to, key, ballot, "epoch", output)
        elif self.mode != "voting" or self.name not in self.state.replica_set.names:
            self._reject(to, key, ballot, "rest", output)
        else:
            return True
        return False

    def _on_read(self, source: str, message: ReadRequest, output: AcceptorOutput) -> None:
        if self._can_vote(source, message.epoch, message.key, (message.operation_id, "", 0), output):
            slot = self.state.slots.get(message.key, Slot())
            output.messages.append(
                (source, ReadReply(message.operation_id, message.key, slot.accepted_ballot, slot.record))
            )

    def _on_prepare(self, source: str, message: Prepare, output: AcceptorOutput) -> None:
        key, ballot = message.key, message.ballot
        if not self._can_vote(source, message.epoch, key, ballot, output):
            return
        slot = self.state.slots.get(key, Slot())
        if ballot < slot.promised_ballot:
            self._reject(source, key, ballot, "ballot", output)
            return
        if ballot > slot.promised_ballot:
            if key not in self.state.slots and (
                len(self.state.slots) >= MAX_KEYS or len(key) > MAX_NAME_CHARS
            ):
                self.dropped += 1
                return
            slot = Slot(ballot, slot.accepted_ballot, slot.record)
            self._record(SlotEntry(key, slot, self.state.answer_count + 1), output)
        known_progress = tuple(sorted(self.state.peer_progress.items()))
        answer = Promised(key, ballot, slot.accepted_ballot, slot.record, self.progress, known_progress)
        output.messages.append((source, answer))

    def _on_accept(self, source: str, message: Accept, output: AcceptorOutput) -> None:
        key, ballot = message.key, message.ballot
        if not self._can_vote(source, message.epoch, key, ballot, output):
            return
        slot = self.state.slots.get(key, Slot())
        by = dict(message.promised_by)
        if by.get(self.name, NO_PROGRESS)[:2] != self.state.incarnation:
            self._reject(source, key, ballot, "life", output)
            return
        if any(self.state.peer_progress.get(name, NO_PROGRESS)[:2] > word[:2] for name, word in by.items()):
            self._reject(source, key, ballot, "life", output)
            return
        if ballot != slot.promised_ballot:
            self._reject(source, key, ballot, "ballot", output)
            return
        if ballot > slot.accepted_ballot:
            if len(message.record.value) > MAX_STATE_BYTES:
                self.dropped += 1
                return
            news = tuple(
                (n, w)
                for n, w in message.promised_by
                if n != self.name and w > self.state.peer_progress.get(n, NO_PROGRESS)
            )
            slot = Slot(ballot, ballot, message.record)
            self._record(SlotEntry(key, slot, self.state.answer_count + 1, news), output)
        output.messages.append((source, Accepted(key, ballot, self.progress)))

    def _record(self, entry: LogEntry, output: AcceptorOutput) -> None:
        self.state.apply(entry)
        output.entries.append(entry)

    # Coming to vote

    def _shown_progress(self) -> Progress:
        return self.progress if self.state.can_vote else (0, self.state.disk_id, 0)

    def _all_names(self) -> tuple[str, ...]:
        replica_set = self.state.replica_set
        return tuple(sorted({*replica_set.names, *replica_set.previous}))

    def _peers(self) -> list[str]:
        return [name for name in self._all_names() if name != self.name]

    def _is_quorum_safe(self, have: Iterable[str]) -> bool:
        """n - m + 1 others of each set that counts, m being its majority: one of them was in every majority that this
        keeper was in."""
        got = {name for name in have if name != self.name}
        replica_set = self.state.replica_set
        for names in (replica_set.names, replica_set.previous):
            if self.name in names and len(got.intersection(names)) < min(
                len(names) - (len(names) // 2 + 1) + 1, len(names) - 1
            ):
                return False
        return True

    def _on_recovery_reply(self, source: str, message: RecoveryReply, output: AcceptorOutput) -> None:
        """An answer to Who."""
        if (
            self.mode not in ("new", "back")
            or source not in self._peers()
            or self._catch_up_incarnation is not None
        ):
            return
        if message.replica_set.epoch > self.state.replica_set.epoch:
            self._record(ReplicaSetEntry(message.replica_set), output)
            self._replies.clear()
            return
        self._replies[source] = message
        if self.mode == "back":
            if max(known.asker_progress for known in self._replies.values()) > self.progress:
                self._start_catch_up("lost")
            elif self._is_quorum_safe(
                self._replies
            ):  # of one bad disk at a time: where another's is, this one is not
                self._start_catch_up("catching")
            return
        me = (1, self.state.disk_id, 0)
        if self._is_added():
            self._start_voting(self.state.replica_set.added[1:], output)  # named while it was empty
        elif len(self._replies) == len(self._peers()) and all(
            k.mode == "new" for k in self._replies.values()
        ):
            # All are new: whatever there was, nobody has it
            known_progress = tuple((name, (1, known.progress[1], 0)) for name, known in self._replies.items())
            self._record(PeerProgressEntry(known_progress), output)
            self._start_voting((1, self.state.disk_id), output)
        elif any(known.asker_progress == me for known in self._replies.values()) and self._is_quorum_safe(
            name for name, known in self._replies.items() if known.asker_progress in (me, NO_PROGRESS)
        ):
            self._start_voting(
                (1, self.state.disk_id), output
            )  # was counted as new when the others began, and has said nothing yet
        elif self._is_quorum_safe(
            name for name, known in self._replies.items() if known.mode not in ("new", "lost")
        ):
            self._start_catch_up("lost")

    def _start_voting(self, incarnation: Incarnation, output: AcceptorOutput) -> None:
        self._record(
            IncarnationEntry(
                incarnation, True, self.state.answer_count if incarnation == self.state.incarnation else 0
            ),
            output,
        )
        self.mode = "voting"
        self._catch_up_incarnation = None
        self._replies.clear()

    def _start_catch_up(self, mode: str) -> None:
        self.mode = mode
        most = max((known.asker_progress for known in self._replies.values()), default=NO_PROGRESS)
        self._catch_up_incarnation = (max(most[0], self.state.incarnation[0], 1) + 1, self.state.disk_id)
        self._caught_up_to.clear()
        self._learned_slots.clear()

    def _on_catch_up_request(self, source: str, message: CatchUpRequest, output: AcceptorOutput) -> None:
        if self.mode not in ("voting", "catching") or source not in self._all_names():
            return
        known = self.state.peer_progress.get(source, NO_PROGRESS)
        if message.incarnation < known[:2]:
            return
        if message.incarnation > known[:2]:
            self._record(PeerProgressEntry(((source, (*message.incarnation, 0)),)), output)
        slots: list[tuple[str, Ballot, Ballot, Record | None]] = []
        size, more = 0, False
        for key in sorted(k for k in self.state.slots if k > message.after_key):
            slot = self.state.slots[key]
            size += len(slot.record.value) if slot.record is not None else 0
            if slots and (size > MAX_PAGE_BYTES or len(slots) == MAX_PAGE_KEYS):
                more = True
                break
            slots.append((key, slot.promised_ballot, slot.accepted_ballot, slot.record))
        output.messages.append(
            (
                source,
                CatchUpPage(
                    message.incarnation, message.after_key, tuple(slots), more, self.state.replica_set
                ),
            )
        )

    def _on_catch_up_page(self, source: str, message: CatchUpPage, output: AcceptorOutput) -> None:
        if message.incarnation != self._catch_up_incarnation or source not in self._peers():
            return
        if message.replica_set.epoch > self.state.replica_set.epoch:  # who is enough has changed: begin anew
            self._record(ReplicaSetEntry(message.replica_set), output)
            self._caught_up_to.clear()
            return
        if self._caught_up_to.get(source, "") != message.after_key:
            return
        for key, promised, accepted, record in message.slots:
            mine = self._learned_slots.get(key, Slot())
            best = (
                (accepted, record) if accepted > mine.accepted_ballot else (mine.accepted_ballot, mine.record)
            )
            self._learned_slots[key] = Slot(max(promised, mine.promised_ballot), *best)
        self._caught_up_to[source] = message.slots[-1][0] if message.has_more else None
        if message.has_more:
            output.messages.append((source, CatchUpRequest(message.incarnation, message.slots[-1][0])))
        if not self._is_quorum_safe(name for name, after in self._caught_up_to.items() if after is None):
            return
        for key, slot in sorted(self._learned_slots.items()):
            mine = self.state.slots.get(key, Slot())
            newest = slot if slot.accepted_ballot > mine.accepted_ballot else mine
            merged = Slot(
                max(slot.promised_ballot, mine.promised_ballot), newest.accepted_ballot, newest.record
            )
            self._record(SlotEntry(key, merged, 0), output)
        self._learned_slots.clear()
        self._start_voting(message.incarnation, output)

    # Changes of the set

    def _on_adopt_set(self, source: str, message: AdoptSet, output: AcceptorOutput) -> None:
        if message.replica_set.epoch < self.state.replica_set.epoch:
            self._reject(source, "", NO_BALLOT, "epoch", output)
            return
        if not message.replica_set.names or len(message.replica_set.names) > MAX_REPLICAS:
            self.dropped += 1
            return
        if message.replica_set != self.state.replica_set:
            # The same epoch only ever loses its `before`, when all is in the new set
            if message.replica_set.epoch == self.state.replica_set.epoch and message.replica_set.previous:
                return
            self._record(ReplicaSetEntry(message.replica_set), output)
            name, *incarnation = message.replica_set.added
            if name and name != self.name:
                self._record(PeerProgressEntry(((name, (incarnation[0], incarnation[1], 0)),)), output)
            if self.mode not in ("voting", "failed"):
                self._replies.clear()
                self.next_ms = 0.0
        empty = self.mode in ("new", "lost") and not self.state.can_vote
        if self.mode == "voting" or (empty and self._is_added()):
            if empty:
                self._start_voting(self.state.replica_set.added[1:], output)
            keys: list[str] = sorted(k for k in self.state.slots if k > message.after_key)
            more = len(keys) > MAX_PAGE_KEYS
            page = tuple(keys[:MAX_PAGE_KEYS])
            output.messages.append(
                (source, SetAdopted(message.replica_set.epoch, message.after_key, page, more))
            )

    def _is_added(self) -> bool:
        name, _, disk = self.state.replica_set.added
        return (name, disk) == (self.name, self.state.disk_id) and bool(self.state.replica_set.previous)
