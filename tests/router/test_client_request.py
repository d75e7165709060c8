"""The values that are read from a client's headers, and the headers that are forwarded to an upstream."""

from __future__ import annotations

from dataclasses import replace

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.prompt import DEFAULT_LATENCY_TARGET_MS, Prompt

from larkweir.cluster.configuration.schema import first_problem
from larkweir.router.client_request import ClientRequest, RoutingHeaders
from larkweir.router.request_metadata import parse_metadata
from tests.cluster.configurations import changed


def request(**headers: str) -> ClientRequest:
    raw = [(name.replace("_", "-").encode(), value.encode()) for name, value in headers.items()]
    return ClientRequest(b"POST", b"/a/b?c=d", raw, b"body", 0.0, parse_metadata(raw))


OWN = RoutingHeaders(1500, "i-1", "tenant", 3, None)


def test_only_the_router_names_the_tenant_to_an_upstream() -> None:
    received = request(
        host="a.example:80",
        x_api_key="secret",
        x_tenant="forged",
        priority="0",
        x_request_id="r",
        connection="x-odd",
        x_odd="1",
    )
    forwarded = dict(received.upstream_headers(OWN))
    assert forwarded[b"x-tenant"] == b"tenant"
    assert forwarded[b"x-deadline-ms"] == b"1500"
    assert forwarded[b"x-target-instance"] == b"i-1"
    assert forwarded[b"priority"] == b"3"
    assert forwarded[b"content-length"] == b"4"
    assert forwarded[b"x-request-id"] == b"r"
    assert not {b"x-api-key", b"connection", b"x-odd"} & set(forwarded)
    assert received.host == "a.example"
    assert received.path == "/a/b"


def test_the_last_event_id_is_the_clients_unless_the_router_resumes_the_stream() -> None:
    received = request(last_event_id="4")
    assert dict(received.upstream_headers(OWN))[b"last-event-id"] == b"4"
    resumed = received.upstream_headers(replace(OWN, last_event_id=b"9"))
    assert [value for name, value in resumed if name == b"last-event-id"] == [b"9"]


@pytest.mark.parametrize(
    ("usage", "prefix", "prompt"),
    [
        ("1460,80", "a:800,b:410,c:250", Prompt("b", 1460.0, 1210.0)),
        ("1460,80", "c:250", Prompt("", 1460.0, 0.0)),
        ("1460,80", "", Prompt("", 1460.0, 0.0)),
        ("100,80", "a:800,b:410,c:250", Prompt("b", 100.0, 100.0)),
        ("", "a:1,c:1", Prompt("a", 0.0, 0.0)),
    ],
)
def test_the_prefix_of_a_prompt_is_its_deepest_shared_block(usage: str, prefix: str, prompt: Prompt) -> None:
    assert request(x_token_usage=usage, x_prompt_prefix=prefix).prompt(DEFAULT_LATENCY_TARGET_MS) == prompt


@pytest.mark.parametrize(
    "name",
    ["ሰላም", "Перевозки", "café", "🚚 fleet", "plain"],
    ids=["Ethiopic", "Cyrillic", "Latin-1", "emoji", "ASCII"],
)
def test_a_tenant_is_named_to_upstreams_in_utf_8(name: str) -> None:
    # Guards against tenants whose every request ends in the router's 500 (review/7).
    head = request(host="a").upstream_request(replace(OWN, tenant=name))
    assert dict(head.headers)[b"x-tenant"] == name.encode()


@given(st.text(max_size=12))
def test_each_accepted_name_of_a_tenant_can_be_sent_to_upstreams(name: str) -> None:
    if first_problem(changed(tenants=[{"name": name, "api_keys": ["k"]}])) is not None:
        return
    head = request(host="a").upstream_request(replace(OWN, tenant=name))
    sent = h11.Connection(h11.CLIENT).send(head)
    assert sent is not None
    server = h11.Connection(h11.SERVER)
    server.receive_data(sent)
    received = server.next_event()
    assert isinstance(received, h11.Request)
    assert dict(received.headers)[b"x-tenant"].decode() == name
