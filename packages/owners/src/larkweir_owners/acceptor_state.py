"""The durable state of an acceptor, and the log entries from which it is rebuilt. Pure logic.

The class tags and the order of the fields define the disk format.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TypeAlias

import msgspec

from larkweir_owners.messages import NO_BALLOT, AnyMessage, Ballot, Incarnation, Progress, Record, ReplicaSet


class Slot(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One register at one acceptor: the highest ballot promised, and the last ballot and record accepted."""

    promised_ballot: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    record: Record | None = None


class SlotEntry(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A register's new slot, with the other acceptors' progress that the same message carried."""

    key: str
    slot: Slot
    answer_count: int
    peer_progress: tuple[tuple[str, Progress], ...] = ()


class IncarnationEntry(msgspec.Struct, frozen=True, array_like=True, tag="m"):
    """The acceptor's own incarnation. `can_vote`: it votes, or it voted before its process stopped."""

    incarnation: Incarnation
    can_vote: bool
    answer_count: int


class PeerProgressEntry(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """The progress of other acceptors."""

    peer_progress: tuple[tuple[str, Progress], ...]


class ReplicaSetEntry(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """The replica set that is in effect from this entry on."""

    replica_set: ReplicaSet


LogEntry: TypeAlias = SlotEntry | IncarnationEntry | PeerProgressEntry | ReplicaSetEntry


@dataclass(slots=True)
class AcceptorState:
    """The result of applying all entries of a log. `disk_id` is random and is chosen when the file is created."""

    disk_id: int
    replica_set: ReplicaSet
    incarnation: Incarnation = (0, 0)
    can_vote: bool = False
    answer_count: int = 0
    peer_progress: dict[str, Progress] = field(default_factory=dict)
    slots: dict[str, Slot] = field(default_factory=dict)

    def copy(self) -> AcceptorState:
        """A copy that shares nothing mutable with this one."""
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
        """Apply one entry of the log."""
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
        """Return entries that rebuild this state from an empty one, as written to a compacted file."""
        yield ReplicaSetEntry(self.replica_set)
        yield PeerProgressEntry(tuple(sorted(self.peer_progress.items())))
        for key in sorted(self.slots):
            yield SlotEntry(key, self.slots[key], self.answer_count)
        yield IncarnationEntry(self.incarnation, self.can_vote, self.answer_count)


def fingerprint(state: AcceptorState) -> str:
    """Hash the whole state, as hexadecimal digits. Any difference between two states gives different fingerprints."""
    contents = msgspec.msgpack.encode((state.disk_id, list(state.entries())))
    return blake2b(contents, digest_size=16).hexdigest()


@dataclass(slots=True)
class AcceptorOutput:
    """The work that one call of an acceptor leaves to its driver: flush all `entries`, then send all `messages`. If the
    flush fails, the driver sends nothing.
    """

    entries: list[LogEntry] = field(default_factory=list)
    messages: list[tuple[str, AnyMessage]] = field(default_factory=list)

    def persist(self, state: AcceptorState, entry: LogEntry) -> None:
        """Apply an entry to `state`, and queue it for flushing."""
        state.apply(entry)
        self.entries.append(entry)

    def send(self, to: str, message: AnyMessage) -> None:
        """Queue a message that is sent once all entries are flushed."""
        self.messages.append((to, message))
