"""What a datagram may be: sizes at the bounds, whatever bytes come, tags, the window of numbers, pieces of items."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.addresses import is_loopback, pack_address, unpack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.errors import MessageDecodeError
from larkweir_peers.fragmentation import Reassembler, split_item
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
from larkweir_peers.replay_window import ReplayWindow

ME = pack_address("127.0.0.1:7946")
LONG = 2**63 - 1
HEAD = (b"\xff" * 6, LONG, 2**32 - 1, LONG)


def news(number: int) -> list[MemberUpdate]:
    return [MemberUpdate(b"\xff" * 6, 2, LONG, b"\xff" * 6)] * number


LARGEST = [
    Ping(*HEAD, news(max_updates(0))),
    Ack(*HEAD, news(max_updates(9)), LONG),
    PingRequest(*HEAD, news(max_updates(8)), ME),
    Nack(*HEAD, news(max_updates(9)), LONG),
    *(
        Fragment(*HEAD, news(max_updates(n + 15)), 255, LONG, MAX_FRAGMENTS - 1, MAX_FRAGMENTS, b"x" * n)
        for n in range(MAX_FRAGMENT_BYTES + 1)
    ),
]


@pytest.mark.parametrize("frame", LARGEST[:4] + LARGEST[4::47], ids=lambda frame: type(frame).__name__)
def test_the_largest_frame_of_each_kind_fits_and_comes_back(frame: Ping) -> None:
    assert len(encode(frame)) + TAG_BYTES <= MAX_DATAGRAM_BYTES
    assert decode(encode(frame)) == frame


def test_a_piece_of_any_length_fits_with_its_news() -> None:
    assert all(len(encode(frame)) + TAG_BYTES <= MAX_DATAGRAM_BYTES for frame in LARGEST)
    assert max_updates(0) >= 6 and MAX_FRAGMENTS * MAX_FRAGMENT_BYTES >= MAX_ITEM_BYTES


GOOD = encode(Ping(ME, 1, 0, 1, []))


@pytest.mark.parametrize(
    ("data", "cause"),
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
def test_what_is_no_frame_has_a_cause(data: bytes, cause: str) -> None:
    with pytest.raises(MessageDecodeError, match=f"^{cause}$"):
        decode(data)


@given(
    st.sampled_from(sorted(MESSAGE_TYPES)),
    st.binary(max_size=MAX_DATAGRAM_BYTES),
    st.integers(0, MAX_DATAGRAM_BYTES),
    st.integers(0, 255),
)
def test_no_bytes_raise_anything_else(kind: int, data: bytes, at: int, byte: int) -> None:
    for whole in (bytes((1, kind)) + data, GOOD[:at] + bytes((byte,)) + GOOD[at + 1 :]):
        try:
            frame = decode(whole)
        except MessageDecodeError:
            continue
        assert decode(encode(frame)) == frame


def test_names_have_one_text_and_six_bytes() -> None:
    assert unpack_address(pack_address("10.3.0.1:7946")) == "10.3.0.1:7946" and len(ME) == 6
    assert is_loopback("127.9.0.1:1") and not is_loopback("12.7.0.1:1")
    bad = [
        "",
        "10.3.0.1",
        "10.3.0.1:0",
        "10.3.0.1:65536",
        "10.3.0.01:1",
        "10.3.0.256:1",
        "a.b.c.d:1",
        "::1:1",
    ]
    for name in [*bad, "10.3.0.1:٣", "10.3.0.1:+1", "10.3.0.1: 1"]:
        with pytest.raises(ValueError, match="IPv4"):
            pack_address(name)


def test_a_tag_is_for_one_key_and_one_receiver() -> None:
    old, new = b"k" * 16, b"n" * 64
    other = pack_address("127.0.0.1:7947")
    data = DatagramAuthenticator([old]).sign(ME, GOOD)
    assert (
        DatagramAuthenticator([old]).verify(ME, data)
        == GOOD
        == DatagramAuthenticator([new, old]).verify(ME, data)
    )
    assert (
        DatagramAuthenticator([new]).verify(ME, data) is None
        and DatagramAuthenticator([old]).verify(other, data) is None
    )
    for n in range(len(data)):
        assert DatagramAuthenticator([old]).verify(ME, data[:n]) is None
        assert (
            DatagramAuthenticator([old]).verify(ME, data[:n] + bytes((data[n] ^ 1,)) + data[n + 1 :]) is None
        )
    for keys in ([b"k" * 15], [b"k" * 65], [old] * 5):
        with pytest.raises(ValueError):
            DatagramAuthenticator(keys)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * ReplayWindow.SIZE)), max_size=200))
def test_the_window_takes_a_number_once(came: list[tuple[int, int]]) -> None:
    """Against a model that remembers all."""
    window, seen, top = ReplayWindow(), set[tuple[int, int]](), dict[int, int]()
    life = 0
    for each, number in came:
        fault = window.check(each, number)
        if each < life:
            assert fault == "former_life"
            continue
        life = each
        highest = top.get(each, -1)
        if number <= highest - ReplayWindow.SIZE:
            assert fault == "late"
        else:
            assert fault == ("again" if (each, number) in seen else None)
            seen.add((each, number))
            top[each] = max(highest, number)


@given(st.binary(max_size=MAX_ITEM_BYTES), st.randoms())
def test_pieces_in_any_order_make_the_item(item: bytes, random: object) -> None:
    pieces, places = Reassembler(), list(enumerate(split_item(item)))
    random.shuffle(places)  # type: ignore[attr-defined]
    came = [pieces.add_fragment("a", 1, 7, n, len(places), data, 0.0) for n, data in places]
    assert came[-1] == item and set(came[:-1]) <= {None}
    assert not len(pieces) and not pieces.buffered_bytes


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40), st.integers(0, 3000)), max_size=400))
def test_pieces_that_never_complete_stay_within_bounds(came: list[tuple[int, int, int]]) -> None:
    pieces, now = Reassembler(), 0.0
    for peer, serial, later in came:
        now += later
        for place in range(0, 43, 6):
            pieces.add_fragment(f"p{peer}", 1, serial, place, 44, b"x" * MAX_FRAGMENT_BYTES, now)
        pieces.expire(now)
        assert len(pieces) <= Reassembler.MAX_ITEMS and pieces.buffered_bytes <= Reassembler.MAX_BYTES
        own = [key for key in pieces._partial if key[0] == f"p{peer}"]
        assert (
            len(own) <= Reassembler.MAX_ITEMS_PER_PEER
            and sum(pieces._partial[k].size_bytes for k in own) <= Reassembler.MAX_BYTES_PER_PEER
        )
        assert all(now - item.started_ms < Reassembler.MAX_AGE_MS for item in pieces._partial.values())
    pieces.expire(now + Reassembler.MAX_AGE_MS)
    assert (
        not len(pieces)
        and not pieces.buffered_bytes
        and not pieces._keys_by_peer
        and not pieces._bytes_by_peer
    )


def test_bounds_of_pieces_are_reached_and_the_oldest_goes() -> None:
    pieces = Reassembler()
    for peer in range(40):
        for serial in range(Reassembler.MAX_ITEMS_PER_PEER + 4):
            pieces.add_fragment(f"p{peer}", 1, serial, 0, 2, b"x" * MAX_FRAGMENT_BYTES, 0.0)
    assert (
        len(pieces) == Reassembler.MAX_ITEMS
        and pieces.dropped == 40 * (Reassembler.MAX_ITEMS_PER_PEER + 4) - Reassembler.MAX_ITEMS
    )
    assert pieces.add_fragment("p39", 1, 3, 1, 2, b"", 0.0) is None  # given up: it begins anew
    assert pieces.add_fragment("p39", 1, 19, 1, 2, b"y", 0.0) == b"x" * MAX_FRAGMENT_BYTES + b"y"
    with pytest.raises(ValueError):
        pieces.add_fragment("p39", 1, 18, 0, 3, b"x" * MAX_FRAGMENT_BYTES, 0.0)  # another count
    with pytest.raises(ValueError):
        pieces.add_fragment("p39", 1, 50, 0, 2, b"short", 0.0)
