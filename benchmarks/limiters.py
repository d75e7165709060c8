"""`python -m benchmarks.limiters [--parts] [--ways NAME ...]`: ways to hold the window, on one set of scripts.

The scripts run the real decision module in simulated time; only the limiter changes. Columns:

- burst: part refused of 300 callers' requests, in the first second, at three upstreams of 5 ms, never full
- over 5, 50, 300: part of the capacity served within the aim at 2 and 4 times the capacity, mean over 1, 4 and 32 slots
- worst: the least of those nine
- exp: the same at 4 slots of 50 ms on average, exponentially distributed
- half: after the capacity halves under 1.3 times the load, aims until nine tenths of it are served again; 18: never
- slow: part of the capacity, from 10 s on, after each call has come to take eight times as long, at 5 times the load
- jain: fairness of two copies, one of which came 2 s later, over 5 s from 5 s on
- swing: the window's standard deviation by its mean, over 10 s at 2 times the capacity, 4 slots of 50 ms

The last line is larkweir's worst.
"""

from __future__ import annotations

import argparse
import math
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import mean, pstdev

from standins.limiters import PARTS, WAYS, Way
from standins.tier import AIM_MS, World, jain

FREE = 100_000


def burst(way: Way) -> float:
    world = World(1, 3, FREE, 5.0, limiter=way)
    world.closed(300)
    world.run(1_000.0)
    whole = world.total(0.0, 1_000.0)
    return whole.refused / max(1, whole.asked)


def overload(way: Way, slots: int, service: float, times: float, spread: str = "fixed") -> float:
    world = World(3, 3, slots, service, spread, limiter=way)
    per_s = world.capacity_per_s * times
    until = min(20_000.0, max(3_000.0, 20_000.0 / per_s * 1000.0))
    world.poisson(per_s, until)
    world.run(until)
    found = world.total(0.3 * until, until)
    return found.in_aim / (world.capacity_per_s * 0.7 * until / 1000.0)


def half(way: Way) -> float:
    world = World(9, 3, 32, 50.0, limiter=way)
    world.poisson(1.3 * world.capacity_per_s, 12_000.0)
    world.run(4_000.0)
    for up in world.upstreams:
        up.slots = 16
    world.run(12_000.0)
    good = 4_000.0
    for at in range(4_000, 11_500, 100):
        found = world.total(at, at + 500.0)
        if found.in_aim < 0.9 * world.capacity_per_s * 0.5:
            good = at + 100.0
    return (good - 4_000.0) / AIM_MS


def slow(way: Way) -> float:
    world = World(17, 3, 8, 20.0, limiter=way)
    world.poisson(700.0, 25_000.0)
    world.run(3_000.0)
    for up in world.upstreams:
        up.slower = 8.0
    world.run(25_000.0)
    return world.total(13_000.0, 25_000.0).in_aim / (world.capacity_per_s * 12.0)


def fairness(way: Way) -> float:
    world = World(11, 4, 16, 20.0, copies=2, limiter=way)
    first, second = world.copies
    world.copies = [first]
    world.closed(200)
    world.run(2_000.0)
    world.copies = [second]
    world.closed(200)
    world.run(5_000.0)
    first.served = second.served = 0
    world.run(10_000.0)
    return jain([float(first.served), float(second.served)])


def swing(way: Way) -> float:
    world = World(5, 3, 4, 50.0, limiter=way)
    world.poisson(2.0 * world.capacity_per_s, 15_000.0)
    windows = []
    for at in range(5_000, 15_000, 50):
        world.run(float(at))
        windows.append(float(world.copies[0].balancer.limiter.window))
    return pstdev(windows) / mean(windows)


def row(name: str) -> tuple[str, list[float]]:
    way = (WAYS | PARTS)[name]
    grid = {
        (slots, service, times): overload(way, slots, service, times)
        for slots in (1, 4, 32)
        for service in (5.0, 50.0, 300.0)
        for times in (2.0, 4.0)
    }
    by_service = [
        mean(part for key, part in grid.items() if key[1] == service) for service in (5.0, 50.0, 300.0)
    ]
    figures = [burst(way), *by_service, min(grid.values()), overload(way, 4, 50.0, 2.0, "exponential")]
    return name, [*figures, half(way), slow(way), fairness(way), swing(way)]


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0] if __doc__ else None)
    parser.add_argument("--ways", nargs="+", choices=[*WAYS, *PARTS])
    parser.add_argument("--parts", action="store_true", help="larkweir with one part of it out at a time")
    options = parser.parse_args()
    names = options.ways or ["larkweir", *PARTS] if options.parts else options.ways or list(WAYS)
    heads = ["burst", "over 5", "over 50", "over 300", "worst", "exp", "half", "slow", "jain", "swing"]
    print(f"{'':20}" + "".join(f"{head:>9}" for head in heads), flush=True)
    worst = math.nan
    with ProcessPoolExecutor() as pool:
        for name, figures in pool.map(row, names):
            print(f"{name:20}" + "".join(f"{figure:9.3f}" for figure in figures), flush=True)
            worst = figures[4] if name == "larkweir" else worst
    print(f"larkweir's least part of the capacity: {worst:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
