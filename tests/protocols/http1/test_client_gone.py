"""A client that has closed its connection: no attempt begins after that, also where the close lies unread."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import pytest
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    Event,
    Outcome,
    Probe,
    ProbeEnded,
    RequestArrived,
    Send,
    SetTimer,
    TimerFired,
)

from larkweir.core.ports import DurableState
from larkweir.protocols.http1.caller_input import CallerInput
from larkweir.protocols.http1.codec import MAX_REPLAYABLE_BODY
from larkweir.protocols.http1.upstreams import UpstreamConnection
from larkweir.protocols.listener import Listener
from larkweir.upstreams.pool import UpstreamPool
from standins import fastcgi
from tests.fakes import (
    PATIENCE_S,
    Caller,
    FakeUpstream,
    Incoming,
    Running,
    Script,
    Talk,
    ok,
    request_bytes,
    running,
)
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import refuses, run, silence

CALLERS = ["http1-http1", "http1-fastcgi", "fastcgi-http1", "fastcgi-fastcgi"]
NEVER_MS = 1e9


def close(sock: socket.socket) -> None:
    sock.close()


def half_close(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_WR)


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


WAYS = [close, half_close, reset]


class Leaver:
    """A client on a socket of its own hand, so that it can close while the loop does not turn."""

    def __init__(self, balancer: Running, way: Callable[[socket.socket], None] = close) -> None:
        self.balancer = balancer
        self.way = way
        self.sock = socket.create_connection(("127.0.0.1", balancer.port))
        self.left = False

    def ask(self, cls: str = "move", body: bytes = b"x") -> None:
        data = request_bytes(cls, body)
        self.sock.sendall(fastcgi.ask(data, 1) if Caller.speaks == "fastcgi" else data)

    def connection(self) -> Any:
        """The balancer's end."""
        name = self.sock.getsockname()
        for item in self.balancer.listener._connections:
            transport = cast(Any, item)._transport
            if transport is not None and transport.get_extra_info("peername") == name:
                return item
        raise AssertionError("its connection is not there")

    def leave(self) -> None:
        """Close; the balancer's system knows by the return, and the loop has not turned."""
        descriptor = self.connection()._transport.get_extra_info("socket").fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLRDHUP)
        assert not poll.poll(0)
        self.left = True
        self.way(self.sock)
        assert poll.poll(PATIENCE_S * 1000.0), "the close never came"


@pytest.fixture(autouse=True)
def no_sweep(monkeypatch: pytest.MonkeyPatch) -> None:
    """The listener's look at its connections must not come in between, but where a test is about that."""
    monkeypatch.setattr(Listener, "SWEEP_MS", NEVER_MS)


class Held(Script):
    """Holds each request until an event is told, and then sends it, in the order of the servers."""

    def __init__(self, servers: list[int], first: list[Action], then: Callable[[Event], bool]) -> None:
        super().__init__(servers)
        self.leaver: Leaver | None = None
        self.first, self.then = first, then
        self.more = self._more

    def _more(self, event: Event) -> list[Action] | None:
        if isinstance(event, RequestArrived) and not self.then(event):
            return [
                Send(event.request, self.servers[0], 0.0) if isinstance(a, Send) else a for a in self.first
            ]
        if self.then(event) and self.leaver is not None and not self.leaver.left:
            self.leaver.leave()  # in the very moment before its attempt would begin
            return [Send(1, self.servers[-1], 0.0)]
        return []


def gone_in_order(script: Script) -> None:
    """The decisions heard of the client's end before that of the attempt, which is final."""
    told = [event for event in script.events if isinstance(event, ClientGone | AttemptEnded)]
    assert isinstance(told[-2], ClientGone)
    assert isinstance(told[-1], AttemptEnded) and (told[-1].outcome, told[-1].is_final) == (
        Outcome.MOOT,
        True,
    )


