"""Messages: maximum sizes, and decoding of invalid and arbitrary bytes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.addresses import pack_address
from larkweir_peers.errors import MessageDecodeError
from larkweir_peers.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_FRAGMENT_BYTES,
    MAX_FRAGMENTS,
    MAX_ITEM_BYTES,
    MESSAGE_TYPES,
    TAG_BYTES,
    Ack,
    Fragment,
    MemberUpdate,
    Nack,
    Ping,
    PingRequest,
    decode,
    encode,
    max_updates,
)

ME = pack_address("127.0.0.1:7946")


LONG = 2**63 - 1


HEAD = (b"\xff" * 6, LONG, 2**32 - 1, LONG)


def updates(number: int) -> list[MemberUpdate]:
    return [MemberUpdate(b"\xff" * 6, 2, LONG, b"\xff" * 6)] * number


LARGEST = [
    Ping(*HEAD, updates(max_updates(0))),
    Ack(*HEAD, updates(max_updates(9)), LONG),
    PingRequest(*HEAD, updates(max_updates(8)), ME),
    Nack(*HEAD, updates(max_updates(9)), LONG),
    *(
        Fragment(*HEAD, updates(max_updates(n + 15)), 255, LONG, MAX_FRAGMENTS - 1, MAX_FRAGMENTS, b"x" * n)
        for n in range(MAX_FRAGMENT_BYTES + 1)
    ),
]


@pytest.mark.parametrize("message", LARGEST[:4] + LARGEST[4::47], ids=lambda message: type(message).__name__)
def test_the_largest_message_of_each_type_fits_and_is_decoded(message: Ping) -> None:
    assert len(encode(message)) + TAG_BYTES <= MAX_DATAGRAM_BYTES
    assert decode(encode(message)) == message


def test_a_fragment_of_any_length_fits_with_its_updates() -> None:
    assert all(len(encode(message)) + TAG_BYTES <= MAX_DATAGRAM_BYTES for message in LARGEST)
    assert max_updates(0) >= 6 and MAX_FRAGMENTS * MAX_FRAGMENT_BYTES >= MAX_ITEM_BYTES


GOOD = encode(Ping(ME, 1, 0, 1, []))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "malformed"),
        (GOOD[:1], "malformed"),
        (b"\x02" + GOOD[1:], "version"),
        (b"\x00" + GOOD[1:], "version"),
        (GOOD[:1] + b"\x00" + GOOD[2:], "kind"),
        (GOOD[:1] + b"\x63" + GOOD[2:], "kind"),
        (GOOD[:-1], "malformed"),  # truncated
        (GOOD + b"\x00", "malformed"),
        (GOOD[:2] + msgspec.msgpack.encode([ME[:5], 1, 0, 1, []]), "malformed"),
        (GOOD[:2] + msgspec.msgpack.encode([ME, -1, 0, 1, []]), "malformed"),
        (GOOD[:2] + msgspec.msgpack.encode([ME, 2**63, 0, 1, []]), "malformed"),
        (GOOD[:2] + msgspec.msgpack.encode([ME, 1, 0, 1, [[ME, 5, 1]]]), "malformed"),
        (GOOD[:2] + msgspec.msgpack.encode([ME, 1, 0, 1, [[ME, 0, 1]]]), "malformed"),
        (b"\x01\x05" + msgspec.msgpack.encode([ME, 1, 0, 1, [], 0, 1, 0, 1, b""]), "malformed"),
        (b"\x01\x05" + msgspec.msgpack.encode([ME, 1, 0, 1, [], 1, 1, 44, 44, b""]), "malformed"),
        (GOOD[:2] + b"\x91" * 200, "malformed"),
    ],
)
def test_an_invalid_message_raises_with_its_drop_reason(data: bytes, reason: str) -> None:
    with pytest.raises(MessageDecodeError, match=f"^{reason}$"):
        decode(data)


@given(
    st.sampled_from(sorted(MESSAGE_TYPES)),
    st.binary(max_size=MAX_DATAGRAM_BYTES),
    st.integers(0, MAX_DATAGRAM_BYTES),
    st.integers(0, 255),
)
def test_arbitrary_bytes_raise_only_decode_errors(kind: int, data: bytes, at: int, byte: int) -> None:
    for candidate in (bytes((1, kind)) + data, GOOD[:at] + bytes((byte,)) + GOOD[at + 1 :]):
        try:
            message = decode(candidate)
        except MessageDecodeError:
            continue
        assert decode(encode(message)) == message
