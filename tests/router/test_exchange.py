"""Each response goes to the client that sent the request, and non-idempotent requests are executed at most once.

Upstream connections are reset at each byte of a response, and upstreams send late, duplicate and invalid responses.
"""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larkweir.router.client_connection import MAX_PIPELINED_BYTES
from tests.router.router_model import (
    KINDS,
    REPEATABLE,
    FakeUpstream,
    RouterHarness,
    RouterModel,
    SentRequest,
    answer_of,
)


@pytest.fixture
def harness() -> RouterHarness:
    return RouterHarness()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("in_order", "framed"),
    [(False, True), (True, True), (False, False)],
    ids=["reset", "close", "reset without a length"],
)
def test_a_connection_that_ends_at_each_byte_of_a_response(kind: str, in_order: bool, framed: bool) -> None:
    at = 0
    while True:
        harness = RouterHarness()
        sent = harness.request(harness.client(), kind)
        upstream = harness.waiting()[0]
        assert upstream.run is not None
        upstream.begin(answer_of(upstream.run, framed=framed), complete=framed)
        length = len(upstream.unsent)
        harness.do(lambda cut=at, one=upstream: one.send(cut))  # type: ignore[misc]
        harness.do(lambda one=upstream: one.close(in_order))  # type: ignore[misc]
        harness.model.check()
        if kind not in REPEATABLE:
            assert len(harness.model.runs[sent.id]) == 1
            complete = at == length and framed
            assert (sent.complete and sent.status == 200) == complete, f"cut at {at} of {length}"
        elif kind == "resumable" and not sent.complete:
            assert harness.waiting(), f"the stream is not resumed when cut at {at} of {length}"
            harness.answer(harness.waiting()[0])
            harness.model.check()
            assert sent.complete, f"cut at {at} of {length}"
        harness.close()
        if at == length:
            break
        at += 1


@pytest.mark.parametrize("kind", KINDS)
def test_a_response_without_a_length_is_complete_once_it_is_closed_in_order(
    kind: str, harness: RouterHarness
) -> None:
    sent = harness.request(harness.client(), kind)
    upstream = harness.waiting()[0]
    run = upstream.run
    assert run is not None
    upstream.begin(answer_of(run, framed=False), complete=False)
    harness.do(lambda: upstream.send(len(upstream.unsent)))
    assert not sent.complete
    run.complete = True
    harness.do(lambda: upstream.close(in_order=True))
    assert sent.complete
    harness.model.check()


def test_a_late_response_to_the_previous_request_is_skipped(harness: RouterHarness) -> None:
    client = harness.client()
    harness.request(client, "plain")
    upstream = harness.waiting()[0]
    harness.answer(upstream)
    late = upstream.last_answer
    second = harness.request(client, "plain")
    assert harness.waiting() == [upstream], "the connection should be reused"
    harness.do(lambda: upstream.send_unrequested(late))
    assert not second.ended
    harness.answer(upstream)
    assert second.body == b"r1/0"
    harness.model.check()


def test_an_unrequested_response_on_an_idle_connection_closes_it(harness: RouterHarness) -> None:
    client = harness.client()
    harness.request(client, "plain")
    upstream = harness.waiting()[0]
    harness.answer(upstream)
    harness.do(lambda: upstream.send_unrequested(upstream.last_answer))
    assert not upstream.is_open
    harness.request(client, "plain")
    harness.model.check()


def test_a_success_without_a_request_id_is_not_accepted(harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), "plain")
    upstream = harness.waiting()[0]
    harness.answer(upstream, echo=False)
    assert sent.status == 502
    assert not upstream.is_open


def test_a_success_without_a_signature_is_not_accepted(harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), "plain")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    answer = answer_of(upstream.run).replace(b"X-Server-Signature", b"X-Other")
    upstream.begin(answer)
    harness.do(lambda: upstream.send(len(answer)))
    assert sent.status == 502


def test_a_rejection_without_a_request_id_proves_that_the_request_has_not_run(harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), "plain")
    for _ in range(2):
        upstream = harness.waiting()[0]
        assert upstream.run is not None
        rejection = answer_of(upstream.run, status=503, echo=False, **{"X-Not-Executed": "1"})
        upstream.begin(rejection, executed=False)
        harness.do(lambda one=upstream: one.send(len(one.unsent)))  # type: ignore[misc]
    assert sent.status == 503
    harness.model.check()


def test_a_duplicate_of_a_rejection_without_an_id_answers_no_other_request(harness: RouterHarness) -> None:
    harness.request(harness.client(), "plain")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    rejection = answer_of(upstream.run, status=421, echo=False)
    upstream.begin(rejection, executed=False)
    harness.do(lambda: upstream.send(len(rejection)))
    assert not upstream.is_open
    harness.model.check()


