"""An unexpected exception ends only its own exchange, which releases all its resources."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import pytest
from larkweir_balancing.prefill_time import PrefillTime
from larkweir_quotas.quota_requester import AdmissionRule, QuotaCharge

from larkweir.cluster import log
from larkweir.router import exchange as exchange_module
from larkweir.router.attempt import Attempt
from larkweir.router.exchange_guard import run_each
from larkweir.router.prefix_affinity import PrefixAffinity
from larkweir.router.response_relay import ResponseRelay
from larkweir.router.upstream_connection import UpstreamConnection
from tests.router.router_model import FakeUpstream, RouterHarness, SentRequest, answer_of


class PlantedError(Exception):
    """An unexpected exception, raised by a test."""


@pytest.fixture
def harness() -> Iterator[RouterHarness]:
    made = RouterHarness()
    yield made
    made.close()


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[tuple[str, dict[str, object]]]:
    lines: list[tuple[str, dict[str, object]]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: lines.append((name, fields)))
    return lines


def fail(*_: object, **__: object) -> None:
    raise PlantedError


def answer_request(harness: RouterHarness) -> None:
    (upstream,) = harness.waiting()
    harness.answer(upstream)


def answer_all_but_last_byte(harness: RouterHarness) -> None:
    (upstream,) = harness.waiting()
    assert upstream.run is not None
    upstream.begin(answer_of(upstream.run))
    harness.do(lambda: upstream.send(len(upstream.unsent) - 1))


def reset_connection(harness: RouterHarness) -> None:
    (upstream,) = harness.waiting()
    harness.do(lambda: upstream.close(in_order=False))


def do_nothing(harness: RouterHarness) -> None:
    pass


ENTRY_POINTS: list[tuple[str, type | object, str, Callable[[RouterHarness], None]]] = [
    ("start", exchange_module, "admit", do_nothing),
    ("no prefix", PrefixAffinity, "find_owner", do_nothing),
    ("request is sent", UpstreamConnection, "call", do_nothing),
    ("head of the response", exchange_module, "classify_response", answer_request),
    ("head is relayed", ResponseRelay, "start", answer_request),
    ("data of the response", Attempt, "on_first_event", answer_request),
    ("data is relayed", ResponseRelay, "send", answer_all_but_last_byte),
    ("end of the response", ResponseRelay, "flush", answer_request),
    ("call failed", exchange_module.Exchange, "_respond_unavailable", reset_connection),
]


def assert_nothing_is_in_use(harness: RouterHarness) -> None:
    """Asserts that no upstream has a request in flight, and that no exchange is in progress."""
    plane = harness.model.plane
    selector = plane.upstreams.selector("s")
    for name in ("i0", "i1"):
        assert selector.prefill_backlog_tokens(name) == 0.0
        server = selector._upstreams.server(name)
        assert server is not None
        assert server.other_in_flight == 0
    assert not harness.waiting()
    assert all(one._exchange is None for one in plane.connections)


@pytest.mark.parametrize(
    ("where", "owner", "name", "action"), ENTRY_POINTS, ids=[one[0] for one in ENTRY_POINTS]
)
def test_one_exchange_ends_and_the_next_is_served(
    where: str,
    owner: type,
    name: str,
    action: Callable[[RouterHarness], None],
    harness: RouterHarness,
    logged: list[tuple[str, dict[str, object]]],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    client = harness.client()
    with monkeypatch.context() as patch:
        patch.setattr(owner, name, fail)
        if where == "no prefix":
            patch.setattr(harness.model.plane, "is_engine", lambda service: True)
            patch.setattr("larkweir_balancing.prompt.Prompt.is_shared", True)
        sent = harness.request(client, "plain")
        action(harness)
    assert (sent.status, sent.ended) in [(500, True), (200, False), (200, True)]
    # If the exception is raised at the end of the response, a body with a length has been relayed completely.
    assert sent.status == 500 or not sent.complete or where == "end of the response"
    assert not client.is_open
    failures = [fields for event, fields in logged if event == "exchange_failed"]
    assert [one["id"] for one in failures] == [sent.id]
    assert "PlantedError" in str(failures[0]["error"])
    assert not [event for event, _ in logged if event in ("task_failed", "exchange_cleanup_failed")]
    assert_nothing_is_in_use(harness)
    following = harness.request(harness.client(), "plain")
    answer_request(harness)
    assert (following.status, following.complete) == (200, True)


def test_the_quota_of_a_request_that_has_not_run_is_refunded(
    harness: RouterHarness, logged: list[tuple[str, dict[str, object]]], monkeypatch: pytest.MonkeyPatch
) -> None:
    plane = harness.model.plane
    charge = QuotaCharge("t", 10.0, AdmissionRule.RESERVE)
    refunded: list[object] = []
    monkeypatch.setattr(plane.quotas, "refund", refunded.append)
    original = exchange_module.admit

    def admit(*arguments: object) -> object:
        admitted = original(*arguments)  # type: ignore[arg-type]
        return type(admitted)(admitted.route, "s", admitted.deadline_ms, None, charge)  # type: ignore[union-attr, arg-type]

    monkeypatch.setattr(exchange_module, "admit", admit)
    monkeypatch.setattr(Attempt, "connect", fail)
    assert harness.request(harness.client(), "plain").status == 500
    assert refunded == [charge]


def test_a_response_that_can_not_be_sent_closes_the_connection(
    harness: RouterHarness, logged: list[tuple[str, dict[str, object]]], monkeypatch: pytest.MonkeyPatch
) -> None:
    client = harness.client()
    monkeypatch.setattr(exchange_module, "admit", fail)
    monkeypatch.setattr(ResponseRelay, "send_error", fail)
    sent = harness.request(client, "plain")
    assert not sent.ended
    assert not client.is_open
    assert [event for event, _ in logged] == ["exchange_failed", "exchange_cleanup_failed"]


def test_each_step_of_a_clean_up_runs(logged: list[tuple[str, dict[str, object]]]) -> None:
    ran: list[int] = []
    run_each((lambda: ran.append(1), fail, lambda: ran.append(2)))
    assert ran == [1, 2]
    assert [event for event, _ in logged] == ["exchange_cleanup_failed"]


def send_oversized_request(harness: RouterHarness, kind: str) -> SentRequest:
    """Sends a request whose head is so large that upstreams may refuse it."""
    client = harness.client()
    (connection,) = harness.model.plane.connections
    connection._h11._max_incomplete_event_size = 100_000  # type: ignore[attr-defined]
    sent = SentRequest(f"r{len(harness.model.sent)}", kind)
    harness.model.sent[sent.id] = sent
    client.queue(sent, b"", headers=f"X-Long: {'x' * 70_000}\r\n")
    harness.do(lambda: client.send(len(client.unsent)))
    return sent


def test_an_oversized_head_refused_by_closing_is_sent_once_and_not_counted_as_failed(
    harness: RouterHarness,
) -> None:
    sent = send_oversized_request(harness, "safe")
    reset_connection(harness)
    assert sent.status == 502
    assert len(harness.model.runs[sent.id]) == 1
    assert (
        harness.do(lambda: harness.model.plane.outcomes.failing_upstreams(harness.loop.time() * 1000.0)) == {}
    )


def test_a_large_head_that_is_answered_with_garbage_is_retried(harness: RouterHarness) -> None:
    sent = send_oversized_request(harness, "safe")
    (upstream,) = harness.waiting()
    harness.do(lambda: upstream.send_unrequested(b"no HTTP\r\n\r\n"))
    answer_request(harness)
    assert sent.status == 200
    assert len(harness.model.runs[sent.id]) == 2


def test_the_upstreams_own_response_to_a_large_head_is_relayed(harness: RouterHarness) -> None:
    sent = send_oversized_request(harness, "safe")
    (upstream,) = harness.waiting()
    harness.answer(upstream, status=431)
    assert sent.status == 431
    assert len(harness.model.runs[sent.id]) == 1


def test_a_reset_of_a_small_request_is_retried_and_counts_as_failed(harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), "safe")
    reset_connection(harness)
    answer_request(harness)
    assert sent.status == 200
    assert harness.do(lambda: harness.model.plane.outcomes.failing_upstreams(harness.loop.time() * 1000.0))


def test_only_the_first_chunk_of_a_response_counts_as_its_first_event(
    harness: RouterHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    observed: list[float] = []
    monkeypatch.setattr(PrefillTime, "observe", lambda self, tokens, ms: observed.append(ms))
    harness.request(harness.client(), "plain")
    (upstream,) = harness.waiting()
    assert isinstance(upstream, FakeUpstream)
    assert upstream.run is not None
    upstream.begin(answer_of(upstream.run))
    head_bytes = upstream.unsent.index(b"\r\n\r\n") + 4
    harness.do(lambda: upstream.send(head_bytes))
    for _ in range(3):
        harness.do(lambda: upstream.send(1))
    assert len(observed) == 1
