"""Long bodies over loopback: passed on while they come, both ways, and what breaks on the way."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import struct
from typing import Any, cast

import pytest

from larkweir.protocols.http1.caller_input import CallerInput
from standins.peers import PATIENCE_S, read_head
from tests.fakes import Caller, FakeUpstream, Incoming, Talk, ok, pass_time, request_bytes, running
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run

MEGA = 1024 * 1024
LONG = bytes(range(256)) * (3 * MEGA // 256)


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if not size:
            while (await reader.readline()).strip():
                pass
            return b"".join(parts)
        parts.append(await reader.readexactly(size))
        await reader.readline()


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding") == "chunked":
        return await read_chunked(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class LongUpstream(FakeUpstream):
    """Reads bodies in either framing."""

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        talk = Talk(reader, writer)
        self.talks.append(talk)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split()
                self.heads.put_nowait(head[1])
                request = Incoming(method, target, head[1], await read_body(reader, head[1]))
                self.note(request)
                await self.behave(request, talk)
        except (ConnectionError, asyncio.IncompleteReadError):
            self.cut += 1
        finally:
            writer.close()

    async def start(self) -> FakeUpstream:
        self.heads: asyncio.Queue[dict[str, str]] = asyncio.Queue()
        self.cut = 0
        return await super().start()


async def read_long(caller: Caller) -> tuple[int, dict[str, str], bytes]:
    async with asyncio.timeout(PATIENCE_S):
        head = await read_head(caller.reader)
        assert head is not None
        return int(head[0].split()[1]), head[1], await read_body(caller.reader, head[1])


def chunked(body: bytes, size: int = 30_000, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    rows = [b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts]
    return b"".join(rows) + b"0\r\n" + trailer + b"\r\n"


def as_chunked(raw: bytes, **how: Any) -> bytes:
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join([*lines, b"Transfer-Encoding: chunked", b"", b""]) + chunked(body, **how)


@pytest.mark.parametrize("framing", ["length", "spaced length", "chunks", "odd chunks"])
@pytest.mark.parametrize("pace", [None, 4096, 100_000])
def test_a_long_request_reaches_its_upstream_byte_for_byte(framing: str, pace: int | None) -> None:
    async def work() -> None:
        upstream = await LongUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            for body in (LONG, LONG[: MEGA // 3], b"x" * (512 * 1024 + 1), b"small", LONG):
                raw = request_bytes("move", body)
                if framing == "spaced length":  # RFC 9110 section 5.5
                    raw = raw.replace(b"\r\n\r\n", b" \r\n\r\n", 1)
                elif framing == "chunks":
                    raw = as_chunked(raw)
                elif framing == "odd chunks":
                    raw = as_chunked(raw, size=777, extension=b";a=b", trailer=b"X-T: 1\r\n")
                for at in range(0, len(raw), pace or len(raw)):
                    caller.send(raw[at : at + (pace or len(raw))])
                    await asyncio.sleep(0)
                assert (await caller.answer()).status == 200
                got = upstream.seen[-1]
                assert hashlib.sha256(got.body).digest() == hashlib.sha256(body).digest()
            assert len(upstream.seen) == 5

    run(work())


def long_answer(body: bytes, framing: str) -> bytes:
    if framing == "length":
        return ok(body)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, extension=b";q=1")


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("pace", [None, 5_000, 200_000])
def test_a_long_answer_goes_on_byte_for_byte_and_the_connections_serve_on(
    framing: str, pace: int | None
) -> None:
    bodies = [LONG, LONG[: MEGA // 5], b"short", LONG + LONG]

    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            raw = long_answer(bodies[len(upstream.seen) - 1], framing)
            for at in range(0, len(raw), pace or len(raw)):
                await talk.send(raw[at : at + (pace or len(raw))])

        upstream = await FakeUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            for body in bodies:
                caller.ask()
                code, _, got = await read_long(caller)
                assert code == 200 and hashlib.sha256(got).digest() == hashlib.sha256(body).digest()
                await asyncio.sleep(0.03)  # a connection rests after an answer
            assert upstream.connections == 1

    run(work())


def test_the_first_bytes_of_a_long_answer_do_not_wait_for_the_last() -> None:
    async def work() -> None:
        go = asyncio.Event()

        async def slowly(request: Incoming, talk: Talk) -> None:
            await talk.send(b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + b"x" * 1000)
            await go.wait()
            await talk.send(b"x" * 299_000)

        upstream = await FakeUpstream(slowly).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            async with asyncio.timeout(PATIENCE_S):
                head = await read_head(caller.reader)
                assert head is not None and head[1]["content-length"] == "300000"
                assert await caller.reader.readexactly(1000) == b"x" * 1000
                go.set()
                await caller.reader.readexactly(299_000)

    run(work())


def test_an_answer_of_no_stated_length_that_comes_slowly_is_not_held_back() -> None:
    async def work() -> None:
        go = asyncio.Event()

        async def slowly(request: Incoming, talk: Talk) -> None:
            await talk.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
            await go.wait()
            await talk.send(b"4\r\nlast\r\n0\r\n\r\n")

        upstream = await FakeUpstream(slowly).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            async with asyncio.timeout(PATIENCE_S):
                assert await read_head(caller.reader) is not None
                assert await caller.reader.readexactly(10) == b"5\r\nfirst\r\n"
            go.set()
            async with asyncio.timeout(PATIENCE_S):
                assert await caller.reader.readexactly(14) == b"4\r\nlast\r\n0\r\n\r\n"

    run(work())


@pytest.mark.parametrize("how", ["reset", "end", "bad chunk"])
def test_an_answer_that_breaks_on_the_way_is_cut_so_that_the_caller_can_tell(how: str) -> None:
    async def work() -> None:
        async def breaks(request: Incoming, talk: Talk) -> None:
            if how == "bad chunk":
                await talk.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                await talk.send(chunked(LONG)[:-5] + b"zz\r\n")
            else:
                await talk.send(ok(LONG)[:-10])
            await asyncio.sleep(0.05)
            if how == "reset":
                talk.reset()
            else:
                talk.writer.close()

        upstream = await FakeUpstream(breaks).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                await read_long(caller)
            assert len(upstream.seen) == 1  # its first bytes were gone: no second attempt
            async with Caller(balancer.port) as other:
                other.ask(target="/ready")
                assert (await other.answer()).status == 200

    run(work())


def test_a_caller_that_breaks_off_in_its_body_lets_nothing_run() -> None:
    async def work() -> None:
        upstream = await LongUpstream().start()
        async with running(upstream.entry("a")) as balancer:
            async with Caller(balancer.port) as caller:
                raw = request_bytes("move", LONG)
                caller.send(raw[: 2 * MEGA])
                async with asyncio.timeout(PATIENCE_S):
                    await upstream.heads.get()  # it is on its way already
                caller.writer.transport.abort()
            async with asyncio.timeout(PATIENCE_S):
                while not upstream.cut:
                    await asyncio.sleep(0.01)
            assert upstream.seen == []

    run(work())


def test_an_old_caller_has_an_answer_without_a_length_until_the_connection_ends() -> None:
    """RFC 9112 section 6.3: it knows no chunks."""

    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            await talk.send(long_answer(LONG, "chunks"))

        upstream = await FakeUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.send(request_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
            async with asyncio.timeout(PATIENCE_S):
                head = await read_head(caller.reader)
                assert head is not None and "transfer-encoding" not in head[1]
                assert await caller.reader.read() == LONG

    run(work())


def test_leave_to_send_a_long_body_is_given() -> None:
    """RFC 9110 section 10.1.1."""

    async def work() -> None:
        upstream = await LongUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            for body in (LONG, b"x" * 100):
                raw = request_bytes("move", body, Expect="100-continue")
                at = raw.index(b"\r\n\r\n") + 4
                caller.send(raw[:at])
                async with asyncio.timeout(PATIENCE_S):
                    head = await read_head(caller.reader)
                assert head is not None and head[0].split()[1] == "100"
                caller.send(raw[at:])
                assert (await caller.answer()).status == 200
            assert [len(item.body) for item in upstream.seen] == [len(LONG), 100]

    run(work())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_memory_is_bounded_where_the_upstream_takes_nothing(framing: str) -> None:
    async def work() -> None:
        go = asyncio.Event()

        class Deaf(LongUpstream):
            async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await go.wait()
                await super()._talk(reader, writer)

        upstream = await Deaf().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            raw = request_bytes("move", b"x" * (24 * MEGA))
            caller.send(raw if framing == "length" else as_chunked(raw))
            sent = -1
            while sent != (sent := caller.writer.transport.get_write_buffer_size()):
                await asyncio.sleep(0.3)
            assert sent > 4 * MEGA  # the caller is held back
            assert balancer.dispatcher.memory.used_bytes < 4 * MEGA
            links = balancer.dispatcher.upstreams._open
            assert [link._transport.get_write_buffer_size() < 2 * MEGA for link in links] == [True]
            go.set()
            assert (await caller.answer()).status == 200
            assert len(upstream.seen[0].body) == 24 * MEGA

    run(work())


@pytest.mark.parametrize("size", [0, 100, 3 * MEGA])
@pytest.mark.parametrize("how", ["end", "reset"])
def test_an_answer_that_ends_with_its_connection_is_whole_where_it_says_so(size: int, how: str) -> None:
    """RFC 9112 section 6.3, rule 8; a reset is no such end."""

    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            await talk.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG[:size])
            if how == "end":
                talk.writer.close()
            else:
                await asyncio.sleep(0.05)
                sock = talk.writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                talk.reset()

        upstream = await FakeUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask("move", b"x")
            if how == "end":
                code, _, body = await read_long(caller)
                assert code == 200 and body == LONG[:size]
            elif size <= 100:
                assert (await caller.answer()).status == 502
            else:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                    await read_long(caller)

    run(work())


@pytest.mark.parametrize("size", [100, 3 * MEGA])
@pytest.mark.parametrize(
    ("body_end", "encoding", "is_cut_off"),
    [
        (b"\n", b"", True),
        (b"\n\n", b"", False),
        (b"\n", b"Content-Encoding: identity\r\n", True),
        (b"\n", b"Content-Encoding: gzip\r\n", False),  # compressed bytes are no events
    ],
)
def test_an_event_stream_that_ends_inside_an_event_is_not_whole(
    size: int, body_end: bytes, encoding: bytes, is_cut_off: bool
) -> None:
    # Guards against taking the end of a crashed upstream's connection for the end of its stream (review/4).
    body = b"data: " + LONG[:size].hex().encode() + body_end
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n" + encoding + b"\r\n"

    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            await talk.send(head + body)
            talk.writer.close()

        upstream = await FakeUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask("move", b"x")
            if not is_cut_off:
                code, _, received = await read_long(caller)
                assert code == 200 and received == body
            elif size <= 100:
                assert (await caller.answer()).status == 502
            else:
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                    await read_long(caller)

    run(work())


@pytest.mark.parametrize(
    ("target", "path"),
    [
        ("http://other:80/api", "/api"),
        ("HTTP://other/api?a=b/c", "/api?a=b/c"),
        ("/api?u=http://x/", "/api?u=http://x/"),
    ],
)
def test_absolute_form_is_served_as_its_path(target: str, path: str) -> None:
    """RFC 9112 section 3.2.2: the authority of the target goes before the Host field."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask(target=target)
            assert (await caller.answer()).status == 200
            seen = upstream.seen[0]
            assert seen.target == path
            assert seen.headers["host"] == (
                "api.internal" if target.startswith("/") else target.split("/")[2]
            )

    run(work())


