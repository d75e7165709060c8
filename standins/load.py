"""A closed loop of callers and its upstreams, as lean as the libraries allow, for measurements of throughput.

python -m standins.load upstreams COUNT                  prints the ports, then serves
python -m standins.load upstreams COUNT slots:4:50       the same, each with 4 slots of 50 ms and a queue behind them
python -m standins.load callers PORT COUNT SECONDS       prints `answers seconds p50_ms p99_ms not_served`
python -m standins.load step PORT COUNT SECONDS [PAUSE]  the same from the first request on, told by what came, as JSON;
                                                         after a refusal a caller pauses for PAUSE seconds
python -m standins.load open PORT COUNT SECONDS RATE     RATE requests a second over COUNT connections, whatever
                                                         comes back; waiting for a free one counts; as JSON
"""

from __future__ import annotations

import asyncio
import json
import os
import struct
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import uvloop

BODY = b"served"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


class Upstream(asyncio.Protocol):
    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.transport.write(ANSWER)


class Caller(asyncio.Protocol):
    """Asks again as soon as it is answered."""

    def __init__(self, load: Load, number: int) -> None:
        self._load = load
        self._head = (
            b"GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Qos: look\r\nX-Customer: acme\r\n"
            b"X-Expires-In-Ms: 8000\r\nX-Trace-Id: %d-%d-" % (os.getpid(), number)
        )
        self._count = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._ask()

    def _ask(self) -> None:
        self._count += 1
        self._begun = time.perf_counter()
        self.transport.write(b"%s%d\r\n\r\n" % (self._head, self._count))

    def data_received(self, data: bytes) -> None:
        load = self._load
        if not load.ending:
            load.spent.append(time.perf_counter() - self._begun)
            if not data.endswith(BODY):
                load.not_served += 1
            self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        self._load.lost += 1


class SlottedUpstream(Upstream):
    """So many requests in work at a time on all connections, first come first served behind them."""

    slots, service_s = 4, 0.05
    queues: dict[int, deque[SlottedUpstream]]
    busy: dict[int, int]

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._place = transport.get_extra_info("sockname")[1]
        self._gone = False

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self.queues.setdefault(self._place, deque()).append(self)
            self._next()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone = True  # what it asked for and has not been begun is dropped

    def _next(self) -> None:
        queue = self.queues[self._place]
        while queue and self.busy.get(self._place, 0) < self.slots:
            first = queue.popleft()
            if not first._gone:
                self.busy[self._place] = self.busy.get(self._place, 0) + 1
                asyncio.get_running_loop().call_later(self.service_s, first._done)

    def _done(self) -> None:
        self.busy[self._place] -= 1
        if not self._gone:
            self.transport.write(ANSWER)
        self._next()


class Step(Caller):
    """Notes what every answer was and how long it took, and pauses after one that was none."""

    pause_s = 0.0

    def data_received(self, data: bytes) -> None:
        load = self._load
        if load.ending:
            return
        spent = time.perf_counter() - self._begun
        if data.endswith(BODY):
            load.spent.append(spent)
            self._ask()
            return
        (load.refused if b" 503 " in data[:16] else load.failed).append(spent)
        asyncio.get_running_loop().call_later(self.pause_s, self._again)

    def _again(self) -> None:
        if not self._load.ending and not self.transport.is_closing():
            self._ask()


def record(kind: int, number: int, content: bytes = b"") -> bytes:
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def records(data: bytes) -> tuple[list[tuple[int, int, bytes]], bytes]:
    """Whole records, and the part behind them."""
    found, at = [], 0
    while len(data) - at >= 8:
        kind, number, length, padding = struct.unpack_from(">xBHHB", data, at)
        if len(data) < at + 8 + length + padding:
            break
        found.append((kind, number, data[at + 8 : at + 8 + length]))
        at += 8 + length + padding
    return found, data[at:]


class FastcgiUpstream(Upstream):
    """Answers once the stdin has ended; a request to `/api?stall` never."""

    TEXT = b"Status: 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._part = b""
        self._stalled: set[int] = set()

    def data_received(self, data: bytes) -> None:
        found, self._part = records(self._part + data)
        out = []
        for kind, number, content in found:
            if kind == 4 and b"/api?stall" in content:
                self._stalled.add(number)
            elif kind == 2:
                self._stalled.discard(number)
                out.append(record(3, number, bytes(8)))
            elif kind == 5 and not content and number not in self._stalled:
                out += (record(6, number, self.TEXT), record(6, number), record(3, number, bytes(8)))
            elif kind == 9:
                out.append(record(10, 0, b"\x0f\x01FCGI_MPXS_CONNS1"))
        if out:
            self.transport.write(b"".join(out))


