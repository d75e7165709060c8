"""Where two events cross at discovery: calls in vain, answers that race, lists in all their forms, moments of an end.

Discovery is scripted: it holds each byte until the test tells it to write, so that the bad order comes every time.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from larkweir_balancing.interface import ListKind, Outcome

from larkweir.config.platform import decode
from larkweir.core.message import Message
from larkweir.lifecycle.node import Node
from larkweir.membership import discovery
from larkweir.membership.agent_client import AgentClient
from larkweir.membership.agent_connection import MAX_LIST, AgentConnection
from larkweir.membership.discovery import Discovery
from tests.fakes import (
    SETTINGS,
    Caller,
    FakeUpstream,
    Script,
    config_data,
    entry,
    ok,
    pass_time,
    running,
    status,
)
from tests.lifecycle.service import until
from tests.membership.scripted import WHOLE, HeldCall, ScriptedDiscovery, listed, watching
from tests.upstreams.test_attempts import full_backlog, run

WATCH = WHOLE + "?after="
A, B, C = entry("a", 7001), entry("b", 7002), entry("c", 7003)
LEAVING, LEFT = {"lifecycle": "leaving"}, {"lifecycle": "left"}
NEVER_S = 600.0  # longer than any test is waited for


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """No call is given up, or repeated beside one that is out, because this machine is busy."""
    for owner, name in (
        (AgentClient, "REPEAT_S"),
        (AgentClient, "CALL_S"),
        (AgentClient, "CONNECT_S"),
        (Discovery, "GRACE_S"),
        (Discovery, "PUSHED_GRACE_S"),
    ):
        monkeypatch.setattr(owner, name, NEVER_S)


# ---------------------------------------------------------------- calls in vain

ENDS: dict[str, Callable[[HeldCall], None]] = {
    "reset": lambda call: call.reset(),
    "ended": lambda call: call.end(),
    "an empty 200": lambda call: call.answer(ok(b"")),
    "503": lambda call: call.answer(status(503)),
    "cut off": lambda call: (call.answer(ok(listed(6, C))[:-9]), call.end())[0],
    "noise": lambda call: call.answer(b"\x00\x01\r\n\r\n"),
}


@pytest.mark.parametrize("how", ENDS)
def test_after_a_call_in_vain_the_whole_list_is_asked_for_by_a_short_call(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch that is opened anew and is silent again would show only when its wait is over, by when the news counts
    as told for long: the first call after one in vain asks for all there is, and is given up soon.
    """

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", NEVER_S)
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            ENDS[how](await it.agent.takes(WATCH + "5&"))
            await it.hears(ListKind.FAILED)
            monkeypatch.setattr(AgentClient, "CALL_S", 0.1)
            it.discovery.watch(True)
            await (await it.agent.takes(WHOLE)).given_up()  # silent: not for longer than a short call's time
            await it.hears(ListKind.FAILED)
            monkeypatch.setattr(AgentClient, "CALL_S", NEVER_S)
            it.discovery.watch(True)
            (await it.agent.takes(WHOLE)).tell(7, B | LEAVING, C, whole=True)
            await it.hears(ListKind.FULL)
            assert it.ready() == ["c"]
            (await it.agent.takes(WATCH + "7&")).tell(8, A)  # and the watch goes on from there
            await it.hears(ListKind.DELTA)
            assert it.ready() == ["a", "c"]

    run(work())


def test_news_that_a_lasting_watch_has_missed_is_found_beside_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch is silent, its wait far from over. The whole list has news: the watch is begun anew from there."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", NEVER_S)
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            (await it.agent.takes(WATCH + "5&")).tell(6, C)  # the first, short one
            await it.hears(ListKind.DELTA)
            monkeypatch.setattr(Discovery, "RECHECK_S", (0.0, 0.01))
            silent = await it.agent.takes(WATCH + "6&")
            (await it.agent.takes(WHOLE)).answer(status(503))  # asked again, however often it fails
            (await it.agent.takes(WHOLE)).tell(7, B | LEAVING, C, whole=True)
            await it.hears(ListKind.FULL)
            assert it.ready() == ["c"]
            anew = await it.agent.takes(WATCH + "7&")
            assert anew.connection != silent.connection
            anew.tell(8, A)
            await it.hears(ListKind.DELTA)
            assert it.ready() == ["a", "c"]

    run(work())


