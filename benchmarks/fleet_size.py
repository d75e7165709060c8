"""`python -m benchmarks.fleet_size`: what one controller costs as routers and upstreams grow.

One real controller process with a real disk, alone in its group, on loopback. In another process stand hollow routers:
the real `FleetView` and `DataPlane` of a router, without clients, each using a few tenants, so that pulls carry usage
and are answered with quotas. They take configurations without reading them: one process can't read for hundreds.
Hollow upstreams send heartbeats on kept connections, as many as a seventh of the fleet's (one controller of seven).
For each size, over some seconds: the controller's part of a core and memory, bytes that it exchanges with a router in a
second, the routers' own part of a core each, and how long a change takes until all routers have it. Times are of this
machine. The slopes between the largest two sizes come last.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import msgspec
import uvloop

from larkweir.system.client import call
from larkweir.system.messages import ConfigUpdate
from larkweir.system.router.configuration import Configuration, ConfigurationStore, RoutingTable
from larkweir.system.router.data_plane import DataPlane
from larkweir.system.router.fleet_view import FleetView
from larkweir.system.settings import VARIABLE, Bounds, Settings, parse

SIZES = ((50, 180), (150, 540), (470, 1_700))  # routers, upstreams of the whole fleet
CONTROLLERS = 7  # among which the whole fleet's heartbeats are spread
HEARTBEAT_S = 1.2
TENANTS = 700
USED = 5  # tenants that one router serves at a time
SERVICES = 7
ROUTES = 200
TICK_S = 0.1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class Row(NamedTuple):
    """One size, measured."""

    routers: int
    upstreams: int
    core: float  # the controller's part of one
    memory_mb: float
    router_bytes_s: float  # both ways, between the controller and one router
    router_core: float  # of one hollow router
    change_ms: float  # until the last router has a change in force


def configuration(generation: int) -> dict[str, Any]:
    """With the target's numbers of services and tenants."""
    services = [{"name": f"s{n}", "engine": {"slots": 64}} for n in range(SERVICES)]
    routes = [
        {
            "name": f"r{n}",
            "host": "a.example",
            "path_prefix": f"/{n}/",
            "kind": "streaming",
            "timeout_ms": 1000 + (generation if n == 0 else 0),
            "backend": f"s{n % SERVICES}",
        }
        for n in range(ROUTES)
    ]
    tenants = [
        {"name": f"t{n}", "api_keys": [f"k{n}"], "rate_per_s": 1e6, "burst": 1e6} for n in range(TENANTS)
    ]
    return {"generation": generation, "routes": routes, "services": services, "tenants": tenants}


def settings(node: str, port: int, listen: dict[str, str], folder: str | None) -> dict[str, Any]:
    """Of the controller and of the hollow routers."""
    return {
        "node": node,
        "ip": node,
        "zone": "z",
        "port_range": [port, port],
        "seeds": [f"127.79.0.1:{port + 1}"],
        "listen": listen,
        "bootstrap": True,
        "counts_for_quorum": bool(listen),
        "data_dir": folder,
        "fault_tolerance": {"machines": 0},
    }


class HollowStore(ConfigurationStore):
    """Takes a configuration for its sequence alone."""

    def apply(self, update: ConfigUpdate) -> bool:
        """Whether it is newer."""
        if update.sequence <= self.sequence:
            return False
        self.sequence = update.sequence
        self.table = TABLE
        return True


class HollowRouter:
    """A router's view of the fleet and its data plane, without clients."""

    def __init__(self, config: Settings, rng: Random) -> None:
        """`rng` picks the tenants that it uses."""
        self.plane = DataPlane(Bounds(), rng)
        self.plane.configuration = HollowStore()
        self.view = FleetView(config, self.plane)
        self._tenants = rng.sample(range(TENANTS), USED)

    def tick(self, now_ms: float) -> None:
        """Uses its tenants, as requests would."""
        self.view.tick()
        for number in self._tenants:
            self.plane.quotas.admit(f"t{number}", 1.0, now_ms)


TABLE = RoutingTable(msgspec.convert(configuration(1), Configuration))


async def beat(control: str, number: int, stop: asyncio.Event) -> None:
    """One hollow upstream on a kept connection, which stays with this controller."""
    host, _, port = control.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    sequence = 0
    await asyncio.sleep(HEARTBEAT_S * (number % 97) / 97)
    while not stop.is_set():
        sequence += 1
        body = msgspec.json.encode(
            {
                "backend": f"s{number % SERVICES}",
                "address": f"127.79.1.1:{10_000 + number}",
                "zone": "z",
                "state": "ready",
                "slots": 64,
                "sequence": sequence,
            }
        )
        head = f"PUT /instances/i-{number} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)  # {}
        await asyncio.sleep(HEARTBEAT_S)
    writer.close()


