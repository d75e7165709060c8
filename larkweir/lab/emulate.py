"""A scenario's servers emulated on local sockets, with balancer processes before them, for comparison with the model.

Each server works on up to `slots` calls at a time and queues the rest in order; service times are drawn as in the
model. Servers sleep instead of working, so that a machine with few cores holds many. Stalls, refusals, slow periods
and crashes come when the scenario says.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any

import httptools

from larkweir.lab.load import Target
from larkweir.lab.local import SETTINGS, discovery, port_of
from larkweir.lab.scenario import Fault, Scenario, Servers, service_of, time_ms
from larkweir.lab.service_times import draw

READY_S = 20.0


class EmulationError(RuntimeError):
    """The fleet could not be started; the message says why."""


class _Talk(asyncio.Protocol):
    """A connection from a balancer, which carries one request at a time."""

    def __init__(self, server: Emulated) -> None:
        self.server = server
        self.gone = False
        self._parser: Any = httptools.HttpRequestParser(self)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.gone = True
        self.server.links.discard(self)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_message_complete(self) -> None:
        self.server.take(self)

    def answer(self, status: bytes, more: bytes = b"") -> None:
        if not self.gone:
            self.transport.write(b"HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n" % (status, more))


class Emulated:
    """One emulated server."""

    def __init__(self, row: Servers, number: int, seed: int) -> None:
        self.row, self.number = row, number
        self._service = service_of(row.service, "service")
        self._rng = Random(f"{seed} service {number}")
        self._waiting: deque[_Talk] = deque()
        self._running = 0
        self.stalled = self.refusing = False
        self.slower = 1.0
        self.calls = 0
        self.port = 0
        self.links: set[_Talk] = set()
        self._listening: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, at the same port as before if there was one."""
        loop = asyncio.get_running_loop()
        self._listening = await loop.create_server(lambda: _Talk(self), "127.0.0.1", self.port)
        self.port = int(self._listening.sockets[0].getsockname()[1])

    def crash(self) -> None:
        """Close the listening socket, reset all connections and forget the queue."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        for link in list(self.links):
            link.transport.abort()
        self._waiting.clear()

    def take(self, talk: _Talk) -> None:
        """A request has arrived: answer that the server is full, or queue it."""
        if self.refusing or self._running + len(self._waiting) >= self.row.slots + self.row.queue:
            talk.answer(b"503 Full", b"X-Never-Ran: 1\r\n")
            return
        self.calls += 1
        self._waiting.append(talk)
        self.go_on()

    def go_on(self) -> None:
        """Work on waiting requests while there are free slots."""
        while self._waiting and self._running < self.row.slots and not self.stalled:
            talk = self._waiting.popleft()
            if talk.gone:
                continue  # a request that was given up takes no slot
            self._running += 1
            spent = draw(self._service, self._rng) / self.row.speed * self.slower
            asyncio.get_running_loop().call_later(spent / 1000.0, self._finish, talk)

    def _finish(self, talk: _Talk) -> None:
        if self.stalled:
            asyncio.get_running_loop().call_later(0.001, self._finish, talk)
            return
        self._running -= 1
        talk.answer(b"200 OK")
        self.go_on()

    async def apply_fault(self, fault: Fault, on: bool) -> None:
        """Begin a fault, or end it."""
        if fault.kind == "stall":
            self.stalled = on
            self.go_on()
        elif fault.kind == "slow":
            self.slower = fault.factor if on else 1.0
        elif fault.kind == "refuse":
            self.refusing = on
        elif on:
            self.crash()
        else:
            await self.start()


class Fleet:
    """The servers, the discovery service that lists them, and the balancers."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario, self.seed = scenario, seed
        rows = [row for row in scenario.servers for _ in range(row.count * scenario.scale)]
        self.servers = [Emulated(row, n, seed) for n, row in enumerate(rows)]
        self.targets: list[Target] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._discovery: asyncio.Server | None = None

    def settings(self) -> dict[str, Any]:
        """The platform settings for the scenario."""
        it = self.scenario
        kept = SETTINGS["Categories"][0]
        cls = kept | {"AimMs": time_ms(it.aim, "aim"), "HardLimitMs": time_ms(it.deadline, "deadline")}
        limits = SETTINGS["PolicyLimits"] | {"SendCap": it.attempts}
        # A server of the list has no start of its own here, so that none counts as cold.
        return SETTINGS | {"Categories": [cls], "PolicyLimits": limits, "Instances": it.balancers}

    async def start(self, folder: Path) -> None:
        """Start the servers, discovery and the balancers, which log to `folder`. EmulationError with the reason."""
        self._check()
        for server in self.servers:
            await server.start()
        entries = [
            {
                "instanceId": f"s{server.number}",
                "hostPort": f"127.0.0.1:{server.port}",
                "zone": "here",
                "machineType": "demo",
                "lifecycle": "active",
            }
            for server in self.servers
        ]
        self._discovery = await discovery(entries)
        for n in range(self.scenario.balancers):
            raw = {
                "name": f"b{n}",
                "listen": "127.0.0.1:0",
                "discovery": f"127.0.0.1:{port_of(self._discovery)}",
                "seed": f"{self.seed * 5_003 + n:x}",
                "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 4_096},
                "settings": self.settings(),
            }
            path = folder / f"{n}.json"
            path.write_text(json.dumps(raw))
            port = await self._launch(path, folder / f"{n}.log")
            self.targets.append(Target("127.0.0.1", port))

    def _check(self) -> None:
        """EmulationError where the scenario has what only the model can simulate."""
        it = self.scenario
        if any(row.discipline == "shared" or row.tier for row in it.servers):
            raise EmulationError(
                "servers that share their speed and further tiers are played by the model alone"
            )
        if it.classes or it.tenants or it.profile or time_ms(it.crossing, "crossing"):
            raise EmulationError("classes, tenants, profiles and crossings are played by the model alone")
        if (
            it.storms
            or it.budget
            or it.client_tries > 1
            or any(fault.kind in ("deploy", "fail") for fault in it.faults)
        ):
            raise EmulationError(
                "storms, budgets, clients that try again, deploys and failing servers are for the model alone"
            )

    async def _launch(self, path: Path, log: Path) -> int:
        """A balancer on a port that the system gives; where it listens is asked of the system."""
        environment = os.environ | {"GW_CONFIG": str(path)}
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "larkweir", "run", env=environment, stderr=file, stdout=file
            )
        self._processes.append(process)
        for _ in range(round(READY_S / 0.02)):
            if process.returncode is not None:
                said = log.read_text(errors="replace").strip().splitlines()
                raise EmulationError(said[-1] if said else f"a balancer ended with {process.returncode}")
            port = _listening(process.pid)
            if port and await _ready(port):
                return port
            await asyncio.sleep(0.02)
        raise EmulationError("a balancer did not come up")

    def begin(self) -> None:
        """Schedule the scenario's faults from now on."""
        loop = asyncio.get_running_loop()
        for n, fault in enumerate(self.scenario.faults):
            if fault.server >= 0:
                struck = [self.servers[fault.server]]
            elif fault.zone:
                struck = [server for server in self.servers if server.row.zone == fault.zone]
            else:
                rng = Random(f"{self.seed} fault {n}")
                struck = rng.sample(self.servers, max(1, round(fault.part * len(self.servers))))
            self._tasks.append(loop.create_task(self._fault(fault, struck)))

    @staticmethod
    async def _fault(fault: Fault, struck: list[Emulated]) -> None:
        at = time_ms(fault.at, "at")
        await asyncio.sleep(at / 1000.0)
        for server in struck:
            await server.apply_fault(fault, True)
        if fault.until:
            await asyncio.sleep(max(0.0, time_ms(fault.until, "until") - at) / 1000.0)
            for server in struck:
                await server.apply_fault(fault, False)

    async def stop(self) -> None:
        """Stop everything; also after a start that has failed."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for server in self.servers:
            server.crash()
        if self._discovery is not None:
            self._discovery.close()


def _listening(pid: int) -> int:
    """The port that a process listens on (proc(5), /proc/net/tcp); 0 while it does not."""
    try:
        mine = {os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")}
        rows = Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]
    except OSError:
        return 0
    for row in rows:
        words = row.split()
        if words[3] == "0A" and f"socket:[{words[9]}]" in mine:
            return int(words[1].rpartition(":")[2], 16)
    return 0


async def _ready(port: int) -> bool:
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: load\r\nConnection: close\r\n\r\n")
        said = await reader.readline()
        writer.close()
        return b" 200 " in said
    return False


@asynccontextmanager
async def emulated(scenario: Scenario, seed: int) -> AsyncIterator[Fleet]:
    """Servers and balancers, ready; all of it ends with the block."""
    fleet = Fleet(scenario, seed)
    with tempfile.TemporaryDirectory(prefix="larkweir-load-") as folder:
        try:
            await fleet.start(Path(folder))
            yield fleet
        finally:
            await fleet.stop()