ROWS: list[tuple[str, list[Action], Callable[[Event], bool]]] = [
    ("first attempt at once", [], lambda e: isinstance(e, RequestArrived)),
    ("held in the waiting room", [SetTimer(7, 1.0)], lambda e: isinstance(e, TimerFired)),
    ("awaits a probe", [Probe(1)], lambda e: isinstance(e, ProbeEnded)),
    ("a retry", [Send(1, 1, 0.0)], lambda e: isinstance(e, AttemptEnded) and not e.attempt),
]


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
@pytest.mark.parametrize("protocols", CALLERS, indirect=True)
def test_no_attempt_begins_for_a_client_that_has_closed(
    row: tuple[str, list[Action], Callable[[Event], bool]], way: Callable[[socket.socket], None]
) -> None:
    """Its close lies unread, since the loop is still in the turn that would send its request on."""

    async def work() -> None:
        async def behave(request: Incoming, talk: Talk) -> None:
            await (talk.send(ok()) if request.target == "/health" else refuses(request, talk))

        upstream, other = await FakeUpstream(behave).start(), await FakeUpstream().start()
        script = Held([1, 2], row[1], row[2])
        async with running(upstream.entry("a"), other.entry("b"), script=script) as balancer:
            script.leaver = leaver = Leaver(balancer, way)
            leaver.ask()
            while not ((end := await script.ended()).is_final):
                assert end.outcome is Outcome.FULL
            assert leaver.left
            gone_in_order(script)
            assert not other.seen and not balancer.dispatcher.has_requests
            leaver.sock.close()
            await until(lambda: not balancer.listener.count, "its connection is closed")
        for item in (upstream, other):
            item.close()

    run(work())


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
@pytest.mark.parametrize("protocols", CALLERS[::2], indirect=True)
def test_a_call_whose_connection_comes_up_after_the_client_has_closed_is_not_written(
    way: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The close comes between the connection's coming up and the write."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer, way)
            usable = UpstreamConnection.usable

            def then_leaves(connection: UpstreamConnection) -> bool:
                leaver.leave()
                return usable(connection)

            monkeypatch.setattr(UpstreamConnection, "usable", then_leaves)
            leaver.ask()
            assert (await script.ended()).outcome is Outcome.MOOT
            monkeypatch.undo()
            gone_in_order(script)
            await until(lambda: upstream.connections, "the connection that came up")
            assert not upstream.seen and not balancer.dispatcher.has_requests
            leaver.sock.close()
        upstream.close()

    run(work())


class OneConnection:
    """A pace that lets one connection be opened, and more once it is told to."""

    def __init__(self) -> None:
        self.opened = 0
        self.refused = asyncio.Event()
        self.unlimited = False

    def is_allowed(self, upstream: int, now_ms: float) -> bool:
        if self.opened and not self.unlimited:
            self.refused.set()
            return False
        self.opened += 1
        return True

    def wait_ms(self, upstream: int, now_ms: float) -> float:
        return 1.0


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
@pytest.mark.parametrize("protocols", CALLERS[::2], indirect=True)
def test_a_paced_call_whose_client_has_closed_opens_no_connection(
    way: Callable[[socket.socket], None],
) -> None:
    """The pace would let it open one in the moment after the close. The call behind it has a client and gets it."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            pool = cast(UpstreamPool, balancer.dispatcher.upstreams)
            pool.rate_limiter = pace = OneConnection()
            pace.opened = 1
            leaver, behind = Leaver(balancer, way), Leaver(balancer)
            leaver.ask()
            await pace.refused.wait()
            behind.ask()
            await until(lambda: balancer.dispatcher.unanswered == 2, "the next has arrived")
            leaver.leave()
            pace.unlimited = True
            pool._serve_waiting(1)
            gone_in_order(script)
            assert pool.sockets == 1 and pace.opened == 2
            assert (await script.ended()).outcome is Outcome.MOOT
            assert (await script.ended()).outcome is Outcome.OK
            assert len(upstream.seen) == upstream.connections == 1
            leaver.sock.close()
            behind.sock.close()
        upstream.close()

    run(work())


def test_a_paced_call_whose_client_has_closed_is_not_written(monkeypatch: pytest.MonkeyPatch) -> None:
    """It waits for a connection; the one that comes free is there only after its client has closed."""

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        script = Script([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            Caller(balancer.port) as first,
        ):
            pace = OneConnection()
            cast(UpstreamPool, balancer.dispatcher.upstreams).rate_limiter = pace
            first.ask()
            await upstream.arrived.get()
            leaver = Leaver(balancer)
            leaver.ask()
            await pace.refused.wait()
            usable = UpstreamConnection.usable

            def then_leaves(connection: UpstreamConnection) -> bool:
                leaver.leave()
                return usable(connection)

            monkeypatch.setattr(UpstreamConnection, "usable", then_leaves)
            go.set()
            assert (await first.answer()).status == 200
            assert (await script.ended()).outcome is Outcome.OK
            assert (await script.ended()).outcome is Outcome.MOOT
            monkeypatch.undo()
            gone_in_order(script)
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


class SlowKeeper:
    """A store whose disk is slow: what was written counts when the test says so."""

    def __init__(self) -> None:
        self.waiting: asyncio.Queue[Callable[[], None]] = asyncio.Queue()

    def began(self, trace: bytes, then: Callable[[], None], memory_ms: float = 0.0) -> None:
        self.waiting.put_nowait(then)

    def ended(self, trace: bytes) -> None: ...


@pytest.mark.parametrize("protocols", CALLERS[::2], indirect=True)
def test_a_request_that_the_store_held_while_its_client_closed_is_not_sent() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            keeper = SlowKeeper()
            balancer.dispatcher.extensions.durable_state = cast(DurableState, keeper)
            leaver = Leaver(balancer)
            leaver.ask()
            kept = await keeper.waiting.get()
            leaver.leave()
            kept()
            assert (await script.ended()).outcome is Outcome.MOOT
            gone_in_order(script)
            assert not upstream.connections and not balancer.dispatcher.has_requests
        upstream.close()

    run(work())


def ahead(leaver: Leaver, count: int) -> None:
    leaver.sock.sendall(b"".join(request_bytes() for _ in range(count)))


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_requests_sent_ahead_of_a_close_are_not_sent_on(way: Callable[[socket.socket], None]) -> None:
    """So many wait that nothing more is read: the first one's answer makes room for the next, and the close is behind
    them all.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer, way)
            ahead(leaver, 1)
            await upstream.arrived.get()
            ahead(leaver, CallerInput.MAX_PIPELINED)
            await until(lambda: leaver.connection()._input.reading_paused, "reading is paused")
            leaver.leave()
            go.set()
            await until(lambda: len(script.ends()) > 1, "the next has had its turn")
            leaver.sock.close()
            await until(lambda: not balancer.listener.count, "its connection is closed")
            ends = {event.request: event.outcome for event in script.ends()}
            assert ends.pop(1) is Outcome.OK and set(ends.values()) == {Outcome.MOOT}
            assert len(upstream.seen) == 1 and not balancer.dispatcher.has_requests
        upstream.close()

    run(work())


