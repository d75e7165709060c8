"""A router connected to a scripted controller, which compares the lines that the router writes with expected lines."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import Any

import msgspec

from larkweir.cluster.settings import parse
from larkweir.router.node import Router

PING = '{"type":"ping"}'
LINES_TIMEOUT_S = 20.0


class ScriptedController:
    """Compares the lines of a router with expected ones, and sends the lines that a test passes to it."""

    def __init__(self, expected: Sequence[str], placeholders: Mapping[str, str]) -> None:
        """Create a controller.

        Args:
            expected: the lines that the router should write, except pings.
            placeholders: by pattern of a varying part of a line, the text that replaces it before the comparison.
        """
        self._expected, self._placeholders = expected, placeholders
        self._lines: list[str] = []
        self._received = asyncio.Event()
        self._writer: asyncio.StreamWriter | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the lines of a connection until it ends."""
        self._writer = writer
        while line := (await reader.readline()).decode():
            assert line.endswith("\n")
            if line[:-1] != PING:
                for pattern, placeholder in self._placeholders.items():
                    line = re.sub(pattern, placeholder, line)
                self._lines.append(line[:-1])
                self._received.set()

    async def wait_for_lines(self, count: int) -> None:
        """Wait until this many lines have arrived, and check that they are as expected."""
        async with asyncio.timeout(LINES_TIMEOUT_S):
            while len(self._lines) < count:
                self._received.clear()
                await self._received.wait()
        assert self._lines == self._expected[:count]

    def send(self, line: dict[str, Any]) -> None:
        """Send a line on the newest connection."""
        assert self._writer is not None
        self._writer.write(msgspec.json.encode(line) + b"\n")

    def disconnect(self) -> None:
        """Close the newest connection."""
        assert self._writer is not None
        self._writer.close()


@asynccontextmanager
async def running_router(subnet: str, port: int) -> AsyncIterator[Router]:
    """Run a router at `subnet`.2 that pulls from the controller at `subnet`.1. It is stopped when the block ends."""
    settings = {
        "node": "r",
        "ip": f"{subnet}.2",
        "zone": "z",
        "port_range": [port, port],
        "seeds": [f"{subnet}.1:{port}"],
        "listen": {"front": f"{subnet}.2:{port}"},
    }
    router = Router(parse(msgspec.json.encode(settings)))
    running = asyncio.get_running_loop().create_task(router.run())
    try:
        yield router
    finally:
        router.close()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