def test_a_connection_that_was_reset_before_the_request_was_written(harness: RouterHarness) -> None:
    """The connection is reset between the connect and the first write."""
    client = harness.client()
    original = harness.model.plane.pool.connect

    async def connect(address: str) -> object:
        connection = await original(address)
        harness.model.upstreams[-1].close(in_order=False)
        return connection

    harness.model.plane.pool.connect = connect  # type: ignore[method-assign,assignment]
    sent = harness.request(client, "plain")
    assert sent.status == 503
    harness.model.check()


def test_a_request_that_arrives_while_its_connection_is_paused_is_served(harness: RouterHarness) -> None:
    client = harness.client()
    first = harness.request(client, "plain")
    second = SentRequest("r1", "plain")
    harness.model.sent[second.id] = second
    client.queue(second, bytes(2 * MAX_PIPELINED_BYTES))
    harness.do(lambda: client.send(MAX_PIPELINED_BYTES + 1))
    assert not client.transport.is_reading()
    harness.do(lambda: client.send(len(client.unsent)))
    harness.answer(harness.waiting()[0])
    assert first.complete
    harness.answer(harness.waiting()[0])
    assert second.complete
    harness.model.check()


@pytest.mark.parametrize("reads_on_after", ["part", "all"])
def test_a_client_that_stops_reading_gets_all_and_the_next_request_is_answered(
    reads_on_after: str, harness: RouterHarness
) -> None:
    # Guards against requests that are executed and answered on a connection that nobody reads (review/1).
    client = harness.client()
    slow = harness.request(client, "safe")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    upstream.begin(answer_of(upstream.run))
    harness.do(client.stop_reading)
    harness.do(lambda: upstream.send(len(upstream.unsent) - 2))
    assert not upstream.transport.is_reading()
    if reads_on_after == "part":
        harness.do(client.read_on)
        assert upstream.transport.is_reading()
    harness.do(lambda: upstream.send(len(upstream.unsent)))
    if reads_on_after == "all":
        harness.do(client.read_on)
    assert slow.complete
    sent = harness.request(harness.client(), "plain")
    harness.answer(harness.waiting()[0])
    assert sent.complete
    harness.model.check()


def test_a_response_that_ends_while_its_connection_is_paused_closes_it(harness: RouterHarness) -> None:
    client = harness.client()
    slow = harness.request(client, "safe")
    upstream = harness.waiting()[0]
    harness.do(client.stop_reading)
    harness.answer(upstream)
    assert slow.complete
    assert not upstream.is_open
    assert harness.request(harness.client(), "plain")
    assert harness.waiting() != [upstream]
    harness.model.check()


@pytest.mark.parametrize("end", ["disconnect", "reset", "overdue"])
def test_a_paused_connection_is_closed_when_its_attempt_ends(end: str, harness: RouterHarness) -> None:
    client = harness.client()
    harness.request(client, "resumable")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    upstream.begin(answer_of(upstream.run))
    harness.do(client.stop_reading)
    harness.do(lambda: upstream.send(len(upstream.unsent) - 10))
    assert not upstream.transport.is_reading()
    if end == "disconnect":
        harness.do(client.close)
    elif end == "reset":
        harness.do(lambda: upstream.close(in_order=False))
    else:
        exchange = client.connection._exchange
        assert exchange is not None
        harness.do(exchange._on_overdue)
    assert not upstream.is_open
    harness.model.check()


