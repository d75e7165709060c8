"""Load shedding on sockets: which requests it looks at, what it answers, and what it leaves to others."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import wraps
from typing import Any

import pytest
from larkweir_balancing.interface import Action, Event, RequestArrived

from larkweir.config.classes import MOST_GONE
from larkweir.config.operator import decode as decode_operator
from larkweir.config.options import Door as Options
from larkweir.lifecycle.channel import TakenIds
from tests.fakes import Caller, FakeUpstream, Incoming, Script, Talk, ok, running

ON = Options(on=True)


def on_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    @wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(test(*args, **kwargs))

    return run


def shed_everything(node: object) -> None:
    """Put the guard in the state after a long overload: everything that may be shed is shed."""
    guard = node.dispatcher.clock.on_iteration.__self__  # type: ignore[attr-defined]
    guard.shedder.is_shedding = True
    guard.shedder.shed_fraction = guard.shedder.MAX_SHED_FRACTION
    guard.shedder.on_iteration = lambda busy, whole: None
    guard.shedder.admits = lambda at, again: False


@pytest.mark.parametrize("speaks", ["http1", "fastcgi"])
@on_loop
async def test_a_shed_request_is_answered_at_once_and_the_decisions_get_no_event(speaks: str) -> None:
    Caller.speaks = speaks  # reset after each test
    upstream = await FakeUpstream().start()
    script = Script([1])
    async with running(upstream.entry("u"), script=script, door=ON) as node:
        shed_everything(node)
        async with Caller(node.port) as caller:
            caller.ask()
            answer = await caller.answer()
    upstream.close()
    assert answer.status == 503
    assert answer.headers["retry-after"] == "2.000"
    assert answer.headers["x-never-ran"] == "1"
    assert not [event for event in script.events if isinstance(event, RequestArrived)]
    assert not upstream.seen


@on_loop
async def test_a_request_with_an_open_id_is_never_shed() -> None:
    # A refusal declares a retry harmless, but a request may be running under this id.
    release = asyncio.Event()

    async def slow(request: Incoming, talk: Talk) -> None:
        await release.wait()
        await talk.send(ok())

    upstream = await FakeUpstream(slow).start()
    async with running(upstream.entry("u"), script=Script([1]), door=ON) as node:
        async with Caller(node.port) as first, Caller(node.port) as second:
            first.ask("move", **{"X-Trace-Id": "one"})
            while not upstream.seen:
                await asyncio.sleep(0.005)
            shed_everything(node)
            second.ask("move", **{"X-Trace-Id": "one"})
            assert (await second.answer()).status == 409
            release.set()
            assert (await first.answer()).status == 200  # an admitted request is served
    upstream.close()


@on_loop
async def test_a_request_with_an_id_taken_by_another_process_is_never_shed() -> None:
    """The other process serves beside this one: the request may run there."""
    async with running(script=Script([1]), door=ON) as node:
        assert node.node is not None
        other = 7
        node.node.exchange_ids(other, lambda seen: None).receive(other, TakenIds(("there",)))
        shed_everything(node)
        for trace, expected in (("there", 409), ("nowhere", 503)):
            async with Caller(node.port) as caller:
                caller.ask("move", **{"X-Trace-Id": trace})
                answer = await caller.answer()
                assert answer.status == expected
                assert ("x-never-ran" in answer.headers) is (expected == 503)


@on_loop
async def test_invalid_requests_and_readiness_checks_get_their_own_answers() -> None:
    async with running(script=Script([1]), door=ON) as node:
        shed_everything(node)
        for ask, expected in (
            ({"cls": "none-such"}, 400),
            ({"target": "/else"}, 404),
            ({"target": "/ready"}, 503),  # 503 because there is no server list yet, not because of the guard
        ):
            async with Caller(node.port) as caller:
                caller.ask(**ask)
                answer = await caller.answer()
                assert answer.status == expected
                assert "x-never-ran" not in answer.headers


@on_loop
async def test_long_loop_iterations_are_measured() -> None:
    upstream = await FakeUpstream().start()
    script = Script([1])

    def busy(event: Event) -> list[Action] | None:
        if isinstance(event, RequestArrived):
            time.sleep(0.05)
        return None

    script.more = busy
    async with running(upstream.entry("u"), script=script, door=ON) as node:
        script.servers = list(node.dispatcher.upstreams.targets)
        shedder = node.dispatcher.clock.on_iteration.__self__.shedder  # type: ignore[union-attr]
        for _ in range(3):
            async with Caller(node.port) as caller:
                caller.ask()
                assert (await caller.answer()).status == 200
        assert shedder.mean_busy_ms > 5.0
    upstream.close()


@on_loop
async def test_a_class_that_reuses_an_index_after_a_reload_is_not_shed_for_the_old_class() -> None:
    """New classes reuse the indexes of removed ones once there are many removed ones."""
    upstream = await FakeUpstream().start()
    async with running(upstream.entry("u"), script=Script([1]), door=ON) as node:
        assert node.node is not None
        config = node.node.config
        look = config.settings.classes[0]

        def reload(*names: str) -> None:
            classes = (*config.settings.classes, *(replace(look, name=name) for name in names))
            assert node.node is not None
            node.node.reconfigure(replace(config, settings=replace(config.settings, classes=classes)))

        reload(*(f"former{n}" for n in range(MOST_GONE + 1)))
        shedder = node.dispatcher.clock.on_iteration.__self__.shedder  # type: ignore[union-attr]
        shedder.on_iteration = lambda busy, whole: None
        shedder.is_shedding = True
        shedder._shed_probabilities = [1.0] * len(shedder._shed_probabilities)
        reload()
        reload("new")
        places = [cls.name for cls in node.node.settings.classes]
        assert len(places) == len(config.settings.classes) + MOST_GONE + 1 and "new" in places
        async with Caller(node.port) as caller:
            caller.ask("new")
            assert (await caller.answer()).status == 200
            caller.ask("look")
            assert (await caller.answer()).status == 503
    upstream.close()


def test_low_above_high_is_a_configuration_error() -> None:
    _, faults = decode_operator("[door]\nhigh = 0.1\nlow = 0.2\n")
    assert faults == ["door.low: 0.2 is not below high, 0.1"]