def ask(head: dict[bytes, bytes], number: int) -> bytes:
    pairs = b"".join(bytes((len(k), len(v))) + k + v for k, v in head.items())
    begin = record(1, number, b"\0\1\1" + bytes(5))
    return begin + record(4, number, pairs) + record(4, number) + record(5, number)


def variables(trace: bytes, target: bytes = b"/api") -> dict[bytes, bytes]:
    return {
        b"REQUEST_METHOD": b"GET",
        b"REQUEST_URI": target,
        b"HTTP_HOST": b"api.internal",
        b"HTTP_X_QOS": b"look",
        b"HTTP_X_CUSTOMER": b"acme",
        b"HTTP_X_EXPIRES_IN_MS": b"8000",
        b"HTTP_X_TRACE_ID": trace,
    }


class FastcgiCaller(Caller):
    def connection_made(self, transport: Any) -> None:
        self._part = b""
        self._prefix = b"%d-%d-" % (os.getpid(), id(self))
        super().connection_made(transport)

    def _ask(self) -> None:
        self._count += 1
        self._begun = time.perf_counter()
        self.transport.write(ask(variables(self._prefix + b"%d" % self._count), 1 + self._count % 60_000))

    def data_received(self, data: bytes) -> None:
        found, self._part = records(self._part + data)
        if found and found[-1][0] == 3 and not self._load.ending:
            self._load.spent.append(time.perf_counter() - self._begun)
            if not any(content.endswith(BODY) for _, _, content in found):
                self._load.not_served += 1
            self._ask()


class Many(asyncio.Protocol):
    """Many requests at a time on one connection; the first `stalled` of them are never answered."""

    def __init__(self, load: Load, count: int, stalled: int) -> None:
        self._load = load
        self._count = count
        self._stalled = stalled
        self._serial = 0
        self._part = b""
        self._begun: dict[int, float] = {}

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        for number in range(1, self._count + 1):
            self._ask(number)

    def _ask(self, number: int) -> None:
        self._serial += 1
        self._begun[number] = time.perf_counter()
        target = b"/api?stall" if number <= self._stalled else b"/api"
        self.transport.write(ask(variables(b"m%d-%d" % (os.getpid(), self._serial), target), number))

    def data_received(self, data: bytes) -> None:
        found, self._part = records(self._part + data)
        for kind, number, _ in found:
            if kind == 3 and not self._load.ending:
                if number > self._stalled:
                    self._load.spent.append(time.perf_counter() - self._begun[number])
                self._ask(number)


class Load:
    def __init__(self) -> None:
        self.spent: list[float] = []
        self.refused: list[float] = []
        self.failed: list[float] = []
        self.by_class: tuple[list[float], list[float]] = ([], [])
        self.not_served = 0
        self.lost = 0
        self.ending = False


