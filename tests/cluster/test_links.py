"""A link whose process is paused while it connects."""

from __future__ import annotations

import asyncio
import time

import uvloop

from larkweir.cluster.links import CONNECT_TIMEOUT_MS, Connection, Link
from larkweir.cluster.messages import Hello, Message, NodeRole

NODE = "127.0.0.1"
LOOP_ITERATIONS = 20  # after the pause: by then an attempt that was cancelled has ended


def test_a_link_made_while_its_process_is_paused_is_usable_or_reconnected() -> None:
    """The event loop is blocked from the moment a connection is made until its time-out is over.

    The attempt may be cancelled then, though it has succeeded. Whatever happens to that connection, the link does not
    keep a dead one: `keep_alive` and `send` go on working, and what is sent later arrives.
    """

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        arrived: list[Message] = []
        made: list[Connection] = []

        def block_on_first_connection(connection: Connection) -> None:
            made.append(connection)
            end_s = time.monotonic() + CONNECT_TIMEOUT_MS / 1000.0
            while len(made) == 1 and time.monotonic() < end_s:
                pass

        server = await loop.create_server(
            lambda: Connection(lambda _, message: arrived.append(message), lambda _: None), NODE, 0
        )
        port = server.sockets[0].getsockname()[1]
        link = Link(NODE, port, lambda _, message: None, block_on_first_connection, lambda _: None)
        sent: list[Message] = []
        async with asyncio.timeout(10.0):
            while not set(arrived) & set(sent[LOOP_ITERATIONS:]):
                link.keep_alive()
                if made:
                    sent.append(Hello(NODE, NodeRole.ROUTER, str(len(sent))))
                    link.send(sent[-1])
                await asyncio.sleep(0)
        link.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # as the program itself
        runner.run(scenario())
