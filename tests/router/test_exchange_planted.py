"""Faults planted in the request path. The tests of `test_exchange` must detect each of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11
import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from larkweir.router import exchange
from larkweir.router.client_connection import ClientConnection
from larkweir.router.exchange import Exchange
from larkweir.router.response_classification import ResponseClass
from larkweir.router.response_relay import ResponseRelay
from larkweir.router.upstream_connection import UpstreamConnection
from tests.router import test_exchange as exchange_tests
from tests.router.router_model import FakeTransport, FakeUpstream
from tests.router.test_exchange import ExchangeMachine

Patch = Callable[[pytest.MonkeyPatch], None]
FIND = settings(
    max_examples=2_000,
    stateful_step_count=40,
    deadline=None,
    phases=[Phase.generate],
    derandomize=True,
    report_multiple_bugs=False,
)


def any_response_is_accepted_for_this_request(patch: pytest.MonkeyPatch) -> None:
    def head(self: UpstreamConnection, response: h11.Response) -> None:
        assert self._listener is not None
        self._listener.on_response_head(response)

    patch.setattr(UpstreamConnection, "_on_head", head)


def bytes_on_an_idle_connection_are_parsed(patch: pytest.MonkeyPatch) -> None:
    def received(self: UpstreamConnection, data: bytes) -> None:
        self._h11.receive_data(data)
        self._advance()

    patch.setattr(UpstreamConnection, "data_received", received)
    any_response_is_accepted_for_this_request(patch)


def a_request_that_may_have_run_is_retried(patch: pytest.MonkeyPatch) -> None:
    def failed(self: Exchange, ending: Any) -> None:
        from larkweir_balancing.interface import Outcome

        self._end_attempt(Outcome.RESET)
        if self._relay.has_started:
            self._abort_response()
        elif self._take_retry():
            self._start_attempt()
        else:
            self._respond_unavailable()

    patch.setattr(Exchange, "on_call_failed", failed)


def every_response_is_relayed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(exchange, "classify_response", lambda head, route, **rest: ResponseClass.RELAYABLE)


def a_broken_response_ends_as_if_complete(patch: pytest.MonkeyPatch) -> None:
    def broken(self: ClientConnection) -> None:
        self.end_response()

    patch.setattr(ClientConnection, "abort_response", broken)


def a_resumed_stream_starts_over(patch: pytest.MonkeyPatch) -> None:
    original = ResponseRelay.restart

    def restart(self: ResponseRelay) -> None:
        if self.events is not None:
            self.events.last_id = None
        original(self)

    patch.setattr(ResponseRelay, "restart", restart)


def a_final_rejection_counts_as_never_executed(patch: pytest.MonkeyPatch) -> None:
    original = Exchange._respond_unavailable

    def give_up(self: Exchange) -> None:
        assert self._retries is not None
        self._retries.executions = 0
        original(self)

    patch.setattr(Exchange, "_respond_unavailable", give_up)


def the_end_of_a_connection_ends_every_stream(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(ResponseRelay, "is_cut_off", False)


def a_connection_that_does_not_read_is_reused(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(FakeTransport, "is_reading", lambda self: True)
    patch.setattr(FakeUpstream, "_on_data", _unless_paused(FakeUpstream._on_data))


def _unless_paused(on_data: Callable[[FakeUpstream, bytes], None]) -> Callable[[FakeUpstream, bytes], None]:
    """Keep the model's check of paused connections, whose `is_reading` the fault replaces."""

    def checked(self: FakeUpstream, data: bytes) -> None:
        assert self.transport._reading
        on_data(self, data)

    return checked


def a_connection_with_an_unread_request_is_reused(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UpstreamConnection, "_has_unread_request", lambda self: False)


def a_slow_client_that_reads_on_resumes_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Exchange, "on_client_writable", lambda self: None)


def run_state_machine() -> None:
    run_state_machine_as_test(ExchangeMachine, settings=FIND)


def run_cut_stream_test() -> None:
    exchange_tests.test_a_connection_that_ends_at_each_byte_of_a_response(
        "resumable", in_order=False, framed=True
    )


FAULTS: list[Patch] = [
    any_response_is_accepted_for_this_request,
    bytes_on_an_idle_connection_are_parsed,
    a_request_that_may_have_run_is_retried,
    every_response_is_relayed,
    a_broken_response_ends_as_if_complete,
    a_final_rejection_counts_as_never_executed,
    the_end_of_a_connection_ends_every_stream,
    a_connection_that_does_not_read_is_reused,
    a_connection_with_an_unread_request_is_reused,
    a_slow_client_that_reads_on_resumes_nothing,
]


def test_a_resumed_stream_that_starts_over_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    run_cut_stream_test()
    a_resumed_stream_starts_over(monkeypatch)
    with pytest.raises(AssertionError):
        run_cut_stream_test()


@pytest.mark.parametrize("plant", FAULTS, ids=lambda plant: plant.__name__)
def test_the_state_machine_finds_it(plant: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    with pytest.raises(Exception):  # noqa: B017 — either the model's check or the parser fails first
        run_state_machine()