async def upstreams(count: int, kind: type[Upstream]) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(kind, "127.0.0.1", 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.Event().wait()


async def callers(
    port: int, count: int, seconds: float, make: Callable[[Load, int], asyncio.Protocol]
) -> None:
    load = Load()
    loop = asyncio.get_running_loop()
    for n in range(count):
        await loop.create_connection(lambda n=n: make(load, n), "127.0.0.1", port)  # type: ignore[misc]
    await asyncio.sleep(seconds * 0.25)  # until connections are up and tables filled
    load.spent.clear()
    load.not_served = 0
    print("begin", flush=True)
    begun = time.perf_counter()
    await asyncio.sleep(seconds)
    spent, load.ending = time.perf_counter() - begun, True
    ordered = sorted(load.spent) or [0.0]
    p50, p99 = (ordered[int(part * (len(ordered) - 1))] * 1000.0 for part in (0.5, 0.99))
    print(
        len(load.spent), f"{spent:.3f}", f"{p50:.2f}", f"{p99:.2f}", load.not_served + load.lost, flush=True
    )


class Steady(Caller):
    """One connection of an open load: asks when it is given something to ask."""

    classes = (b"look", b"buy")

    def __init__(self, load: Load, number: int, free: deque[Steady]) -> None:
        super().__init__(load, number)
        self._free = free
        self.cls = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._free.append(self)

    def give(self, due: float, cls: int) -> None:
        self._count += 1
        self._begun, self.cls = due, cls
        self.transport.write(
            b"GET /api HTTP/1.1\r\nHost: api.internal\r\nX-Qos: %s\r\nX-Customer: acme\r\nX-Expires-In-Ms: 1000\r\n"
            b"X-Trace-Id: %d-%d-%d\r\n\r\n" % (self.classes[cls], os.getpid(), id(self), self._count)
        )

    def data_received(self, data: bytes) -> None:
        spent = time.perf_counter() - self._begun
        if data.endswith(BODY):
            self._load.by_class[self.cls].append(spent)
        else:
            (self._load.refused if b" 503 " in data[:16] else self._load.failed).append(spent)
        self._free.append(self)


async def open_load(port: int, count: int, seconds: float, rate: float, aim_s: float) -> None:
    """Requests at a steady rate, one of four of the second class; the first quarter of the time does not count."""
    load = Load()
    free: deque[Steady] = deque()
    waiting: deque[tuple[float, int]] = deque()
    loop = asyncio.get_running_loop()
    for n in range(count):
        await loop.create_connection(lambda n=n: Steady(load, n, free), "127.0.0.1", port)  # type: ignore[misc]
    begun = time.perf_counter()
    sent, asked, cleared = 0, 0, False
    while (now := time.perf_counter()) < begun + seconds:
        if not cleared and now > begun + 0.25 * seconds:
            cleared, asked = True, 0
            load.by_class, load.refused, load.failed = ([], []), [], []
        while sent < (now - begun) * rate:
            waiting.append((begun + sent / rate, int(sent % 4 == 0)))
            sent += 1
            asked += 1
        while waiting and now - waiting[0][0] > 1.0:  # nobody waits for longer
            waiting.popleft()
            load.failed.append(1.0)
        while waiting and free:
            connection = free.popleft()
            if not connection.transport.is_closing():
                connection.give(*waiting.popleft())
        await asyncio.sleep(0.002)
    lasted = 0.75 * seconds
    found = {
        "seconds": lasted,
        "asked": asked,
        "in_aim": sum(spent <= aim_s for spent in load.by_class[0]),
        "in_aim_dear": sum(spent <= aim_s for spent in load.by_class[1]),
        "refused": len(load.refused),
        "failed": len(load.failed),
        "p50_ms": quantile_ms(load.by_class[0] + load.by_class[1], 0.5),
        "p99_ms": quantile_ms(load.by_class[0] + load.by_class[1], 0.99),
        "wait_p50_ms": quantile_ms(load.refused, 0.5),
    }
    print(json.dumps(found), flush=True)


def quantile_ms(values: list[float], part: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[int(part * (len(ordered) - 1))] * 1000.0


async def step(port: int, count: int, seconds: float, aim_s: float) -> None:
    """All callers come at once, from the first instant on."""
    load = Load()
    loop = asyncio.get_running_loop()
    await asyncio.gather(
        *(
            loop.create_connection(lambda n=n: Step(load, n), "127.0.0.1", port)  # type: ignore[misc]
            for n in range(count)
        )
    )
    begun = time.perf_counter()
    await asyncio.sleep(seconds)
    lasted, load.ending = time.perf_counter() - begun, True
    found = {
        "seconds": lasted,
        "served": len(load.spent),
        "in_aim": sum(spent <= aim_s for spent in load.spent),
        "refused": len(load.refused),
        "failed": len(load.failed) + load.lost,
        "p50_ms": quantile_ms(load.spent, 0.5),
        "p99_ms": quantile_ms(load.spent, 0.99),
        "wait_p50_ms": quantile_ms(load.refused, 0.5),
        "wait_p99_ms": quantile_ms(load.refused, 0.99),
    }
    print(json.dumps(found), flush=True)


if __name__ == "__main__":
    what, *rest = sys.argv[1:]
    fastcgi = rest[-1] == "fastcgi"
    if what == "upstreams":
        kind: type[Upstream] = FastcgiUpstream if fastcgi else Upstream
        if rest[-1].startswith("slots:"):
            SlottedUpstream.queues, SlottedUpstream.busy = {}, {}
            _, slots, service = rest[-1].split(":")
            SlottedUpstream.slots, SlottedUpstream.service_s = int(slots), float(service) / 1000.0
            kind = SlottedUpstream
        uvloop.run(upstreams(int(rest[0]), kind))
    elif what == "step":
        Step.pause_s = float(rest[3]) if len(rest) > 3 else 0.0
        uvloop.run(step(int(rest[0]), int(rest[1]), float(rest[2]), 0.41))
    elif what == "open":
        uvloop.run(open_load(int(rest[0]), int(rest[1]), float(rest[2]), float(rest[3]), 0.41))
    elif what == "many":
        at_once, stalled = int(rest[1]), int(rest[3])
        uvloop.run(callers(int(rest[0]), 1, float(rest[2]), lambda load, n: Many(load, at_once, stalled)))
    else:
        uvloop.run(callers(int(rest[0]), int(rest[1]), float(rest[2]), FastcgiCaller if fastcgi else Caller))
