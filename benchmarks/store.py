"""`python -m benchmarks.store`: what a promise costs: latency of requests with and without, recovery, and SQLite
beside it.

One process, one upstream that answers at once, callers one after another that ask what may not run twice: p50 and p99
without a store, with `durable = "soon"`, with `durable = "unsafe"`, in turn, round after round. Recovery: the time to
read 1,000 and 100,000 records. Beside the own log, the same records one by one and in groups of 16 through SQLite
with a write-ahead log and `synchronous = FULL`. The folder is `--folder`, on the disk to be measured. Last comes what
"unsafe" adds to a request at p50, in ms.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sqlite3
import sys
import tempfile
import time
from pathlib import Path
from statistics import median, quantiles

from benchmarks.hot_path import ROOT, SETTINGS
from larkweir.store.disk import Disk, Files
from larkweir.store.records import Record, RecordKind
from larkweir.store.recovery import recover
from larkweir.store.state import StoredState
from standins.peers import FakeUpstream
from standins.ports import free_port

SITE = b"benchmrk"


def began(number: int) -> Record:
    return Record(RecordKind.BEGAN, [f"{number:032x}", 1e12 + number, 2000.0])


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, trace: str) -> float:
    begun = time.perf_counter()
    writer.write(
        f"POST /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace}\r\nX-Qos: move\r\nX-Customer: acme\r\n"
        "Content-Length: 1\r\n\r\nx".encode()
    )
    head = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head[:20], head
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    await reader.readexactly(length)
    return (time.perf_counter() - begun) * 1000.0


async def latency(mode: str, folder: Path, count: int, callers: int) -> list[float]:
    """Milliseconds of each request."""
    upstream = await FakeUpstream().start()
    port = free_port()
    settings = json.loads(json.dumps(SETTINGS))
    settings["Categories"].append(
        {"Name": "move", "Effect": "non_idempotent", "AimMs": 5000, "HardLimitMs": 8000}
    )
    data = {
        "name": "store",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": [upstream.entry("u0")]},
        "settings": settings,
    }
    with tempfile.TemporaryDirectory(dir=folder) as name:
        config, operator = Path(name) / "config.json", Path(name) / "operator.toml"
        config.write_text(json.dumps(data))
        store = f'[store]\non = true\npath = "{name}/store"\ndurable = "{mode}"\n' if mode else ""
        operator.write_text(store)
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "larkweir", "run", "--operator", str(operator)),
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(config)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            for _ in range(1000):
                try:
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            times: list[float] = []

            async def caller(n: int) -> None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                for number in range(count // callers):
                    spent = await ask(reader, writer, f"{mode}{n}-{number}")
                    if number >= 5:
                        times.append(spent)
                writer.close()

            await asyncio.gather(*(caller(n) for n in range(callers)))
            return times
        finally:
            process.kill()
            await process.wait()
            upstream.close()


def own_log(folder: Path, count: int, group: int) -> float:
    """Milliseconds a group, flushed."""
    with tempfile.TemporaryDirectory(dir=folder) as name:
        disk = Disk(Files(f"{name}/s"), SITE)
        disk.open()
        disk.begin_generation(None, StoredState())
        begun = time.perf_counter()
        for at in range(0, count, group):
            disk.append([began(at + n) for n in range(group)], True)
        spent = time.perf_counter() - begun
        disk.close()
        return spent / (count / group) * 1000.0


def sqlite_log(folder: Path, count: int, group: int) -> float:
    with tempfile.TemporaryDirectory(dir=folder) as name:
        base = sqlite3.connect(f"{name}/s.db", isolation_level=None)
        base.execute("pragma journal_mode = wal")
        base.execute("pragma synchronous = full")
        base.execute("create table open (trace text primary key, began real, span real)")
        begun = time.perf_counter()
        for at in range(0, count, group):
            base.execute("begin")
            base.executemany("insert into open values (?, ?, ?)", [began(at + n).body for n in range(group)])
            base.execute("commit")
        spent = time.perf_counter() - begun
        base.close()
        return spent / (count / group) * 1000.0


def recovery(folder: Path, count: int) -> float:
    """Milliseconds until the state is there."""
    with tempfile.TemporaryDirectory(dir=folder) as name:
        disk = Disk(Files(f"{name}/s"), SITE)
        disk.open()
        disk.begin_generation(None, StoredState())
        disk.append([began(n) for n in range(count)], True)
        disk.close()
        begun = time.perf_counter()
        found = {path.name: path.read_bytes() for path in Path(f"{name}/s").iterdir() if path.suffix}
        assert recover(found, SITE).records == count
        return (time.perf_counter() - begun) * 1000.0


async def measure(options: argparse.Namespace) -> int:
    folder = options.folder
    for group in (1, 16):
        own = median(own_log(folder, 320, group) for _ in range(3))
        theirs = median(sqlite_log(folder, 320, group) for _ in range(3))
        print(f"{group:2} records and a flush: own log {own:.3f} ms, SQLite {theirs:.3f} ms")
    for count in (1_000, 100_000):
        print(f"recovery of {count} records: {median(recovery(folder, count) for _ in range(3)):.1f} ms")
    p50 = {}
    for callers in (1, 30):
        rows: dict[str, list[float]] = {"": [], "soon": [], "unsafe": []}
        for _ in range(options.rounds):
            for mode in rows:
                rows[mode] += await latency(mode, folder, options.requests, callers)
        for mode, times in rows.items():
            cuts = quantiles(times, n=100)
            p50[callers, mode] = cuts[49]
            name = f'durable = "{mode}"' if mode else "no store"
            print(f"{callers:2} callers, {name:20} p50 {cuts[49]:7.2f} ms  p99 {cuts[98]:7.2f} ms")
    print(f'added by "unsafe" at p50, one caller, ms: {p50[1, "unsafe"] - p50[1, ""]:.2f}')
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path(tempfile.gettempdir()))
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--requests", type=int, default=600)
    return asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
