"""A router names its encodings when it is asked, puts a compressed configuration in force, and leaves a damaged one."""

from __future__ import annotations

import asyncio
import os

import msgspec
import uvloop

from larkweir.cluster.configuration.compression import DEFLATE, compress
from larkweir.cluster.messages import CompressedConfigUpdate, ConfigUpdate, Delta, Message, Pull
from larkweir.router.fleet_sync import PullExtras
from tests.cluster.configurations import VALID
from tests.router.scripted_controller import running_router

SCENE_S = 20.0


class Controller:
    """A controller whose messages the test writes."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.connections.put((reader, writer))


async def next_pull(reader: asyncio.StreamReader) -> Pull | None:
    """The next pull on a connection; None where it ends first."""
    while line := await reader.readline():
        message: Message = msgspec.json.decode(line, type=Message)
        if isinstance(message, Pull):
            return message
    return None


def send(writer: asyncio.StreamWriter, delta: Delta) -> None:
    writer.write(msgspec.json.encode(delta) + b"\n")


async def scene() -> None:
    subnet = f"127.79.{os.getpid() % 199 + 1}"
    controller = Controller()
    server = await asyncio.start_server(controller.serve, f"{subnet}.1", 0)
    port = server.sockets[0].getsockname()[1]
    update = compress(ConfigUpdate(4, -1, msgspec.Raw(msgspec.json.encode(VALID))))
    try:
        async with running_router(subnet, port), asyncio.timeout(SCENE_S):
            reader, writer = await controller.connections.get()
            first = await next_pull(reader)
            assert first is not None
            assert first.encodings == []
            send(writer, Delta(wants_encodings=True))
            named = await next_pull(reader)
            assert named is not None
            assert (named.config_sequence, named.encodings) == (-1, [DEFLATE])
            send(writer, Delta(compressed_config=update))
            configured = await next_pull(reader)
            assert configured is not None
            assert (configured.config_sequence, configured.encodings) == (4, [])
            send(writer, Delta(compressed_config=CompressedConfigUpdate(5, -1, update.body[:-1])))
            assert await next_pull(reader) is None
            reader, writer = await controller.connections.get()
            again = await next_pull(reader)
            assert again is not None
            assert again.config_sequence == 4
    finally:
        server.close()


def test_a_router_reads_compressed_configurations() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scene())


def test_a_pull_has_what_the_last_delta_wants() -> None:
    both = PullExtras.RECORDS | PullExtras.ENCODINGS
    assert PullExtras.wanted_by(Delta()) is PullExtras.NONE
    assert PullExtras.wanted_by(Delta(wants_records=True)) is PullExtras.RECORDS
    assert PullExtras.wanted_by(Delta(wants_encodings=True)) is PullExtras.ENCODINGS
    assert PullExtras.wanted_by(Delta(wants_records=True, wants_encodings=True)) is both
