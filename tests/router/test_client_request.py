"""What is read from a client's headers, and what is forwarded to an upstream."""

from __future__ import annotations

from dataclasses import replace

import pytest
from larkweir_balancing.prompt import DEFAULT_LATENCY_TARGET_MS, Prompt

from larkweir.router.client_request import ClientRequest, RoutingHeaders


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


def test_nonsense_in_headers_counts_as_nothing_said() -> None:
    odd = request(x_deadline_ms="soon", x_token_usage="many")
    assert odd.deadline_ms is None
    assert odd.tokens is None
    assert request(x_token_usage="10,20").tokens == 30.0
