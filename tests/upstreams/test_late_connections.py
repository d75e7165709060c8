"""Connections that are established late. By then the time left, the window of a retry, the grace period of a drain,
and the process behind an upstream's id may have changed.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from larkweir_balancing.interface import Action, Event, ListUpdate, Outcome, RequestArrived, Send

from standins.peers import PATIENCE_S
from tests.fakes import (
    SETTINGS,
    Caller,
    FakeUpstream,
    Incoming,
    Running,
    Script,
    Talk,
    entry,
    pass_time,
    request_bytes,
    running,
    status,
)
from tests.lifecycle.service import until
from tests.protocols.http1.test_bodies import LongUpstream
from tests.storms.test_pace import LimitedConnects
from tests.upstreams.gate import Gate, pass_time_unnoticed
from tests.upstreams.test_attempts import reset, run

LONG_CONNECT_TIMEOUT = {"ConnectTimeoutMs": 60_000}  # in the loop's time, which the tests don't advance
DEADLINE_MS = 8_000.0
MEMORY_MS = 4_000.0  # how long servers recognize repeats of the class `post`
GRACE_MS = 500.0
# With each protocol of upstreams.
each_protocol = pytest.mark.parametrize(
    "protocols", ["http1-http1", "http1-fastcgi", "http1-shared"], indirect=True
)


async def change(balancer: Running, script: Script, listed: dict[str, Any]) -> None:
    """Let discovery report a change, and wait until the decisions have received it."""
    balancer.discovery.change(listed)
    version = balancer.discovery.generation
    await until(
        lambda: any(isinstance(event, ListUpdate) and event.version == version for event in script.events),
        "the change",
    )


# ---------------------------------------------------------------- the time left


@each_protocol
def test_a_late_connection_sends_the_time_left_at_the_write() -> None:
    """Guards upstreams against work that is no longer needed: the time left when the call was made is out of date."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with (
            running(upstream.entry("a"), script=Script([1]), limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            caller.ask("move", b"x")
            await gate.held()
            pass_time(balancer.dispatcher.clock, 5_000)
            gate.open()
            assert (await caller.answer()).status == 200
        upstream.close()
        (seen,) = upstream.seen
        assert 1 <= int(seen.headers["x-expires-in-ms"]) <= 3_000

    run(work())


@each_protocol
def test_a_retry_sends_the_time_left_at_its_write() -> None:
    """Guards the same if an earlier attempt and the retry's own connection have used up most of the time."""

    async def work() -> None:
        go = asyncio.Event()

        async def fails(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(status(500))

        first, second = await FakeUpstream(fails).start(), await FakeUpstream().start()
        script = Script([1, 2])
        async with (
            running(
                first.entry("a"), second.entry("b"), script=script, limits=LONG_CONNECT_TIMEOUT
            ) as balancer,
            Caller(balancer.port) as caller,
            Gate(second.port) as gate,
        ):
            caller.ask()
            await first.arrived.get()
            pass_time(balancer.dispatcher.clock, 3_000)
            go.set()
            await gate.held()
            pass_time(balancer.dispatcher.clock, 3_000)
            gate.open()
            assert (await caller.answer()).status == 200
        first.close()
        second.close()
        assert 1 <= int(second.seen[0].headers["x-expires-in-ms"]) <= 2_000

    run(work())


@each_protocol
def test_nothing_is_sent_when_nothing_is_left() -> None:
    """Guards upstreams when the deadline's timer fires late: with no time left, the request must not be sent."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            caller.ask("move", b"x")
            await gate.held()
            pass_time_unnoticed(balancer.dispatcher.clock, DEADLINE_MS)
            gate.open()
            assert (await script.ended()).outcome is Outcome.MOOT
            assert (await caller.answer()).status == 502
        upstream.close()
        assert upstream.seen == []

    run(work())


@pytest.mark.parametrize("left", [True, False], ids=["some time left", "none left"])
def test_the_time_of_a_body_received_before_its_connection_counts_from_its_last_byte(left: bool) -> None:
    """Guards the same for a streamed body: the time until the deadline starts with its last byte."""

    async def work() -> None:
        upstream = await LongUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            raw = request_bytes("move", b"x" * 600_000)
            caller.send(raw[:1_000])
            await gate.held()
            (request,) = balancer.dispatcher.requests
            stream = request.message.stream
            assert stream is not None
            stream.max_buffered_bytes = 1_000_000  # so that the complete body can be buffered
            caller.send(raw[1_000:])
            await until(lambda: stream.complete, "the last byte")
            if left:
                pass_time(balancer.dispatcher.clock, 5_000)
            else:
                pass_time_unnoticed(balancer.dispatcher.clock, DEADLINE_MS)
            gate.open()
            assert (await script.ended()).outcome is (Outcome.OK if left else Outcome.MOOT)
            if left:
                assert (await caller.answer()).status == 200
                assert 1 <= int((await upstream.heads.get())["x-expires-in-ms"]) <= 3_000
        upstream.close()
        assert len(upstream.seen) == left and upstream.heads.empty()

    run(work())


# ---------------------------------------------------------------- the window of a keyed retry


@each_protocol
@pytest.mark.parametrize("let", [pass_time, pass_time_unnoticed], ids=["timely", "late timer"])
def test_a_retry_whose_connection_is_established_after_its_window_is_not_sent(let: Any) -> None:
    """Guards requests that may run only once: the servers have forgotten the key by then. Uses the real decisions."""

    async def work() -> None:
        ups = [await FakeUpstream(reset).start() for _ in range(2)]
        async with (
            running(
                *(up.entry(f"u{n}") for n, up in enumerate(ups)), limits=LONG_CONNECT_TIMEOUT
            ) as balancer,
            Caller(balancer.port) as caller,
            Gate(*(up.port for up in ups), free=1) as gate,
        ):
            caller.ask("post", b"x")
            await gate.held()  # the connection of the retry
            for up in ups:
                up.behave = FakeUpstream().behave
            let(balancer.dispatcher.clock, MEMORY_MS)
            gate.open()
            assert (await caller.answer()).status == 502
            await until(lambda: not balancer.dispatcher.has_requests, "its end")
        assert sum(len(up.seen) for up in ups) == 1
        for up in ups:
            up.close()

    run(work())


def test_a_retry_whose_connection_is_established_within_its_window_is_sent() -> None:
    """The previous test, but within the window: the retry is sent and succeeds."""

    async def work() -> None:
        ups = [await FakeUpstream(reset).start() for _ in range(2)]
        async with (
            running(
                *(up.entry(f"u{n}") for n, up in enumerate(ups)), limits=LONG_CONNECT_TIMEOUT
            ) as balancer,
            Caller(balancer.port) as caller,
            Gate(*(up.port for up in ups), free=1) as gate,
        ):
            caller.ask("post", b"x")
            await gate.held()
            for up in ups:
                up.behave = FakeUpstream().behave
            pass_time(balancer.dispatcher.clock, MEMORY_MS / 2.0)
            gate.open()
            assert (await caller.answer()).status == 200
        assert sum(len(up.seen) for up in ups) == 2
        for up in ups:
            up.close()

    run(work())


@each_protocol
def test_a_retry_that_waits_for_the_connect_rate_limit_past_its_window_is_not_sent() -> None:
    """Guards the same when the rate of new connections is limited."""

    async def work() -> None:
        ups = [await FakeUpstream(reset).start() for _ in range(2)]
        async with (
            running(*(up.entry(f"u{n}") for n, up in enumerate(ups))) as balancer,
            Caller(balancer.port) as caller,
        ):
            pool = balancer.dispatcher.upstreams
            pool.rate_limiter = LimitedConnects(1)
            caller.ask("post", b"x")
            await until(lambda: pool._waiting, "the repeat, waiting")
            pass_time(balancer.dispatcher.clock, MEMORY_MS)
            pool.rate_limiter = LimitedConnects(5)
            assert (await caller.answer()).status == 502
            await until(lambda: not pool._waiting, "the end of the wait")
        assert sum(len(up.seen) for up in ups) == 1
        for up in ups:
            up.close()

    run(work())


def send_with_write_deadline(
    write_in_ms: float, balancer: Callable[[], Running]
) -> Callable[[Event], list[Action] | None]:
    """Decisions that limit the time in which each attempt may be written."""

    def more(event: Event) -> list[Action] | None:
        if isinstance(event, RequestArrived):
            by = balancer().dispatcher.clock.now_ms() + write_in_ms
            return [Send(event.request, 1, 0.0, by)]
        return None

    return more


def test_a_retry_whose_last_byte_is_unsent_after_its_window_is_never_completed() -> None:
    """Guards the window against an upstream that reads slowly: the window applies to the last byte, not the first."""

    async def work() -> None:
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            listener.bind(("127.0.0.1", 0))
            listener.listen(1)
            listener.setblocking(False)
            port = listener.getsockname()[1]
            script = Script([1])
            async with (
                running(entry("a", port), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
                Caller(balancer.port) as caller,
                Gate(port) as gate,
            ):
                script.more = send_with_write_deadline(MEMORY_MS, lambda: balancer)
                caller.ask("post", b"x" * 60_000)
                transport = await gate.held()
                sock = transport.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                gate.open()
                loop = asyncio.get_running_loop()
                connection, _ = await loop.sock_accept(listener)
                assert (await loop.sock_recv(connection, 100)).startswith(b"POST")
                pass_time(balancer.dispatcher.clock, MEMORY_MS)
                assert (await script.ended()).outcome is Outcome.MOOT
                assert (await caller.answer()).status == 502
                got = 100
                try:
                    while part := await loop.sock_recv(connection, 65536):
                        got += len(part)
                except ConnectionError:
                    pass
                assert got < 60_000
                connection.close()

    run(work())


def test_a_retry_whose_body_is_still_arriving_after_its_window_is_never_completed() -> None:
    """Guards the window of a retry with a streamed body. The first attempt was answered before any byte of the body was
    sent, and the rest of the body arrives after the window, but before its timer, which is late.
    """

    async def work() -> None:
        heads: asyncio.Queue[str] = asyncio.Queue()
        parts: list[bytes] = []
        ended = asyncio.Event()

        async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            heads.put_nowait((await reader.readuntil(b"\r\n\r\n")).decode())
            if heads.qsize() == 1 and not parts and not first.is_set():
                first.set()
                writer.write(status(500))
            else:
                try:
                    while part := await reader.read(65536):
                        parts.append(part)
                except ConnectionError:
                    pass
                ended.set()
            writer.close()

        first = asyncio.Event()
        server = await asyncio.start_server(talk, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        memory_ms = 300.0  # well within the time for which a caller may pause within its body
        classes = [dict(item) for item in SETTINGS["Categories"]]
        classes[1]["MemorySpanMs"] = memory_ms
        async with (
            running(entry("a", port), categories=classes, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
        ):
            raw = request_bytes("post", b"x" * 600_000)
            at = raw.index(b"\r\n\r\n") + 4
            caller.send(raw[:at])
            for _ in range(2):
                async with asyncio.timeout(PATIENCE_S):
                    await heads.get()
            pass_time_unnoticed(balancer.dispatcher.clock, memory_ms)
            caller.send(raw[at:])
            async with asyncio.timeout(PATIENCE_S):
                await ended.wait()
            assert sum(map(len, parts)) < 600_000
        server.close()

    run(work())


def test_a_request_keeps_its_retry_window_across_a_reload() -> None:
    """Guards against a retry after the original window when a reload has set a longer one."""

    async def work() -> None:
        ups = [await FakeUpstream(reset).start() for _ in range(2)]
        async with (
            running(
                *(up.entry(f"u{n}") for n, up in enumerate(ups)), limits=LONG_CONNECT_TIMEOUT
            ) as balancer,
            Caller(balancer.port) as caller,
            Gate(*(up.port for up in ups), free=1) as gate,
        ):
            caller.ask("post", b"x")
            await gate.held()
            config = balancer.dispatcher.config
            look, post, move = config.settings.classes
            longer = (look, replace(post, memory_ms=60_000.0), move)
            balancer.dispatcher.reconfigure(
                replace(config, settings=replace(config.settings, classes=longer))
            )
            for up in ups:
                up.behave = FakeUpstream().behave
            pass_time(balancer.dispatcher.clock, MEMORY_MS)
            gate.open()
            assert (await caller.answer()).status == 502
        assert sum(len(up.seen) for up in ups) == 1
        for up in ups:
            up.close()

    run(work())


# ---------------------------------------------------------------- the grace period of a drain


@each_protocol
@pytest.mark.parametrize("spent_ms", [GRACE_MS, GRACE_MS / 2.0], ids=["after", "within"])
@pytest.mark.parametrize("lifecycle", ["leaving", "left"])
def test_a_connection_established_after_the_drain_grace_period_carries_no_call(
    lifecycle: str, spent_ms: float
) -> None:
    """Guards the drain: requests that were admitted before it may be sent within its grace period, but not later."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            caller.ask("move", b"x")
            await gate.held()
            await change(balancer, script, upstream.entry("a", lifecycle=lifecycle))
            pass_time(balancer.dispatcher.clock, spent_ms)
            gate.open()
            late = spent_ms == GRACE_MS
            assert (await script.ended()).outcome is (Outcome.MOOT if late else Outcome.OK)
            assert (await caller.answer()).status == (502 if late else 200)
        upstream.close()
        assert len(upstream.seen) == (not late)

    run(work())


class DelayedStore:
    """A store that records a request only when the test calls its callback."""

    def __init__(self) -> None:
        self.then: asyncio.Queue[Callable[[], None]] = asyncio.Queue()

    def began(self, trace: bytes, then: Callable[[], None], memory_ms: float = 0.0) -> None:
        self.then.put_nowait(then)

    def ended(self, trace: bytes) -> None: ...


@each_protocol
@pytest.mark.parametrize("how", ["leaving", "moved", "restarted", "gone and back"])
def test_a_request_that_is_recorded_too_late_is_not_sent(how: str) -> None:
    """Guards against a slow disk: meanwhile the drain may expire, or another process replace the selected one."""

    async def work() -> None:
        upstream, other = await FakeUpstream().start(), await FakeUpstream().start()
        script = Script([1])
        store = DelayedStore()
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            Caller(balancer.port) as caller,
        ):
            balancer.dispatcher.extensions.durable_state = store
            caller.ask("move", b"x")
            async with asyncio.timeout(PATIENCE_S):
                kept = await store.then.get()
            if how == "leaving":
                await change(balancer, script, upstream.entry("a", lifecycle="leaving"))
            elif how == "moved":
                await change(balancer, script, other.entry("a", startedAtMs=5))
            elif how == "restarted":
                await change(balancer, script, upstream.entry("a", startedAtMs=5))
            else:
                await change(balancer, script, upstream.entry("a", lifecycle="left"))
                await change(balancer, script, other.entry("a"))
            if how == "leaving":
                pass_time(balancer.dispatcher.clock, GRACE_MS)
            kept()
            assert (await script.ended()).outcome is Outcome.MOOT
            assert (await caller.answer()).status == 502
        upstream.close()
        other.close()
        assert upstream.seen == other.seen == []

    run(work())


def test_a_body_may_end_after_the_grace_period_if_its_send_began_within_it() -> None:
    """A send counts as begun with its first byte."""

    async def work() -> None:
        upstream = await LongUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            Caller(balancer.port) as caller,
        ):
            raw = request_bytes("move", b"x" * 600_000)
            caller.send(raw[:2_000])
            async with asyncio.timeout(PATIENCE_S):
                await upstream.heads.get()
            await change(balancer, script, upstream.entry("a", lifecycle="leaving"))
            pass_time(balancer.dispatcher.clock, GRACE_MS)
            caller.send(raw[2_000:])
            assert (await caller.answer()).status == 200
            assert (await script.ended()).outcome is Outcome.OK
        upstream.close()
        assert len(upstream.seen) == 1 and upstream.connections == 1

    run(work())


