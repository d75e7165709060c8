"""SIGTERM where it crosses something: half a request, a body that never ends, a silent upstream, a caller that reads
nothing, bytes that come in the moment in which a connection is ended.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from pathlib import Path
from typing import Any

import pytest

from larkweir.core import net
from larkweir.protocols.http1.codec import MAX_REPLAYABLE_BODY
from standins.peers import PATIENCE_S, Caller, FakeUpstream, Incoming, Talk, ok, read_answer, request_bytes
from tests.fakes import SETTINGS, Script, running
from tests.lifecycle.service import Service, service
from tests.protocols.test_closing import Raw
from tests.upstreams.test_attempts import run, silence

SHORT_MS = 400


def short(it: Service) -> None:
    """Before the start: every class has a short deadline."""
    rows = [row | {"AimMs": SHORT_MS, "HardLimitMs": SHORT_MS} for row in SETTINGS["Categories"]]
    it.write(settings=SETTINGS | {"Categories": rows})


async def told_to_stop(it: Service) -> None:
    it.signal(signal.SIGTERM)
    await it.manager.words.until("STOPPING", "1")


def test_half_a_request_that_goes_on_after_idle_connections_are_ended_is_served(tmp_path: Path) -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with service(tmp_path, upstream, accept_ms=50) as it:
            await it.start()
            async with Caller(it.port) as half, Caller(it.port) as idle:
                for caller in (half, idle):
                    caller.ask()
                    assert (await caller.answer()).status == 200
                data = request_bytes("move", b"x")
                half.send(data[:40])
                async with Caller(
                    it.port
                ) as behind:  # once it is answered, the half was read: it came before
                    behind.ask()
                    assert (await behind.answer()).status == 200
                await told_to_stop(it)
                assert await idle.ended() == b""
                half.send(data[40:])
                answer = await half.answer()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                assert await half.ended() == b""
            assert await it.ended() == 0
        upstream.close()

    run(work())


def test_a_request_whose_body_never_ends_is_answered_at_the_end_of_the_life(tmp_path: Path) -> None:
    """No deadline runs before its last byte: the life's own end is the last moment to answer it. That ends the attempt,
    and the decisions refuse what has not run.
    """

    async def work() -> None:
        came = asyncio.Event()

        async def body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(65536):
                came.set()
            writer.close()

        server = await asyncio.start_server(body, "127.0.0.1", 0)
        upstream = FakeUpstream()
        upstream.port = server.sockets[0].getsockname()[1]
        async with service(tmp_path, upstream, accept_ms=50) as it:
            short(it)
            await it.start()
            async with Caller(it.port) as caller:
                head = request_bytes("move").replace(
                    b"Content-Length: 0", b"Content-Length: %d" % (4 * MAX_REPLAYABLE_BODY)
                )
                caller.send(head + b"x" * (2 * MAX_REPLAYABLE_BODY))
                await came.wait()
                await told_to_stop(it)
                assert (await caller.answer()).status == 503  # no upstream can have begun it
            assert await it.ended() == 0
        server.close()

    run(work())


@pytest.mark.parametrize("reads", [True, False])
def test_a_life_ends_with_the_longest_deadline_whatever_its_peers_do(tmp_path: Path, reads: bool) -> None:
    """An upstream that is silent costs it no longer than that; nor does a caller that takes no answer."""

    async def work() -> None:
        async def behave(request: Incoming, talk: Talk) -> None:
            if reads:
                await silence(request, talk)
            await talk.send(ok(b"x" * 64_000))

        upstream = await FakeUpstream(behave).start()
        async with service(tmp_path, upstream, accept_ms=50) as it:
            short(it)
            await it.start()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", it.port))
            sock.sendall(request_bytes("move", b"x", X_Expires_In_Ms=str(SHORT_MS)))
            await upstream.arrived.get()
            await told_to_stop(it)
            if reads:
                sock.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=sock)
                assert (await read_answer(reader)).status in (502, 504)
                writer.close()
            assert await it.ended() == 0
            sock.close()
        upstream.close()

    run(work())


@pytest.mark.parametrize("protocols", ["http1-http1", "fastcgi-http1"], indirect=True)
def test_bytes_that_come_in_the_moment_of_the_end_are_not_sent_on_and_see_no_reset(
    protocols: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They come between the look whether any do and the closing of the sending side."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), script=Script([1])) as balancer:
            caller = Raw(balancer)
            connection = await caller.come()
            waits = net.is_readable
            asked: list[int] = []

            def then_comes(descriptor: int) -> bool:
                found = waits(descriptor)
                if not asked:
                    asked.append(descriptor)
                    caller.ask()
                return found

            monkeypatch.setattr(net, "is_readable", then_comes)
            balancer.listener.closing = True
            balancer.listener.end_idle()
            monkeypatch.undo()
            assert asked and connection.ending
            assert await caller.rest() == b""
            caller.sock.close()
            async with asyncio.timeout(PATIENCE_S):
                while balancer.listener.count:
                    await asyncio.sleep(0.001)
        upstream.close()
        assert not upstream.seen

    run(work())


def test_a_connection_that_is_accepted_in_the_turn_of_the_end_is_waited_for() -> None:
    """It is neither ended before its transport is up, nor overlooked where the life looks whether it owes anything."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), script=Script([1])) as balancer:
            caller = Raw(balancer)
            caller.ask()
            listener: Any = balancer.listener
            listener.closing = True
            listener.stop_accepting()
            listener.end_idle()
            assert listener.count == 1 and listener.unfinished
            while not upstream.seen:
                listener.end_idle()
                assert listener.unfinished
                await asyncio.sleep(0)
            assert (await caller.rest()).startswith(b"HTTP/1.1 200 OK")
            caller.sock.close()
        upstream.close()

    run(work())
