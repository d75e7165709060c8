"""Only complete events are relayed; an incomplete event is dropped when a stream is resumed."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from larkweir.router.event_stream import EventBuffer

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_relayed_complete_for_any_chunking(cuts: list[int]) -> None:
    buffer = EventBuffer()
    edges = [0, *sorted(cuts), len(STREAM)]
    relayed = [buffer.feed(STREAM[start:end]) for start, end in pairwise(edges)]
    assert b"".join(relayed) == STREAM
    assert buffer.last_id == b"3"
    assert buffer.flush() == b""


def test_an_incomplete_event_is_dropped_before_a_stream_is_resumed() -> None:
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    buffer.restart()
    assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert buffer.last_id == b"2"