def test_a_lasting_watch_that_has_missed_nothing_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    """The whole list beside it says what is held: no further call is made, and the watch's own answer counts."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", NEVER_S)
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            (await it.agent.takes(WATCH + "5&")).tell(6, C)
            await it.hears(ListKind.DELTA)
            monkeypatch.setattr(Discovery, "RECHECK_S", (0.0, 0.01))
            watch = await it.agent.takes(WATCH + "6&")
            (await it.agent.takes(WHOLE)).tell(6, A, B, C, whole=True)
            await it.hears(ListKind.FULL)
            watch.tell(7, B | LEAVING)
            await it.hears(ListKind.DELTA)
            assert it.ready() == ["a", "c"]
            await it.agent.takes(WATCH + "7&")

    run(work())


def test_a_watch_that_was_silent_is_followed_by_the_whole_list_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", 0.1)
        monkeypatch.setattr(Discovery, "GRACE_S", 0.0)
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            silent = await it.agent.takes(WATCH)
            anew = await it.agent.takes(WHOLE)
            assert anew.connection != silent.connection
            await silent.given_up()
            anew.tell(6, A, whole=True)
            await it.hears(ListKind.FULL)  # and no failure before it

    run(work())


def test_a_connection_to_discovery_that_never_comes_up_does_not_hold_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A machine that is cut off takes no connection and refuses none: not the whole wait of the call goes by."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", NEVER_S)
        monkeypatch.setattr(AgentClient, "CONNECT_S", 0.1)
        listener, fillers = full_backlog()
        async with watching(asked=True, port=listener.getsockname()[1]) as it:
            it.discovery.watch(True)
            await it.hears(ListKind.FAILED)
            assert it.log == ["discovery: no connection comes up"]
        for item in (listener, *fillers):
            item.close()

    run(work())


def test_a_connection_that_ends_before_its_first_call_is_written_does_not_hold_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its end is read between its coming up and the call's turn: nobody would tell of it any more."""

    async def work() -> None:
        monkeypatch.setattr(Discovery, "WAIT_S", NEVER_S)
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        get = AgentConnection.get

        async def late(self: AgentConnection, target: bytes, host: bytes) -> Message:
            await until(lambda: not self.open, "its end")
            return await get(self, target, host)

        monkeypatch.setattr(AgentConnection, "get", late)
        async with watching(asked=True, port=server.sockets[0].getsockname()[1]) as it:
            it.discovery.watch(True)
            await it.hears(ListKind.FAILED)
        server.close()

    run(work())


def test_no_answer_to_a_watch_that_was_given_up_is_taken_for_the_next_call() -> None:
    async def work() -> None:
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            first = await it.agent.takes(WATCH + "5&")
            it.discovery.watch(True)  # it is on
            it.discovery.watch(False)
            it.discovery.watch(True)
            second = await it.agent.takes(WATCH + "5&")
            assert second.connection != first.connection
            await first.given_up()
            second.tell(6, C)
            assert [e.server for e in (await it.hears(ListKind.DELTA)).entries] == [3]
            await it.agent.takes(WATCH + "6&")
            assert it.agent.none_out

    run(work())


# ---------------------------------------------------------------- answers that race


def test_a_whole_list_that_is_older_than_what_the_watch_has_told_undoes_nothing() -> None:
    """Both calls are out; the drain comes by the watch, and then the list that was read before the drain."""

    async def work() -> None:
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            watch = await it.agent.takes(WATCH + "5&")
            it.discovery.fetch()
            fetch = await it.agent.takes(WHOLE)
            watch.tell(6, A | LEAVING)
            await it.hears(ListKind.DELTA)
            watch = await it.agent.takes(WATCH + "6&")
            fetch.tell(5, A, B, whole=True)
            await fetch.given_up()
            watch.tell(7, C)
            assert (await it.hears(ListKind.DELTA)).version == 7  # nothing else was told
            assert it.ready() == ["b", "c"]

    run(work())


def test_changes_that_were_asked_for_before_a_newer_whole_list_do_not_count() -> None:
    """The watch is answered with an upstream's start, after a list that was read when it had left again."""

    async def work() -> None:
        async with watching(asked=True) as it:
            it.discovery.watch(True)
            watch = await it.agent.takes(WATCH + "5&")
            it.discovery.fetch()
            (await it.agent.takes(WHOLE)).tell(9, A, B, whole=True)
            await it.hears(ListKind.FULL)
            watch.tell(7, C)
            (await it.agent.takes(WATCH + "9&")).tell(10, A | LEAVING)
            assert (await it.hears(ListKind.DELTA)).version == 10  # the start at 7 was not told
            assert it.ready() == ["b"]

    run(work())


