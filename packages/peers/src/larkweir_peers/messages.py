"""The messages in datagrams: a version byte, a type byte, and the message as a MessagePack array.

The messages are those of SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017), and fragments
of items. The low `REFUTATION_BITS` bits of an incarnation count the refutations of the process; the bits above them
are the start time of the process in milliseconds.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from larkweir_peers.addresses import ADDRESS_BYTES
from larkweir_peers.drop_reasons import DropReason
from larkweir_peers.errors import MessageDecodeError

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 256  # including the tag
TAG_BYTES = 16  # reserved for the tag, even if there is no key
MAX_HEADER_BYTES = (
    35  # version, type, array, sender, incarnation, receiver's start, number, the updates' array
)
MAX_UPDATE_BYTES = 27  # size of one encoded update
MAX_FRAGMENT_BYTES = 188  # item bytes in one message
MAX_ITEM_BYTES = 8192
MAX_FRAGMENTS = -(-MAX_ITEM_BYTES // MAX_FRAGMENT_BYTES)
REFUTATION_BITS = 16
MAX_INCARNATION = 2**63 - 1

AddressBytes = Annotated[bytes, Meta(min_length=ADDRESS_BYTES, max_length=ADDRESS_BYTES)]
Uint63 = Annotated[int, Meta(ge=0, le=MAX_INCARNATION)]
Uint32 = Annotated[int, Meta(ge=0, le=2**32 - 1)]


class MemberState(IntEnum):
    """The state of a member. Between two updates with the same incarnation, the higher state takes precedence. Changing
    between UNHEARD and ALIVE requires a different incarnation.
    """

    UNHEARD = 0  # listed but never contacted; assumed to be alive until suspected
    ALIVE = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4  # it announced that it was shutting down


class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """A membership update spread by gossip (SWIM section 4.1)."""

    member: AddressBytes
    state: Annotated[int, Meta(ge=1, le=4)]
    incarnation: Uint63
    reporter: Annotated[bytes, Meta(max_length=ADDRESS_BYTES)] = b""  # who suspects the member


class Message(msgspec.Struct, array_like=True, frozen=True):
    """The fields that all messages begin with."""

    sender: AddressBytes
    incarnation: Uint63  # the sender's
    receiver_start: (
        Uint32  # the low 32 bits of the receiver's process start; 0 if the sender does not know it
    )
    sequence_number: Uint63  # incremented for each datagram of the sending process
    updates: Annotated[list[MemberUpdate], Meta(max_length=9)]


class Ping(Message, frozen=True):
    """A direct probe."""


class Ack(Message, frozen=True):
    """The answer to a ping, or to a ping request whose target has answered."""

    request_number: Uint63  # the sequence number of the ping or the ping request


class PingRequest(Message, frozen=True):
    """An indirect probe: asks the receiver to ping `target` (ping-req in SWIM section 3.1)."""

    target: AddressBytes


class Nack(Message, frozen=True):
    """The target of a ping request has not answered yet, but the sender is alive (Lifeguard section IV-A)."""

    request_number: Uint63


class Fragment(Message, frozen=True):
    """A fragment of an item. A small item has a single fragment."""

    channel: Annotated[int, Meta(ge=1, le=255)]
    item_id: Uint63  # incremented for each item of the sending process
    index: Annotated[int, Meta(ge=0, lt=MAX_FRAGMENTS)]
    fragment_count: Annotated[int, Meta(ge=1, le=MAX_FRAGMENTS)]
    data: Annotated[bytes, Meta(max_length=MAX_FRAGMENT_BYTES)]


MESSAGE_TYPES: dict[int, type[Message]] = {1: Ping, 2: Ack, 3: PingRequest, 4: Nack, 5: Fragment}
_TYPE_CODES = {message_type: type_code for type_code, message_type in MESSAGE_TYPES.items()}
_DECODERS: dict[int, msgspec.msgpack.Decoder[Any]] = {
    type_code: msgspec.msgpack.Decoder(message_type) for type_code, message_type in MESSAGE_TYPES.items()
}
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encode a message, without a tag."""
    return bytes((PROTOCOL_VERSION, _TYPE_CODES[type(message)])) + _ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Decode the output of `encode`.

    Raises:
        MessageDecodeError: `data` is not a valid message; the error text is the `DropReason`.
    """
    if len(data) < 2:
        raise MessageDecodeError(DropReason.MALFORMED)
    if data[0] != PROTOCOL_VERSION:
        raise MessageDecodeError(DropReason.UNKNOWN_VERSION)
    decoder = _DECODERS.get(data[1])
    if decoder is None:
        raise MessageDecodeError(DropReason.UNKNOWN_TYPE)
    try:
        message: Message = decoder.decode(data[2:])
    except (msgspec.DecodeError, RecursionError):  # an out-of-range value is a DecodeError too
        raise MessageDecodeError(DropReason.MALFORMED) from None
    return message


def max_updates(body_bytes: int) -> int:
    """How many updates fit into a message with `body_bytes` bytes after its header."""
    return max(0, (MAX_DATAGRAM_BYTES - TAG_BYTES - MAX_HEADER_BYTES - body_bytes) // MAX_UPDATE_BYTES)


def process_start_of(incarnation: int) -> int:
    """The start time in milliseconds of the process that an incarnation belongs to."""
    return incarnation >> REFUTATION_BITS


def short_process_start(incarnation: int) -> int:
    """The process start as sent in `Message.receiver_start`; 0 only if the incarnation is not known."""
    return (incarnation >> REFUTATION_BITS & 0xFFFFFFFF or 1) if incarnation else 0
