"""A call that is given up while its upstream's system does not have all of it: the rest must never get there, also
where the upstream was only cut off and comes back after the time for which it drops repeats.
"""

from __future__ import annotations

import asyncio
import socket

import pytest

from standins.peers import PATIENCE_S, entry
from tests.fakes import Caller, Script, pass_time, request_bytes, running
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run

BODY = b"x" * 12_000  # taken whole by this system, and more than the upstream's takes
RECEIVE_BUFFER_BYTES = 2_048  # bytes that the upstream's system takes for a process that does not read
DEADLINE_MS = 8_000.0


def silent_listener() -> socket.socket:
    """An upstream whose process reads nothing, and whose system takes little for it."""
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening.bind(("127.0.0.1", 0))
    listening.listen(1)
    listening.setblocking(False)
    return listening


async def read_until_eof(sock: socket.socket) -> int:
    """Bytes that come before a good end; ConnectionError where it is reset."""
    loop = asyncio.get_running_loop()
    size = 0
    async with asyncio.timeout(PATIENCE_S):
        while data := await loop.sock_recv(sock, 65_536):
            size += len(data)
    return size


def test_an_abandoned_request_never_reaches_an_upstream_that_was_disconnected() -> None:
    """Guards against a keyed request that runs again, long after its repeat: the system goes on sending what a closed
    connection has not delivered.
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
                    assert (await caller.answer()).status == 502  # the script fails what may have run
                    await until(lambda: not calls._open, "the end of its connection")
                    with pytest.raises(ConnectionError):
                        await read_until_eof(upstream)

    run(work())
