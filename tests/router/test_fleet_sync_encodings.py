"""Tests that a router names its encodings on request, applies compressed configurations and rejects damaged ones."""

from __future__ import annotations

import asyncio
import os

import msgspec
import pytest
import uvloop
from larkweir_registry.records import Record, Upstream

from larkweir.cluster.configuration.compression import DEFLATE, compress
from larkweir.cluster.http_server import Request
from larkweir.cluster.messages import CompressedConfigUpdate, ConfigUpdate, Delta, Message, Pull
from larkweir.router import fleet_sync
from larkweir.router.fleet_sync import PullExtras
from larkweir.router.node import Router
from tests.cluster.configurations import VALID
from tests.router.scripted_controller import running_router

TEST_TIMEOUT_S = 20.0


class Controller:
    """A controller whose messages are written by the test."""

    def __init__(self) -> None:
        self.connections: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.connections.put((reader, writer))


async def next_pull(reader: asyncio.StreamReader) -> Pull | None:
    """Return the next pull on a connection; None if the connection ends first."""
    while line := await reader.readline():
        message: Message = msgspec.json.decode(line, type=Message)
        if isinstance(message, Pull):
            return message
    return None


def send(writer: asyncio.StreamWriter, delta: Delta) -> None:
    writer.write(msgspec.json.encode(delta) + b"\n")


async def run_compressed_updates() -> None:
    subnet = f"127.79.{os.getpid() % 199 + 1}"
    controller = Controller()
    server = await asyncio.start_server(controller.serve, f"{subnet}.1", 0)
    port = server.sockets[0].getsockname()[1]
    update = compress(ConfigUpdate(4, -1, msgspec.Raw(msgspec.json.encode(VALID))))
    try:
        async with running_router(subnet, port), asyncio.timeout(TEST_TIMEOUT_S):
            reader, writer = await controller.connections.get()
            first = await next_pull(reader)
            assert first is not None
            assert first.encodings == []
            send(writer, Delta(wants_encodings=True))
            with_encodings = await next_pull(reader)
            assert with_encodings is not None
            assert (with_encodings.config_sequence, with_encodings.encodings) == (-1, [DEFLATE])
            send(writer, Delta(compressed_config=update))
            configured = await next_pull(reader)
            assert configured is not None
            assert (configured.config_sequence, configured.encodings) == (4, [])
            send(writer, Delta(compressed_config=CompressedConfigUpdate(5, -1, update.body[:-1])))
            assert await next_pull(reader) is None
            reader, writer = await controller.connections.get()
            after_reconnect = await next_pull(reader)
            assert after_reconnect is not None
            assert after_reconnect.config_sequence == 4
    finally:
        server.close()


async def readiness(router: Router) -> int:
    return (await router._answer_ready(Request("GET", "/ready", {}, b""))).status


async def run_stale_controller() -> None:
    """One of three controllers is partitioned from the others and has an older configuration than theirs."""
    subnet = f"127.79.{os.getpid() % 199 + 1}"
    controllers = [Controller() for _ in range(3)]
    first_server = await asyncio.start_server(controllers[0].serve, f"{subnet}.1", 0)
    port = first_server.sockets[0].getsockname()[1]
    servers = [first_server]
    for number, controller in enumerate(controllers[1:], start=3):
        servers.append(await asyncio.start_server(controller.serve, f"{subnet}.{number}", port))
    upstream = Upstream("u", "chat", f"{subnet}.9:80", "z")
    listed = [f"{subnet}.{number}" for number in (1, 3, 4)]
    upstreams_delta = Delta(records=[Record(upstream, "c/1", 1)], vector={"c/1": 1}, controllers=listed)
    older = Delta(config=ConfigUpdate(3, -1, msgspec.Raw(msgspec.json.encode(VALID))))
    newer = compress(ConfigUpdate(4, -1, msgspec.Raw(msgspec.json.encode(VALID))))
    try:
        async with running_router(subnet, port) as router, asyncio.timeout(TEST_TIMEOUT_S):
            links = []
            stale = await controllers[0].connections.get()
            assert await next_pull(stale[0]) is not None
            send(stale[1], upstreams_delta)
            assert await next_pull(stale[0]) is not None
            for controller in controllers[1:]:
                reader, writer = await controller.connections.get()
                assert await next_pull(reader) is not None
                send(writer, Delta(wants_encodings=True))
                assert await next_pull(reader) is not None
                links.append((reader, writer))
            send(stale[1], older)
            configured = await next_pull(stale[0])
            assert configured is not None
            assert configured.config_sequence == 3
            assert await readiness(router) == 503, "the majority has not sent its configuration"
            send(links[0][1], Delta(compressed_config=newer))
            assert await next_pull(links[0][0]) is not None
            assert await readiness(router) == 200
    finally:
        for server in servers:
            server.close()


def test_a_controller_that_only_asked_for_encodings_does_not_count_as_responded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleet_sync, "INITIAL_SYNC_TIMEOUT_MS", 1_000.0 * TEST_TIMEOUT_S)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_stale_controller())


def test_a_router_reads_compressed_configurations() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_compressed_updates())


def test_a_pull_has_what_the_last_delta_wants() -> None:
    both = PullExtras.RECORDS | PullExtras.ENCODINGS
    assert PullExtras.wanted_by(Delta()) is PullExtras.NONE
    assert PullExtras.wanted_by(Delta(wants_records=True)) is PullExtras.RECORDS
    assert PullExtras.wanted_by(Delta(wants_encodings=True)) is PullExtras.ENCODINGS
    assert PullExtras.wanted_by(Delta(wants_records=True, wants_encodings=True)) is both
