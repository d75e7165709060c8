"""`python -m benchmarks.cold_start`: a start from a list on disk while discovery is down, and what keeping it costs.

For 20, 2,000 and 50,000 upstreams that a store lists (all at the addresses of a few stand-ins): the time from the start
of the process to the first request served, beside that of the same process without a store and with the list in its
configuration. Then, in one process, a list of so many lines in which
1% changes every second is kept for some seconds: bytes written a minute, and how late the event loop was meanwhile at
p99.9, beside the same loop that keeps nothing. Last comes that difference at 2,000 lines, in ms (aim: below 1).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from statistics import median
from typing import Any

from benchmarks.hot_path import ROOT, SETTINGS
from larkweir.background.runner import Runner
from larkweir.config.options import Store
from larkweir.config.platform import decode
from larkweir.core.clock import Clock
from larkweir.membership.discovery import Discovery
from larkweir.membership.listing import InstanceRow
from larkweir.membership.remembered.evidence import EvidenceKind
from larkweir.store.disk import Disk, Files
from larkweir.store.state import StoredState
from larkweir.store.state_store import StateStore, site_id
from standins.peers import FakeUpstream, entry
from standins.ports import free_port

SIZES = (20, 2_000, 50_000)


def data_of(port: int, known: dict[str, Any], upstreams: list[int]) -> dict[str, Any]:
    return {
        "name": "cold",
        "listen": f"127.0.0.1:{port}",
        "discovery": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 190, "sockets": 1024},
        "known": known,
        "settings": json.loads(json.dumps(SETTINGS)),
    }


def rows_of(count: int, ports: list[int]) -> dict[str, dict[str, Any]]:
    return {f"s-{n:08x}": entry(f"s-{n:08x}", ports[n % len(ports)]) for n in range(count)}


def keep(folder: Path, data: dict[str, Any], rows: dict[str, dict[str, Any]]) -> None:
    disk = Disk(Files(str(folder)), site_id(decode(json.dumps(data), {})))
    disk.open()
    state, now = StoredState(), time.time() * 1000.0
    state.clock_ms = state.answered_ms = now
    state.source, state.generation, state.listed = data["discovery"], 9, rows
    state.served = {name: (now, EvidenceKind.ANSWERED) for name in rows}
    disk.begin_generation(None, state)
    disk.close()


async def first_served(data: dict[str, Any], folder: Path, store: bool) -> tuple[float, float]:
    """Milliseconds from the start to /ready and to the first request served."""
    config, operator = folder / "config.json", folder / "operator.toml"
    config.write_text(json.dumps(data))
    operator.write_text(f'[store]\non = true\npath = "{folder}/store"\n' if store else "")
    begun = time.perf_counter()
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "larkweir", "run", "--operator", str(operator)),
        cwd=ROOT,
        env=os.environ | {"GW_CONFIG": str(config)},
        stderr=asyncio.subprocess.DEVNULL,
    )
    port = int(data["listen"].rpartition(":")[2])
    times = []
    try:
        for target, headers in (
            ("/ready", ""),
            ("/api", f"X-Trace-Id: {'0' * 31}1\r\nX-Qos: look\r\nX-Customer: acme\r\n"),
        ):
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n".encode())
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.close()
                    if b" 200 " in head[:20]:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                await asyncio.sleep(0.005)
            times.append((time.perf_counter() - begun) * 1000.0)
        return times[0], times[1]
    finally:
        process.kill()
        await process.wait()


async def starts(count: int, rounds: int) -> None:
    upstreams = [await FakeUpstream(keep=False).start() for _ in range(4)]
    ports = [upstream.port for upstream in upstreams]
    rows = rows_of(count, ports)
    known = {"generation": 1, "reset": True, "instances": list(rows.values())}
    found: dict[bool, list[tuple[float, float]]] = {False: [], True: []}
    for _ in range(rounds):
        for store in found:
            with tempfile.TemporaryDirectory() as name:
                data = data_of(free_port(), {} if store else known, ports)
                if store:
                    keep(Path(name) / "store", data, rows)
                found[store].append(await first_served(data, Path(name), store))
    for store, times in found.items():
        ready, served = (median(row[at] for row in times) for at in (0, 1))
        what = "from the store" if store else "from the configuration"
        print(f"{count:6} upstreams, {what:22}: ready {ready:7.0f} ms, first served {served:7.0f} ms")
    for upstream in upstreams:
        upstream.close()


class Stands:
    """Stands for the node, with a real list."""

    def __init__(self, discovery: Discovery, clock: Clock) -> None:
        self.discovery, self.clock = discovery, clock

    def is_complete(self) -> bool:
        return True

    def changed_ids(self) -> set[str]:
        return self.discovery.held.changed_ids or set()

    def row(self, name: str) -> InstanceRow | None:
        return self.discovery.row(name)

    def generation(self) -> int:
        return self.discovery.generation

    def answered_ms(self) -> float:
        return self.clock.now_ms()

    def evidence(self, max_count: int) -> dict[str, Any]:
        return {}

    def drains(self) -> dict[str, float]:
        return {}

    def learned(self) -> dict[str, Any]:
        return {}

    def source(self) -> str:
        return "127.0.0.1:1"


async def stalls(count: int, seconds: float, keeps: bool) -> tuple[float, float]:
    """How late the loop was at p99.9, in ms, and bytes written a minute."""
    with tempfile.TemporaryDirectory() as name:
        data = data_of(free_port(), {}, [9])
        config = decode(json.dumps(data), {})
        clock = Clock(asyncio.get_running_loop())
        discovery = Discovery(config, lambda listing: None, lambda line: None)
        discovery.held.changed_ids = set()
        rows = rows_of(count, [9])
        discovery.held.replace(list(rows.values()))
        state_store = None
        if keeps:
            state_store = StateStore(Store(on=True, path=f"{name}/store"), config, clock, print)
            state_store.open()
            runner = Runner(clock, lambda: False, print, Random(1))
            state_store.attach(Stands(discovery, clock), runner)
            while discovery.held.changed_ids:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
        folder = Path(name) / "store"
        before = sum(path.stat().st_size for path in folder.iterdir()) if keeps else 0
        rng, late, end, change = Random(1), [], time.perf_counter() + seconds, 0.0
        while (now := time.perf_counter()) < end:
            if now >= change:
                change = now + 1.0
                some = rng.sample(sorted(rows), max(1, count // 100))
                part = [rows[item] | {"weight": rng.random()} for item in some]
                discovery.held.merge(part)
                now = time.perf_counter()  # what discovery's own word costs is not what keeping it costs
            await asyncio.sleep(0.001)
            late.append((time.perf_counter() - now) * 1000.0 - 1.0)
        written = sum(path.stat().st_size for path in folder.iterdir()) - before if keeps else 0
        if state_store is not None:
            state_store.close()
        return sorted(late)[int(len(late) * 0.999)], written / seconds * 60.0


async def measure(options: argparse.Namespace) -> int:
    for count in SIZES:
        await starts(count, options.rounds)
    added = 0.0
    for count in SIZES:
        plain = median([(await stalls(count, options.seconds, False))[0] for _ in range(options.rounds)])
        rows = [await stalls(count, options.seconds, True) for _ in range(options.rounds)]
        kept = median(row[0] for row in rows)
        print(
            f"{count:6} lines, 1% changing a second: late at p99.9 {kept:.2f} ms keeping it, {plain:.2f} ms without; "
            f"{median(row[1] for row in rows) / 1024.0:.0f} KiB a minute"
        )
        added = kept - plain if count == 2_000 else added
    print(f"added at p99.9 by keeping 2,000 lines, ms: {added:.2f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    return asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
