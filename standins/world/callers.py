"""Callers of the world: good ones that ask one thing after the other, and rude ones."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from standins.checkers import KEYED, SAFE, UNSAFE
from standins.world.http import GarbledError, Reader, request
from standins.world.kernel import Address
from standins.world.loop import ProcessLoop
from standins.world.settings import CHANGING, NAMES
from standins.world.story import Asking, Story
from standins.world.transport import StreamTransport

AHEAD = (5, 9)  # requests that are sent at once, so that a balancer pauses reading
HASTE_S = (0.005, 0.1)
LEAVES_S = 0.6  # after which such a caller has left, at most


class Line(asyncio.Protocol):
    """A caller's connection: what is asked on it, in order, and what comes back."""

    def __init__(self, story: Story, life: int = 0) -> None:
        """`life`: of the balancer, when it was opened."""
        self._story, self.life = story, life
        self._reader = Reader()
        self.out: deque[Asking] = deque()
        self.gone = False
        self.last = False  # the balancer said that no further answer comes
        self.changed: asyncio.Future[None] | None = None
        self.transport: StreamTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        now_s = self.transport.loop.time()
        try:
            found = self._reader.feed(data)
        except GarbledError as problem:
            self._story.fault(f"a caller was answered {problem!r:.80}")
            self.transport.abort()
            return
        for answer in found:
            status = int(answer.first.split()[1])
            if status == 100:
                continue
            self.last = self.last or answer.headers.get("connection", "").lower() == "close"
            if not self.out:
                self._story.fault(f"an answer {status} that nobody asked for")
                continue
            asking = self.out.popleft()
            asking.statuses.append((now_s, status))
            asking.answer_at = answer.at
            asking.closing = answer.headers.get("connection", "").lower() == "close"
            self.transport.loop.clock.note(f"{asking.trace} answered {status}")
            if status == 200 and not answer.body.startswith(asking.trace.encode()):
                asking.wrong = answer.body[:40].decode("latin-1")
        self._wake()

    def eof_received(self) -> None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        now_s = self.transport.loop.time()
        for asking in self.out:
            asking.lost_s, asking.why, asking.behind_last = now_s, f"{exc or 'closed'}", self.last
            self.transport.loop.clock.note(f"{asking.trace} lost: {asking.why}")
        self._wake()

    def _wake(self) -> None:
        if self.changed is not None and not self.changed.done():
            self.changed.set_result(None)

    async def over(self, patience_s: float) -> None:
        """Until nothing is owed, or the line is gone, or no longer than that."""
        loop = self.transport.loop
        try:
            async with asyncio.timeout(patience_s):
                while self.out and not self.gone:
                    self.changed = loop.create_future()
                    await self.changed
        except TimeoutError:
            pass


