"""A link whose process is paused while the connection is established."""

from __future__ import annotations

import asyncio
import time

import uvloop

from larkweir.cluster.links import CONNECT_TIMEOUT_MS, Connection, Link
from larkweir.cluster.messages import Hello, Message, NodeRole

NODE = "127.0.0.1"
LOOP_ITERATIONS = 20  # after the pause; a cancelled attempt has ended by then


def test_a_link_made_while_its_process_is_paused_is_usable_or_reconnected() -> None:
    """The event loop is blocked from the establishment of a connection until its timeout has passed.

    The attempt may then be cancelled although it has succeeded. In any case the link must not keep a dead connection:
    `keep_alive` and `send` must keep working, and messages sent later must arrive.
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

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # as in the program itself
        runner.run(scenario())
