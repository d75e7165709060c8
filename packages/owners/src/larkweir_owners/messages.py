"""The messages between proposers and acceptors, and their encoding (MessagePack by msgspec). Pure logic.

A message has at most `MAX_MESSAGE_BYTES`. A message that can't be decoded or has an unknown tag is decoded as None.
Ballots, progress and versions are plain tuples, so that they can be compared and hashed directly. The numeric tags and
the order of the fields define the wire format; names are not on the wire.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import TypeAlias

import msgspec

MAX_MESSAGE_BYTES = 8 * 1024  # the largest message that a transport must carry
MAX_STATE_BYTES = 6 * 1024  # limit for a record's value; leaves room for names and progress
MAX_NAME_CHARS = 128  # limit for a key or a process's name
MAX_UPDATES_BYTES = 7 * 1024  # limit for the keys, names and values in one StateUpdates
MAX_BATCH_BYTES = 180  # limit for a batch of small messages: about the payload of one datagram

Ballot: TypeAlias = tuple[int, str, int]  # counter, proposer's name, proposer's incarnation
# Of an acceptor: a number that increases with each incarnation, and the disk's id
Incarnation: TypeAlias = tuple[int, int]
# An acceptor's incarnation, and its number of answers in this incarnation
Progress: TypeAlias = tuple[int, int, int]
Version: TypeAlias = tuple[int, int]  # term, number

NO_BALLOT: Ballot = (0, "", 0)
NO_PROGRESS: Progress = (0, 0, 0)
NO_VERSION: Version = (0, 0)


class Record(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The content of a register: the duty's owner and state. `number` counts all writes over all terms, `update_count`
    only the writes that changed `value`. If `owner` is "", nobody owns the duty; `preferred_owner` is then the process
    that should acquire the next term, or "".
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
        """The version of a register only increases."""
        return (self.term, self.number)


class ReplicaSet(msgspec.Struct, frozen=True, array_like=True):
    """The replicas of all registers. `previous`: the replicas of the previous epoch, until this set holds all their
    records. `added`: the replica that this set added, with its incarnation at that time.
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

    BALLOT = "ballot"  # the acceptor has promised a higher ballot
    INCARNATION = "life"  # an acceptor that promised the ballot has a later incarnation
    NOT_VOTING = "rest"
    EPOCH = "epoch"  # the request belongs to another replica set


class Message(msgspec.Struct, frozen=True, array_like=True, tag_field="k", gc=False):
    """The base of all messages."""


# ------------------------------------------------ to an acceptor


class ReadRequest(Message, frozen=True, tag=1):
    """Ask for the record of `key` that the acceptor accepted last."""

    operation_id: int
    epoch: int
    key: str


class Prepare(Message, frozen=True, tag=2):
    """Ask for a promise to accept no record of `key` under a lower ballot."""

    epoch: int
    key: str
    ballot: Ballot


class Accept(Message, frozen=True, tag=3):
    """Ask to accept a record. `promised_by`: the progress of the acceptors that promised the ballot, including the
    receiver.
    """

    epoch: int
    key: str
    ballot: Ballot
    record: Record
    promised_by: tuple[tuple[str, Progress], ...]


# ------------------------------------------------ from an acceptor


class ReadReply(Message, frozen=True, tag=4):
    """The answer to ReadRequest: the last accepted ballot and its record."""

    operation_id: int
    key: str
    ballot: Ballot
    record: Record | None


class Promised(Message, frozen=True, tag=5):
    """The answer to Prepare. `known_progress`: the progress of other acceptors that this acceptor knows."""

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
    """The answer to a rejected request. `reason`: a RejectReason, or an unknown reason from a later release;
    `promised_ballot`: for BALLOT, the ballot above the request's; `replica_set`: for EPOCH, the acceptor's set.
    """

    key: str
    ballot: Ballot
    reason: str
    promised_ballot: Ballot = NO_BALLOT
    replica_set: ReplicaSet | None = None


# ------------------------------------------------ between acceptors


class RecoveryQuery(Message, frozen=True, tag=8):
    """Sent by an acceptor that has just started, to learn what others know about it."""

    disk_id: int


class RecoveryReply(Message, frozen=True, tag=9):
    """The answer to RecoveryQuery. `requester_progress`: the highest known progress of the acceptor that asks; `mode`
    and `progress`: those of the replica that answers.
    """

    requester_progress: Progress
    mode: str
    progress: Progress
    replica_set: ReplicaSet


class CatchUpRequest(Message, frozen=True, tag=10):
    """Ask a replica to record the sender's new incarnation and then to send its slots after `after_key`."""

    incarnation: Incarnation
    after_key: str


class CatchUpPage(Message, frozen=True, tag=11):
    """The answer to CatchUpRequest. `slots`: key, promised ballot, accepted ballot, record."""

    incarnation: Incarnation  # of the replica that asks
    after_key: str
    slots: tuple[tuple[str, Ballot, Ballot, Record | None], ...]
    has_more: bool
    replica_set: ReplicaSet


# ------------------------------------------------ changes of the replica set


class AdoptSet(Message, frozen=True, tag=12):
    """Ask a replica to use this replica set from now on. It answers with SetAdopted once the set is on disk."""

    replica_set: ReplicaSet
    after_key: str = ""


class SetAdopted(Message, frozen=True, tag=13):
    """The answer to AdoptSet. `keys`: a page of the keys that the replica holds, after `after_key`."""

    epoch: int
    after_key: str
    keys: tuple[str, ...]
    has_more: bool


# ------------------------------------------------ state updates


class StateUpdates(Message, frozen=True, tag=14):
    """Records that a majority has accepted, with their keys."""

    updates: tuple[tuple[str, Record], ...]


class Digest(Message, frozen=True, tag=15):
    """The versions that the sender holds, as (key, term, number)."""

    versions: tuple[tuple[str, int, int], ...]


class Batch(Message, frozen=True, tag=16):
    """Small messages to one process, in order. None of them may be a batch."""

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
    """Encode a message."""
    return _encode(message)


def decode(data: bytes) -> AnyMessage | None:
    """Decode a message; return None if the data is too long, of an unknown kind or not a message."""
    if len(data) > MAX_MESSAGE_BYTES:
        return None
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, OverflowError, RecursionError):
        return None


def batched(messages: Iterable[bytes]) -> Iterator[bytes]:
    """Combine consecutive small messages into batches, in order. A large message is sent alone, so that the loss of a
    datagram loses no more messages than it would without batching.
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
