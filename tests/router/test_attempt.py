"""Overdue calls and rejections by upstreams with free slots: which are retried, and what is reported to the fleet."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from larkweir_balancing.fleet_outlier_detection import OutcomeCounts
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_registry.records import Upstream, UpstreamState

from tests.router.router_model import KINDS, REPEATABLE, FakeUpstream, RouterHarness, answer_of

NEVER_MS = 1_000_000.0


@pytest.fixture(autouse=True)
def disable_overdue_timer(monkeypatch: pytest.MonkeyPatch) -> None:
    def overdue_after_ms(balancer: UpstreamSelector, prompt: Prompt, tokens: float) -> float:
        return NEVER_MS

    monkeypatch.setattr(UpstreamSelector, "overdue_after_ms", overdue_after_ms)


def fire_overdue_timer(harness: RouterHarness) -> None:
    """Fires the overdue timer of the one request in progress."""
    (exchange,) = [one._exchange for one in harness.model.plane.connections if one._exchange is not None]
    attempt = exchange._attempt
    assert attempt is not None
    harness.do(lambda: attempt._on_timer(exchange._on_overdue))


@pytest.fixture
def harness() -> Iterator[RouterHarness]:
    made = RouterHarness()
    yield made
    made.close()


def reported_outcomes(harness: RouterHarness) -> dict[str, OutcomeCounts]:
    return harness.do(lambda: harness.model.plane.outcomes.failing_upstreams(harness.loop.time() * 1000.0))


def instance_of(harness: RouterHarness, upstream: FakeUpstream) -> str:
    addresses = harness.model.plane.pool._addresses
    found = next(address for one, address in addresses.items() if one._transport is upstream.transport)
    return f"i{harness.model.ADDRESSES.index(found)}"


@pytest.mark.parametrize("kind", sorted(REPEATABLE))
def test_an_overdue_repeatable_request_is_retried_elsewhere(kind: str, harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), kind)
    (overdue_upstream,) = harness.waiting()
    instance = instance_of(harness, overdue_upstream)
    fire_overdue_timer(harness)
    assert not overdue_upstream.is_open
    (other,) = harness.waiting()
    harness.answer(other)
    assert sent.complete
    assert sent.status == 200
    assert len(harness.model.runs[sent.id]) == 2
    assert reported_outcomes(harness) == {instance: OutcomeCounts(succeeded=0, failed=1)}
    harness.model.check()


@pytest.mark.parametrize("kind", sorted(set(KINDS) - REPEATABLE))
def test_an_overdue_unrepeatable_request_keeps_waiting_and_counts_as_failed(
    kind: str, harness: RouterHarness
) -> None:
    sent = harness.request(harness.client(), kind)
    (overdue_upstream,) = harness.waiting()
    instance = instance_of(harness, overdue_upstream)
    fire_overdue_timer(harness)
    harness.answer(overdue_upstream)
    assert sent.complete
    assert len(harness.model.runs[sent.id]) == 1
    assert reported_outcomes(harness) == {
        instance: OutcomeCounts(succeeded=0, failed=1)
    }, "the failure is counted once, even though the request succeeded later"
    harness.model.check()


def test_an_overdue_stream_with_only_its_head_received_is_resumed_elsewhere(harness: RouterHarness) -> None:
    sent = harness.request(harness.client(), "resumable")
    (overdue_upstream,) = harness.waiting()
    assert overdue_upstream.run is not None
    answer = answer_of(overdue_upstream.run)
    overdue_upstream.begin(answer)
    harness.do(lambda: overdue_upstream.send(answer.index(b"\r\n\r\n") + 4))
    fire_overdue_timer(harness)
    assert not overdue_upstream.is_open
    harness.answer(harness.waiting()[0])
    assert sent.complete
    harness.model.check()


def test_an_overdue_request_keeps_waiting_without_another_upstream(harness: RouterHarness) -> None:
    gone = Upstream("i1", "s", harness.model.ADDRESSES[1], "z", sequence=1, state=UpstreamState.GONE)
    harness.do(lambda: harness.model.plane.upstreams.update([gone], 0.0))
    sent = harness.request(harness.client(), "safe")
    fire_overdue_timer(harness)
    harness.answer(harness.waiting()[0])
    assert sent.complete
    assert len(harness.model.runs[sent.id]) == 1
    harness.model.check()


@pytest.mark.parametrize(
    ("load", "counts_as_failed"), [("2,0,16", True), ("16,0,16", False), ("3,1,16", False), ("", False)]
)
def test_a_rejection_by_an_upstream_with_free_slots_counts_as_failed(
    load: str, counts_as_failed: bool, harness: RouterHarness
) -> None:
    harness.request(harness.client(), "safe")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    instance = instance_of(harness, upstream)
    more = {"X-Not-Executed": "1"} | ({"X-Server-Load": load} if load else {})
    upstream.begin(answer_of(upstream.run, status=503, **more), executed=False)
    harness.do(lambda: upstream.send(len(upstream.unsent)))
    harness.answer(harness.waiting()[0])
    assert reported_outcomes(harness) == (
        {instance: OutcomeCounts(succeeded=0, failed=1)} if counts_as_failed else {}
    )
    harness.model.check()