def processor_s(pid: int) -> float:
    """That a process has used, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def memory_mb(pid: int) -> float:
    """Resident, of a process."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE / 1e6


def loopback_bytes() -> int:
    """That have gone over the loopback interface."""
    line = next(line for line in Path("/proc/net/dev").read_text().splitlines() if "lo:" in line)
    return int(line.split(":")[1].split()[0])


async def measure(
    control: str, port: int, pid: int, routers: int, upstreams: int, for_s: float, base: int
) -> Row:
    """One size."""
    config = parse(msgspec.json.encode(settings("127.79.0.2", port, {}, None)))
    hollow = [HollowRouter(config, Random(n)) for n in range(routers)]
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()

    async def tick() -> None:
        while not stop.is_set():
            for router in hollow:
                router.tick(loop.time() * 1000.0)
            await asyncio.sleep(TICK_S)

    tasks = [loop.create_task(tick())]
    beating = [loop.create_task(beat(control, n, stop)) for n in range(upstreams // CONTROLLERS)]
    while any(router.plane.configuration.sequence < 0 for router in hollow):
        await asyncio.sleep(TICK_S)
    await asyncio.sleep(2 * HEARTBEAT_S)
    began, used, own, moved = time.monotonic(), processor_s(pid), time.process_time(), loopback_bytes()
    await asyncio.sleep(for_s)
    passed = time.monotonic() - began
    core = (processor_s(pid) - used) / passed
    moved_s = (loopback_bytes() - moved) / passed
    beats = (
        upstreams // CONTROLLERS / HEARTBEAT_S * 700.0
    )  # of one heartbeat and its answer, with their heads
    router_core = (time.process_time() - own) / passed / routers
    change_ms = await change(control, hollow, base)
    stop.set()
    await asyncio.gather(*tasks, *beating)
    row = Row(
        routers,
        upstreams,
        core,
        memory_mb(pid),
        (moved_s - beats) / routers,
        router_core,
        change_ms,
    )
    for router in hollow:
        router.view.close()
    return row


async def change(control: str, hollow: list[HollowRouter], base: int) -> float:
    """A change of one route; milliseconds until the last router has it in force."""
    patch = {"generation": base + 1, "upsert": {"routes": configuration(base + 1)["routes"][:1]}}
    known = max(router.plane.configuration.sequence for router in hollow)
    before = time.monotonic()
    answer = await asyncio.to_thread(call, [control], "PATCH", "/config", msgspec.json.encode(patch), base)
    assert answer.status == 200, answer
    while True:
        if all(router.plane.configuration.sequence > known for router in hollow):
            return (time.monotonic() - before) * 1000.0
        await asyncio.sleep(0.002)


async def play(sizes: list[tuple[int, int]], for_s: float) -> list[Row]:
    """Starts the controller and measures all sizes."""
    port = 30_000 + os.getpid() % 2_000 * 4
    control = f"127.79.0.1:{port + 1}"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.yaml"
        path.write_bytes(msgspec.json.encode(settings("127.79.0.1", port, {"control": control}, folder)))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "larkweir.system",
            "controller",
            env={**os.environ, VARIABLE: str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            document = msgspec.json.encode(configuration(1))
            await asyncio.to_thread(call, [control], "PUT", "/config", document, 0)
            rows = []
            for base, (routers, upstreams) in enumerate(sizes, start=1):
                rows.append(await measure(control, port, process.pid, routers, upstreams, for_s, base))
                print("{:7d} {:9d} {:6.3f} {:6.1f} {:8.0f} {:9.5f} {:7.0f}".format(*rows[-1]), flush=True)
            return rows
        finally:
            process.send_signal(signal.SIGTERM)
            await process.wait()


def main() -> None:
    """Prints a row for each size and the slopes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    print("routers upstreams   core     MB  B/s/rtr   rtr core  change ms")
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rows = runner.run(play(list(SIZES), options.seconds))
    one, two = rows[-2:]
    more = two.routers - one.routers
    print(
        f"a further router: {(two.core - one.core) / more:.6f} of a controller's core, "
        f"{(two.memory_mb - one.memory_mb) / more:.3f} MB of its memory"
    )


if __name__ == "__main__":
    main()
