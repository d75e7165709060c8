"""The limits of requests on connections that clients keep while the configuration changes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from larkweir.cluster.configuration.schema import MAX_BYTES
from larkweir.router.client_connection import MAX_PARSER_BYTES
from tests.router.router_model import FakeClient, RouterHarness, SentRequest

SEGMENT_BYTES = 1_448  # what a link carries at once
NARROW, WIDE = {"max_header_bytes": 8_192}, {"max_header_bytes": 16_384}


@pytest.fixture
def harness() -> Iterator[RouterHarness]:
    harness = RouterHarness()
    yield harness
    harness.close()


def send_in_segments(harness: RouterHarness, client: FakeClient, header_bytes: int) -> SentRequest:
    """Sends a request with a header of that many bytes, a segment at a time."""
    sent = SentRequest(f"r{len(harness.model.sent)}", "plain")
    harness.model.sent[sent.id] = sent
    client.queue(sent, b"", f"X-Long: {'a' * header_bytes}\r\n")
    while client.unsent and client.is_open:
        harness.do(lambda: client.send(SEGMENT_BYTES))
    return sent


def serve_small_request(harness: RouterHarness, client: FakeClient) -> None:
    sent = harness.request(client, "plain")
    harness.answer(harness.waiting()[0])
    assert sent.status == 200


def test_a_raised_limit_of_heads_reaches_kept_connections(harness: RouterHarness) -> None:
    # Guards against proper requests that get 431 by the limit of the time when a connection was opened (review/8).
    harness.do(lambda: harness.model.configure(2, limits=NARROW))
    client = harness.client()
    serve_small_request(harness, client)
    harness.do(lambda: harness.model.configure(3, limits=WIDE))
    sent = send_in_segments(harness, client, 12_000)
    harness.answer(harness.waiting()[0])
    assert sent.status == 200


def test_a_limit_counts_from_the_first_request_of_a_connection_opened_before(harness: RouterHarness) -> None:
    client = harness.client()
    harness.do(lambda: harness.model.configure(2, limits={"max_header_bytes": 40_000}))
    sent = send_in_segments(harness, client, 30_000)
    harness.answer(harness.waiting()[0])
    assert sent.status == 200


def test_a_limit_that_is_raised_while_a_head_arrives_counts_for_it(harness: RouterHarness) -> None:
    harness.do(lambda: harness.model.configure(2, limits=NARROW))
    client = harness.client()
    sent = SentRequest("r0", "plain")
    harness.model.sent[sent.id] = sent
    client.queue(sent, b"", f"X-Long: {'a' * 12_000}\r\n")
    for _ in range(5):
        harness.do(lambda: client.send(SEGMENT_BYTES))
    harness.do(lambda: harness.model.configure(3, limits=WIDE))
    while client.unsent and client.is_open:
        harness.do(lambda: client.send(SEGMENT_BYTES))
    harness.answer(harness.waiting()[0])
    assert sent.status == 200


@pytest.mark.parametrize("members", [{"limits": NARROW}, {"limits": {"max_header_bytes": 1}}])
def test_a_lowered_limit_of_heads_reaches_kept_connections(
    members: dict[str, object], harness: RouterHarness
) -> None:
    client = harness.client()
    serve_small_request(harness, client)
    harness.do(lambda: harness.model.configure(2, **members))
    assert send_in_segments(harness, client, 12_000).status == 431
    assert not client.is_open


@pytest.mark.parametrize(("idle_timeout_ms", "stays_open"), [(2_000, False), (15_000, True)])
def test_an_idle_time_out_that_changes_reaches_idle_connections(
    idle_timeout_ms: int, stays_open: bool, harness: RouterHarness
) -> None:
    # Guards against closing a connection that the configuration in force lets a client take up again.
    harness.do(lambda: harness.model.configure(2, limits={"idle_timeout_ms": 2_000}))
    client = harness.client()
    serve_small_request(harness, client)
    harness.do(lambda: harness.model.configure(3, limits={"idle_timeout_ms": idle_timeout_ms}))
    client.connection._idle_since_s = -2.0  # the clock stands still at 0
    harness.do(client.connection._on_idle_timeout)
    assert client.is_open == stays_open


def test_the_parser_holds_back_no_limit_that_a_configuration_may_have() -> None:
    assert MAX_PARSER_BYTES >= MAX_BYTES
