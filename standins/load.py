"""A closed loop of callers and its upstreams, as lean as the libraries allow, for measurements of throughput.

python -m standins.load upstreams COUNT                  prints the ports, then serves
python -m standins.load callers PORT COUNT SECONDS       prints `answers seconds p50_ms p99_ms not_served`
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
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


class Load:
    def __init__(self) -> None:
        self.spent: list[float] = []
        self.not_served = 0
        self.lost = 0
        self.ending = False


async def upstreams(count: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Upstream, "127.0.0.1", 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await asyncio.Event().wait()


async def callers(port: int, count: int, seconds: float) -> None:
    load = Load()
    loop = asyncio.get_running_loop()
    for n in range(count):
        await loop.create_connection(lambda n=n: Caller(load, n), "127.0.0.1", port)  # type: ignore[misc]
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


if __name__ == "__main__":
    if sys.argv[1] == "upstreams":
        uvloop.run(upstreams(int(sys.argv[2])))
    else:
        uvloop.run(callers(int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
