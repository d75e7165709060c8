"""Streams that only the end of their connection delimits, and that break off."""

from __future__ import annotations

import pytest

from larkweir.router.event_stream import MAX_PENDING_BYTES
from tests.router.router_model import EVENTS, FakeUpstream, RouterHarness, answer_of

LINE_ENDS = (b"\n", b"\r\n", b"\r")
HEAD_END = b"\r\n\r\n"


def split_answer(
    upstream: FakeUpstream, line_end: bytes, content_type: str = "", content_encoding: str = ""
) -> tuple[bytes, bytes]:
    """Returns head and body of the answer to the waiting request, without a length."""
    assert upstream.run is not None
    stated = {"Content-Type": content_type, "Content-Encoding": content_encoding}
    more = {name: value for name, value in stated.items() if value}
    head, _, body = answer_of(upstream.run, framed=False, **more).partition(HEAD_END)
    return head + HEAD_END, body.replace(b"\n", line_end)


def break_off(harness: RouterHarness, upstream: FakeUpstream, sent_bytes: bytes) -> None:
    """The upstream sends these bytes of an answer, and its connection ends in order."""
    upstream.begin(sent_bytes, complete=False)
    harness.do(lambda: upstream.send(len(sent_bytes)))
    harness.do(lambda: upstream.close(in_order=True))


def ends_event(body: bytes, line_end: bytes) -> bool:
    """Whether the body ends between two events; the CR of an empty line ends it, with or without its LF."""
    ends = (line_end * 2, b"\r\n\r") if line_end == b"\r\n" else (line_end * 2,)
    return not body or body.endswith(ends)


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=["LF", "CRLF", "CR"])
def test_a_stream_that_ends_inside_an_event_never_looks_complete(line_end: bytes) -> None:
    # Guards against taking the end of a crashed upstream's connection for the end of its stream (review/4).
    for kept in range(200):
        harness = RouterHarness()
        sent = harness.request(harness.client(), "stream")
        upstream = harness.waiting()[0]
        head, body = split_answer(upstream, line_end)
        break_off(harness, upstream, head + body[:kept])
        assert sent.body == body[:kept], "bytes are passed on as they come"
        assert sent.complete == ends_event(body[:kept], line_end), f"cut at {kept} of {len(body)}"
        harness.close()
        if kept >= len(body):
            return
    raise AssertionError("the answer is longer than the cuts that were tried")


@pytest.mark.parametrize("line_end", LINE_ENDS, ids=["LF", "CRLF", "CR"])
def test_a_resumable_stream_that_ends_inside_an_event_is_resumed(line_end: bytes) -> None:
    # Guards against ending a stream of which the router itself holds half an event (review/4).
    for kept in range(1, 200):
        harness = RouterHarness()
        sent = harness.request(harness.client(), "resumable")
        upstream = harness.waiting()[0]
        head, body = split_answer(upstream, line_end)
        break_off(harness, upstream, head + body[:kept])
        if not ends_event(body[:kept], line_end):
            assert not sent.ended
            second = harness.waiting()[0]
            assert second.run is not None
            after = int(second.run.headers.get("last-event-id", "0"))
            assert sent.body.count(b"data:") == after, "only whole events are passed on"
            head, rest = split_answer(second, line_end)
            break_off(harness, second, head + rest)
            assert sent.body == body
        assert sent.complete
        harness.close()
        if kept >= len(body):
            return
    raise AssertionError("the answer is longer than the cuts that were tried")


def test_a_stream_that_breaks_off_at_each_upstream_is_shown_as_incomplete() -> None:
    harness = RouterHarness()
    sent = harness.request(harness.client(), "resumable")
    attempts = 0
    while waiting := harness.waiting():
        attempts += 1
        head, body = split_answer(waiting[0], b"\n")
        break_off(harness, waiting[0], head + body[:-1])
        assert not sent.complete
    assert attempts == 2
    assert sent.body.count(b"data:") == EVENTS - 1
    harness.close()


def test_an_event_too_long_to_hold_back_that_breaks_off_is_shown_as_incomplete() -> None:
    harness = RouterHarness()
    sent = harness.request(harness.client(), "resumable")
    upstream = harness.waiting()[0]
    head, _ = split_answer(upstream, b"\n")
    break_off(harness, upstream, head + b"data: " + b"x" * MAX_PENDING_BYTES)
    assert len(sent.body) > MAX_PENDING_BYTES
    assert not sent.complete
    assert not harness.waiting()
    harness.close()


@pytest.mark.parametrize(
    ("kind", "content_type", "complete"),
    [
        ("plain", "text/event-stream; charset=utf-8", False),
        ("plain", "application/json", True),
        ("plain", "", True),
        ("stream", "application/json", True),
        ("stream", "text/event-stream", False),
    ],
)
def test_only_the_body_of_an_event_stream_is_read_for_events(
    kind: str, content_type: str, complete: bool
) -> None:
    harness = RouterHarness()
    sent = harness.request(harness.client(), kind)
    upstream = harness.waiting()[0]
    head, _ = split_answer(upstream, b"\n", content_type)
    break_off(harness, upstream, head + b'data: {"words": 1}')
    assert sent.complete == complete
    assert sent.status == 200
    harness.close()


@pytest.mark.parametrize(
    ("content_encoding", "complete"), [("gzip", True), ("br, gzip", True), ("Identity", False), ("", False)]
)
@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_an_encoded_body_is_not_read_for_events(kind: str, content_encoding: str, complete: bool) -> None:
    # Guards against breaking off whole streams whose compressed bytes are taken for events.
    harness = RouterHarness()
    harness.model.refusing = set(harness.model.ADDRESSES[1:])
    sent = harness.request(harness.client(), kind)
    upstream = harness.waiting()[0]
    head, _ = split_answer(upstream, b"\n", "text/event-stream", content_encoding)
    break_off(harness, upstream, head + b"\x1f\x8b\x08compressed")
    assert sent.complete == complete
    assert sent.body == b"\x1f\x8b\x08compressed" if complete or kind == "stream" else not sent.body
    harness.close()


def test_an_encoded_stream_is_not_resumed() -> None:
    # Guards against joining the compressed bytes of two runs.
    harness = RouterHarness()
    sent = harness.request(harness.client(), "resumable")
    upstream = harness.waiting()[0]
    head, _ = split_answer(upstream, b"\n", "text/event-stream", "gzip")
    upstream.begin(head + b"\x1f\x8b\x08", complete=False)
    harness.do(lambda: upstream.send(len(upstream.unsent)))
    assert sent.body == b"\x1f\x8b\x08", "bytes are passed on as they come"
    harness.do(lambda: upstream.close(in_order=False))
    assert not sent.complete
    assert not harness.waiting()
    harness.close()


def test_a_stream_with_a_last_chunk_is_complete_without_an_empty_line() -> None:
    harness = RouterHarness()
    sent = harness.request(harness.client(), "stream")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    head = answer_of(upstream.run).partition(HEAD_END)[0] + HEAD_END
    upstream.begin(head + b"7\r\ndata: a\r\n0\r\n\r\n")
    harness.do(lambda: upstream.send(len(upstream.unsent)))
    assert sent.complete
    harness.close()
