"""`python -m benchmarks.storm_sockets`: the same storm in real time: four real processes before a thousand clients.

Twelve stand-in upstreams of one slot (`standins/cold.py`) are lost for some seconds and come back cold, listed by a
stand-in discovery; clients come with the usual habits, each try on a connection of its own. Played without the part and
with it. Printed are the falls, how often an id has run twice, what was served within its aim of the first tries that
came in the seconds after the return, by class and by habit, and by how much the clients' own loop was late. Last
comes the part of `publicar` that was served within its aim meanwhile, with the part on.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.hot_path import ROOT
from standins.cold import ColdUpstream, Crowd, Seen
from standins.peers import FakeDiscovery
from standins.ports import free_port
from standins.returning import CLASSES, COLD_MS, COLD_SHARE, FALL, FALL_MS, HABITS, TENANTS

EFFECTS = ("read_like", "idempotency_key", "non_idempotent")
DOWN, BACK, END, RECOVERS = 5.0, 11.0, 24.0, 7


def settings(me: int, copies: int) -> dict[str, Any]:
    return {
        "Categories": [
            {
                "Name": cls.name,
                "Effect": EFFECTS[n],
                "AimMs": cls.aim_ms,
                "HardLimitMs": cls.deadline_ms,
                "Group": "zone",
                "MemorySpanMs": cls.memory_ms,
                "Worth": cls.worth,
            }
            for n, cls in enumerate(CLASSES)
        ],
        "Tenants": [
            {"Name": f"t{n}", "QuotaPerS": 100 * part, "Fraction": part} for n, part in enumerate(TENANTS)
        ],
        "Zones": ["north"],
        "MachineTypes": ["box"],
        "Tiers": ["front"],
        "Me": me,
        "PeersTotal": copies,
        "Discovery": "pushed",
        "Clients": {"MarksRetry": True},
        "Guarantees": {
            "AnswerSlackMs": 5,
            "ColdShare": COLD_SHARE,
            "ColdMs": COLD_MS,
            "DrainGraceMs": 500,
            "FallMultiple": FALL,
            "FallMs": FALL_MS,
        },
        "PolicyLimits": {
            "SendCap": 4,
            "MayCancel": True,
            "SecondCopies": True,
            "ConnIdleMs": 60000,
            "ConnectTimeoutMs": 250,
            "RetryAfter": True,
            "MaxRetryAfterMs": 2000,
        },
        "Stats": {"How": "off", "Fields": []},
    }


async def ready(port: int) -> None:
    for _ in range(500):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            if b" 200 " in answer[:20]:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)
    raise TimeoutError(f"nothing is ready on {port}")


async def play(on: bool, options: argparse.Namespace, folder: Path) -> tuple[Crowd, list[ColdUpstream]]:
    upstreams = [ColdUpstream(f"u{n}", options.service_ms) for n in range(options.upstreams)]
    for upstream in upstreams:
        await upstream.start()
    discovery = await FakeDiscovery([upstream.entry() for upstream in upstreams]).start()
    operator = folder / "operator.toml"
    operator.write_text("[storms]\non = true\n" if on else "")
    ports, processes = [], []
    for n in range(options.copies):
        port = free_port()
        path = folder / f"config{n}.json"
        data = {
            "name": f"n{n}",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 1024},
            "known": discovery.whole(),
            "settings": settings(n, options.copies),
        }
        path.write_text(json.dumps(data))
        processes.append(
            await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "larkweir", "run", "--operator", str(operator)),
                cwd=ROOT,
                env=os.environ | {"GW_CONFIG": str(path)},
                stderr=None if options.logs else asyncio.subprocess.DEVNULL,
            )
        )
        ports.append(port)
    try:
        for port in ports:
            await ready(port)
        crowd = Crowd(ports, HABITS, seed=options.seed)
        per_s = 0.7 * options.upstreams * 1000.0 / options.service_ms

        async def outage() -> None:
            await asyncio.sleep(DOWN)
            for upstream in upstreams:
                upstream.stop()
            await asyncio.sleep(0.5)
            discovery.change(*(upstream.entry("left") for upstream in upstreams))
            await asyncio.sleep(BACK - DOWN - 0.5)
            for upstream in upstreams:
                await upstream.start(cold=True)
            await asyncio.sleep(0.3)
            discovery.change(*(upstream.entry() for upstream in upstreams))

        await asyncio.gather(crowd.run(options.clients, per_s, END), outage())
        return crowd, upstreams
    finally:
        for process in processes:
            process.kill()
            await process.wait()
        discovery.stop()
        for upstream in upstreams:
            upstream.stop()


def part(row: Seen) -> str:
    return f"{row.in_aim / max(1, row.asked):.2f} of {row.asked}"


async def measure(options: argparse.Namespace) -> int:
    last = 0.0
    for on in (False, True):
        with tempfile.TemporaryDirectory() as name:
            crowd, upstreams = await play(on, options, Path(name))
        span = range(int(BACK), int(BACK) + RECOVERS)
        print("on" if on else "off", flush=True)
        print(f"  falls {sum(upstream.falls for upstream in upstreams)}", end="")
        twice = sum(times > 1 for upstream in upstreams for times in upstream.runs.values())
        print(
            f"  ids that ran twice at one server {twice}  the clients' loop late by {crowd.late * 1e3:.0f} ms"
        )
        for at, cls in enumerate(CLASSES):
            row = crowd.total(lambda second, c, habit, at=at, span=span: c == at and second in span)
            whole = crowd.total(lambda second, c, habit, at=at: c == at and second >= BACK + RECOVERS)
            print(f"  {cls.name:10} {part(row)} while it recovers, {part(whole)} afterwards")
            if at == 1:
                last = row.in_aim / max(1, row.asked)
        for habit in HABITS:
            row = crowd.total(
                lambda second, c, name, habit=habit, span=span: name == habit.name and second in span
            )
            print(f"    {habit.name:12} {part(row)}, {row.tries / max(1, row.asked):.2f} tries")
    print(f"publicar within its aim while the tier recovers, with the part on: {last:.2f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--clients", type=int, default=1000)
    parser.add_argument("--upstreams", type=int, default=12)
    parser.add_argument("--service-ms", type=float, default=50.0)
    parser.add_argument("--copies", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", action="store_true")
    return asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
