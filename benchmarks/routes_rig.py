"""`python -m benchmarks.routes_rig`: twenty real balancers with routes before forty stand-in upstreams in three zones.

A canary pool of the third machine type gets 30% by request; from some second on its upstreams fail 5% of what they
are sent with 500 (which may have run), for unsafe requests too. Each balancer has a trial of its own: how many have
ended the canary and when, how many ended it before there was anything wrong. Then a zone is lost without a word: the
part served within the aim in the seconds after, with routes and (a second play, with `--plain`) without. A ledger by
id says how often an unsafe request has run twice. Last comes the part of the balancers that ended the canary.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from benchmarks.hot_path import ROOT
from standins.peers import FakeDiscovery, FakeUpstream, Incoming, Talk, ok, read_answer, status
from standins.ports import free_port

ZONES = ("a", "b", "c")
KINDS = ("m1", "m2", "canary")
AIM_MS = 410.0
OPERATOR = """
[pool.main]
kinds = ["m1", "m2"]
[pool.canary]
kinds = ["canary"]
[route.api]
path = "/api"
pool = "main"
split = ["canary 30%"]
sticky = "request"
alarm = 0.01
"""


def settings(me: int, copies: int) -> dict[str, Any]:
    return {
        "Categories": [
            {"Name": "look", "Effect": "read_like", "AimMs": AIM_MS, "HardLimitMs": 1000, "Group": "all"},
            {"Name": "move", "Effect": "non_idempotent", "AimMs": AIM_MS, "HardLimitMs": 1000},
        ],
        "Tenants": [{"Name": "acme", "QuotaPerS": 100_000, "Fraction": 1.0}],
        "Zones": list(ZONES),
        "MyZone": me % 3,
        "Me": me,
        "PeersTotal": copies,
        "MachineTypes": list(KINDS),
        "Tiers": ["front"],
        "Discovery": "pushed",
        "Guarantees": {
            "ColdShare": 0.3,
            "ColdMs": 9000,
            "DrainGraceMs": 500,
            "FallMultiple": 3,
            "FallMs": 1000,
        },
        "PolicyLimits": {"SendCap": 3, "ConnIdleMs": 60000, "ConnectTimeoutMs": 250},
        "Stats": {"How": "off", "Fields": []},
    }


class World:
    def __init__(self) -> None:
        self.rng = Random(1)
        self.broken = False
        self.ran: Counter[str] = Counter()
        self.by_kind: Counter[str] = Counter()

    def upstream(self, kind: str) -> FakeUpstream:
        async def behave(request: Incoming, talk: Talk) -> None:
            trace = request.headers.get("x-trace-id", "")
            if request.headers.get("x-qos") == "move":
                self.ran[trace] += 1
            self.by_kind[kind] += 1
            await asyncio.sleep(0.004)
            bad = self.broken and kind == "canary" and self.rng.random() < 0.05
            await talk.send(status(500) if bad else ok(b"x"))

        return FakeUpstream(behave, keep=False)


class Load:
    """Callers of one balancer, each with a connection, at a steady pace."""

    def __init__(self, port: int, me: int, per_s: float) -> None:
        self.port, self.me, self.per_s = port, me, per_s
        self.rows: list[tuple[float, int, float]] = []  # when, status, ms
        self.over = False

    async def caller(self, n: int, callers: int) -> None:
        reader = writer = None
        number, pause = 0, callers / self.per_s
        due = time.monotonic() + pause * n / callers
        while not self.over:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due = max(due + pause, time.monotonic())
            begun, code = time.monotonic(), 0
            number += 1
            cls, method = ("move", "POST") if number % 4 == 0 else ("look", "GET")
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                assert reader is not None
                writer.write(
                    f"{method} /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {self.me}-{n}-{number}\r\nX-Qos: {cls}\r\n"
                    f"X-Customer: acme\r\nContent-Length: 0\r\n\r\n".encode()
                )
                code = (await read_answer(reader)).status
            except (OSError, AssertionError, asyncio.IncompleteReadError, TimeoutError):
                if writer is not None:
                    writer.close()
                writer = None
            self.rows.append((begun, code, (time.monotonic() - begun) * 1000.0))
        if writer is not None:
            writer.close()


async def play(options: argparse.Namespace) -> int:
    world = World()
    ups: list[tuple[FakeUpstream, str, str]] = []
    for n in range(40):
        kind = KINDS[2] if n % 4 == 3 else KINDS[n % 2]
        ups.append((await world.upstream(kind).start(), kind, ZONES[n % 3]))
    rows = [up.entry(f"u{n}", zone=zone, machineType=kind) for n, (up, kind, zone) in enumerate(ups)]
    discovery = await FakeDiscovery(rows).start()
    folder = Path(tempfile.mkdtemp())
    text = OPERATOR.replace('"m2"]', '"m2"]\nspill = true') if options.spill else OPERATOR
    (folder / "op.toml").write_text("" if options.plain else text)
    processes, loads, logs = [], [], []
    for me in range(options.balancers):
        port = free_port()
        data = {
            "name": f"n{me}",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 512},
            "settings": settings(me, options.balancers),
        }
        path = folder / f"{me}.json"
        path.write_text(json.dumps(data))
        log = (folder / f"{me}.log").open("wb")
        logs.append(log)
        processes.append(
            await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "larkweir", "run", "--operator", str(folder / "op.toml")),
                cwd=ROOT,
                env=os.environ | {"GW_CONFIG": str(path)},
                stderr=log,
            )
        )
        loads.append(Load(port, me, options.rate))
    await asyncio.sleep(3.0)
    if any(process.returncode is not None for process in processes):
        print(f"a balancer did not start: see the logs in {folder}", file=sys.stderr)
        return 1
    tasks = [asyncio.ensure_future(load.caller(n, 4)) for load in loads for n in range(4)]

    def ended() -> int:
        return sum(
            b"gets nothing any more" in (folder / f"{me}.log").read_bytes() for me in range(options.balancers)
        )

    await asyncio.sleep(options.seconds)
    early = ended()
    world.broken = True
    begun, when = time.monotonic(), []
    while time.monotonic() < begun + 3.0 * options.seconds:
        await asyncio.sleep(0.5)
        when += [time.monotonic() - begun] * (ended() - early - len(when))
        if ended() == options.balancers:
            break
    found = ended()
    world.broken = False
    await asyncio.sleep(2.0)
    lost = time.monotonic()
    for up, _, zone in ups:
        if zone == "c":
            up.close()
            for talk in up.talks:
                talk.writer.transport.abort()
    await asyncio.sleep(6.0)
    for load in loads:
        load.over = True
    await asyncio.gather(*tasks)
    for process in processes:
        process.kill()
        await process.wait()
    discovery.stop()
    after = [row for load in loads for row in load.rows if lost <= row[0] < lost + 5.0]
    before = [row for load in loads for row in load.rows if lost - 2.0 <= row[0] < lost - 0.5]
    if not options.plain:
        half = f"{sorted(when)[len(when) // 2]:.0f} s" if when else "never"
        print(
            f"{options.balancers} balancers at {options.rate:g}/s each: {early} ended the canary while it was well, "
            f"{found - early} after it began to fail 5%, in the middle after {half}"
        )
    for name, some in (("before", before), ("after", after)):
        good = sum(code == 200 and ms <= AIM_MS for _, code, ms in some)
        print(
            f"{name} a zone of three was lost: {good / max(1, len(some)):.4f} of {len(some)} served within the aim"
        )
    print(
        f"unsafe requests that ran twice: {sum(count > 1 for count in world.ran.values())} of {len(world.ran)}"
    )
    if not options.plain:
        print(f"part of the balancers that ended the canary: {(found - early) / options.balancers:.2f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--balancers", type=int, default=20)
    parser.add_argument("--rate", type=float, default=40.0, help="requests a second to each")
    parser.add_argument("--seconds", type=float, default=20.0, help="that all is well for")
    parser.add_argument("--plain", action="store_true", help="without routes")
    parser.add_argument("--spill", action="store_true", help="main pool leaves zones by what they can carry")
    return asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