def test_what_another_life_has_handed_over_is_not_undone_by_an_older_whole_list() -> None:
    async def work() -> None:
        async with watching() as it:
            call = await it.agent.takes(WHOLE)
            it.discovery.adopt(it.discovery.address, json.loads(listed(6, A | LEAVING, B, whole=True)))
            await it.hears(ListKind.CACHED)
            call.tell(5, A, B, whole=True)
            (await it.agent.takes(WATCH + "6&")).tell(7, C)
            assert (await it.hears(ListKind.DELTA)).version == 7
            assert it.ready() == ["b", "c"]

    run(work())


def test_a_lower_generation_counts_in_a_whole_list_and_not_in_changes() -> None:
    """Discovery has begun anew; changes of its new life belong to a list that is not held."""

    async def work() -> None:
        async with watching() as it:
            (await it.agent.takes(WHOLE)).tell(5, A, B, whole=True)
            await it.hears(ListKind.FULL)
            (await it.agent.takes(WATCH + "5&")).tell(3, A | LEFT, C)
            whole = await it.agent.takes(WHOLE)
            assert it.told.empty() and it.ready() == ["a", "b"]
            whole.tell(3, B, C, whole=True)
            assert (await it.hears(ListKind.FULL)).version == 3
            (await it.agent.takes(WATCH + "3&")).tell(2, A, whole=True)  # told by the watch
            assert (await it.hears(ListKind.FULL)).version == 2
            assert it.ready() == ["a"]

    run(work())


@pytest.mark.parametrize("rest", [True, False], ids=["the rest is on its way", "the rest never comes"])
@pytest.mark.parametrize("asked", [False, True], ids=["pushed", "asked"])
def test_the_rest_of_a_list_from_an_address_that_was_left_counts_for_nothing(asked: bool, rest: bool) -> None:
    """Half of it has come when the configuration names another address; nothing more goes to the one before."""

    async def work() -> None:
        other = await ScriptedDiscovery().start()
        async with watching(asked) as it:
            it.discovery.watch(True)
            if not asked:
                (await it.agent.takes(WHOLE)).tell(5, A, B, whole=True)
                await it.hears(ListKind.FULL)
            old = await it.agent.takes(WATCH + "5&")
            news = ok(listed(6, A | LEFT))
            old.answer(news[:-30])
            connection = it.discovery._agent.connection
            assert connection is not None
            await until(lambda: connection._reader.is_incomplete, "the half of it")
            it.discovery.move(("127.0.0.1", other.port))
            if rest:
                old.answer(news[-30:])
            new = await other.takes(WHOLE)
            await old.given_up()
            assert it.told.empty() and it.ready() == ["a", "b"]
            new.tell(2, A, whole=True)
            await it.hears(ListKind.FULL)
            await other.takes(WATCH + "2&")
            assert it.ready() == ["a"] and it.agent.none_out
        other.stop()

    run(work())


# ---------------------------------------------------------------- forms

LIST = listed(6, C, whole=True, indent=4)


