"""Events on an idle connection at the moment at which a request is about to use it."""

from __future__ import annotations

import asyncio
import ctypes
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from larkweir_balancing.interface import Outcome

from larkweir.upstreams.connection import UpstreamConnection
from standins.peers import PATIENCE_S
from tests.fakes import Caller, FakeUpstream, Incoming, Script, Talk, ok, running, status
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run


def act_on_socket(talk: Talk, act: Callable[[socket.socket], object]) -> None:
    """Act on an upstream's side of a connection, bypassing the event loop: the effect is in the kernel before any
    iteration of the loop can read it.
    """
    with socket.socket(fileno=socket.dup(talk.writer.get_extra_info("socket").fileno())) as raw:
        act(raw)


def resets(talk: Talk) -> None:
    """Reset the connection. connect(2) with AF_UNSPEC does so at once; a close would only with the last descriptor."""
    act_on_socket(talk, disconnect)


def disconnect(raw: socket.socket) -> None:
    nowhere = struct.pack("H14x", socket.AF_UNSPEC)
    libc = ctypes.CDLL(None, use_errno=True)
    assert libc.connect(raw.fileno(), nowhere, len(nowhere)) == 0


ACTS: dict[str, Callable[[Talk], None]] = {
    "half a line": lambda talk: act_on_socket(talk, lambda raw: raw.send(b"HTT")),
    "a second answer": lambda talk: act_on_socket(talk, lambda raw: raw.send(ok(b"another's"))),
    "an answer without a request": lambda talk: act_on_socket(talk, lambda raw: raw.send(status(408))),
    "its end": lambda talk: act_on_socket(talk, lambda raw: raw.shutdown(socket.SHUT_WR)),
    "a reset": resets,
}


async def echo(request: Incoming, talk: Talk) -> None:
    await talk.send(ok(request.target.encode()))


async def open_idle_connection(caller: Caller, balancer: Any) -> UpstreamConnection:
    """Make a request, and return its connection to the upstream, which is idle then."""
    caller.ask("move", b"x", "/api?first")
    assert (await caller.answer()).status == 200
    (kept,) = balancer.dispatcher.upstreams._idle[1]
    return kept  # type: ignore[no-any-return]


@pytest.mark.parametrize("act", ACTS.values(), ids=ACTS)
@pytest.mark.parametrize("protocols", ["http1-http1", "http1-fastcgi", "http1-shared"], indirect=True)
def test_a_connection_with_input_in_the_kernel_is_not_reused(
    act: Callable[[Talk], None],
) -> None:
    """Guards a request against the answer to another one, and against a connection that has ended. Both are pending but
    unread, since the request arrives in the same iteration of the loop.
    """

    async def work() -> None:
        upstream = await FakeUpstream(echo).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await open_idle_connection(caller, balancer)
            pool = balancer.dispatcher.upstreams
            take = pool._take_idle

            def first(target: Any, now: float) -> UpstreamConnection | None:
                if upstream.connections == 1:
                    act(upstream.talks[0])
                return take(target, now)

            pool._take_idle = first  # type: ignore[method-assign]
            caller.ask("move", b"x", "/api?second")
            assert (await caller.answer()).body == b"/api?second"
            assert [item.target for item in upstream.seen] == ["/api?first", "/api?second"]
            assert upstream.connections == 2
            assert [end.outcome for end in script.ends()] == [Outcome.OK] * 2
        upstream.close()

    run(work())


@pytest.mark.parametrize("act", [ACTS[name] for name in ("half a line", "its end", "a reset")])
def test_an_event_that_crosses_the_write_fails_an_unsafe_request_without_a_retry(
    act: Callable[[Talk], None],
) -> None:
    """Guards requests that may not run twice: an event between the last check of a connection and the write can't be
    noticed, so the request may have run. Uses the real decisions.
    """

    async def work() -> None:
        ups = [await FakeUpstream(echo).start() for _ in range(2)]
        async with (
            running(*(up.entry(f"u{n}") for n, up in enumerate(ups))) as balancer,
            Caller(balancer.port) as caller,
        ):
            while not all(up.seen for up in ups):  # until both have an idle connection
                caller.ask()
                assert (await caller.answer()).status == 200
            warm = sum(len(up.seen) for up in ups)
            crossed = []
            for number, up in enumerate(ups, 1):
                (kept,) = balancer.dispatcher.upstreams._idle[number]
                usable = kept.usable

                def crosses(usable: Any = usable, up: FakeUpstream = up) -> bool:
                    seen = bool(usable())
                    crossed.append(seen)
                    act(up.talks[0])
                    return seen

                kept.usable = crosses  # type: ignore[method-assign]
            caller.ask("move", b"x", "/api?once")
            assert (await caller.answer()).status == 502
            await until(lambda: not balancer.dispatcher.has_requests, "its end")
            assert crossed == [True]
            assert [up.connections for up in ups] == [1, 1]
        assert sum(len(up.seen) for up in ups) <= warm + 1
        for up in ups:
            up.close()

    run(work())


def test_a_reset_after_the_last_byte_was_written_means_that_it_may_have_run() -> None:
    """Guards requests that may not run twice on a reused connection: the upstream has received the request, but its
    answer never arrives.
    """

    async def work() -> None:
        upstream = await FakeUpstream(echo).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await open_idle_connection(caller, balancer)

            async def lost(request: Incoming, talk: Talk) -> None:
                resets(talk)

            upstream.behave = lost
            caller.ask("move", b"x", "/api?second")
            assert (await caller.answer()).status == 502
            assert [end.outcome for end in script.ends()] == [Outcome.OK, Outcome.RESET]
            assert upstream.connections == 1 and len(upstream.seen) == 2
        upstream.close()

    run(work())


@pytest.mark.parametrize("act", ACTS.values(), ids=ACTS)
def test_input_on_a_connection_that_is_being_closed_affects_no_later_request(
    act: Callable[[Talk], None],
) -> None:
    """Guards the table of connections and the next request when a connection is closed that has just received input."""

    async def work() -> None:
        upstream = await FakeUpstream(echo).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            await open_idle_connection(caller, balancer)
            pool = balancer.dispatcher.upstreams
            act(upstream.talks[0])
            pool.close_idle(1)  # in the same iteration of the loop
            caller.ask("move", b"x", "/api?second")
            assert (await caller.answer()).body == b"/api?second"
            assert upstream.connections == 2
            async with asyncio.timeout(PATIENCE_S):
                await upstream.talks[0].ended()
            await until(lambda: pool.sockets == 1, "the end of the first")
        upstream.close()

    run(work())
