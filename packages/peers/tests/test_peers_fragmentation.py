"""Items in fragments: reassembled in any order, bounded where they never complete."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.fragmentation import Reassembler, split_item
from larkweir_peers.messages import (
    MAX_FRAGMENT_BYTES,
    MAX_ITEM_BYTES,
)


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
