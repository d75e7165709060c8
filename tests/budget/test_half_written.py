"""A request whose time ends while it is still being written to an upstream."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from tests.budget.test_ring import enable_budgets
from tests.fakes import PATIENCE_S, Answer, Caller, Script, entry, pass_time, running
from tests.upstreams.test_attempts import _CallWithWrite


def small_buffers(pool: Any) -> None:
    """Shrink the socket's send buffer before the first write, so that the last bytes of a body stay in the balancer."""
    connect = pool._connect

    async def connect_with_small_buffer(call: Any) -> None:
        write = call.write

        def write_with_small_buffer(connection: Any, now_ms: float) -> bool:
            descriptor = connection._transport.get_extra_info("socket").fileno()
            with socket.socket(fileno=socket.dup(descriptor)) as raw:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            return bool(write(connection, now_ms))

        await connect(_CallWithWrite(call, write_with_small_buffer))

    pool._connect = connect_with_small_buffer


async def ask(body: bytes, reads: bool) -> tuple[Answer, bytes]:
    """Send a `traspaso` with 8 s and a budget of 3 to an upstream that never answers. With `reads` the upstream reads
    the whole request, else only its first bytes. Then the clock is advanced by the 8 s. Returns the answer and the
    bytes that reached the upstream.
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
            enable_budgets(node, "one", [])
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
    """Until its last byte is written the request has not run: the tier above is told so and may retry elsewhere. After
    that it may have run: a failure without `X-Never-Ran`, and the attempt is spent.
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
        # Only a refusal carries `X-Never-Ran`; a failure may not.
        assert ("x-never-ran" in answer.headers) is (answer.status != 502)
