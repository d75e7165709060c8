"""What proposers and acceptors send to each other, as values and as bytes (MessagePack by msgspec). Pure logic.

A message is at most `MAX_MESSAGE_BYTES`; one that can't be decoded, or of an unknown kind, is None. Ballots, progress
and versions are plain tuples, so that they are ordered and hashed as they are. The numeric tags and the order of the
fields are the wire format; names are not on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import TypeAlias

import msgspec

MAX_MESSAGE_BYTES = 8 * 1024  # what a transport carries
MAX_STATE_BYTES = 6 * 1024  # of a record's value; leaves room for names and progress
MAX_NAME_CHARS = 128  # of a key or a process's name
MAX_UPDATES_BYTES = 7 * 1024  # of keys, names and values in one StateUpdates
MAX_BATCH_BYTES = 180  # of small messages that go together: about what one datagram carries

Ballot: TypeAlias = tuple[int, str, int]  # counter, proposer's name, proposer's incarnation
Incarnation: TypeAlias = tuple[int, int]  # of an acceptor: how often its disk was new, and the disk's id
Progress: TypeAlias = tuple[int, int, int]  # an acceptor's incarnation, and how many answers it gave in it
Version: TypeAlias = tuple[int, int]  # term, number

NO_BALLOT: Ballot = (0, "", 0)
NO_PROGRESS: Progress = (0, 0, 0)
NO_VERSION: Version = (0, 0)


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a register holds: who owns the duty, and its state. `number` counts writes over all terms, `update_count`
    those that changed `value`. `owner` "" is nobody; `preferred_owner` is then who is to take the next term, or "".
    """

    term: int
    number: int
    owner: str
    incarnation: int  # the owner's
    preferred_owner: str = ""
    update_count: int = 0
    value: bytes = b""

    @property
    def version(self) -> Version:
        """Versions of one register only go up."""
        return (self.term, self.number)


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of all registers. `previous`: those of the epoch before, until this set holds all that they held.
    `added`: a replica that this set added, with the incarnation by which it was known then.
    """

    epoch: int
    names: tuple[str, ...]
    previous: tuple[str, ...] = ()
    added: tuple[str, int, int] = ("", 0, 0)

    @property
    def quorum(self) -> int:
        """A majority of the replicas."""
        return len(self.names) // 2 + 1


class RejectReason(StrEnum):
    """Why an acceptor rejects a request. The values are on the wire."""

    BALLOT = "ballot"  # a higher one is promised
    INCARNATION = "life"  # an acceptor that promised it has a later incarnation
    NOT_VOTING = "rest"
    EPOCH = "epoch"  # the request is of another replica set


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="k", gc=False):
    """The base of all messages."""


# ------------------------------------------------ to an acceptor


class ReadRequest(Message, frozen=True, tag=1):
    """Which record of `key` have you accepted last?"""

    operation_id: int
    epoch: int
    key: str


class Prepare(Message, frozen=True, tag=2):
    """Promise to accept nothing of `key` under a lower ballot."""

    epoch: int
    key: str
    ballot: Ballot


class Accept(Message, frozen=True, tag=3):
    """Accept a record. `promised_by`: the progress of those that promised the ballot, the receiver among them."""

    epoch: int
    key: str
    ballot: Ballot
    record: Record
    promised_by: tuple[tuple[str, Progress], ...]


# ------------------------------------------------ from an acceptor


class ReadReply(Message, frozen=True, tag=4):
    """The answer to ReadRequest: the ballot accepted last and its record."""

    operation_id: int
    key: str
    ballot: Ballot
    record: Record | None


class Promised(Message, frozen=True, tag=5):
    """The answer to Prepare. `known_progress`: of other acceptors, as far as this one knows."""

    key: str
    ballot: Ballot
    accepted_ballot: Ballot
    record: Record | None
    progress: Progress
    known_progress: tuple[tuple[str, Progress], ...]


class Accepted(Message, frozen=True, tag=6):
    """The answer to Accept."""

    key: str
    ballot: Ballot
    progress: Progress


class Rejected(Message, frozen=True, tag=7):
    """The answer to a request that is not granted. `reason`: a RejectReason, or one of a later release;
    `promised_ballot` is above the request's for BALLOT, `replica_set` the acceptor's for EPOCH.
    """

    key: str
    ballot: Ballot
    reason: str
    promised_ballot: Ballot = NO_BALLOT
    replica_set: ReplicaSet | None = None


# ------------------------------------------------ between acceptors


class RecoveryQuery(Message, frozen=True, tag=8):
    """What do you know of me? From an acceptor that has just started."""

    disk_id: int


class RecoveryReply(Message, frozen=True, tag=9):
    """`requester_progress`: the highest progress known of the asker; `mode` and `progress` are those of the one that
    answers.
    """

    requester_progress: Progress
    mode: str
    progress: Progress
    replica_set: ReplicaSet


class CatchUpRequest(Message, frozen=True, tag=10):
    """Record my new incarnation, then send me the slots that you hold after `after_key`."""

    incarnation: Incarnation
    after_key: str


class CatchUpPage(Message, frozen=True, tag=11):
    """The answer to CatchUpRequest. `slots`: key, promised ballot, accepted ballot, record."""

    incarnation: Incarnation  # the asker's
    after_key: str
    slots: tuple[tuple[str, Ballot, Ballot, Record | None], ...]
    has_more: bool
    replica_set: ReplicaSet


# ------------------------------------------------ changes of the replica set


class AdoptSet(Message, frozen=True, tag=12):
    """Go by this replica set from now on. Answered by SetAdopted once it is on disk."""

    replica_set: ReplicaSet
    after_key: str = ""


class SetAdopted(Message, frozen=True, tag=13):
    """`keys`: what the one that answers holds, a page of them after `after_key`."""

    epoch: int
    after_key: str
    keys: tuple[str, ...]
    has_more: bool


# ------------------------------------------------ of state updates


class StateUpdates(Message, frozen=True, tag=14):
    """Records that a majority has accepted, by key."""

    updates: tuple[tuple[str, Record], ...]


class Digest(Message, frozen=True, tag=15):
    """The versions that the sender holds: key, term, number."""

    versions: tuple[tuple[str, int, int], ...]


class Batch(Message, frozen=True, tag=16):
    """Small messages to one process that go together, in their order. None of them is a batch."""

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


def encode(message: AnyMessage) -> bytes:
    """The bytes of a message."""
    return _encode(message)


def decode(data: bytes) -> AnyMessage | None:
    """The message of some bytes; None where they are too many, of an unknown kind, or no message at all."""
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, RecursionError):
        return None


def batched(messages: Iterable[bytes]) -> Iterator[bytes]:
    """The same encoded messages in their order, with small neighbours in one Batch. A large one goes alone, so that
    the loss of a datagram takes no more with it than before.
    """
    pending: list[bytes] = []
    size_bytes = 0
    for message in messages:
        if pending and size_bytes + len(message) + 2 > MAX_BATCH_BYTES:
            yield _joined(pending)
            pending, size_bytes = [], 0
        pending.append(message)
        size_bytes += len(message) + 2
    if pending:
        yield _joined(pending)


def _joined(messages: list[bytes]) -> bytes:
    return messages[0] if len(messages) == 1 else encode(Batch(tuple(messages)))
