"""A FastCGI caller that closes, or aborts a request, where that lies unread: no attempt begins for it after that."""

from __future__ import annotations

import asyncio
import socket
import termios
from collections.abc import Callable
from fcntl import ioctl

import pytest
from larkweir_balancing.interface import (
    Action,
    ClientGone,
    Event,
    Outcome,
    RequestArrived,
    Send,
    TimerFired,
)

from larkweir.protocols.caller_writer import CallerWriter
from larkweir.protocols.fastcgi.callers import FastcgiCaller
from larkweir.protocols.listener import Listener
from standins import fastcgi
from tests.fakes import (
    PATIENCE_S,
    Caller,
    FakeUpstream,
    Incoming,
    Script,
    Talk,
    ok,
    request_bytes,
    running,
)
from tests.lifecycle.service import until
from tests.protocols.http1.test_client_gone import NEVER_MS, ROWS, Held, Leaver, gone_in_order, half_close
from tests.upstreams.test_attempts import refuses, run

SMALL_BUFFER = 4096
HELD = 1  # the id of the request that the decisions hold
LEAST_ANSWERS, MOST_ANSWERS = 2, 61  # ids of the requests whose answers fill the connection


async def large(request: Incoming, talk: Talk) -> None:
    await talk.send(ok(b"x" * 60_000))


def hold_first(event: Event) -> list[Action] | None:
    """Hold the first request until the test tells of a timer; then it is sent."""
    if isinstance(event, RequestArrived) and event.request == HELD:
        return []
    return [Send(HELD, 1, 0.0)] if isinstance(event, TimerFired) else None


def server_side(leaver: Leaver) -> tuple[FastcgiCaller, socket.socket]:
    connection = leaver.connection()
    assert isinstance(connection, FastcgiCaller) and connection._transport is not None
    return connection, connection._transport.get_extra_info("socket")


async def stop_reading(leaver: Leaver, script: Script) -> FastcgiCaller:
    """Its first request is held by the decisions; the answers to others fill the connection: reading is paused."""
    leaver.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    leaver.ask()
    await until(lambda: leaver.balancer.dispatcher.has_requests, "the first has arrived")
    connection, sock = server_side(leaver)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    for number in range(LEAST_ANSWERS, MOST_ANSWERS + 1):
        leaver.sock.sendall(fastcgi.ask(request_bytes(), number))
        await until(lambda n=number: len(script.ends()) >= n - 1, "its answer is given")  # type: ignore[misc]
        if connection._blocked:
            break
    assert connection._blocked
    return connection


def unread(sock: socket.socket) -> int:
    return int.from_bytes(ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), "little")


def send_now(leaver: Leaver, data: bytes) -> None:
    """The balancer's system has the bytes by the return, and the loop has not turned."""
    _, sock = server_side(leaver)
    expected = unread(sock) + len(data)
    leaver.sock.sendall(data)
    while unread(sock) < expected:
        pass  # loopback: it is on its way in this system
    assert unread(sock) == expected


def abort_now(leaver: Leaver, number: int = HELD, before: bytes = b"") -> None:
    leaver.left = True
    send_now(leaver, before + fastcgi.record(fastcgi.ABORT, number))


async def until_gone(script: Script) -> ClientGone:
    async with asyncio.timeout(PATIENCE_S):
        while not isinstance(event := await script.told.get(), ClientGone):
            pass
    return event


BEFORE: list[tuple[str, bytes]] = [
    ("nothing before it", b""),
    ("another request before it", fastcgi.ask(request_bytes(body=b"x" * 300), 100)),
    ("many padded records before it", fastcgi.records(fastcgi.STDIN, 101, b"x" * 900, padding=7) * 40),
]


