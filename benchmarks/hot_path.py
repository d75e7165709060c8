"""`python -m benchmarks.hot_path [--against DIR] [--operator FILE ...]`: one process on one core, beside the floor.

For 3, 30 and 300 callers: requests a second and CPU per request of larkweir, of another checkout of it where one is
named, of larkweir by each operator file that is named, and of a bare relay on the same two libraries
(`standins/floor.py`). They take turns, round after round, and the median of the rounds counts; CPU per request is told
as the median ratio to larkweir's in the same round too. Last comes the part of the floor's requests a second that is
reached at 30 callers.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from standins.ports import free_port

ROOT = Path(__file__).parents[1]
TICKS = os.sysconf("SC_CLK_TCK")

SETTINGS: dict[str, Any] = {
    "Categories": [{"Name": "look", "Effect": "read_like", "AimMs": 5000, "HardLimitMs": 8000}],
    "Tenants": [{"Name": "acme", "QuotaPerS": 100_000, "Fraction": 1.0}],
    "Zones": ["north"],
    "MachineTypes": ["box"],
    "Tiers": ["front"],
    "Discovery": "pushed",
    "Guarantees": {"ColdShare": 0.3, "ColdMs": 9000, "DrainGraceMs": 500, "FallMultiple": 3, "FallMs": 1000},
    "PolicyLimits": {"SendCap": 4, "ConnIdleMs": 60000, "ConnectTimeoutMs": 2000},
    "Stats": {"How": "off", "Fields": []},
}


class Figures(NamedTuple):
    per_s: float
    cpu_us: float
    p50_ms: float
    p99_ms: float
    not_served: int


def cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def wait_for(port: int) -> None:
    for _ in range(1000):
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.01)
    raise TimeoutError(f"nothing listens on {port}")


class Rig:
    """The upstreams, and whichever program stands before them."""

    def __init__(self, upstreams: int, kind: str = "http1") -> None:
        cores = sorted(os.sched_getaffinity(0))
        self.core, self.others = {cores[0]}, set(cores[1:]) or {cores[0]}
        self.upstreams = subprocess.Popen(
            [sys.executable, "-m", "standins.load", "upstreams", str(upstreams), kind],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        os.sched_setaffinity(self.upstreams.pid, self.others)
        assert self.upstreams.stdout is not None
        self.ports = [int(item) for item in self.upstreams.stdout.readline().split()]

    def config(self, folder: str, port: int) -> str:
        entries = [
            {
                "instanceId": f"u{n}",
                "hostPort": f"127.0.0.1:{upstream}",
                "zone": "north",
                "machineType": "box",
                "lifecycle": "active",
            }
            for n, upstream in enumerate(self.ports)
        ]
        data = {
            "name": "bench",
            "listen": f"127.0.0.1:{port}",
            "discovery": f"127.0.0.1:{free_port()}",  # nobody there: what is known serves
            "seed": "1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": True, "instances": entries},
            "settings": SETTINGS,
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(data))
        return str(path)

    def measure(
        self, program: Path | None, callers: int, seconds: float, operator: Path | None = None
    ) -> Figures:
        """One round; `program` is a checkout, or none for the floor; `operator` a file, or none without any."""
        port = free_port()
        with tempfile.TemporaryDirectory() as folder:
            if program is None:
                command = [sys.executable, "-m", "standins.floor", str(port), *map(str, self.ports)]
                process = subprocess.Popen(command, cwd=ROOT)
            else:
                env = os.environ | {"GW_CONFIG": self.config(folder, port)}
                process = subprocess.Popen(
                    [sys.executable, "-m", "larkweir"]
                    + (["run", "--operator", str(operator)] if operator is not None else []),
                    cwd=program,
                    env=env,
                    stderr=subprocess.DEVNULL,
                )
            os.sched_setaffinity(process.pid, self.core)
            try:
                wait_for(port)
                load = subprocess.Popen(
                    [sys.executable, "-m", "standins.load", "callers", str(port), str(callers), str(seconds)],
                    cwd=ROOT,
                    stdout=subprocess.PIPE,
                    text=True,
                )
                os.sched_setaffinity(load.pid, self.others)
                assert load.stdout is not None
                load.stdout.readline()
                before = cpu_s(process.pid)
                answers, spent, p50, p99, not_served = load.stdout.readline().split()
                used = cpu_s(process.pid) - before
                load.wait()
            finally:
                process.send_signal(signal.SIGKILL)
                process.wait()
        count = max(1, int(answers))
        return Figures(count / float(spent), used / count * 1e6, float(p50), float(p99), int(not_served))

    def close(self) -> None:
        self.upstreams.kill()
        self.upstreams.wait()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", type=Path, help="another checkout, measured in the same rounds")
    parser.add_argument("--operator", type=Path, nargs="+", default=[], help="operator files, each a program")
    parser.add_argument("--callers", type=int, nargs="+", default=[3, 30, 300])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--upstreams", type=int, default=12)
    options = parser.parse_args()
    programs: dict[str, Path | None] = {"floor": None, "larkweir": ROOT}
    if options.against:
        programs["against"] = options.against.resolve()
    operators = {path.stem: path.resolve() for path in options.operator}
    programs |= dict.fromkeys(operators, ROOT)
    rig = Rig(options.upstreams)
    reached = 0.0
    try:
        for callers in options.callers:
            rounds: dict[str, list[Figures]] = {name: [] for name in programs}
            for _ in range(options.rounds):
                for name, program in programs.items():
                    rounds[name].append(rig.measure(program, callers, options.seconds, operators.get(name)))
            floor = median(item.per_s for item in rounds["floor"])
            for name, rows in rounds.items():
                per_s, cpu, p50, p99 = (median(row[n] for row in rows) for n in range(4))
                pairs = zip(rows, rounds["larkweir"], strict=True)
                ratio = median(row.cpu_us / own.cpu_us for row, own in pairs)
                print(
                    f"{callers:4} callers  {name:9} {per_s:8.0f} requests/s  {cpu:7.1f} us CPU each  p50 {p50:6.2f} ms"
                    f"  p99 {p99:6.2f} ms  {per_s / floor:5.3f} of the floor  "
                    f"{sum(row.not_served for row in rows)} not served  CPU {ratio:.3f} of larkweir's",
                    flush=True,
                )
                if name == "larkweir" and callers == 30:
                    reached = per_s / floor
    finally:
        rig.close()
    print(f"part of the floor at 30 callers: {reached:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
