"""An operator of the world: calls of a balancer's control address, each on a connection of its own."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

from standins.world.kernel import Address
from standins.world.loop import ProcessLoop
from standins.world.story import ControlCall, Story
from standins.world.transport import StreamTransport

CONNECT_S = 1.0  # for a connection to come up
PATIENCE_S = 8.0  # for an answer
IDLE_CALLERS = 14  # connections that say nothing: more than a balancer seats
CROWDED_S = 0.2  # after which they are all there
STATUS_CALLS = 5


class _Connection(asyncio.Protocol):
    def __init__(self, call: ControlCall | None) -> None:
        self._call = call
        self._came = b""
        self.over = asyncio.get_running_loop().create_future()
        self.transport: StreamTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._came += data
        if self._call is not None and self._came.endswith(b"\n"):
            now_s = self.transport.loop.time()
            self._call.answered_s = min(self._call.answered_s, now_s)
            self._call.answer = self._came.decode("ascii", "replace").rstrip("\n")
            self.transport.loop.clock.note(f"control of {self._call.copy} answers {self._call.answer}")

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over.done():
            self.over.set_result(None)


class Operator:
    """Of one balancer, on the same machine."""

    def __init__(self, name: str, loop: ProcessLoop, to: Address, story: Story) -> None:
        self.name, self._loop, self._to, self._story = name, loop, to, story
        self._orders: list[str] = []  # the first of them is asked now
        self._rng = Random(f"operator/{name}/{loop.clock.rng.getrandbits(32)}")

    def end(self) -> None:
        self._loop.kill()

    def call(self, line: str, whole: bool = True) -> None:
        """`whole`: with its end; without one the connection's end comes in its place."""
        if not self._loop.dead:
            self._loop.call_soon(self._loop.create_task, self._call(line, whole))

    def order(self, line: str) -> None:
        """PAUSE or RESUME, once the order before it is answered: calls on two connections come in any order."""
        self._orders.append(line)
        if len(self._orders) == 1 and not self._loop.dead:
            self._loop.call_soon(self._loop.create_task, self._order())

    async def _order(self) -> None:
        while self._orders:
            await self._call(self._orders[0], True)
            del self._orders[0]

    async def _call(self, line: str, whole: bool) -> None:
        call = ControlCall(self.name, line, self._loop.time(), whole)
        connection = await self._connect(call)
        if connection is None:
            return
        call.asked_s = self._loop.time()
        self._story.control.append(call)
        data = line.encode() + (b"\n" if whole else b"")
        cut = self._rng.randint(0, len(data))
        self._loop.clock.note(f"control of {self.name} is asked {line}")
        connection.transport.write(data[:cut])
        if cut < len(data):
            await asyncio.sleep(0.01 * self._rng.random())
            call.asked_s = self._loop.time()
            connection.transport.write(data[cut:])
        if not whole:
            connection.transport.write_eof()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await connection.over
        except TimeoutError:
            connection.transport.abort()

    async def _connect(self, call: ControlCall | None) -> _Connection | None:
        connection = _Connection(call)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._loop.create_connection(lambda: connection, *self._to)
        except OSError:
            return None
        return connection

    def crowd(self, for_s: float) -> None:
        """Connections that say nothing, and one that says what is no call."""
        for _ in range(IDLE_CALLERS):
            self._loop.call_soon(self._loop.create_task, self._idle(for_s))
        self._loop.call_later(CROWDED_S, self.call, "WHAT")
        self._loop.call_later(CROWDED_S, self.call, "STAT", False)
        self._loop.call_later(CROWDED_S, self.call, "STATUS")

    async def _idle(self, for_s: float) -> None:
        connection = await self._connect(None)
        if connection is not None:
            await asyncio.sleep(2 * CROWDED_S + for_s * self._rng.random())
            connection.transport.abort()

    def ask_status(self, for_s: float) -> None:
        """Several times within so many seconds."""
        for n in range(STATUS_CALLS):
            self._loop.call_later(for_s * n / STATUS_CALLS, self.call, "STATUS")
