"""A discovery of which each byte is the test's: a call is held until the test answers it, and so is the connection."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from larkweir_balancing.interface import ListKind

from larkweir.config.platform import decode
from larkweir.core.ports import Listing
from larkweir.membership.discovery import Discovery
from tests.fakes import PATIENCE_S, SETTINGS, config_data, entry, ok, read_head

WHOLE = "/v1/endpoints"


def listed(generation: int, *rows: dict[str, Any], whole: bool = False, indent: int | None = None) -> bytes:
    """The body of an answer."""
    data = {"generation": generation, "reset": whole, "instances": list(rows)}
    return json.dumps(data, indent=indent).encode()


@dataclass
class HeldCall:
    """A call that has come and waits for its answer."""

    target: str
    connection: int  # the how many-th one of all
    writer: asyncio.StreamWriter
    over: asyncio.Event  # set when the other side has ended the connection

    def answer(self, data: bytes) -> None:
        self.writer.write(data)

    def tell(self, generation: int, *rows: dict[str, Any], whole: bool = False) -> None:
        self.answer(ok(listed(generation, *rows, whole=whole)))

    def end(self) -> None:
        """End the connection in good order, once all is written."""
        self.writer.close()

    def reset(self) -> None:
        """By a reset; a close alone ends the connection in good order."""
        linger = struct.pack("ii", 1, 0)
        self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    async def given_up(self) -> None:
        """Until the other side has ended the connection."""
        async with asyncio.timeout(PATIENCE_S):
            await self.over.wait()


class ScriptedDiscovery:
    """Takes calls, and answers none by itself."""

    def __init__(self) -> None:
        self._calls: asyncio.Queue[HeldCall] = asyncio.Queue()
        self._writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> ScriptedDiscovery:
        self._server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def takes(self, part: str = WHOLE) -> HeldCall:
        """The next call, which must be of this target or a watch of it."""
        async with asyncio.timeout(PATIENCE_S):
            call = await self._calls.get()
        assert call.target.startswith(part) and (part != WHOLE or call.target == WHOLE), call.target
        return call

    @property
    def none_out(self) -> bool:
        return self._calls.empty()

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        number, over = len(self._writers), asyncio.Event()
        while (head := await read_head(reader)) is not None:
            self._calls.put_nowait(HeldCall(head[0].split()[1], number, writer, over))
        over.set()


@dataclass
class Heard:
    """What a balancer's discovery has told, and its log."""

    discovery: Discovery
    agent: ScriptedDiscovery
    told: asyncio.Queue[Listing] = field(default_factory=asyncio.Queue)
    log: list[str] = field(default_factory=list)

    async def hears(self, kind: ListKind) -> Listing:
        """What is told next, which must be of this kind."""
        async with asyncio.timeout(PATIENCE_S):
            listing = await self.told.get()
        assert listing.kind is kind, listing
        return listing

    def ready(self) -> list[str]:
        """The names of those that are held as active."""
        rows = self.discovery.upstream_list.snapshot()["instances"]
        return sorted(row["instanceId"] for row in rows if row["lifecycle"] == "active")


@asynccontextmanager
async def watching(
    asked: bool = False, known: dict[str, Any] | None = None, port: int | None = None
) -> AsyncIterator[Heard]:
    """A balancer's discovery beside a scripted one; upstreams a and b are known at generation 5."""
    agent = await ScriptedDiscovery().start()
    if known is None:
        known = json.loads(listed(5, entry("a", 7001), entry("b", 7002), whole=True))
    settings = SETTINGS | {"Discovery": "on_request" if asked else "pushed"}
    data = config_data([], port or agent.port, known=known, settings=settings)
    log: list[str] = []
    told: asyncio.Queue[Listing] = asyncio.Queue()
    discovery = Discovery(decode(json.dumps(data), {}), told.put_nowait, log.append)
    heard = Heard(discovery, agent, told, log)
    discovery.start()
    await heard.hears(ListKind.CACHED)
    try:
        yield heard
    finally:
        discovery.stop()
        agent.stop()
        await asyncio.sleep(0)
