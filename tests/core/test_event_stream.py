"""The boundaries between the events of a stream, whatever its line ends and however it is cut into chunks."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.core.event_stream import EventBoundary, is_event_stream

EVENT = b"id: 1\ndata: words"
LINE_ENDS = (b"\n", b"\r\n", b"\r")


def is_between_events(data: bytes, cuts: list[int]) -> bool:
    boundary = EventBoundary()
    for start, end in pairwise([0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]):
        boundary.feed(data[start:end])
    return boundary.is_between_events


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=["LF", "CRLF", "CR"])
@given(cuts=st.lists(st.integers(0, 60), max_size=6), kept=st.integers(0, 60))
def test_only_the_empty_line_ends_an_event(line_end: bytes, cuts: list[int], kept: int) -> None:
    stream = (EVENT + b"\n\n").replace(b"\n", line_end) * 2
    event_bytes = len(stream) // 2
    # With CRLF, the CR of the empty line ends that line already: an LF after it adds nothing.
    ends = {0, event_bytes, 2 * event_bytes}
    if line_end == b"\r\n":
        ends |= {event_bytes - 1, 2 * event_bytes - 1}
    kept = min(kept, len(stream))
    assert is_between_events(stream[:kept], cuts) == (kept in ends)


@given(
    st.lists(st.sampled_from([b"data: a", b": a", b"", b"id:1", b":"]), max_size=6),
    st.sampled_from(LINE_ENDS),
    st.lists(st.integers(0, 50), max_size=6),
)
def test_chunks_do_not_matter(lines: list[bytes], line_end: bytes, cuts: list[int]) -> None:
    stream = b"".join(line + line_end for line in lines)
    tail = lines[len(lines) - lines[::-1].index(b"") :] if b"" in lines else lines
    expected = all(line.startswith(b":") for line in tail)
    assert is_between_events(stream, cuts) == expected


@pytest.mark.parametrize("tail", [b": still here\n", b":\n\n", b""])
def test_a_comment_between_events_begins_no_event(tail: bytes) -> None:
    assert is_between_events(EVENT + b"\n\n" + tail, [])


def test_an_unfinished_comment_is_cut_off() -> None:
    assert not is_between_events(EVENT + b"\n\n: sti", [])


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"text/event-stream", True),
        (b"Text/Event-Stream; charset=utf-8", True),
        (b"application/json", False),
        (b"", False),
    ],
)
def test_the_type_of_an_event_stream(value: bytes, expected: bool) -> None:
    assert is_event_stream(value) is expected
