"""An answer goes to the one who asked, and what may not be repeated runs once: resets at each byte, late answers."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tests.router.router_model import (
    KINDS,
    REPEATABLE,
    FakeUpstream,
    Play,
    RouterModel,
    answer_of,
)


@pytest.fixture
def play() -> Play:
    return Play()


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("in_order", "framed"),
    [(False, True), (True, True), (False, False)],
    ids=["reset", "close", "reset without a length"],
)
def test_a_connection_that_ends_at_each_byte_of_an_answer(kind: str, in_order: bool, framed: bool) -> None:
    at = 0
    while True:
        play = Play()
        sent = play.request(play.client(), kind)
        upstream = play.waiting()[0]
        assert upstream.run is not None
        upstream.begin(answer_of(upstream.run, framed=framed), complete=framed)
        length = len(upstream.unsent)
        play.do(lambda cut=at, one=upstream: one.send(cut))  # type: ignore[misc]
        play.do(lambda one=upstream: one.close(in_order))  # type: ignore[misc]
        play.model.check()
        if kind not in REPEATABLE:
            assert len(play.model.runs[sent.id]) == 1
            complete = at == length and framed
            assert (sent.complete and sent.status == 200) == complete, f"cut at {at} of {length}"
        elif kind == "resumable" and not sent.complete:
            assert play.waiting(), f"it is not sent again when cut at {at} of {length}"
            play.answer(play.waiting()[0])
            play.model.check()
            assert sent.complete, f"cut at {at} of {length}"
        play.close()
        if at == length:
            break
        at += 1


@pytest.mark.parametrize("kind", KINDS)
def test_a_response_without_a_length_is_complete_once_it_is_closed_in_order(kind: str, play: Play) -> None:
    sent = play.request(play.client(), kind)
    upstream = play.waiting()[0]
    run = upstream.run
    assert run is not None
    upstream.begin(answer_of(run, framed=False), complete=False)
    play.do(lambda: upstream.send(len(upstream.unsent)))
    assert not sent.complete
    run.complete = True
    play.do(lambda: upstream.close(in_order=True))
    assert sent.complete
    play.model.check()


def test_a_late_answer_of_the_request_before_is_passed_over(play: Play) -> None:
    client = play.client()
    play.request(client, "plain")
    upstream = play.waiting()[0]
    play.answer(upstream)
    late = upstream.last_answer
    second = play.request(client, "plain")
    assert play.waiting() == [upstream], "the connection is used again"
    play.do(lambda: upstream.extra(late))
    assert not second.ended
    play.answer(upstream)
    assert second.body == b"r1/0"
    play.model.check()


def test_an_extra_answer_on_an_idle_connection_ends_it(play: Play) -> None:
    client = play.client()
    play.request(client, "plain")
    upstream = play.waiting()[0]
    play.answer(upstream)
    play.do(lambda: upstream.extra(upstream.last_answer))
    assert not upstream.is_open
    play.request(client, "plain")
    play.model.check()


def test_a_success_that_names_no_request_is_not_believed(play: Play) -> None:
    sent = play.request(play.client(), "plain")
    upstream = play.waiting()[0]
    play.answer(upstream, echo=False)
    assert sent.status == 502
    assert not upstream.is_open


def test_a_success_without_a_signature_is_not_believed(play: Play) -> None:
    sent = play.request(play.client(), "plain")
    upstream = play.waiting()[0]
    assert upstream.run is not None
    answer = answer_of(upstream.run).replace(b"X-Server-Signature", b"X-Other")
    upstream.begin(answer)
    play.do(lambda: upstream.send(len(answer)))
    assert sent.status == 502


def test_a_rejection_that_names_no_request_proves_that_it_has_not_run(play: Play) -> None:
    sent = play.request(play.client(), "plain")
    for _ in range(2):
        upstream = play.waiting()[0]
        assert upstream.run is not None
        refusal = answer_of(upstream.run, status=503, echo=False, **{"X-Not-Executed": "1"})
        upstream.begin(refusal, executed=False)
        play.do(lambda one=upstream: one.send(len(one.unsent)))  # type: ignore[misc]
    assert sent.status == 503
    play.model.check()


def test_a_duplicate_of_a_rejection_without_an_id_answers_no_other_request(play: Play) -> None:
    play.request(play.client(), "plain")
    upstream = play.waiting()[0]
    assert upstream.run is not None
    refusal = answer_of(upstream.run, status=421, echo=False)
    upstream.begin(refusal, executed=False)
    play.do(lambda: upstream.send(len(refusal)))
    assert not upstream.is_open
    play.model.check()


def test_a_connection_that_was_reset_before_the_request_was_written(play: Play) -> None:
    """The pool's connection ends between its opening and the first write."""
    client = play.client()
    original = play.model.plane.pool.connect

    async def connect(address: str) -> object:
        connection = await original(address)
        play.model.upstreams[-1].close(in_order=False)
        return connection

    play.model.plane.pool.connect = connect  # type: ignore[method-assign,assignment]
    sent = play.request(client, "plain")
    assert sent.status == 503
    play.model.check()


