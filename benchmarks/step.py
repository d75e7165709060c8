"""`python -m benchmarks.step [--against DIR] [--busy] [--overload]`: what a burst is refused, on real sockets.

All callers come at once to a balancer that has just started, and ask again as soon as they are answered: 30, 100 and
300 of them, before 3 and 10 upstreams that answer at once. Nothing of that would miss its aim of 410 ms. With
`--overload` the upstreams have slots and a service time instead, and what counts is what is served within the aim as a
part of their capacity. With `--busy` every core has other work besides. Another checkout is measured in the same
rounds.
The last line is the largest part refused of a healthy tier's requests.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks import hot_path
from benchmarks.hot_path import ROOT, Rig, wait_for
from standins.ports import free_port

SETTINGS: dict[str, Any] = hot_path.SETTINGS | {
    "Categories": [{"Name": "look", "Effect": "read_like", "AimMs": 410, "HardLimitMs": 1000}]
}
BUSY = "while True: pass"
HEALTHY = [(3, 30), (3, 100), (3, 300), (10, 300)]
OVERLOADS = [(1, 50), (4, 50), (32, 50), (4, 300)]  # slots, service time in ms


class StepRig(Rig):
    def measure_step(self, program: Path, callers: int, seconds: float, pause: float) -> dict[str, float]:
        """One round of a balancer that has just started."""
        port = free_port()
        with tempfile.TemporaryDirectory() as folder:
            hot_path.SETTINGS, kept = SETTINGS, hot_path.SETTINGS
            try:
                env = os.environ | {"GW_CONFIG": self.config(folder, port)}
            finally:
                hot_path.SETTINGS = kept
            process = subprocess.Popen(
                [sys.executable, "-m", "larkweir"], cwd=program, env=env, stderr=subprocess.DEVNULL
            )
            os.sched_setaffinity(process.pid, self.core)
            try:
                wait_for(port)
                command = [
                    sys.executable,
                    "-m",
                    "standins.load",
                    "step",
                    *map(str, (port, callers, seconds, pause)),
                ]
                load = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
                os.sched_setaffinity(load.pid, self.others)
                assert load.stdout is not None
                found: dict[str, float] = json.loads(load.stdout.readline())
                load.wait()
            finally:
                process.send_signal(signal.SIGKILL)
                process.wait()
        return found


@contextmanager
def busy(on: bool) -> Iterator[None]:
    """Other work on every core that this process may use."""
    cores = sorted(os.sched_getaffinity(0)) if on else []
    others = [subprocess.Popen([sys.executable, "-c", BUSY]) for _ in cores]
    for core, other in zip(cores, others, strict=True):
        os.sched_setaffinity(other.pid, {core})
    try:
        yield
    finally:
        for other in others:
            other.kill()
            other.wait()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, help="another checkout, measured in the same rounds")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--busy", action="store_true", help="with other work on every core")
    parser.add_argument("--overload", action="store_true", help="upstreams with slots, 300 callers")
    options = parser.parse_args()
    programs = {"larkweir": ROOT} | ({"against": options.against.resolve()} if options.against else {})
    cases: list[tuple[int, int, str, float]]
    if options.overload:
        cases = [
            (3, 300, f"slots:{slots}:{service}", 3000.0 * slots / service) for slots, service in OVERLOADS
        ]
    else:
        cases = [(upstreams, callers, "http1", 0.0) for upstreams, callers in HEALTHY]
    worst = 0.0
    with busy(options.busy):
        for upstreams, callers, kind, capacity in cases:
            rig = StepRig(upstreams, kind)
            rows: dict[str, list[dict[str, float]]] = {name: [] for name in programs}
            try:
                for _ in range(options.rounds):
                    for name, program in programs.items():
                        pause = 0.05 if capacity else 0.0
                        rows[name].append(rig.measure_step(program, callers, options.seconds, pause))
            finally:
                rig.close()
            for name, found in rows.items():
                asked = [row["served"] + row["refused"] + row["failed"] for row in found]
                refused = [row["refused"] / max(1.0, all_) for row, all_ in zip(found, asked, strict=True)]
                middle = {key: median(row[key] for row in found) for key in found[0]}
                line = f"{upstreams:2} x {callers:3} {kind:11} {name:9} refused {median(refused):7.2%}"
                line += f" (worst {max(refused):7.2%})  failed {sum(row['failed'] for row in found):.0f}"
                line += f"  p50 {middle['p50_ms']:6.1f}  p99 {middle['p99_ms']:6.1f} ms"
                line += (
                    f"  refusals after p50 {middle['wait_p50_ms']:5.1f} p99 {middle['wait_p99_ms']:5.1f} ms"
                )
                line += f"  {middle['served'] / middle['seconds']:6.0f}/s"
                if capacity:
                    line += (
                        f"  {middle['in_aim'] / middle['seconds'] / capacity:5.3f} of capacity within the aim"
                    )
                elif name == "larkweir":
                    worst = max(worst, median(refused))
                print(line, flush=True)
    print(f"most refused of a healthy tier's requests: {worst:.4f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
