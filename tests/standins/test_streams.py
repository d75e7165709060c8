"""Connections through a door: what each fault does to one, and that nothing is lost or out of order."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from standins.peers import PATIENCE_S
from standins.plans import Fault, Kind
from standins.streams import Streams

Ends = tuple[asyncio.StreamReader, asyncio.StreamWriter]


def fault(kind: Kind, ms: float = 0.0) -> Fault:
    return Fault(kind, 0.0, 0.0, ("u0",), ms=ms)


@asynccontextmanager
async def doors() -> AsyncIterator[tuple[Streams, tuple[str, int]]]:
    """A server that says back what it hears, behind a door."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(999):
                writer.write(data)
        except OSError:
            pass  # reset, as it was meant to be
        finally:
            writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    streams = Streams()
    try:
        async with asyncio.timeout(PATIENCE_S):
            yield streams, await streams.join("u0", server.sockets[0].getsockname())
    finally:
        await streams.stop()
        server.close()


async def said(ends: Ends, data: bytes) -> bytes:
    ends[1].write(data)
    return await ends[0].readexactly(len(data))


def test_a_cut_holds_what_is_sent_and_gives_it_whole_and_in_order_when_it_is_over() -> None:
    async def work() -> None:
        async with doors() as (streams, address):
            ends = await asyncio.open_connection(*address)
            assert await said(ends, b"before") == b"before"
            cut = fault(Kind.CUT)
            streams.begin(cut)
            waits = asyncio.ensure_future(said(ends, b"0123456789" * 30_000))
            new = asyncio.ensure_future(said(await asyncio.open_connection(*address), b"new"))
            done, _ = await asyncio.wait({waits, new}, timeout=0.2)
            assert not done
            streams.end(cut)
            assert await waits == b"0123456789" * 30_000 and await new == b"new"

    asyncio.run(work())


def test_a_delay_makes_each_way_late_and_ends() -> None:
    async def work() -> None:
        async with doors() as (streams, address):
            ends = await asyncio.open_connection(*address)
            late = fault(Kind.DELAY, 60.0)
            streams.begin(late)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            assert await said(ends, b"late") == b"late"
            assert loop.time() - began_s >= 0.12  # there and back
            streams.end(late)
            assert await said(ends, b"again") == b"again"

    asyncio.run(work())


def test_a_reset_ends_what_is_there_and_what_comes_until_it_is_over() -> None:
    async def work() -> None:
        async with doors() as (streams, address):
            ends = await asyncio.open_connection(*address)
            assert await said(ends, b"x") == b"x"
            reset = fault(Kind.RESET)
            streams.begin(reset)
            with pytest.raises(ConnectionResetError):
                await ends[0].readexactly(1)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await said(await asyncio.open_connection(*address), b"x")
            streams.end(reset)
            assert await said(await asyncio.open_connection(*address), b"y") == b"y"

    asyncio.run(work())


def test_an_end_is_told_to_the_other_side() -> None:
    async def work() -> None:
        async with doors() as (streams, address):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"all")
            writer.write_eof()
            assert await reader.read() == b"all"

    asyncio.run(work())
