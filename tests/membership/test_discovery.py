"""Discovery over loopback: the list, the watch, broken answers, and down and back."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from larkweir_balancing.interface import ListKind, ListUpdate, WatchList

from larkweir.membership.agent_client import AgentClient
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import DiscoveryError, parse_listing
from larkweir.membership.names import Names
from tests.fakes import PATIENCE_S, SETTINGS, Caller, FakeDiscovery, FakeUpstream, Script, entry, ok, running
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run


async def updates(script: Script, kind: ListKind) -> ListUpdate:
    async with asyncio.timeout(PATIENCE_S):
        while True:
            event = await script.told.get()
            if isinstance(event, ListUpdate) and event.kind is kind:
                return event


async def called(running_: Any, part: str) -> str:
    async with asyncio.timeout(PATIENCE_S):
        while True:
            call: str = await running_.discovery.calls.get()
            if part in call:
                return call


def test_known_counts_first_and_changes_follow() -> None:
    """Guards the start: a request is served from `known`, and the watch goes on from its generation."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            first = await updates(script, ListKind.CACHED)
            assert [item.server for item in first.entries] == [1]
            assert await balancer.discovery.calls.get() == "/v1/endpoints"  # answered at once, news or not
            assert "after=1&" in await called(balancer, "after=")
            balancer.discovery.change(entry("b", 9, zone="south", startedAtMs=123))
            change = await updates(script, ListKind.DELTA)
            assert [(e.server, e.zone, e.started_ms) for e in change.entries] == [(2, 1, 123.0)]
            assert "after=2&" in await called(balancer, "after=")
        upstream.close()

    run(work())