class Caller:
    """One actor. `rude`: the share of its requests that are asked rudely."""

    def __init__(
        self,
        name: str,
        loop: ProcessLoop,
        to: Address,
        copy: str,
        story: Story,
        think_s: Callable[[], float],
        most_s: float,
        rude: float = 0.0,
        ahead: float = 0.0,
        changing: bool = False,
        large: float = 0.01,
        hasty: float = 0.0,
        keyed: float = 0.25,
    ) -> None:
        """`ahead`: the share of its turns in which it sends several requests at once and leaves. `changing`: it asks
        for the class that an operator changes, too. `large`: the share of long bodies.
        `hasty`: the share of requests that it waits for only some milliseconds. `keyed`: the share of keyed requests.
        """
        self.name, self.loop, self.to, self.copy, self.story = name, loop, to, copy, story
        self._think_s, self._most_s, self._rude = think_s, most_s, rude
        self._ahead, self._changing, self._large = ahead, changing, large
        self._hasty, self._keyed = hasty, keyed
        self.rng = Random(f"{name}/{loop.clock.rng.getrandbits(32)}")
        self.number = 0
        self.over = False
        loop.begin(self._live())

    async def _live(self) -> None:
        line: Line | None = None
        while not self.over:
            await asyncio.sleep(self._think_s() * self.rng.expovariate(1.0))
            if self.over:
                break
            if line is None or line.gone or line.last or self.rng.random() < 0.05:
                if line is not None and not line.gone:
                    line.transport.close()
                line = await self._line()
                if line is None:
                    continue
            if self.rng.random() < self._rude:
                await self._rudely(line)
                line = None
                continue
            if self._ahead and self.rng.random() < self._ahead:
                await self._sends_ahead(line)
                line = None
                continue
            for _ in range(2 if self.rng.random() < 0.05 else 1):
                line.transport.write(self._ask(line))
            await line.over(self._most_s + 3.0)
            if line.out and not line.gone:  # its patience is over
                line.transport.abort()
                line = None
        if line is not None and not line.gone:
            line.transport.close()

    async def _line(self) -> Line | None:
        line = Line(self.story, self.story.lives[self.copy])
        try:
            async with asyncio.timeout(1.0):
                await self.loop.create_connection(lambda: line, *self.to)
        except OSError:
            await asyncio.sleep(0.05)
            return None
        return line

    def _ask(self, line: Line, patient: bool = True) -> bytes:
        rng = self.rng
        self.number += 1
        trace = f"{self.name}-{self.number}"
        effect = KEYED if rng.random() < self._keyed else rng.choice((SAFE, SAFE, UNSAFE))
        most_s = rng.uniform(*HASTE_S) if self._hasty and rng.random() < self._hasty else self._most_s
        most_s = int(most_s * 1000) / 1000.0
        key = f"k{trace}" if effect == KEYED else ""
        category = NAMES[effect]
        if self._changing and rng.random() < 0.3:
            category, effect, key = CHANGING, SAFE, ""  # what it is comes out once the balancer reads it
        headers = {"X-Trace-Id": trace, "X-Qos": category, "X-Customer": "acme"}
        headers["X-Expires-In-Ms"] = str(round(most_s * 1000))
        if key:
            headers["Idempotency-Key"] = key
        body = b""
        if category != NAMES[SAFE]:
            body = b"x" * rng.randint(0, 300_000 if rng.random() < self._large else 600)
        end = line.transport.end
        asking = Asking(trace, self.copy, self.story.lives[self.copy], effect, key, most_s, self.loop.time())
        asking.end, asking.offset = end, end.written + line.transport.get_write_buffer_size()
        asking.patient, asking.stale = patient, line.life != asking.life
        asking.category, asking.behind = category, line.out[-1] if line.out else None
        self.story.asked[trace] = asking
        line.out.append(asking)
        data = request("GET" if category == NAMES[SAFE] else "POST", "/api", headers, body)
        asking.size = len(data)
        return data

    async def _sends_ahead(self, line: Line) -> None:
        """Several requests at once, then the end of the connection in one of its ways."""
        rng, transport = self.rng, line.transport
        for _ in range(rng.randint(*AHEAD)):
            transport.write(self._ask(line, patient=False))
        await asyncio.sleep(rng.random() * LEAVES_S)
        if line.gone:
            return
        how = rng.choice(("closes", "resets", "ends its side"))
        transport.loop.clock.note(f"{self.name} {how}")
        if how == "resets":
            transport.end.close_with_reset()
        elif how == "ends its side":
            transport.write_eof()
            await line.over(rng.random())
        if not line.gone:
            transport.abort()

    async def _rudely(self, line: Line) -> None:
        """It leaves, or stays mute, or sends what is no request. Effects count all the same."""
        rng, transport = self.rng, line.transport
        kind = rng.choice(("leaves", "half", "mute", "garbage", "deaf", "drips"))
        if kind == "leaves":
            transport.write(self._ask(line, patient=False))
            await asyncio.sleep(rng.random() * 0.02)
        elif kind == "half":
            data = self._ask(line, patient=False)
            transport.write(data[: rng.randint(1, len(data) - 1)])
            await asyncio.sleep(rng.random() * 4.0)
        elif kind == "mute":
            await asyncio.sleep(rng.random() * 3.0)
        elif kind == "garbage":
            transport.write(rng.randbytes(rng.randint(1, 200)) + b"\r\n\r\n")
            line._story = Story()  # whatever comes back is right
            await asyncio.sleep(0.1)
        elif kind == "deaf":
            transport.pause_reading()
            transport.write(self._ask(line, patient=False))
            await asyncio.sleep(rng.random() * 4.0)
        else:
            data = self._ask(line, patient=False)
            while data and not line.gone:
                piece, data = data[:40], data[40:]
                transport.write(piece)
                await asyncio.sleep(rng.random() * 0.02)
            await line.over(self._most_s + 3.0)
        if not line.gone:
            transport.abort()