@pytest.mark.parametrize("bodies", [(LONG, b"a", LONG, b""), (b"a" * 600_000, b"b" * 70_000)])
def test_requests_sent_ahead_behind_long_bodies_have_their_answers_in_order(
    bodies: tuple[bytes, ...],
) -> None:
    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"%d %s" % (len(request.body), request.headers["x-trace-id"].encode())))

        upstream = await LongUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            raws = [request_bytes("move", body, X_Trace_Id=f"ahead{n}") for n, body in enumerate(bodies)]
            caller.send(b"".join(as_chunked(raw) if n % 2 else raw for n, raw in enumerate(raws)))
            for n, body in enumerate(bodies):
                assert (await caller.answer()).body == b"%d ahead%d" % (len(body), n)

    run(work())


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_one_byte_at_a_time(framing: str) -> None:
    """Every boundary that a piece can have, in both directions."""

    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            for byte in long_answer(b"bit by bit", framing):
                await talk.send(bytes((byte,)))

        upstream = await LongUpstream(answer).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            raw = request_bytes("move", b"one two three")
            for byte in as_chunked(raw, size=5, extension=b';x="y"') if framing == "chunks" else raw:
                caller.send(bytes((byte,)))
                await asyncio.sleep(0)
            assert await caller.answer() and upstream.seen[0].body == b"one two three"

    run(work())


