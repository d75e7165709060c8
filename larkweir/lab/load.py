"""Load generator: sends a scenario's requests to running balancers in real time, over HTTP/1.1 or FastCGI.

The schedule is that of the model under the same seed, and is kept whatever the answers are (an open loop). Latencies
count from when a request was due, so that a delay of the generator hides nothing (coordinated omission). How late the
generator itself was is part of the result: a run whose generator was much late says little.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter, deque
from random import Random
from typing import Any, NamedTuple

import httptools
from hdrh.histogram import HdrHistogram

from larkweir.core.message import Message
from larkweir.lab.measures import BUCKET_MS
from larkweir.lab.scenario import Scenario, service_of, time_ms
from larkweir.lab.service_times import mean_of
from larkweir.protocols.fastcgi.upstream_machine import (
    Answered,
    ProtocolViolation,
    TurnedAway,
    UpstreamMachine,
)

MAX_CONNECTIONS = 2_000  # a request that finds none is sent late
MAX_DELAY_MS = 20.0  # between the time when a request is due and its sending; later ones count as late
MAX_LATE_FRACTION = 0.01  # of all requests; a run with more says so in its result


class Target(NamedTuple):
    """Where a balancer listens."""

    host: str
    port: int


def schedule(scenario: Scenario, seed: int) -> list[tuple[float, int]]:
    """When each request is due and at which balancer, as the model draws it."""
    capacity = 0.0
    for row in scenario.servers:
        slots = 1 if row.discipline == "shared" else row.slots
        capacity += (
            row.count * scenario.scale * slots * row.speed / mean_of(service_of(row.service, "service"))
        )
    rate, span = scenario.load * capacity, time_ms(scenario.span, "span")
    rng, found = Random(f"{seed} arrivals"), []
    if rate <= 0.0:
        return []
    at = rng.expovariate(rate)
    while at < span:
        after = rng.expovariate(rate)  # the model draws the next arrival before this one's balancer
        found.append((at, int(rng.random() * scenario.balancers)))
        at += after
    return found


class _Request:
    """One request that has not ended yet."""

    __slots__ = ("connection", "due_s", "number", "timer")

    def __init__(self, number: int, due_s: float) -> None:
        self.number = number
        self.due_s = due_s
        self.timer: asyncio.TimerHandle | None = None
        self.connection: _Connection | None = None  # that it was sent on


class _Connection(asyncio.Protocol):
    """One connection, one request at a time."""

    def __init__(self, load: Load, to: int) -> None:
        self.load, self.to = load, to
        self.request: _Request | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.load.lost(self)

    def begin(self, request: _Request) -> None:
        raise NotImplementedError

    def done(self, status: int, is_reusable: bool) -> None:
        request, self.request = self.request, None
        if request is not None:
            self.load.answered(self, request, status, is_reusable)


class _HttpConnection(_Connection):
    """HTTP/1.1 (RFC 9112), read by httptools."""

    def __init__(self, load: Load, to: int) -> None:
        super().__init__(load, to)
        self._parser: Any = httptools.HttpResponseParser(self)

    def begin(self, request: _Request) -> None:
        self.request = request
        assert self.transport is not None
        self.transport.write(self.load.head(request))

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.done(0, False)

    def on_message_complete(self) -> None:
        self.done(self._parser.get_status_code(), bool(self._parser.should_keep_alive()))
        self._parser = httptools.HttpResponseParser(self)


class _FastcgiConnection(_Connection):
    """FastCGI 1.0, one request at a time on a connection that is kept."""

    def __init__(self, load: Load, to: int) -> None:
        super().__init__(load, to)
        self._machine = UpstreamMachine(load.targets[to].port)

    def begin(self, request: _Request) -> None:
        self.request = request
        message = Message()
        message.method, message.target = b"GET", self.load.path
        assert self.transport is not None
        self.transport.write(self._machine.begin(message, self.load.headers(request), [])[1])

    def data_received(self, data: bytes) -> None:
        for event in self._machine.feed(data):
            if isinstance(event, Answered):
                self.done(event.message.status or 200, True)
            elif isinstance(event, TurnedAway):
                self.done(503, True)
            elif isinstance(event, ProtocolViolation):
                self.done(0, False)
        if self._machine.fault is not None:
            self.done(0, False)


class Load:
    """One run."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        targets: list[Target],
        protocol: str,
        cls: str,
        path: str,
        recorded: list[tuple[float, int]] | None = None,
    ) -> None:
        self.scenario, self.targets = scenario, targets
        self.path = path.encode()
        self._make = _FastcgiConnection if protocol == "fastcgi" else _HttpConnection
        self._class = cls.encode()
        self._left = b"%d" % round(time_ms(scenario.deadline, "deadline"))
        self._run = b"%x" % Random().getrandbits(48)  # ids are new with every run
        self.due = schedule(scenario, seed) if recorded is None else recorded
        self._aim_s = time_ms(scenario.aim, "aim") / 1000.0
        self._deadline_s = time_ms(scenario.deadline, "deadline") / 1000.0
        self._warm_s = time_ms(scenario.warm, "warm") / 1000.0
        self._span_ms = time_ms(scenario.span, "span")
        self._idle: list[list[_Connection]] = [[] for _ in targets]
        self._waiting: list[deque[_Request]] = [deque() for _ in targets]
        self._opening = [0 for _ in targets]
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unfinished = 0
        self._late_sends = 0
        self._max_delay_ms = 0.0
        self._begun_s = 0.0
        self.statuses: Counter[int] = Counter()
        self.counts = dict.fromkeys(("asked", "served", "in_time", "refused"), 0)
        self.latency = HdrHistogram(1, 100_000_000, 3)  # microseconds
        self.line = [[0, 0, 0] for _ in range(math.ceil(self._span_ms / BUCKET_MS) + 1)]

    # ------------------------------------------------ what is asked

    def _fields(self, request: _Request) -> list[tuple[bytes, bytes]]:
        return [
            (b"X-Trace-Id", b"%s-%d" % (self._run, request.number)),
            (b"X-Qos", self._class),
            (b"X-Expires-In-Ms", self._left),
        ]

    def headers(self, request: _Request) -> list[tuple[bytes, bytes]]:
        """The header fields of a request."""
        return [(b"Host", b"load"), *self._fields(request)]

    def head(self, request: _Request) -> bytes:
        """The request's bytes in HTTP/1.1."""
        rows = b"".join(b"%s: %s\r\n" % item for item in self.headers(request))
        return b"GET %s HTTP/1.1\r\n%s\r\n" % (self.path, rows)

    # ------------------------------------------------ connections

    def _next(self, to: int) -> None:
        """Whoever waits gets a connection that is idle, or a new one."""
        waiting, idle = self._waiting[to], self._idle[to]
        while waiting and idle:
            connection = idle.pop()
            if connection.transport is None or connection.transport.is_closing():
                continue
            request = waiting.popleft()
            delay_ms = (time.monotonic() - request.due_s) * 1000.0
            self._late_sends += delay_ms > MAX_DELAY_MS
            self._max_delay_ms = max(self._max_delay_ms, delay_ms)
            request.connection = connection
            connection.begin(request)
        while (
            self._opening[to] < len(waiting) and len(self._connections) + sum(self._opening) < MAX_CONNECTIONS
        ):
            self._opening[to] += 1
            task = asyncio.get_running_loop().create_task(self._open(to))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self, to: int) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: self._make(self, to), *self.targets[to])
        except OSError:
            self._opening[to] -= 1
            if self._waiting[to]:  # the one that it was for finds nobody
                self._end(self._waiting[to].popleft(), 0)
            return
        self._opening[to] -= 1
        self._connections.add(connection)
        self._idle[to].append(connection)
        self._next(to)

    def lost(self, connection: _Connection) -> None:
        """A connection is lost; its request, if there is one, has no answer."""
        self._connections.discard(connection)
        connection.done(0, False)

    def answered(self, connection: _Connection, request: _Request, status: int, is_reusable: bool) -> None:
        """A request has its answer; `is_reusable`: the connection can be used again."""
        self._end(request, status)
        if is_reusable and connection.transport is not None:
            self._idle[connection.to].append(connection)
        elif connection.transport is not None:
            connection.transport.close()
        self._next(connection.to)

    # ------------------------------------------------ ends

    def _give_up(self, to: int, request: _Request) -> None:
        """Nobody waits any longer for its answer, as with a client whose time is over: it leaves."""
        if request in self._waiting[to]:
            self._waiting[to].remove(request)
        self._end(request, 0)
        if request.connection is not None and request.connection.transport is not None:
            request.connection.transport.abort()

    def _end(self, request: _Request, status: int) -> None:
        if request.timer is None:
            return  # it was given up before
        request.timer.cancel()
        request.timer = None
        self._unfinished -= 1
        self.statuses[status] += 1
        spent = time.monotonic() - request.due_s
        due = request.due_s - self._begun_s
        counted = due >= self._warm_s
        if status == 200:
            in_time = spent <= self._aim_s
            self.line[int(due * 1000.0 / BUCKET_MS)][1] += in_time
            if counted:
                self.counts["served"] += 1
                self.counts["in_time"] += in_time
                self.latency.record_value(max(1, round(spent * 1_000_000.0)))
        elif counted:
            self.counts["refused"] += 1

    async def run(self) -> dict[str, Any]:
        """Send the scheduled requests, wait for the last end, and return the result."""
        loop = asyncio.get_running_loop()
        self._begun_s = time.monotonic() + 0.05
        for number, (due_ms, balancer) in enumerate(self.due):
            due = self._begun_s + due_ms / 1000.0
            pause = due - time.monotonic()
            if pause > 0.0005:
                await asyncio.sleep(pause)
            elif number % 64 == 0:
                await asyncio.sleep(0.0)
            to = balancer % len(self.targets)
            request = _Request(number, due)
            request.timer = loop.call_later(
                max(0.0, due + self._deadline_s - time.monotonic()), self._give_up, to, request
            )
            self._unfinished += 1
            self.line[int(due_ms / BUCKET_MS)][0] += 1
            if due_ms / 1000.0 >= self._warm_s:
                self.counts["asked"] += 1
            self._waiting[to].append(request)
            self._next(to)
        while self._unfinished:
            await asyncio.sleep(0.01)
        for connection in list(self._connections):
            if connection.transport is not None:
                connection.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        return self._result()

    def _result(self) -> dict[str, Any]:
        """As the model's, so that both stand in one report; what only the model sees is None."""
        counted, latency = self.counts["asked"], self.latency
        some = latency.get_total_count() > 0
        marks = (("50", 50.0), ("90", 90.0), ("99", 99.0), ("999", 99.9))
        quantiles = {
            f"p{name}": latency.get_value_at_percentile(mark) / 1000.0 if some else None
            for name, mark in marks
        }
        parts = {
            name: round(self.counts[name] / counted, 6) if counted else None
            for name in ("in_time", "served", "refused")
        }
        is_late = self._late_sends > MAX_LATE_FRACTION * max(1, len(self.due))
        sent_late = f"{self._late_sends} of {len(self.due)}, by up to {self._max_delay_ms:.0f} ms"
        return {
            **parts,
            "attempts": None,
            "mean_ms": round(latency.get_mean_value() / 1000.0, 4) if some else None,
            **quantiles,
            "asked": counted,
            "busiest": None,
            "calls": [],
            "line": self.line,
            "latency": latency.encode().decode(),
            "unstable": f"the generator was late: {sent_late}" if is_late else "",
            "statuses": dict(sorted(self.statuses.items())),
        }


async def at_own_servers(
    scenario: Scenario, seed: int, cls: str, path: str, recorded: list[tuple[float, int]] | None
) -> dict[str, Any]:
    """The same against servers and balancers that are started for it."""
    from larkweir.lab.emulate import emulated

    async with emulated(scenario, seed) as fleet:
        run = Load(scenario, seed, fleet.targets, "http1", cls, path, recorded)
        fleet.begin()
        result = await run.run()
        result["calls"] = [server.calls for server in fleet.servers]
        result["attempts"] = round(sum(result["calls"]) / max(1, len(run.due)), 6)
        return result


def load(
    scenario: Scenario,
    seed: int,
    targets: list[Target],
    protocol: str,
    cls: str,
    path: str,
    recorded: list[tuple[float, int]] | None = None,
) -> dict[str, Any]:
    """Play a scenario's arrivals at running balancers, or at own ones where there are no targets; takes the scenario's
    span, and up to a deadline more.
    """
    import uvloop

    async def work() -> dict[str, Any]:
        if not targets:
            return await at_own_servers(scenario, seed, cls, path, recorded)
        return await Load(scenario, seed, targets, protocol, cls, path, recorded).run()

    return uvloop.run(work())