class ExchangeMachine(RuleBasedStateMachine):
    """Clients, requests and upstreams in any order of events."""

    def __init__(self) -> None:
        super().__init__()
        self.play = Play()

    @property
    def model(self) -> RouterModel:
        return self.play.model

    def _unanswered(self) -> list[FakeUpstream]:
        return [one for one in self.play.waiting() if one.may_send_more]

    def _talkative(self) -> list[FakeUpstream]:
        return [one for one in self.model.upstreams if one.may_send_more]

    def _one_of(self, some: list[FakeUpstream], pick: int) -> FakeUpstream:
        return some[pick % len(some)]

    @rule()
    @precondition(lambda self: sum(client.is_open for client in self.model.clients) < 4)
    def client_connects(self) -> None:
        self.play.client()

    @rule(pick=st.integers(0, 9), kind=st.sampled_from(sorted(KINDS)), body=st.binary(max_size=5))
    @precondition(lambda self: any(client.is_open for client in self.model.clients))
    def client_sends_a_request(self, pick: int, kind: str, body: bytes) -> None:
        clients = [client for client in self.model.clients if client.is_open]
        self.play.request(clients[pick % len(clients)], kind, body)

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(client.is_open for client in self.model.clients))
    def client_goes(self, pick: int) -> None:
        clients = [client for client in self.model.clients if client.is_open]
        self.play.do(clients[pick % len(clients)].close)

    @rule(pick=st.integers(0, 9), count=st.integers(1, 400), framed=st.booleans())
    @precondition(lambda self: self.play.waiting())
    def upstream_answers_a_piece(self, pick: int, count: int, framed: bool) -> None:
        upstream = self._one_of(self.play.waiting(), pick)
        assert upstream.run is not None
        if upstream.is_unframed and not upstream.unsent:
            return  # all of it is sent: its end is the close
        if not upstream.unsent:
            upstream.begin(answer_of(upstream.run, framed=framed), complete=framed)
        self.play.do(lambda: upstream.send(count))

    @rule(pick=st.integers(0, 9), status=st.sampled_from([421, 429, 503]), echo=st.booleans())
    @precondition(lambda self: self._unanswered())
    def upstream_refuses(self, pick: int, status: int, echo: bool) -> None:
        upstream = self._one_of(self._unanswered(), pick)
        assert upstream.run is not None
        headers = {} if status == 421 else {"X-Not-Executed": "1"}
        refusal = answer_of(upstream.run, status=status, echo=echo, **headers)
        upstream.begin(refusal, executed=False)
        self.play.do(lambda: upstream.send(len(refusal)))

    @rule(pick=st.integers(0, 9), status=st.sampled_from([500, 503, 408]))
    @precondition(lambda self: self._unanswered())
    def upstream_fails(self, pick: int, status: int) -> None:
        upstream = self._one_of(self._unanswered(), pick)
        self.play.answer(upstream, status=status)

    @rule(pick=st.integers(0, 9))
    @precondition(lambda self: any(one.last_answer for one in self._talkative()))
    def upstream_repeats_its_last_answer(self, pick: int) -> None:
        some = [one for one in self._talkative() if one.last_answer]
        upstream = self._one_of(some, pick)
        self.play.do(lambda: upstream.extra(upstream.last_answer))

    @rule(
        pick=st.integers(0, 9), noise=st.sampled_from([b"\x00\xff", b"HTTP/1.1 200 OK\r\n\r\nx", b"\r\n\r\n"])
    )
    @precondition(lambda self: self._talkative())
    def upstream_sends_noise(self, pick: int, noise: bytes) -> None:
        upstream = self._one_of(self._talkative(), pick)
        self.play.do(lambda: upstream.extra(noise))

    @rule(pick=st.integers(0, 9), in_order=st.booleans())
    @precondition(lambda self: any(one.is_open for one in self.model.upstreams))
    def upstream_ends_a_connection(self, pick: int, in_order: bool) -> None:
        upstream = self._one_of([one for one in self.model.upstreams if one.is_open], pick)
        if upstream.is_unframed and upstream.run is not None:
            if upstream.unsent:
                in_order = False  # nobody could tell that it is not complete
            else:
                upstream.run.complete = in_order
        self.play.do(lambda: upstream.close(in_order))

    @rule(address=st.sampled_from(RouterModel.ADDRESSES))
    def an_address_refuses_or_takes_connections(self, address: str) -> None:
        self.model.refusing ^= {address}

    @invariant()
    def all_is_well(self) -> None:
        self.model.check()

    def teardown(self) -> None:
        for client in self.model.clients:
            if client.is_open:
                self.play.do(client.close)
        self.model.check()
        self.play.close()


ExchangeMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, report_multiple_bugs=False
)
TestExchangeMachine = ExchangeMachine.TestCase
