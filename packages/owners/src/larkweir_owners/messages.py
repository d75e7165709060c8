"""What proposers and keepers say to each other, as values and as bytes (MessagePack by msgspec).

An item is at most 8 KiB; one that can't be read, or of an unknown kind, is None. Ballots, lives and versions are plain
tuples, so that they are ordered and hashed as they stand.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

MAX_MESSAGE_BYTES = 8 * 1024  # bytes, what Mail carries
MAX_STATE_BYTES = 6 * 1024  # bytes of a record's value; leaves room for names and lives
MAX_NAME_CHARS = 128  # characters of a key or a name
MAX_UPDATES_BYTES = 7 * 1024  # bytes of keys, names and values in one item of effects
MAX_BATCH_BYTES = 180  # bytes of small items that go together: about what one datagram carries

Ballot: TypeAlias = tuple[int, str, int]  # counter, proposer's name, proposer's life
Incarnation: TypeAlias = tuple[
    int, int
]  # how often the keeper's disk was new, and what that disk was called then
Progress: TypeAlias = tuple[int, int, int]  # a life, and how many answers were given in it
Version: TypeAlias = tuple[int, int]  # term, number

NO_BALLOT: Ballot = (0, "", 0)
NO_PROGRESS: Progress = (0, 0, 0)
NO_VERSION: Version = (0, 0)


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a register holds. `number` counts writes over all terms, `effects` those that changed `value`; `heir`: who
    is to take the next term, or ""; `owner` "" is nobody."""

    term: int
    number: int
    owner: str
    incarnation: int  # the owner's
    preferred_owner: str = ""
    update_count: int = 0
    value: bytes = b""

    @property
    def version(self) -> Version:
        return (self.term, self.number)


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """Who keeps. `before`: the set that this one came from, until all that it held is in this one; `added`: the life
    by which a new keeper was known when it was named."""

    epoch: int
    names: tuple[str, ...]
    previous: tuple[str, ...] = ()
    added: tuple[str, int, int] = ("", 0, 0)

    @property
    def quorum(self) -> int:
        return len(self.names) // 2 + 1


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="k", gc=False):
    pass


# To a keeper


class ReadRequest(Message, frozen=True, tag=1):
    operation_id: int
    epoch: int
    key: str


class Prepare(Message, frozen=True, tag=2):
    epoch: int
    key: str
    ballot: Ballot


class Accept(Message, frozen=True, tag=3):
    """`by`: the words of those that promised, among them the one asked."""

    epoch: int
    key: str
    ballot: Ballot
    record: Record
    promised_by: tuple[tuple[str, Progress], ...]


# From a keeper


class ReadReply(Message, frozen=True, tag=4):
    operation_id: int
    key: str
    ballot: Ballot
    record: Record | None


class Promised(Message, frozen=True, tag=5):
    """`lives`: the words of other keepers that this one knows of."""

    key: str
    ballot: Ballot
    accepted_ballot: Ballot
    record: Record | None
    progress: Progress
    known_progress: tuple[tuple[str, Progress], ...]


class Accepted(Message, frozen=True, tag=6):
    key: str
    ballot: Ballot
    progress: Progress


class Rejected(Message, frozen=True, tag=7):
    """`why`: "ballot" (`promised` is above), "life", "rest" (it does not vote now), "epoch" (`keepers` is its set)."""

    key: str
    ballot: Ballot
    reason: str
    promised_ballot: Ballot = NO_BALLOT
    replica_set: ReplicaSet | None = None


# Between keepers


class RecoveryQuery(Message, frozen=True, tag=8):
    """How much do you know of me? From one that has just begun."""

    disk_id: int


class RecoveryReply(Message, frozen=True, tag=9):
    """`of_you`: the highest word heard of the asker; `mode` and `word` of the one that answers."""

    asker_progress: Progress
    mode: str
    progress: Progress
    replica_set: ReplicaSet


class CatchUpRequest(Message, frozen=True, tag=10):
    """Take note of my new life, then give me what you hold, from `after` on."""

    incarnation: Incarnation
    after_key: str


class CatchUpPage(Message, frozen=True, tag=11):
    incarnation: Incarnation  # the asker's
    after_key: str
    slots: tuple[tuple[str, Ballot, Ballot, Record | None], ...]  # key, promised, accepted, record
    has_more: bool
    replica_set: ReplicaSet


# Changes of the set


class AdoptSet(Message, frozen=True, tag=12):
    """This set counts from now on. Answered by Adopted, when it is on disk."""

    replica_set: ReplicaSet
    after_key: str = ""


class SetAdopted(Message, frozen=True, tag=13):
    """`keys`: what the one that answers holds, a page of them behind `after`."""

    epoch: int
    after_key: str
    keys: tuple[str, ...]
    has_more: bool


# Of effects


class StateUpdates(Message, frozen=True, tag=14):
    """What a majority has taken, by key. The payloads stand in the records' values."""

    updates: tuple[tuple[str, Record], ...]


class Digest(Message, frozen=True, tag=15):
    """What the sender holds: key, term, number."""

    versions: tuple[tuple[str, int, int], ...]


class Batch(Message, frozen=True, tag=16):
    """Small items to one process that go together, in their order. None of them is a batch."""

    items: tuple[bytes, ...]


AnyMessage: TypeAlias = (
    ReadRequest
    | Prepare
    | Accept
    | ReadReply
    | Promised
    | Accepted
    | Rejected
    | RecoveryQuery
    | RecoveryReply
    | CatchUpRequest
    | CatchUpPage
    | AdoptSet
    | SetAdopted
    | StateUpdates
    | Digest
    | Batch
)

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[AnyMessage] = msgspec.msgpack.Decoder(AnyMessage)


def encode(item: AnyMessage) -> bytes:
    return _encode(item)


def batched(items: Iterable[bytes]) -> Iterator[bytes]:
    """The same, in their order, with small neighbours in one. What is large goes alone, so that no loss takes more
    with it than before."""
    pending: list[bytes] = []
    size_bytes = 0
    for item in items:
        if pending and size_bytes + len(item) + 2 > MAX_BATCH_BYTES:
            yield pending[0] if len(pending) == 1 else encode(Batch(tuple(pending)))
            pending, size_bytes = [], 0
        pending.append(item)
        size_bytes += len(item) + 2
    if pending:
        yield pending[0] if len(pending) == 1 else encode(Batch(tuple(pending)))


def decode(data: bytes) -> AnyMessage | None:
    """None where it is too long, of an unknown kind, or no item at all."""
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, RecursionError):
        return None
