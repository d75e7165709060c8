"""`python -m benchmarks.fastcgi`: what FastCGI costs on either side, as ratios to HTTP/1.1 on both.

One process on one core, 30 callers, each combination in turn, round after round; then 64 requests at a time on one
connection, with and without one that is never answered. `--fuzz N` feeds mutated records to both sides instead. Last
comes the CPU of a request with FastCGI on both sides, as a multiple of HTTP/1.1's.
"""

from __future__ import annotations

import argparse
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

from benchmarks.hot_path import ROOT, Figures, Rig, cpu_s, wait_for
from standins.fuzz import fuzz
from standins.ports import free_port

KINDS = ("http1", "fastcgi")
COMBINATIONS = [(callers, upstreams, "off") for callers in KINDS for upstreams in KINDS]
COMBINATIONS.append(("fastcgi", "fastcgi", "on"))


def measure(rig: Rig, callers: str, upstreams: str, multiplex: str, load: list[str]) -> Figures:
    """One round of one combination; `load` is what the load generator is told, with PORT for the port."""
    port, front = free_port(), free_port()
    with tempfile.TemporaryDirectory() as folder:
        operator = Path(folder) / "operator.toml"
        rows = ["[fastcgi]", f'multiplex = "{multiplex}"']
        if callers == "fastcgi":
            rows.append(f'listen = ["127.0.0.1:{front}"]')
        if upstreams == "fastcgi":
            rows.append('upstreams = "tier"')
        operator.write_text("\n".join(rows) + "\n")
        process = subprocess.Popen(
            [sys.executable, "-m", "larkweir", "run", "--operator", str(operator)],
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": rig.config(folder, port)},
            stderr=subprocess.DEVNULL,
        )
        os.sched_setaffinity(process.pid, rig.core)
        try:
            at = front if callers == "fastcgi" else port
            wait_for(at)
            command = [sys.executable, "-m", "standins.load", *(str(at) if x == "PORT" else x for x in load)]
            caller = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
            os.sched_setaffinity(caller.pid, rig.others)
            assert caller.stdout is not None
            caller.stdout.readline()
            before = cpu_s(process.pid)
            answers, spent, p50, p99, not_served = caller.stdout.readline().split()
            used = cpu_s(process.pid) - before
            caller.wait()
        finally:
            process.kill()
            process.wait()
    count = max(1, int(answers))
    return Figures(count / float(spent), used / count * 1e6, float(p50), float(p99), int(not_served))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument(
        "--fuzz", type=int, default=0, help="feed so many mutated inputs to each side, and no more"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    if options.fuzz:
        print(f"mutated inputs fed without a crash: {fuzz(options.fuzz, options.seed)}")
        return 0
    rigs = {kind: Rig(12, kind) for kind in KINDS}
    rows: dict[tuple[str, str, str], list[Figures]] = {key: [] for key in COMBINATIONS}
    many: dict[int, list[Figures]] = {0: [], 1: []}
    try:
        for _ in range(options.rounds):
            for key in COMBINATIONS:
                load = ["callers", "PORT", "30", str(options.seconds), key[0]]
                rows[key].append(measure(rigs[key[1]], *key, load))
            for stalled in many:
                load = ["many", "PORT", "64", str(options.seconds), str(stalled)]
                many[stalled].append(measure(rigs["fastcgi"], "fastcgi", "fastcgi", "on", load))
    finally:
        for rig in rigs.values():
            rig.close()
    base = median(item.cpu_us for item in rows[COMBINATIONS[0]])
    for (callers, upstreams, multiplex), found in rows.items():
        per_s, cpu, _, p99 = (median(item[n] for item in found) for n in range(4))
        shared = ", shared connections" if multiplex == "on" else ""
        print(
            f"{callers} callers, {upstreams} upstreams{shared}: {per_s:.0f} requests/s, {cpu:.1f} us CPU each, "
            f"{cpu / base:.2f} of HTTP/1.1's, p99 {p99:.2f} ms, {sum(item.not_served for item in found)} not served"
        )
    for stalled, found in many.items():
        p50, p99 = median(item.p50_ms for item in found), median(item.p99_ms for item in found)
        print(
            f"64 at a time on one connection, {stalled} stalled: the others' p50 {p50:.2f} ms, p99 {p99:.2f} ms"
        )
    both = median(item.cpu_us for item in rows["fastcgi", "fastcgi", "off"]) / base
    print(f"CPU of a request with FastCGI on both sides, of HTTP/1.1's: {both:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
