"""Upstreams that do not answer, or turn calls away with places free: what goes elsewhere, what the fleet is told."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from larkweir_balancing.fleet_outlier_detection import OutcomeCounts
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_registry.records import Upstream, UpstreamState

from tests.router.router_model import KINDS, REPEATABLE, FakeUpstream, Play, answer_of

NOT_IN_THIS_TEST_MS = 1_000_000.0


@pytest.fixture(autouse=True)
def no_patience_ends_by_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    def patience_ms(balancer: UpstreamSelector, prompt: Prompt, tokens: float) -> float:
        return NOT_IN_THIS_TEST_MS

    monkeypatch.setattr(UpstreamSelector, "overdue_after_ms", patience_ms)


def overdue(play: Play) -> None:
    """The patience with the one request that is under way ends."""
    (exchange,) = [one._exchange for one in play.model.plane.connections if one._exchange is not None]
    attempt = exchange._attempt
    assert attempt is not None
    play.do(lambda: attempt._on_timer(exchange._on_overdue))


@pytest.fixture
def play() -> Iterator[Play]:
    made = Play()
    yield made
    made.close()


def reported(play: Play) -> dict[str, OutcomeCounts]:
    return play.do(lambda: play.model.plane.outcomes.failing_upstreams(play.loop.time() * 1000.0))


def instance_of(play: Play, upstream: FakeUpstream) -> str:
    addresses = play.model.plane.pool._addresses
    found = next(address for one, address in addresses.items() if one._transport is upstream.transport)
    return f"i{play.model.ADDRESSES.index(found)}"


@pytest.mark.parametrize("kind", sorted(REPEATABLE))
def test_a_silent_call_that_may_be_repeated_goes_elsewhere(kind: str, play: Play) -> None:
    sent = play.request(play.client(), kind)
    (silent,) = play.waiting()
    instance = instance_of(play, silent)
    overdue(play)
    assert not silent.is_open
    (other,) = play.waiting()
    play.answer(other)
    assert sent.complete
    assert sent.status == 200
    assert len(play.model.runs[sent.id]) == 2
    assert reported(play) == {instance: OutcomeCounts(succeeded=0, failed=1)}
    play.model.check()


@pytest.mark.parametrize("kind", sorted(set(KINDS) - REPEATABLE))
def test_a_silent_call_that_may_have_run_is_waited_for_and_reported(kind: str, play: Play) -> None:
    sent = play.request(play.client(), kind)
    (silent,) = play.waiting()
    instance = instance_of(play, silent)
    overdue(play)
    play.answer(silent)
    assert sent.complete
    assert len(play.model.runs[sent.id]) == 1
    assert reported(play) == {
        instance: OutcomeCounts(succeeded=0, failed=1)
    }, "counted once, though it ended well later"
    play.model.check()


def test_a_stream_of_which_only_the_head_arrived_is_resumed_elsewhere(play: Play) -> None:
    sent = play.request(play.client(), "resumable")
    (silent,) = play.waiting()
    assert silent.run is not None
    answer = answer_of(silent.run)
    silent.begin(answer)
    play.do(lambda: silent.send(answer.index(b"\r\n\r\n") + 4))
    overdue(play)
    assert not silent.is_open
    play.answer(play.waiting()[0])
    assert sent.complete
    play.model.check()


def test_without_another_upstream_a_silent_call_is_waited_for(play: Play) -> None:
    gone = Upstream("i1", "s", play.model.ADDRESSES[1], "z", sequence=1, state=UpstreamState.GONE)
    play.do(lambda: play.model.plane.upstreams.update([gone], 0.0))
    sent = play.request(play.client(), "safe")
    overdue(play)
    play.answer(play.waiting()[0])
    assert sent.complete
    assert len(play.model.runs[sent.id]) == 1
    play.model.check()


@pytest.mark.parametrize(
    ("load", "bad"), [("2,0,16", True), ("16,0,16", False), ("3,1,16", False), ("", False)]
)
def test_a_call_that_is_turned_away_with_places_free_speaks_against_the_upstream(
    load: str, bad: bool, play: Play
) -> None:
    play.request(play.client(), "safe")
    upstream = play.waiting()[0]
    assert upstream.run is not None
    instance = instance_of(play, upstream)
    more = {"X-Not-Executed": "1"} | ({"X-Server-Load": load} if load else {})
    upstream.begin(answer_of(upstream.run, status=503, **more), executed=False)
    play.do(lambda: upstream.send(len(upstream.unsent)))
    play.answer(play.waiting()[0])
    assert reported(play) == ({instance: OutcomeCounts(succeeded=0, failed=1)} if bad else {})
    play.model.check()
