"""Connections to upstreams that are established only when a test allows it."""

from __future__ import annotations

import asyncio
from typing import Any, Self

from larkweir.core.clock import Clock
from standins.peers import PATIENCE_S


class Gate:
    """Delays connections to the given ports. The system establishes each at once, but the caller of
    `create_connection` receives it only after the gate was opened. The first `free` connections are not delayed.
    """

    def __init__(self, *ports: int, free: int = 0) -> None:
        self._ports = ports
        self._free = free
        self._opened = asyncio.Event()
        self._arrived: asyncio.Queue[asyncio.Transport] = asyncio.Queue()

    async def __aenter__(self) -> Self:
        self._loop: Any = asyncio.get_running_loop()
        self._real = self._loop.create_connection
        self._loop.create_connection = self._create
        return self

    async def __aexit__(self, *_: object) -> None:
        self.open()
        del self._loop.create_connection

    async def _create(self, factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        made = await self._real(factory, host, port, **more)
        if port in self._ports and not self._opened.is_set():
            if self._free > 0:
                self._free -= 1
            else:
                self._arrived.put_nowait(made[0])
                await self._opened.wait()
        return made

    async def held(self) -> asyncio.Transport:
        """The next connection that is delayed here."""
        async with asyncio.timeout(PATIENCE_S):
            return await self._arrived.get()

    def open(self) -> None:
        self._opened.set()


def pass_time_unnoticed(clock: Clock, ms: float) -> None:
    """Advance the clock by `ms` without firing timers, as if every timer were late."""
    clock.offset_ms += ms
