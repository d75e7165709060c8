"""What a datagram may be: sizes at the bounds, whatever bytes come, tags, the window of numbers, pieces of items."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.frames import (
    DATA,
    ITEM_MOST,
    KINDS,
    MOST,
    PARTS_MOST,
    TAG,
    Ack,
    Ask,
    FrameError,
    Nack,
    News,
    Part,
    Ping,
    decode,
    encode,
    room,
)
from larkweir_peers.names import loopback, named, packed
from larkweir_peers.parts import Pieces, cut
from larkweir_peers.seal import Seal, Window

ME = packed("127.0.0.1:7946")
LONG = 2**63 - 1
HEAD = (b"\xff" * 6, LONG, 2**32 - 1, LONG)


def news(number: int) -> list[News]:
    return [News(b"\xff" * 6, 2, LONG, b"\xff" * 6)] * number


LARGEST = [
    Ping(*HEAD, news(room(0))),
    Ack(*HEAD, news(room(9)), LONG),
    Ask(*HEAD, news(room(8)), ME),
    Nack(*HEAD, news(room(9)), LONG),
    *(
        Part(*HEAD, news(room(n + 15)), 255, LONG, PARTS_MOST - 1, PARTS_MOST, b"x" * n)
        for n in range(DATA + 1)
    ),
]


@pytest.mark.parametrize("frame", LARGEST[:4] + LARGEST[4::47], ids=lambda frame: type(frame).__name__)
def test_the_largest_frame_of_each_kind_fits_and_comes_back(frame: Ping) -> None:
    assert len(encode(frame)) + TAG <= MOST
    assert decode(encode(frame)) == frame


def test_a_piece_of_any_length_fits_with_its_news() -> None:
    assert all(len(encode(frame)) + TAG <= MOST for frame in LARGEST)
    assert room(0) >= 6 and PARTS_MOST * DATA >= ITEM_MOST


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
    with pytest.raises(FrameError, match=f"^{cause}$"):
        decode(data)


@given(st.sampled_from(sorted(KINDS)), st.binary(max_size=MOST), st.integers(0, MOST), st.integers(0, 255))
def test_no_bytes_raise_anything_else(kind: int, data: bytes, at: int, byte: int) -> None:
    for whole in (bytes((1, kind)) + data, GOOD[:at] + bytes((byte,)) + GOOD[at + 1 :]):
        try:
            frame = decode(whole)
        except FrameError:
            continue
        assert decode(encode(frame)) == frame


def test_names_have_one_text_and_six_bytes() -> None:
    assert named(packed("10.3.0.1:7946")) == "10.3.0.1:7946" and len(ME) == 6
    assert loopback("127.9.0.1:1") and not loopback("12.7.0.1:1")
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
            packed(name)


def test_a_tag_is_for_one_key_and_one_receiver() -> None:
    old, new = b"k" * 16, b"n" * 64
    other = packed("127.0.0.1:7947")
    data = Seal([old]).close(ME, GOOD)
    assert Seal([old]).open(ME, data) == GOOD == Seal([new, old]).open(ME, data)
    assert Seal([new]).open(ME, data) is None and Seal([old]).open(other, data) is None
    for n in range(len(data)):
        assert Seal([old]).open(ME, data[:n]) is None
        assert Seal([old]).open(ME, data[:n] + bytes((data[n] ^ 1,)) + data[n + 1 :]) is None
    for keys in ([b"k" * 15], [b"k" * 65], [old] * 5):
        with pytest.raises(ValueError):
            Seal(keys)


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * Window.SIZE)), max_size=200))
def test_the_window_takes_a_number_once(came: list[tuple[int, int]]) -> None:
    """Against a model that remembers all."""
    window, seen, top = Window(), set[tuple[int, int]](), dict[int, int]()
    life = 0
    for each, number in came:
        fault = window.fault(each, number)
        if each < life:
            assert fault == "former_life"
            continue
        life = each
        highest = top.get(each, -1)
        if number <= highest - Window.SIZE:
            assert fault == "late"
        else:
            assert fault == ("again" if (each, number) in seen else "")
            seen.add((each, number))
            top[each] = max(highest, number)


@given(st.binary(max_size=ITEM_MOST), st.randoms())
def test_pieces_in_any_order_make_the_item(item: bytes, random: object) -> None:
    pieces, places = Pieces(), list(enumerate(cut(item)))
    random.shuffle(places)  # type: ignore[attr-defined]
    came = [pieces.put("a", 1, 7, n, len(places), data, 0.0) for n, data in places]
    assert came[-1] == item and set(came[:-1]) <= {None}
    assert not len(pieces) and not pieces.held


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40), st.integers(0, 3000)), max_size=400))
def test_pieces_that_never_complete_stay_within_bounds(came: list[tuple[int, int, int]]) -> None:
    pieces, now = Pieces(), 0.0
    for peer, serial, later in came:
        now += later
        for place in range(0, 43, 6):
            pieces.put(f"p{peer}", 1, serial, place, 44, b"x" * DATA, now)
        pieces.expire(now)
        assert len(pieces) <= Pieces.ALL_MOST and pieces.held <= Pieces.ALL_BYTES
        own = [key for key in pieces._open if key[0] == f"p{peer}"]
        assert len(own) <= Pieces.PEER_MOST and sum(pieces._open[k].size for k in own) <= Pieces.PEER_BYTES
        assert all(now - item.since_ms < Pieces.AGE_MS for item in pieces._open.values())
    pieces.expire(now + Pieces.AGE_MS)
    assert not len(pieces) and not pieces.held and not pieces._of and not pieces._bytes


def test_bounds_of_pieces_are_reached_and_the_oldest_goes() -> None:
    pieces = Pieces()
    for peer in range(40):
        for serial in range(Pieces.PEER_MOST + 4):
            pieces.put(f"p{peer}", 1, serial, 0, 2, b"x" * DATA, 0.0)
    assert len(pieces) == Pieces.ALL_MOST and pieces.dropped == 40 * (Pieces.PEER_MOST + 4) - Pieces.ALL_MOST
    assert pieces.put("p39", 1, 3, 1, 2, b"", 0.0) is None  # given up: it begins anew
    assert pieces.put("p39", 1, 19, 1, 2, b"y", 0.0) == b"x" * DATA + b"y"
    with pytest.raises(ValueError):
        pieces.put("p39", 1, 18, 0, 3, b"x" * DATA, 0.0)  # another count
    with pytest.raises(ValueError):
        pieces.put("p39", 1, 50, 0, 2, b"short", 0.0)