@pytest.mark.parametrize("before", [row[1] for row in BEFORE], ids=[row[0] for row in BEFORE])
@pytest.mark.parametrize("noticed_by", ["the look at connections", "the send"])
def test_an_abort_is_noticed_while_answers_are_not_read(
    noticed_by: str, before: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reading is paused, so that it lies unread, behind whatever was sent before it."""

    async def work() -> None:
        Caller.speaks = "fastcgi"
        monkeypatch.setattr(Listener, "SWEEP_MS", NEVER_MS if noticed_by == "the send" else Listener.SWEEP_MS)
        monkeypatch.setattr(
            CallerWriter, "UNREAD_MS", NEVER_MS
        )  # this is not about answers that nobody reads
        upstream = await FakeUpstream(large).start()
        script = Script([1])
        script.more = hold_first
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer)
            connection = await stop_reading(leaver, script)
            served, attempts = len(upstream.seen), len(script.ends())
            abort_now(leaver, 99)  # of no request: whoever it is for, it is not the held one
            connection.check(balancer.dispatcher.clock.now_ms())
            assert not any(isinstance(event, ClientGone) for event in script.events)
            abort_now(leaver, HELD, before)
            if noticed_by == "the send":
                balancer.dispatcher.deliver(TimerFired(HELD))
                gone_in_order(script)
                assert len(script.ends()) == attempts + 1
            assert (await until_gone(script)).request == HELD
            assert not balancer.dispatcher.has_requests and len(upstream.seen) == served
            assert connection._blocked  # it was not read meanwhile
            leaver.sock.close()
        upstream.close()

    run(work())


def test_an_abort_behind_a_record_that_was_read_in_part_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """What lies unread begins in the middle of a record."""

    async def work() -> None:
        Caller.speaks = "fastcgi"
        monkeypatch.setattr(Listener, "SWEEP_MS", NEVER_MS)
        monkeypatch.setattr(CallerWriter, "UNREAD_MS", NEVER_MS)
        upstream = await FakeUpstream(large).start()
        other = fastcgi.ask(request_bytes(body=b"y" * 50), 100)
        for read in (3, 8, 20, len(other) - 1):
            script = Script([1])
            script.more = hold_first
            async with running(upstream.entry("a"), script=script) as balancer:
                leaver = Leaver(balancer)
                leaver.ask()
                await until(lambda: balancer.dispatcher.has_requests, "the first has arrived")
                connection, _ = server_side(leaver)
                leaver.sock.sendall(other[:read])
                await until(lambda: connection._serving.begun, "a part of a record has come")  # noqa: B023
                abort_now(leaver, HELD, other[read:])
                balancer.dispatcher.deliver(TimerFired(HELD))
                gone_in_order(script)
                assert not upstream.seen
                leaver.sock.close()
        upstream.close()

    run(work())


def test_an_abort_is_noticed_where_more_lay_unread_before_the_last_read() -> None:
    """Whatever was found of bytes that have been read since counts no more."""

    async def work() -> None:
        Caller.speaks = "fastcgi"
        upstream = await FakeUpstream().start()
        script = Script([1])
        script.more = hold_first
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer)
            leaver.ask()
            await until(lambda: balancer.dispatcher.has_requests, "the first has arrived")
            connection, _ = server_side(leaver)
            send_now(leaver, fastcgi.ask(request_bytes(), 2))
            assert not connection.has_unread_abort(HELD)
            assert (await script.ended()).outcome is Outcome.OK
            abort_now(leaver)
            balancer.dispatcher.deliver(TimerFired(HELD))
            gone_in_order(script)
            assert len(upstream.seen) == 1
            leaver.sock.close()
        upstream.close()

    run(work())


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_no_attempt_begins_for_a_request_that_was_aborted(
    row: tuple[str, list[Action], Callable[[Event], bool]],
) -> None:
    """Its abort lies unread, since the loop is still in the turn that would send its request on."""

    async def work() -> None:
        Caller.speaks = "fastcgi"

        async def behave(request: Incoming, talk: Talk) -> None:
            await (talk.send(ok()) if request.target == "/health" else refuses(request, talk))

        upstream, other = await FakeUpstream(behave).start(), await FakeUpstream().start()
        script = Held([1, 2], row[1], row[2])
        async with running(upstream.entry("a"), other.entry("b"), script=script) as balancer:
            script.leaver = leaver = Leaver(balancer)
            leaver.leave = lambda: abort_now(leaver)  # type: ignore[method-assign]
            leaver.ask()
            while not ((end := await script.ended()).is_final):
                assert end.outcome is Outcome.FULL
            gone_in_order(script)
            assert not other.seen and not balancer.dispatcher.has_requests
            leaver.sock.settimeout(PATIENCE_S)
            end_of_request = fastcgi.record(fastcgi.END, HELD, bytes(8))
            answer = await asyncio.to_thread(leaver.sock.recv, 1024)
            assert answer == end_of_request  # once, and nothing else
            leaver.sock.close()
        for item in (upstream, other):
            item.close()

    run(work())


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("cls", ["move", "no class of the settings"])
def test_a_request_that_comes_with_its_abort_is_not_begun(count: int, cls: str) -> None:
    """One read brings both, as after a standstill; also where the request would have been refused at once."""

    async def work() -> None:
        Caller.speaks = "fastcgi"
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer)
            data = fastcgi.ask(request_bytes(cls, b"x"), 1)
            leaver.sock.sendall(data + fastcgi.record(fastcgi.ABORT, 1) * count)
            leaver.sock.settimeout(PATIENCE_S)
            answer = await asyncio.to_thread(leaver.sock.recv, 1024)
            assert answer == fastcgi.record(fastcgi.END, 1, bytes(8))
            assert not upstream.connections and not script.ends() and not balancer.dispatcher.has_requests
            leaver.ask()  # the connection and its id go on
            assert (await script.ended()).outcome is Outcome.OK
            leaver.sock.close()
        upstream.close()

    run(work())


def test_an_abort_counts_before_what_stands_in_front_of_it_in_one_read() -> None:
    """A request that comes in the same read would begin an attempt of the one that is aborted behind it."""

    async def work() -> None:
        Caller.speaks = "fastcgi"

        def second_sends_first(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived):
                return [] if event.request == HELD else [Send(HELD, 1, 0.0), Send(event.request, 1, 0.0)]
            return None

        upstream = await FakeUpstream().start()
        script = Script([1])
        script.more = second_sends_first
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer)
            leaver.ask()
            await until(lambda: balancer.dispatcher.has_requests, "the first has arrived")
            leaver.sock.sendall(
                fastcgi.ask(request_bytes("move", b"x"), 2) + fastcgi.record(fastcgi.ABORT, HELD) * 2
            )
            end = await script.ended()
            assert (end.request, end.outcome) == (2, Outcome.OK)
            assert len(upstream.seen) == 1
            leaver.sock.close()
        upstream.close()

    run(work())


def test_a_close_is_noticed_while_answers_are_not_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its first request is held by the decisions; the answers to the others fill the connection."""

    async def work() -> None:
        Caller.speaks = "fastcgi"
        monkeypatch.setattr(Listener, "SWEEP_MS", 1.0)
        monkeypatch.setattr(
            CallerWriter, "UNREAD_MS", NEVER_MS
        )  # this is not about answers that nobody reads
        upstream = await FakeUpstream(large).start()
        script = Script([1])
        script.more = hold_first
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer, half_close)
            await stop_reading(leaver, script)
            leaver.leave()
            assert (await until_gone(script)).request == HELD
            assert not balancer.dispatcher.has_requests
            leaver.sock.close()
        upstream.close()

    run(work())