class ExchangeMachine(RuleBasedStateMachine):
    """Events of clients and upstreams in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = RouterHarness()

    @property
    def model(self) -> RouterModel:
        return self.harness.model

    def _unanswered(self) -> list[FakeUpstream]:
        return [one for one in self.harness.waiting() if one.can_send_unrequested]

    def _able_to_send(self) -> list[FakeUpstream]:
        return [one for one in self.model.upstreams if one.can_send_unrequested]

    def _pick(self, upstreams: list[FakeUpstream], pick: int) -> FakeUpstream:
        return upstreams[pick % len(upstreams)]

    @rule()
    @precondition(lambda self: sum(client.is_open for client in self.model.clients) < 4)
    def client_connects(self) -> None:
        self.harness.client()

    @rule(pick=st.integers(0, 9), kind=st.sampled_from(sorted(KINDS)), body=st.binary(max_size=5))
    @precondition(lambda self: any(client.is_open for client in self.model.clients))
    def client_sends_a_request(self, pick: int, kind: str, body: bytes) -> None:
        clients = [client for client in self.model.clients if client.is_open]
        self.harness.request(clients[pick % len(clients)], kind, body)

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(client.is_open for client in self.model.clients))
    def client_disconnects(self, pick: int) -> None:
        clients = [client for client in self.model.clients if client.is_open]
        self.harness.do(clients[pick % len(clients)].close)

    @rule(pick=st.integers(0, 9), count=st.integers(1, 400), framed=st.booleans())
    @precondition(lambda self: self.harness.waiting())
    def upstream_sends_part_of_a_response(self, pick: int, count: int, framed: bool) -> None:
        upstream = self._pick(self.harness.waiting(), pick)
        assert upstream.run is not None
        if upstream.is_unframed and not upstream.unsent:
            return  # all bytes are sent: only closing the connection ends the response
        if not upstream.unsent:
            upstream.begin(answer_of(upstream.run, framed=framed), complete=framed)
        self.harness.do(lambda: upstream.send(count))

    @rule(pick=st.integers(0, 9), status=st.sampled_from([421, 429, 503]), echo=st.booleans())
    @precondition(lambda self: self._unanswered())
    def upstream_refuses(self, pick: int, status: int, echo: bool) -> None:
        upstream = self._pick(self._unanswered(), pick)
        assert upstream.run is not None
        headers = {} if status == 421 else {"X-Not-Executed": "1"}
        rejection = answer_of(upstream.run, status=status, echo=echo, **headers)
        upstream.begin(rejection, executed=False)
        self.harness.do(lambda: upstream.send(len(rejection)))

    @rule(pick=st.integers(0, 9), status=st.sampled_from([500, 503, 408]))
    @precondition(lambda self: self._unanswered())
    def upstream_fails(self, pick: int, status: int) -> None:
        upstream = self._pick(self._unanswered(), pick)
        self.harness.answer(upstream, status=status)

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(one.last_answer for one in self._able_to_send()))
    def upstream_repeats_its_last_answer(self, pick: int) -> None:
        upstreams = [one for one in self._able_to_send() if one.last_answer]
        upstream = self._pick(upstreams, pick)
        self.harness.do(lambda: upstream.send_unrequested(upstream.last_answer))

    @rule(
        pick=st.integers(0, 9), noise=st.sampled_from([b"\x00\xff", b"HTTP/1.1 200 OK\r\n\r\nx", b"\r\n\r\n"])
    )
    @precondition(lambda self: self._able_to_send())
    def upstream_sends_noise(self, pick: int, noise: bytes) -> None:
        upstream = self._pick(self._able_to_send(), pick)
        self.harness.do(lambda: upstream.send_unrequested(noise))

    @rule(pick=st.integers(0, 9), in_order=st.booleans())
    @precondition(lambda self: any(one.is_open for one in self.model.upstreams))
    def upstream_ends_a_connection(self, pick: int, in_order: bool) -> None:
        upstream = self._pick([one for one in self.model.upstreams if one.is_open], pick)
        if upstream.is_unframed and upstream.run is not None:
            if upstream.unsent:
                # With an end of file between two events the router could not see that the response is truncated.
                in_order = in_order and upstream.shows_its_cut
            else:
                upstream.run.complete = in_order
        self.harness.do(lambda: upstream.close(in_order))

    @rule(pick=st.integers(0, 9), missing_bytes=st.integers(1, 60))
    @precondition(lambda self: self._unanswered())
    def upstream_breaks_off_a_response_without_a_length(self, pick: int, missing_bytes: int) -> None:
        upstream = self._pick(self._unanswered(), pick)
        assert upstream.run is not None
        response = answer_of(upstream.run, framed=False)
        upstream.begin(response, complete=False)
        self.harness.do(lambda: upstream.send(len(response) - missing_bytes))
        if upstream.is_open:
            self.harness.do(lambda: upstream.close(in_order=upstream.shows_its_cut))

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(client.is_open for client in self.model.clients))
    def client_stops_reading_or_reads_on(self, pick: int) -> None:
        clients = [client for client in self.model.clients if client.is_open]
        client = clients[pick % len(clients)]
        self.harness.do(client.stop_reading if client.reads else client.read_on)

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(one.is_open for one in self.model.upstreams))
    def upstream_reads_late_or_reads_on(self, pick: int) -> None:
        upstream = self._pick([one for one in self.model.upstreams if one.is_open], pick)
        if upstream.run is not None or not upstream.transport.accepts_bytes:  # a part of a request is unread
            upstream.transport.accepts_bytes = not upstream.transport.accepts_bytes

    @rule(address=st.sampled_from(RouterModel.ADDRESSES))
    def an_address_refuses_or_takes_connections(self, address: str) -> None:
        self.model.refusing ^= {address}

    @invariant()
    def model_is_consistent(self) -> None:
        self.model.check()

    def teardown(self) -> None:
        for client in self.model.clients:
            if client.is_open:
                self.harness.do(client.close)
        self.model.check()
        self.harness.close()


ExchangeMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, report_multiple_bugs=False
)
TestExchangeMachine = ExchangeMachine.TestCase