@pytest.mark.parametrize("way", WAYS, ids=lambda way: way.__name__)
def test_a_close_is_noticed_while_reading_is_paused(
    way: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards the decisions' queue: the request whose client has left does not wait there up to its deadline."""

    async def work() -> None:
        monkeypatch.setattr(Listener, "SWEEP_MS", 1.0)
        upstream = await FakeUpstream().start()
        script = Script([1])
        script.more = lambda event: []
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer, way)
            ahead(leaver, 1)
            await until(lambda: balancer.dispatcher.has_requests, "the first has arrived")
            ahead(leaver, CallerInput.MAX_PIPELINED)
            await until(lambda: leaver.connection()._input.reading_paused, "reading is paused")
            leaver.leave()
            async with asyncio.timeout(PATIENCE_S):
                while not isinstance(await script.told.get(), ClientGone):
                    pass
            assert not balancer.dispatcher.has_requests
            leaver.sock.close()
            await until(lambda: not balancer.listener.count, "its connection is closed")
            assert not upstream.seen
        upstream.close()

    run(work())


def test_an_answer_that_was_written_before_a_half_close_is_read_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Whoever closes its sending side while reading is paused gets what was answered by then, and an end, no reset."""

    async def work() -> None:
        monkeypatch.setattr(Listener, "SWEEP_MS", 1.0)
        first = asyncio.Event()

        async def once(request: Incoming, talk: Talk) -> None:
            if first.is_set():
                await silence(request, talk)
            first.set()
            await talk.send(ok(b"whole"))

        upstream = await FakeUpstream(once).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer, half_close)
            for _ in range(2):
                ahead(leaver, 1)
                await upstream.arrived.get()
            ahead(leaver, CallerInput.MAX_PIPELINED)
            await until(lambda: leaver.connection()._input.reading_paused, "reading is paused")
            leaver.sock.sendall(request_bytes())  # lies unread in front of the end
            leaver.leave()
            leaver.sock.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=leaver.sock)
            async with asyncio.timeout(PATIENCE_S):
                assert (await reader.read()).endswith(b"\r\n\r\nwhole")
            writer.close()
            assert len(upstream.seen) == 2
        upstream.close()

    run(work())


@pytest.mark.parametrize("noticed_by", ["the sweep", "the send"])
def test_a_body_that_nobody_takes_hides_no_close(noticed_by: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A body is passed on while it comes: it is held up to a bound for a request that has not been sent, and reading
    is paused past that.
    """

    async def work() -> None:
        sweeps = noticed_by == "the sweep"
        monkeypatch.setattr(Listener, "SWEEP_MS", 1.0 if sweeps else NEVER_MS)
        upstream = await FakeUpstream().start()
        script = Script([1])
        script.more = lambda event: [Send(1, 1, 0.0)] if isinstance(event, TimerFired) else []
        async with running(upstream.entry("a"), script=script) as balancer:
            leaver = Leaver(balancer)
            size = MAX_REPLAYABLE_BODY + 1
            head = request_bytes("move", b"").replace(
                b"Content-Length: 0", b"Content-Length: %d" % (2 * size)
            )
            leaver.sock.sendall(head)
            leaver.sock.setblocking(False)
            loop = asyncio.get_running_loop()
            sending = asyncio.ensure_future(loop.sock_sendall(leaver.sock, b"x" * (2 * size - 1)))
            await until(
                lambda: balancer.dispatcher.has_requests and leaver.connection()._input.reading_paused,
                "reading is paused",
            )
            sending.cancel()
            await asyncio.sleep(0)
            leaver.leave()
            if sweeps:
                async with asyncio.timeout(PATIENCE_S):
                    while not isinstance(await script.told.get(), ClientGone):
                        pass
            else:
                balancer.dispatcher.deliver(TimerFired(1))
                assert (await script.ended()).outcome is Outcome.MOOT
                gone_in_order(script)
            assert not upstream.connections and not balancer.dispatcher.has_requests
        upstream.close()

    run(work())
