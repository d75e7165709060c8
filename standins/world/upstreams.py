"""An upstream of the world: a queue and slots, cold starts, pauses, spoilt answers, and effects written down."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from random import Random
from typing import Any

from standins.checkers import KEYED, SAFE, Ran
from standins.world.http import GarbledError, Reader, Whole, answer
from standins.world.loop import ProcessLoop
from standins.world.settings import NAMES
from standins.world.story import Came, Story, when_landed
from standins.world.transport import StreamTransport

CLASSES = {name: effect for effect, name in NAMES.items()}


@dataclass
class Habits:
    """Chances of each answer, and times."""

    never_ran: float = 0.01
    error: float = 0.01
    reset: float = 0.005
    spoilt: float = 0.0
    closes: float = 0.0  # the answer is the last of its connection
    big: float = 0.01
    mean_s: float = 0.006
    slots: int = 4
    queue: int = 40
    cold_s: float = 3.0
    cold_share: float = 0.3


class Zone:
    """What the upstreams of a zone remember together of keys, for as long as the settings say: whether a request is new
    is told by when its last byte had landed, not by when somebody has time for it.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        self._keys: dict[str, float] = {}

    def new(self, key: str, landed_s: float, now_s: float) -> bool:
        if landed_s - self._keys.get(key, -self._memory_s) < self._memory_s:
            return False
        self._keys[key] = now_s
        return True


class Upstream:
    """One life of an upstream."""

    def __init__(
        self,
        name: str,
        loop: ProcessLoop,
        port: int,
        zone: Zone,
        habits: Habits,
        story: Story,
        cold: bool,
        who: Any,
    ) -> None:
        """`who` tells a copy's name and life by the end of a connection from it."""
        self.name, self.loop, self.port, self.zone = name, loop, port, zone
        self.habits, self.story, self._who = habits, story, who
        self.rng = Random(f"{name}/{loop.clock.rng.getrandbits(32)}")
        self.started_s = loop.clock.now_s if cold else -1000.0
        self.running = 0
        self.waiting: deque[tuple[_Talk, Whole]] = deque()
        loop.begin(self._main())

    async def _main(self) -> None:
        await self.loop.create_server(lambda: _Talk(self), "", self.port, backlog=64)

    def takes(self, talk: _Talk, request: Whole) -> None:
        if request.first.startswith("GET /health") or request.first.startswith("GET /status"):
            talk.send(answer(200, b"ok"))
            return
        trace = request.headers.get("x-trace-id", "?")
        now_s = self.loop.time()
        end = talk.transport.end
        copy, life = self._who(end)
        told = request.headers.get("x-expires-in-ms", "")
        came = Came(
            now_s,
            self.name,
            trace,
            self._effect(request),
            end,
            request.at,
            now_s - self.started_s,
            copy,
            life,
        )
        came.size, came.told_s = request.size, int(told) / 1000.0 if told.isdigit() else None
        self.story.came.append(came)
        self.loop.clock.note(f"{self.name} gets {trace} of {copy}")
        if self.rng.random() < self.habits.never_ran or len(self.waiting) >= self.habits.queue:
            came.never_ran = True
            talk.send(answer(503, X_Never_Ran="1"))
            return
        self.waiting.append((talk, request))
        self._next()

    def _next(self) -> None:
        while self.waiting and self.running < self.habits.slots:
            talk, request = self.waiting.popleft()
            if talk.gone:  # given up in time: it never ran
                continue
            self.running += 1
            age_s = self.loop.time() - self.started_s
            habits = self.habits
            share = min(1.0, habits.cold_share + (1 - habits.cold_share) * age_s / habits.cold_s)
            took_s = self.rng.expovariate(1.0) * habits.mean_s / share
            early = self.rng.random() < 0.5
            if early:
                self._run(talk, request)
            self.loop.call_later(took_s, self._served, talk, request, early)

    def _effect(self, request: Whole) -> str:
        """As the request's class had it when the balancer took the request."""
        asking = self.story.asked.get(request.headers.get("x-trace-id", ""))
        return CLASSES.get(request.headers["x-qos"], SAFE) if asking is None else self.story.effect(asking)

    def _run(self, talk: _Talk, request: Whole) -> None:
        effect = self._effect(request)
        key = request.headers.get("idempotency-key", "")
        trace = request.headers["x-trace-id"]
        now_s = self.loop.time()
        landed_s = when_landed(talk.transport.end, request.at + request.size)
        if effect == KEYED and not self.zone.new(key, min(landed_s, now_s), now_s):
            return
        self.loop.clock.note(f"{self.name} runs {trace}")
        self.story.history.append(Ran(now_s * 1000.0, self.name, trace, effect, key))

    def _served(self, talk: _Talk, request: Whole, ran: bool) -> None:
        self.running -= 1
        dice, habits = self.rng.random(), self.habits
        if not ran and dice >= habits.reset:
            self._run(talk, request)
        body = request.headers["x-trace-id"].encode()
        if dice < habits.reset:
            talk.abort()
        elif dice < habits.reset + habits.error:
            talk.send(answer(500))
        elif dice < habits.reset + habits.error + habits.spoilt:
            whole = answer(200, body)
            kinds = (
                whole[: len(whole) // 2],
                b"\x00\x17garbage\r\n\r\n",
                whole + whole,
                whole + b"HTT",
                whole,
            )
            kind = self.rng.randrange(len(kinds))
            talk.send(kinds[kind])
            if kind == 0:
                talk.close()
            elif kind == 4:  # once more, a moment later
                self.loop.call_later(0.002 + 0.01 * self.rng.random(), talk.send, whole)
        elif self.rng.random() < habits.big:
            talk.send(answer(200, body + b"." * self.rng.randint(1, 300_000)))
        elif habits.closes and self.rng.random() < habits.closes:
            talk.send(answer(200, body, Connection="close"))
            talk.close()
        else:
            talk.send(answer(200, body))
        self._next()


class _Talk(asyncio.Protocol):
    def __init__(self, upstream: Upstream) -> None:
        self._upstream = upstream
        self._reader = Reader()
        self.gone = False
        self.transport: StreamTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            for request in self._reader.feed(data):
                self._upstream.takes(self, request)
        except (GarbledError, KeyError) as problem:
            self._upstream.story.fault(f"{self._upstream.name} was sent what is no request: {problem!r:.80}")
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True

    def send(self, data: bytes) -> None:
        if not self.gone:
            self.transport.write(data)

    def close(self) -> None:
        if not self.gone:
            self.transport.close()

    def abort(self) -> None:
        if not self.gone:
            self.transport.abort()
