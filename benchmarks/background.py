"""`python -m benchmarks.background`: what background work at its budget costs requests, beside work that knows none.

One real balancer, an upstream that answers at once, callers that ask at a steady pace by a clock of their own: the time
from when each was meant to be sent. Played without work; with a task that always has more to do, in steps of 2 ms, on
the scheduler; and with the same steps on a timer that asks nobody. In turn, round after round. Printed are p50, p99 and
the part of the core that the task got; last, p99 with the scheduler's work as a multiple of that without any.
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
from statistics import quantiles

from benchmarks.hot_path import ROOT, SETTINGS
from standins.peers import FakeUpstream
from standins.ports import free_port

STEP_S = 0.002
MODES = ("none", "scheduler", "timer")


def serve(mode: str) -> int:
    """The balancer, with work of a kind beside requests: run as a process of its own."""
    from larkweir.background.rules import Outcome, Task
    from larkweir.cli.run import run
    from larkweir.lifecycle.channel import HandoverState
    from larkweir.lifecycle.node import Node

    begin = Node.begin
    spent = [0.0, time.monotonic()]

    def burn() -> Outcome:
        until = time.monotonic() + STEP_S
        while time.monotonic() < until:
            pass
        spent[0] += STEP_S
        if spent[0] % 0.02 < STEP_S:  # seldom: a write may wait for the disk
            Path(os.environ["BURNT"]).write_text(str(spent[0] / (time.monotonic() - spent[1])))
        return Outcome.MORE

    def begun(node: Node, known: HandoverState | None = None) -> None:
        begin(node, known)
        if mode == "scheduler":
            assert node.runner is not None
            node.runner.add(Task("burn", period_ms=1.0), burn)
        elif mode == "timer":

            def again() -> None:
                burn()
                node.clock.after(STEP_S * 1000.0, again)

            again()

    Node.begin = begun  # type: ignore[method-assign]
    return run(os.environ["OPERATOR"], sys.argv)


async def play(mode: str, per_s: float, seconds: float) -> tuple[list[float], float]:
    upstream = await FakeUpstream(keep=False).start()
    port = free_port()
    data = {
        "name": "work",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": [upstream.entry("u0")]},
        "settings": SETTINGS,
    }
    times: list[float] = []
    with tempfile.TemporaryDirectory() as name:
        config, operator, burnt = (Path(name) / item for item in ("config.json", "operator.toml", "burnt"))
        config.write_text(json.dumps(data))
        operator.write_text(f'[store]\non = true\npath = "{name}/store"\n')
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "benchmarks.background", "--serve", mode),
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(config), "OPERATOR": str(operator), "BURNT": str(burnt)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            for _ in range(1000):
                try:
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            streams = [await asyncio.open_connection("127.0.0.1", port) for _ in range(8)]
            free: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
            for stream in streams:
                free.put_nowait(stream)

            async def ask(number: int, meant: float) -> None:
                reader, writer = stream = await free.get()
                writer.write(
                    f"GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {number:032x}\r\nX-Qos: look\r\n"
                    "X-Customer: acme\r\n\r\n".encode()
                )
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]))
                if number > per_s:  # the first second is not counted
                    times.append((time.perf_counter() - meant) * 1000.0)
                free.put_nowait(stream)

            begun, tasks = time.perf_counter(), []
            for number in range(1, int(per_s * (seconds + 1.0))):
                meant = begun + number / per_s
                await asyncio.sleep(max(0.0, meant - time.perf_counter()))
                tasks.append(asyncio.ensure_future(ask(number, meant)))
            await asyncio.gather(*tasks)
            return times, float(burnt.read_text()) if burnt.exists() else 0.0
        finally:
            process.kill()
            await process.wait()
            upstream.close()


async def measure(options: argparse.Namespace) -> int:
    rows: dict[str, list[float]] = {mode: [] for mode in MODES}
    parts: dict[str, list[float]] = {mode: [] for mode in MODES}
    for _ in range(options.rounds):
        for mode in MODES:
            times, part = await play(mode, options.rate, options.seconds)
            rows[mode] += times
            parts[mode].append(part)
    p99 = {}
    for mode, times in rows.items():
        cuts = quantiles(times, n=100)
        p99[mode] = cuts[98]
        part = sum(parts[mode]) / len(parts[mode])
        print(f"{mode:10} p50 {cuts[49]:6.2f} ms  p99 {cuts[98]:6.2f} ms  work had {part:.3f} of the core")
    print(f"p99 with the scheduler's work, of that without: {p99['scheduler'] / p99['none']:.2f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--serve", choices=MODES, help=argparse.SUPPRESS)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second")
    options = parser.parse_args()
    return serve(options.serve) if options.serve else asyncio.run(measure(options))


if __name__ == "__main__":
    sys.exit(main())