@pytest.mark.parametrize("size", [MEGA, 100_000])
def test_a_body_that_stops_coming_is_answered_408_and_runs_nowhere(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        upstream = await LongUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            monkeypatch.setattr(CallerInput, "RECEIVE_TIMEOUT_MS", 300.0)
            caller.send(request_bytes("move", LONG[:size])[:-1])
            assert (await caller.answer()).status == 408
            assert await caller.ended() == b""
            assert upstream.seen == []

    run(work())


def test_a_body_that_comes_slowly_is_served_and_one_that_only_drips_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What counts is progress: its time in all is longer than any pause may be. The time passes by the clock alone."""
    monkeypatch.setattr(CallerInput, "RECEIVE_TIMEOUT_MS", 60_000.0)
    monkeypatch.setattr(CallerInput, "MIN_BODY_BYTES_PER_MS", 0.016)
    pause_ms = 20_000.0
    piece, pieces = 12_000, 5

    async def work() -> None:
        upstream = await LongUpstream().start()
        async with (
            running(upstream.entry("a")) as balancer,
            Caller(balancer.port) as slow,
            Caller(balancer.port) as drips,
        ):

            def open_connections() -> list[Any]:
                return [item for item in cast(Any, balancer.listener)._connections if not item.ending]

            def received() -> list[int]:
                return sorted(item._input.parser.body_size for item in open_connections())

            raw = request_bytes("move", LONG[: piece * pieces])
            head = raw.index(b"\r\n\r\n") + 4
            slow.send(raw[:head])
            drips.send(request_bytes("move", LONG[: piece * pieces])[:head])
            for n in range(pieces - 1):
                start = head + n * piece
                slow.send(raw[start : start + piece])
                if n < 3:  # its time in all is not over
                    drips.send(b"x")
                    await until(lambda: received() == [n + 1, (n + 1) * piece], "both pieces")  # noqa: B023
                else:
                    await until(lambda: max(received()) == (n + 1) * piece, "the piece")  # noqa: B023
                pass_time(balancer.dispatcher.clock, pause_ms)
            assert len(open_connections()) == 1  # no pause was too long, and yet one has come to its end
            slow.send(raw[head + (pieces - 1) * piece :])
            assert (await slow.answer()).status == 200
            assert (await drips.answer()).status == 408
            assert len(upstream.seen) == 1
        upstream.close()

    run(work())


def test_a_caller_far_over_the_limit_reads_its_413_while_it_still_sends() -> None:
    async def work() -> None:
        upstream = await LongUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            size = 60_000_000
            caller.send(request_bytes("move").replace(b"Content-Length: 0", b"Content-Length: %d" % size))
            for _ in range(size // 1_000_000):
                caller.send(bytes(1_000_000))
                await caller.writer.drain()
            assert (await caller.answer()).status == 413
            assert upstream.seen == []

    run(work())


def test_an_early_answer_to_a_body_that_still_comes_is_the_answer() -> None:
    """An upstream turns it away before the last byte: it has not run, and there is no body for another attempt."""

    async def work() -> None:
        class Full(LongUpstream):
            async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await read_head(reader)
                writer.write(b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
                await reader.read()
                writer.close()

        upstreams = [await Full().start() for _ in range(3)]
        entries = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        async with running(*entries) as balancer, Caller(balancer.port) as caller:
            raw = request_bytes("move", LONG)
            caller.send(raw[:MEGA])
            assert (await caller.answer()).status in (502, 503)
            caller.send(raw[MEGA:])
            assert await caller.ended() == b""

    run(work())
