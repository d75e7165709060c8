"""Fragments are reassembled in any order, and the memory for incomplete items is limited."""

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
def test_fragments_in_any_order_make_the_item(item: bytes, random: object) -> None:
    reassembler, indexed = Reassembler(), list(enumerate(split_item(item)))
    random.shuffle(indexed)  # type: ignore[attr-defined]
    results = [reassembler.add_fragment("a", 1, 7, n, len(indexed), data, 0.0) for n, data in indexed]
    assert results[-1] == item and set(results[:-1]) <= {None}
    assert not len(reassembler) and not reassembler.buffered_bytes


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 40), st.integers(0, 3000)), max_size=400))
def test_incomplete_items_stay_within_bounds(results: list[tuple[int, int, int]]) -> None:
    reassembler, now = Reassembler(), 0.0
    for peer, serial, later in results:
        now += later
        for index in range(0, 43, 6):
            reassembler.add_fragment(f"p{peer}", 1, serial, index, 44, b"x" * MAX_FRAGMENT_BYTES, now)
        reassembler.expire(now)
        assert (
            len(reassembler) <= Reassembler.MAX_ITEMS and reassembler.buffered_bytes <= Reassembler.MAX_BYTES
        )
        own = [key for key in reassembler._partial if key[0] == f"p{peer}"]
        assert (
            len(own) <= Reassembler.MAX_ITEMS_PER_PEER
            and sum(reassembler._partial[k].size_bytes for k in own) <= Reassembler.MAX_BYTES_PER_PEER
        )
        assert all(now - item.started_ms < Reassembler.MAX_AGE_MS for item in reassembler._partial.values())
    reassembler.expire(now + Reassembler.MAX_AGE_MS)
    assert (
        not len(reassembler)
        and not reassembler.buffered_bytes
        and not reassembler._keys_by_peer
        and not reassembler._bytes_by_peer
    )


def test_the_oldest_incomplete_item_is_evicted_at_the_bounds() -> None:
    reassembler = Reassembler()
    for peer in range(40):
        for serial in range(Reassembler.MAX_ITEMS_PER_PEER + 4):
            reassembler.add_fragment(f"p{peer}", 1, serial, 0, 2, b"x" * MAX_FRAGMENT_BYTES, 0.0)
    assert (
        len(reassembler) == Reassembler.MAX_ITEMS
        and reassembler.dropped == 40 * (Reassembler.MAX_ITEMS_PER_PEER + 4) - Reassembler.MAX_ITEMS
    )
    # Item 3 was evicted, so this fragment starts a new one.
    assert reassembler.add_fragment("p39", 1, 3, 1, 2, b"", 0.0) is None
    assert reassembler.add_fragment("p39", 1, 19, 1, 2, b"y", 0.0) == b"x" * MAX_FRAGMENT_BYTES + b"y"
    with pytest.raises(ValueError):
        # The fragment count differs from that of the first fragment.
        reassembler.add_fragment("p39", 1, 18, 0, 3, b"x" * MAX_FRAGMENT_BYTES, 0.0)
    with pytest.raises(ValueError):
        reassembler.add_fragment("p39", 1, 50, 0, 2, b"short", 0.0)