def test_one_id_keeps_its_number_when_its_address_changes() -> None:
    """Guards an upstream that moves: the same number, and requests go to the new address only."""

    async def work() -> None:
        old, new = await FakeUpstream().start(), await FakeUpstream().start()
        script = Script([1])
        async with running(old.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            assert (await caller.answer()).status == 200
            balancer.discovery.change(new.entry("a"))
            await updates(script, ListKind.DELTA)
            caller.ask()
            assert (await caller.answer()).status == 200
            assert len(old.seen) == len(new.seen) == 1
        old.close()
        new.close()

    run(work())


def test_a_restarted_upstream_gets_new_connections() -> None:
    """Guards against connections that lead to a process that has died."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            await caller.answer()
            balancer.discovery.change(upstream.entry("a", startedAtMs=5000))
            await updates(script, ListKind.DELTA)
            caller.ask()
            await caller.answer()
            assert upstream.connections == 2
        upstream.close()

    run(work())


def test_no_list_no_ready() -> None:
    """Guards /ready: 503 without a list, 200 once discovery has given one."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(script=script, known={}) as balancer, Caller(balancer.port) as caller:
            await updates(script, ListKind.FULL)
            caller.ask(target="/ready")
            assert (await caller.answer()).status == 503
            balancer.discovery.change(upstream.entry("a"))
            await updates(script, ListKind.DELTA)
            caller.ask(target="/ready")
            assert (await caller.answer()).status == 200
        upstream.close()

    run(work())


def test_absent_from_a_whole_list_is_gone() -> None:
    """Guards the drain of an upstream that a whole list no longer names."""

    async def work() -> None:
        a, b = await FakeUpstream().start(), await FakeUpstream().start()
        script = Script([1])
        async with running(a.entry("a"), b.entry("b"), script=script) as balancer:
            await called(balancer, "after=")
            only_b = {"generation": 9, "reset": True, "instances": [b.entry("b")]}
            balancer.discovery.garbage.append(ok(json.dumps(only_b).encode()))
            balancer.discovery.generation = 9
            await updates(script, ListKind.FULL)
            balancer.discovery.wake()
            # The watch that was out answers with changes (none); the next one with the whole list.
            full = await updates(script, ListKind.FULL)
            assert [item.server for item in full.entries] == [2]
            assert set(balancer.dispatcher.upstreams.table) == {2}
        a.close()
        b.close()

    run(work())


def test_a_generation_that_goes_back_fetches_the_whole_list() -> None:
    """Guards against applying changes to another list than the one they belong to."""

    async def work() -> None:
        a = await FakeUpstream().start()
        script = Script([1])
        async with running(a.entry("a"), script=script, generation=40) as balancer:
            await called(balancer, "after=40")
            await updates(script, ListKind.FULL)
            balancer.discovery.generation = 3
            balancer.discovery.wake()
            full = await updates(script, ListKind.FULL)
            assert full.version == 3
            assert not any(isinstance(e, ListUpdate) and e.kind is ListKind.DELTA for e in script.events)
        a.close()

    run(work())


def test_broken_answers_are_failed_calls_and_the_list_holds() -> None:
    """Guards against half-understood lists: nothing of a broken answer counts, and the watch goes on."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await called(balancer, "after=")
            bad_entry = {"generation": 2, "reset": True, "instances": [entry("b", 1), {"instanceId": "c"}]}
            balancer.discovery.garbage += [
                b"\x00nonsense\r\n\r\n",
                ok(b"not json"),
                ok(b"[" * 50_000),
                ok(b"[]"),
                ok(json.dumps(bad_entry).encode()),
                b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            ]
            balancer.discovery.stop()
            await balancer.discovery.start()
            async with asyncio.timeout(PATIENCE_S):
                while balancer.discovery.garbage:
                    await asyncio.sleep(0.01)
            caller.ask()
            assert (await caller.answer()).status == 200
            balancer.discovery.change(entry("b", 9))
            await until(lambda: len(balancer.dispatcher.upstreams.table) == 2, "b")
            assert set(balancer.dispatcher.upstreams.table) == {1, 2}  # no number was spent on broken answers
        upstream.close()

    run(work())


@pytest.mark.parametrize("how", ["stalls", "stops short"])
def test_a_watch_that_stalls_or_stops_in_the_middle_of_a_release_is_asked_again(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Half an answer counts for nothing; its news comes by the next call, from what is held, in bounded time."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "PUSHED_WAIT_S", 0.3)
        monkeypatch.setattr(Discovery, "PUSHED_GRACE_S", 0.2)
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await called(balancer, "after=1&")
            news = ok(json.dumps({"generation": 2, "reset": False, "instances": [entry("b", 9)]}).encode())
            half = news[:-20]
            balancer.discovery.garbage.append(half)
            if how == "stops short":
                balancer.discovery.garbage[0] = half.replace(b"Content-Length: ", b"Content-Length: 1")
            balancer.discovery.change(entry("b", 9))
            await until(lambda: set(balancer.dispatcher.upstreams.table) == {1, 2}, "the news")
            caller.ask()
            assert (await caller.answer()).status == 200
        upstream.close()

    run(work())


def test_discovery_down_and_back() -> None:
    """Guards service while discovery is down, and the watch's return with what changed meanwhile."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await called(balancer, "after=")
            balancer.discovery.stop()
            caller.ask()
            assert (await caller.answer()).status == 200
            balancer.discovery.change(entry("b", 9))
            await balancer.discovery.start()
            await until(lambda: set(balancer.dispatcher.upstreams.table) == {1, 2}, "what changed")
        assert not any(isinstance(e, ListUpdate) and e.kind is ListKind.FAILED for e in script.events)
        upstream.close()

    run(work())


def test_where_discovery_is_asked_a_failure_is_told_and_the_decisions_ask_again() -> None:
    """Guards on-request discovery: no call before it is asked for, FAILED when it breaks."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        settings = SETTINGS | {"Discovery": "on_request"}
        async with running(upstream.entry("a"), script=script, base=settings) as balancer:
            await updates(script, ListKind.CACHED)
            assert balancer.discovery.calls.empty()
            balancer.dispatcher.actions.execute(WatchList(True))
            await called(balancer, "after=1")
            balancer.discovery.stop()
            await updates(script, ListKind.FAILED)
            await balancer.discovery.start()
            balancer.dispatcher.actions.execute(WatchList(True))
            await called(balancer, "after=1")
        upstream.close()

    run(work())


def test_where_discovery_is_asked_the_first_watch_of_a_process_is_a_short_one() -> None:
    """A watch that a service swallows at a start would show as silent only after its wait of 20 s. The first one waits
    for 1 s, so that it fails within 2 s as other calls do; those after the first answer wait for as long as they may.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        settings = SETTINGS | {"Discovery": "on_request"}
        async with running(upstream.entry("a"), script=script, base=settings) as balancer:
            balancer.dispatcher.actions.execute(WatchList(True))
            first = await called(balancer, "after=1&")
            balancer.discovery.change(entry("b", 9))
            second = await called(balancer, "after=2&")
        assert "wait_ms=1000" in first and "wait_ms=60000" in second
        assert Discovery.FIRST_WAIT_S + Discovery.GRACE_S <= AgentClient.CALL_S
        upstream.close()

    run(work())


def test_an_asked_watch_that_falls_silent_is_opened_anew_once_before_it_counts_as_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards the news that it missed, which counts as told 2 s after the wait: on another connection, at once, not when
    the decisions' pause is over. One that is silent again is a failure, so that no service is asked without a pause.
    """

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", 0.3)
        monkeypatch.setattr(Discovery, "GRACE_S", 0.2)
        upstream = await FakeUpstream().start()
        script = Script([1])
        settings = SETTINGS | {"Discovery": "on_request"}
        async with running(upstream.entry("a"), script=script, base=settings) as balancer:
            balancer.dispatcher.actions.execute(WatchList(True))
            await called(balancer, "after=1")
            balancer.discovery.hush(calls=False)
            balancer.discovery.change(entry("b", 9))
            assert [item.server for item in (await updates(script, ListKind.FULL)).entries] == [1, 2]
            assert not any(isinstance(e, ListUpdate) and e.kind is ListKind.FAILED for e in script.events)
            await called(balancer, "after=2")  # and the watch goes on from there
            balancer.discovery.hush()
            while not balancer.discovery.calls.empty():
                balancer.discovery.calls.get_nowait()
            await updates(script, ListKind.FAILED)
            assert balancer.discovery.calls.qsize() <= 2
        upstream.close()

    run(work())


def test_no_late_answer_of_an_agent_that_was_left_counts() -> None:
    """Guards the move to another agent: the held list serves until the new one has told its own, the old
    connection ends, and what the old agent writes in that moment is dropped.
    """

    async def work() -> None:
        a, b = await FakeUpstream().start(), await FakeUpstream().start()
        new = await FakeDiscovery([b.entry("b")]).start()
        script = Script([1])
        async with running(a.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await called(balancer, "after=1")
            await updates(script, ListKind.FULL)
            balancer.discovery.change(entry("late", 9))  # on its way when the move is made
            balancer.dispatcher.extensions.membership.move(("127.0.0.1", new.port))
            caller.ask()
            assert (await caller.answer()).status == 200
            full = await updates(script, ListKind.FULL)
            assert set(balancer.dispatcher.upstreams.table) == {item.server for item in full.entries} == {2}
            async with asyncio.timeout(PATIENCE_S):
                while balancer.discovery._writers:  # the old connection is closed
                    await asyncio.sleep(0.01)
            new.change(b.entry("b", lifecycle="leaving"))
            change = await updates(script, ListKind.DELTA)
            assert [item.server for item in change.entries] == [2]
            deltas = [e for e in script.events if isinstance(e, ListUpdate) and e.kind is ListKind.DELTA]
            assert deltas == [change]
            balancer.dispatcher.extensions.membership.stop()
            balancer.dispatcher.extensions.membership.move(
                ("127.0.0.1", balancer.discovery.port)
            )  # too late: no call
        while not balancer.discovery.calls.empty():
            assert "after=" in balancer.discovery.calls.get_nowait()
        new.stop()
        a.close()
        b.close()

    run(work())


def test_numbers_are_kept_for_good() -> None:
    """Guards the decisions' memory of an upstream: gone and back, it is the same one."""
    names = Names(("north",), ("box",))
    assert [names.server(name) for name in ("a", "b", "a", "c", "b")] == [1, 2, 1, 3, 2]


@pytest.mark.parametrize(
    "change",
    [
        {"hostPort": "nowhere"},
        {"hostPort": "127.0.0.1:99999"},
        {"lifecycle": "resting"},
        {"startedAtMs": "soon"},
        {"startedAtMs": -1},
        {"startedAtMs": True},
        {"weight": None},
        {"instanceId": 5},
        {"zone": 3},
    ],
)
def test_an_entry_that_makes_no_sense_fails_the_whole_answer(change: dict[str, Any]) -> None:
    """Guards the list against entries that are only half right."""
    data = {"generation": 1, "reset": True, "instances": [entry("a", 80), entry("b", 81) | change]}
    with pytest.raises(DiscoveryError):
        parse_listing(data, Names(("north",), ("box",)))