def chunked(body: bytes, size: int, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    chunks = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n" + trailer + b"\r\n"


def unframed(first: bytes, fields: bytes = b"") -> bytes:
    return first + b" 200 OK\r\n" + fields + b"\r\n" + LIST


FORMS: dict[str, tuple[bytes, bool]] = {  # and whether the connection ends with it
    "a length": (ok(LIST), False),
    "chunks of one byte": (chunked(LIST, 1), False),
    "chunks with extensions and a trailer": (chunked(LIST, 100, b';at="1"', b"X-Sum: 1\r\n"), False),
    "odd fields": (b"HTTP/1.1 200 \r\ncONTENT-lENGTH:\t %d \r\n\r\n" % len(LIST) + LIST, False),
    "an interim answer first": (b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + ok(LIST), False),
    "the connection's end announced": (ok(LIST, "Connection: close\r\n"), True),
    "no length, the end announced": (unframed(b"HTTP/1.1", b"Connection: close\r\n"), True),
    "no length, nothing announced": (unframed(b"HTTP/1.1"), True),
    "no length, of HTTP/1.0": (unframed(b"HTTP/1.0"), True),
}


@pytest.mark.parametrize("piece", [1, 7, 1 << 20], ids=["byte by byte", "in pieces", "at once"])
@pytest.mark.parametrize("form", FORMS)
def test_a_list_in_each_form_that_http_allows(form: str, piece: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """However it is framed and wherever it is cut; and the watch goes on, on another connection where that ended."""
    received = AgentConnection.data_received

    def cut(self: AgentConnection, data: bytes) -> None:
        for at in range(0, len(data), piece):
            received(self, data[at : at + piece])

    async def work() -> None:
        monkeypatch.setattr(AgentConnection, "data_received", cut)
        async with watching() as it:
            call = await it.agent.takes(WHOLE)
            data, ends = FORMS[form]
            call.answer(data)
            if ends:
                call.end()
            await it.hears(ListKind.FULL)
            assert it.ready() == ["c"]
            watch = await it.agent.takes(WATCH + "6&")
            assert (watch.connection != call.connection) is ends
            watch.tell(7, A)
            await it.hears(ListKind.DELTA)
            assert not it.log

    run(work())


@pytest.mark.parametrize("form", ["no length, the end announced", "no length, nothing announced"])
@pytest.mark.parametrize("how", ["reset", "cut off"])
def test_a_list_without_a_length_that_is_reset_or_cut_off_is_none(
    form: str, how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    received = AgentConnection.data_received
    come = bytearray()

    def count(self: AgentConnection, data: bytes) -> None:
        come.extend(data)
        received(self, data)

    async def work() -> None:
        monkeypatch.setattr(AgentConnection, "data_received", count)
        async with watching() as it:
            call = await it.agent.takes(WHOLE)
            data, _ = FORMS[form]
            if how == "reset":
                call.answer(data)
                await until(lambda: come == data, "all of the list, but its end")
                call.reset()
            else:
                call.answer(data[:-3])
                call.end()
            anew = await it.agent.takes(WHOLE)
            assert it.told.empty() and it.ready() == ["a", "b"] and len(it.log) == 1
            anew.tell(6, A, whole=True)
            await it.hears(ListKind.FULL)

    run(work())


def padded(size: int) -> bytes:
    """A list of so many bytes."""
    return listed(6, C, whole=True) + b" " * (size - len(listed(6, C, whole=True)))


def test_a_list_is_taken_up_to_its_bound_and_not_past_it() -> None:
    async def work() -> None:
        async with watching() as it:
            (await it.agent.takes(WHOLE)).answer(ok(padded(MAX_LIST + 1)))
            anew = await it.agent.takes(WHOLE)
            assert it.told.empty() and it.ready() == ["a", "b"]
            anew.answer(ok(padded(MAX_LIST)))
            await it.hears(ListKind.FULL)
            assert it.ready() == ["c"]

    run(work())


def test_unreadable_lists_are_one_line_and_change_nothing() -> None:
    """Half of each would be good."""
    half = json.loads(listed(6, C, {"instanceId": "d"}, whole=True))

    async def work() -> None:
        async with watching() as it:
            for _ in range(4):
                (await it.agent.takes(WHOLE)).answer(ok(json.dumps(half).encode()))
            anew = await it.agent.takes(WHOLE)
            assert it.told.empty() and it.ready() == ["a", "b"]
            assert len(it.log) == 1
            anew.tell(7, A, whole=True)
            await it.hears(ListKind.FULL)
            assert len(it.log) == 2 and "after 4 calls in vain" in it.log[1]

    run(work())


# ---------------------------------------------------------------- the next call


class _Sleeps:
    """`asyncio`, with sleeps written down and not slept."""

    def __init__(self) -> None:
        self.slept: list[float] = []

    def __getattr__(self, name: str) -> Any:
        return getattr(asyncio, name)

    async def sleep(self, seconds: float) -> None:
        self.slept.append(seconds)
        await asyncio.sleep(0)


@pytest.mark.parametrize("ends", [False, True], ids=["kept", "on a new connection"])
def test_nothing_but_a_short_pace_lies_between_a_large_list_and_the_next_call(
    ends: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A watch goes on as long as the next call comes within 200 ms of the last answer."""
    rows = [entry(f"s-{number:08x}", 1024 + number) for number in range(2_000)]
    sleeps = _Sleeps()

    async def work() -> None:
        monkeypatch.setattr(discovery, "asyncio", sleeps)
        async with watching() as it:
            call = await it.agent.takes(WHOLE)
            for generation in range(6, 9):
                body = listed(generation, *rows, whole=True, indent=4)
                call.answer(ok(body, "Connection: close\r\n" if ends else ""))
                if ends:
                    call.end()
                assert len((await it.hears(ListKind.FULL)).entries) == 2_000
                later = await it.agent.takes(WATCH + f"{generation}&")
                assert (later.connection != call.connection) is ends
                call = later
            assert len(sleeps.slept) == 3 and max(sleeps.slept) <= 0.05 and not it.log

    run(work())


# ---------------------------------------------------------------- drains and lists

GRACE_MS = 30_000.0
LONG = [SETTINGS["Categories"][2] | {"HardLimitMs": 100_000}]


def test_an_upstream_that_a_list_leaves_out_and_a_later_one_names_as_leaving_keeps_its_first_word() -> None:
    """A call's connection to it comes up when the grace of the first word is over and that of the second is not."""

    async def work() -> None:
        listener, fillers = full_backlog()
        late = entry("a", listener.getsockname()[1])
        agent = await ScriptedDiscovery().start()
        script = Script([1])
        base = SETTINGS | {"Guarantees": SETTINGS["Guarantees"] | {"DrainGraceMs": GRACE_MS}}
        async with (
            running(
                late,
                B,
                script=script,
                base=base,
                categories=LONG,
                limits={"ConnectTimeoutMs": 100_000},
                discovery=f"127.0.0.1:{agent.port}",
            ) as balancer,
            Caller(balancer.port) as caller,
        ):
            (await agent.takes(WHOLE)).tell(5, late, B, whole=True)
            watch = await agent.takes(WATCH + "5&")
            caller.ask("move", b"x", X_Expires_In_Ms="100000")
            await until(lambda: balancer.dispatcher.upstreams.sockets, "its connection is coming up")
            watch.reset()  # just before the drain
            (await agent.takes(WHOLE)).tell(6, B, whole=True)
            watch = await agent.takes(WATCH + "6&")
            assert set(balancer.dispatcher.upstreams.targets) == {2}
            pass_time(balancer.dispatcher.clock, 20_000.0)
            watch.tell(7, late | LEAVING)
            await agent.takes(WATCH + "7&")
            assert set(balancer.dispatcher.upstreams.targets) == {1, 2}
            pass_time(balancer.dispatcher.clock, 11_000.0)
            for filler in fillers:
                filler.close()
            listener.setblocking(False)
            upstream = FakeUpstream()
            server = await asyncio.start_server(upstream._talk, sock=listener)
            assert (await script.ended()).outcome is Outcome.MOOT
            assert not upstream.seen
        server.close()
        agent.stop()
        for task in list(upstream._tasks):
            task.cancel()

    run(work())


# ---------------------------------------------------------------- restarts


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("how", ["is down", "is silent", "queues"])
def test_a_restarted_process_that_knows_a_list_is_ready_whatever_discovery_does(mode: str, how: str) -> None:
    """It comes from before the restart; what is waited for is discovery's first word, and not for long."""

    async def work() -> None:
        agent = await ScriptedDiscovery().start()
        if how == "is down":
            agent.stop()
        data = config_data([A, B], agent.port, settings=SETTINGS | {"Discovery": mode})
        node = Node(decode(json.dumps(data), {}), asyncio.get_running_loop())
        node.begin()
        if mode == "on_request":
            assert node.dispatcher.ready
        elif how == "queues":
            call = await agent.takes(WHOLE)
            await until(lambda: node.dispatcher.ready, "ready")
            call.answer(status(503))
            await agent.takes(WHOLE)
        await until(lambda: node.dispatcher.ready, "ready")
        node.close()
        if how != "is down":
            agent.stop()

    run(work())


def test_a_restarted_process_that_knows_nothing_is_ready_with_the_first_list() -> None:
    async def work() -> None:
        agent = await ScriptedDiscovery().start()
        node = Node(decode(json.dumps(config_data([], agent.port, known={})), {}), asyncio.get_running_loop())
        node.begin()
        first = await agent.takes(WHOLE)
        await until(lambda: node.discovery.begun, "discovery's time to answer is over")
        assert not node.dispatcher.ready
        first.tell(6, A | LEAVING, whole=True)
        watch = await agent.takes(WATCH + "6&")
        assert not node.dispatcher.ready  # it may be sent nothing
        watch.tell(7, B)
        await agent.takes(WATCH + "7&")
        assert node.dispatcher.ready
        node.close()
        agent.stop()

    run(work())