def test_a_body_whose_connection_is_established_after_the_grace_period_is_not_sent() -> None:
    """The opposite case: no byte was sent within the grace period."""

    async def work() -> None:
        upstream = await LongUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            raw = request_bytes("move", b"x" * 600_000)
            caller.send(raw[:2_000])
            await gate.held()
            await change(balancer, script, upstream.entry("a", lifecycle="leaving"))
            pass_time(balancer.dispatcher.clock, GRACE_MS)
            gate.open()
            assert (await script.ended()).outcome is Outcome.MOOT
        upstream.close()
        assert upstream.heads.empty() and upstream.seen == []

    run(work())


# ---------------------------------------------------------------- the process behind an id


@each_protocol
def test_after_a_cancelled_drain_a_late_connection_carries_its_call() -> None:
    """If the id is listed as active again, for the same process, its drain is over."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(upstream.port) as gate,
        ):
            caller.ask("move", b"x")
            await gate.held()
            for lifecycle in ("leaving", "active"):
                await change(balancer, script, upstream.entry("a", lifecycle=lifecycle))
                pass_time(balancer.dispatcher.clock, GRACE_MS)
            gate.open()
            assert (await caller.answer()).status == 200
        upstream.close()
        assert len(upstream.seen) == 1

    run(work())


@each_protocol
@pytest.mark.parametrize("before", [[], ["leaving"], ["left"]], ids=["at once", "drained", "gone"])
@pytest.mark.parametrize("place", ["another address", "the same address"])
def test_a_connection_to_the_previous_process_of_an_id_carries_no_call_for_the_new_one(
    before: list[str], place: str
) -> None:
    """Guards a drained process against a call that its successor's listing seems to allow, and a keyed request against
    a retry outside its group of servers.
    """

    async def work() -> None:
        old, new = await FakeUpstream().start(), await FakeUpstream().start()
        script = Script([1])
        async with (
            running(old.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Gate(old.port) as gate,
        ):
            caller.ask("move", b"x")
            await gate.held()
            for lifecycle in before:
                await change(balancer, script, old.entry("a", lifecycle=lifecycle))
                pass_time(balancer.dispatcher.clock, GRACE_MS)
            there = new if place == "another address" else old
            await change(balancer, script, there.entry("a", startedAtMs=5))
            gate.open()
            assert (await script.ended()).outcome is Outcome.MOOT
            assert (await caller.answer()).status == 502
            caller.ask("move", b"x")  # the next request goes to the new process, on a new connection
            assert (await caller.answer()).status == 200
            assert there.connections == (1 if there is new else 2)
        old.close()
        new.close()
        assert (len(old.seen), len(new.seen)) == ((0, 1) if there is new else (1, 0))

    run(work())


@each_protocol
@pytest.mark.parametrize("gone", [False, True], ids=["moved", "gone and listed again"])
def test_a_call_that_waits_for_the_connect_rate_limit_goes_to_no_other_process(gone: bool) -> None:
    """Guards a call for one process against an idle connection to a later process with the same id."""

    async def work() -> None:
        old, new = await FakeUpstream().start(), await FakeUpstream().start()
        long_grace = SETTINGS["Guarantees"] | {"DrainGraceMs": 60_000}
        script = Script([1])
        async with (
            running(old.entry("a"), script=script, base=SETTINGS | {"Guarantees": long_grace}) as balancer,
            Caller(balancer.port) as caller,
            Caller(balancer.port) as other,
        ):
            pool = balancer.dispatcher.upstreams
            pool.rate_limiter = LimitedConnects(0)
            pool.WAITING_POLL_MS = (3_000.0, 3_000.0)  # type: ignore[assignment]
            caller.ask("move", b"x", "/api?old")
            await until(lambda: pool._waiting, "the call, waiting")
            if gone:
                await change(balancer, script, old.entry("a", lifecycle="left"))
            await change(balancer, script, new.entry("a", startedAtMs=5))
            pool.rate_limiter = LimitedConnects(1)
            other.ask("move", b"x", "/api?new")
            assert (await other.answer()).status == 200  # its connection is idle now
            assert (await script.ended()).outcome is Outcome.OK
            pass_time(balancer.dispatcher.clock, 3_000)  # until the waiting call is polled
            assert (await script.ended()).outcome is Outcome.MOOT
            assert (await caller.answer()).status == 502
        old.close()
        new.close()
        assert old.seen == [] and [item.target for item in new.seen] == ["/api?new"]

    run(work())


@each_protocol
def test_a_call_does_not_join_a_connection_to_the_previous_process() -> None:
    """Guards the same for connections that carry many calls: the one being established leads to another process."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script, limits=LONG_CONNECT_TIMEOUT) as balancer,
            Caller(balancer.port) as caller,
            Caller(balancer.port) as other,
            Gate(upstream.port) as gate,
        ):
            caller.ask("move", b"x", "/api?old")
            await gate.held()
            await change(balancer, script, upstream.entry("a", lifecycle="left"))
            await change(balancer, script, upstream.entry("a", startedAtMs=5))
            other.ask("move", b"x", "/api?new")
            await gate.held()  # a connection of its own
            gate.open()
            assert (await other.answer()).status == 200
            assert (
                await caller.answer()
            ).status == 200  # within the grace period, from the process for which it was made
            assert upstream.connections == 2
        upstream.close()

    run(work())
