"""Small parts of the fleet without I/O: events of streams, settings, requests' headers."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.prompt import DEFAULT_LATENCY_TARGET_MS, Prompt

from larkweir.router.answers import ERROR_RESPONSES, ErrorKind
from larkweir.router.client_request import ClientRequest, RoutingHeaders
from larkweir.router.event_stream import EventBuffer
from larkweir.router.router_count import RETENTION_MS, RouterCount

STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_passed_on_whole_however_they_come(cuts: list[int]) -> None:
    buffer = EventBuffer()
    edges = [0, *sorted(cuts), len(STREAM)]
    passed = [buffer.feed(STREAM[start:end]) for start, end in pairwise(edges)]
    assert b"".join(passed) == STREAM
    assert buffer.last_id == b"3"
    assert buffer.flush() == b""


def test_a_broken_event_is_dropped_before_a_stream_goes_on() -> None:
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    buffer.restart()
    assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert buffer.last_id == b"2"


def request(**headers: str) -> ClientRequest:
    raw = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return ClientRequest(b"POST", b"/a/b?c=d", raw, b"body", 0.0)


OWN = RoutingHeaders(1500, "i-1", "tenant", 3, None)


def test_an_upstream_is_told_by_the_router_alone_who_the_tenant_is() -> None:
    asked = request(
        host="a.example:80",
        x_api_key="secret",
        x_tenant="forged",
        priority="0",
        x_request_id="r",
        connection="x-odd",
        x_odd="1",
    )
    told = dict(asked.upstream_headers(OWN))
    assert told[b"x-tenant"] == b"tenant"
    assert told[b"x-deadline-ms"] == b"1500"
    assert told[b"x-target-instance"] == b"i-1"
    assert told[b"priority"] == b"3"
    assert told[b"content-length"] == b"4"
    assert told[b"x-request-id"] == b"r"
    assert not {b"x-api-key", b"connection", b"x-odd"} & set(told)
    assert asked.host == "a.example"
    assert asked.path == "/a/b"


def test_a_client_that_goes_on_with_a_stream_says_so_unless_the_router_does() -> None:
    asked = request(last_event_id="4")
    assert dict(asked.upstream_headers(OWN))[b"last-event-id"] == b"4"
    resumed = asked.upstream_headers(replace(OWN, last_event_id=b"9"))
    assert [value for name, value in resumed if name == b"last-event-id"] == [b"9"]


@pytest.mark.parametrize(
    ("usage", "prefix", "prompt"),
    [
        ("1460,80", "a:800,b:410,c:250", Prompt("b", 1460.0, 1210.0)),
        ("1460,80", "c:250", Prompt("", 1460.0, 0.0)),
        ("1460,80", "", Prompt("", 1460.0, 0.0)),
        ("x", "a:b,c:d", Prompt("a", 0.0, 0.0)),
    ],
)
def test_the_head_of_a_prompt_is_its_deepest_shared_part(usage: str, prefix: str, prompt: Prompt) -> None:
    assert request(x_token_usage=usage, x_prompt_prefix=prefix).prompt(DEFAULT_LATENCY_TARGET_MS) == prompt


def test_controllers_that_have_just_started_do_not_make_the_fleet_small() -> None:
    size = RouterCount()
    assert size.report(9, 0.0) == 9
    assert [size.report(n, 5_000.0) for n in (1, 3, 8)] == [9, 9, 9]
    assert size.report(10, 6_000.0) == 10
    assert size.report(6, 6_000.0 + RETENTION_MS) == 6


def test_nonsense_in_headers_counts_as_nothing_said() -> None:
    odd = request(x_deadline_ms="soon", x_token_usage="many")
    assert odd.deadline_ms is None
    assert odd.tokens is None
    assert request(x_token_usage="10,20").tokens == 30.0


def test_every_kind_of_error_has_an_answer() -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, answer in ERROR_RESPONSES.items():
        assert (answer.retry_after_s is not None) == (answer.status in (429, 503)), kind
