"""`python -m benchmarks.fleet_cycle`: a fleet cycled under steady callers, and what its ledger shows.

Prints cycles, requests, answers, latency inside and outside cycles, descriptors and memory before and after; last
the number of broken promises, which is also whether the exit code is 0.
"""

from __future__ import annotations

import argparse
import sys
import time

import uvloop

from standins.fleet import Fleet


def percentile(values: list[float], part: float) -> float:
    """The value below which this part lies; 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


async def measure(options: argparse.Namespace) -> int:
    fleet = Fleet(options.instances, options.nodos, options.callers, options.pause, options.seed)
    begun = time.monotonic()
    try:
        await fleet.start()
        print(f"{options.instances} instances ready after {time.monotonic() - begun:.1f} s", flush=True)
        begun = time.monotonic()
        await fleet.run(options.cycles, options.at_once, lambda text: print(text, flush=True))
        spent = time.monotonic() - begun
    finally:
        await fleet.stop()
    faults = fleet.faults()
    fleet.close()
    print(f"{sum(fleet.cycles.values())} cycles in {spent:.0f} s: {dict(sorted(fleet.cycles.items()))}")
    print(
        f"{fleet.requests} requests, {sum(fleet.answers.values())} answers: {dict(sorted(fleet.answers.items()))}"
    )
    print(f"{fleet.ledger.attempts} attempts; {fleet.resent} resent on a new connection after an idle close")
    print(f"{fleet.lost_to_kill} lost to SIGKILL, counted apart")
    for name, values in (("outside cycles", fleet.calm_ms), ("inside cycles", fleet.in_cycle_ms)):
        p50, p99 = percentile(values, 0.5), percentile(values, 0.99)
        print(f"{name}: {len(values)} answers, p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    for name, (descriptors, mib) in fleet.usage().items():
        print(f"{name}: {descriptors:.1f} descriptors, {mib:.1f} MiB resident, the mean of an instance")
    for fault in faults[:50]:
        print(f"BROKEN {fault}")
    print(f"broken promises: {len(faults)}")
    return 1 if faults else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=30)
    parser.add_argument("--nodos", type=int, default=12)
    parser.add_argument("--callers", type=int, default=2, help="for each instance")
    parser.add_argument("--pause", type=float, default=0.2, help="mean seconds between a caller's requests")
    parser.add_argument("--cycles", type=int, default=60, help="in all; the long form is 1200")
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--seed", type=int, default=7)
    return uvloop.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
