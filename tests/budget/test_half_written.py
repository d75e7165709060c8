"""A budget that ends while a request is on its way out, byte by byte."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from tests.budget.test_ring import switch_on
from tests.fakes import PATIENCE_S, Answer, Caller, Script, entry, pass_time, running
from tests.upstreams.test_attempts import _CallWithWrite


def small_buffers(pool: Any) -> None:
    """Cut the system's send buffer before anything is written: the last bytes of a body stay with the balancer."""
    connect = pool._connect

    async def cut(call: Any) -> None:
        write = call.write

        def small(connection: Any, now_ms: float) -> bool:
            descriptor = connection._transport.get_extra_info("socket").fileno()
            with socket.socket(fileno=socket.dup(descriptor)) as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            return bool(write(connection, now_ms))

        await connect(_CallWithWrite(call, small))

    pool._connect = cut


async def ask(body: bytes, reads: bool) -> tuple[Answer, bytes]:
    """A `traspaso` with 8 s and a budget of 3, to an upstream that reads it, or stops after its first bytes, and
    never answers; the answer, and what reached the upstream. The 8 s are over as soon as it has read so far.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    listener.bind(("127.0.0.1", 0))
    listener.listen(4)
    listener.setblocking(False)
    loop = asyncio.get_running_loop()
    got = bytearray()
    read = asyncio.Event()

    async def upstream() -> None:
        connection, _ = await loop.sock_accept(listener)
        with connection:
            got.extend(await loop.sock_recv(connection, 100))
            while reads and not got.endswith(b"\r\n\r\n" + body):
                got.extend(await loop.sock_recv(connection, 65536))
            read.set()
            await asyncio.sleep(PATIENCE_S)

    serving = asyncio.ensure_future(upstream())
    try:
        async with running(entry("a", listener.getsockname()[1]), script=Script([1])) as node:
            switch_on(node, "one", [])
            small_buffers(node.dispatcher.upstreams)
            async with Caller(node.port) as caller:
                caller.ask("move", body, **{"X-Expires-In-Ms": "8000", "X-Budget": "3"})
                await read.wait()
                pass_time(node.dispatcher.clock, 8_000.0)
                answer = await caller.answer()
    finally:
        serving.cancel()
        listener.close()
    return answer, bytes(got)


@pytest.mark.parametrize("reads", [False, True])
def test_a_traspaso_whose_budget_expires_with_the_last_byte_half_written(reads: bool) -> None:
    """Before its last byte is written nothing has run: the tier above is told so and may try elsewhere. Once it is,
    it may have: a failure, with no such word, and the attempt is spent.
    """
    answer, got = asyncio.run(asyncio.wait_for(ask(b"x" * 60_000, reads), PATIENCE_S))
    assert got.startswith(b"POST")
    if reads:
        assert got.endswith(b"x" * 100)
        assert answer.status in (502, 504)
        assert "x-never-ran" not in answer.headers
        assert answer.headers["x-budget-spent"] == "1"
    else:
        assert len(got) == 100
        assert answer.status in (502, 503, 504)
        assert answer.headers["x-budget-spent"] == "0"
        # Only a refusal carries the word; a failure may not claim it.
        assert ("x-never-ran" in answer.headers) is (answer.status != 502)
