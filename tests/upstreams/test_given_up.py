"""A call that is abandoned before the upstream's system has received all of it. The rest must never arrive, not even
if the upstream was only disconnected and is reachable again after the time in which it drops repeats.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from standins.peers import PATIENCE_S, entry
from tests.fakes import Caller, Script, pass_time, request_bytes, running
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run

BODY = b"x" * 12_000  # fits the send buffer of this system, but not the receive buffer of the upstream
RECEIVE_BUFFER_BYTES = 2_048  # of the upstream, whose process does not read
DEADLINE_MS = 8_000.0


def silent_listener() -> socket.socket:
    """An upstream whose process reads nothing, and whose receive buffer is small."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind(("127.0.0.1", 0))
    listening.listen(1)
    listening.setblocking(False)
    return listening


async def read_until_eof(sock: socket.socket) -> int:
    """The number of bytes until a regular end of the connection. Raises ConnectionError if it is reset."""
    loop = asyncio.get_running_loop()
    size = 0
    async with asyncio.timeout(PATIENCE_S):
        while data := await loop.sock_recv(sock, 65_536):
            size += len(data)
    return size


def test_an_abandoned_request_never_reaches_an_upstream_that_was_disconnected() -> None:
    """Guards against a keyed request that runs again long after its retry: after a close, the system continues to send
    bytes that were not delivered.
    """

    async def work() -> None:
        with silent_listener() as listening:
            listed = entry("a", listening.getsockname()[1])
            async with (
                running(listed, script=Script([1])) as balancer,
                Caller(balancer.port) as caller,
            ):
                caller.send(request_bytes("post", BODY))
                loop = asyncio.get_running_loop()
                upstream, _ = await loop.sock_accept(listening)
                with upstream:
                    calls = balancer.dispatcher.upstreams
                    await until(
                        lambda: any(item._call and item._call.written for item in calls._open), "its write"
                    )
                    pass_time(balancer.dispatcher.clock, DEADLINE_MS)
                    assert (
                        await caller.answer()
                    ).status == 502  # the script fails a request that may have run
                    await until(lambda: not calls._open, "the end of its connection")
                    with pytest.raises(ConnectionError):
                        await read_until_eof(upstream)

    run(work())
