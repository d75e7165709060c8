"""`python -m benchmarks.subset_wait`: what a subset costs PULL: the wait at 30, 200 and 2,000 balancers before 2,000
servers.

A model of the rule alone, not the decision module: each balancer sends a request to a server drawn evenly from those
of its subset that it has no call out at, else from all of its subset. Servers run one call at a time, in order, for
an exponential time with a mean of 1; requests come at random (Poisson), alike to all balancers. Printed is the mean
wait in service times at each load, and the part of requests that wait, by the size of the subset (the ring of
`larkweir/routes/subsets.py`) and with none. Last comes the wait with 40 of 2,000 at 200 balancers and a load of 0.8,
by that without subsets.
"""

from __future__ import annotations

import argparse
import sys
from heapq import heappop, heappush
from random import Random

from larkweir.routes.subsets import ring


def wait(servers: int, copies: int, size: int, load: float, span: float, seed: int) -> tuple[float, float]:
    """Mean wait and the part that waits; the first fifth is not counted."""
    rng = Random(seed)
    names = [str(n) for n in range(servers)]
    if size >= servers:
        subsets = [list(range(servers))] * copies
    else:
        subsets = [[int(name) for name in ring(names, me, copies, size)] for me in range(copies)]
    free = [0.0] * servers  # when each has nothing left to do
    out: list[dict[int, int]] = [{} for _ in range(copies)]
    ends: list[tuple[float, int, int]] = []
    now, whole, waited, counted = 0.0, 0.0, 0, 0
    rate = servers * load
    while now < span:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            _, copy, server = heappop(ends)
            left = out[copy][server] - 1
            if left:
                out[copy][server] = left
            else:
                del out[copy][server]
        copy = int(rng.random() * copies)
        subset, mine = subsets[copy], out[copy]
        server = subset[int(rng.random() * len(subset))]
        if server in mine and len(mine) < len(subset):
            while server in mine:
                server = subset[int(rng.random() * len(subset))]
        begins = max(now, free[server])
        free[server] = begins + rng.expovariate(1.0)
        mine[server] = mine.get(server, 0) + 1
        heappush(ends, (free[server], copy, server))
        if now > span / 5.0:
            counted += 1
            whole += begins - now
            waited += begins > now
    return whole / counted, waited / counted


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--span", type=float, default=40.0, help="service times")
    options = parser.parse_args()
    base = 1.0
    some = 1.0
    for copies in (30, 200, 2_000):
        for load in (0.5, 0.8, 0.95):
            row = []
            for size in (2_000, 400, 100, 40):
                found = wait(2_000, copies, size, load, options.span, 1)
                row.append(f"{size}: {found[0]:.2f} ({found[1]:.0%})")
                if copies == 200 and load == 0.8:
                    base = found[0] if size == 2_000 else base
                    some = found[0] if size == 40 else some
            print(
                f"{copies:5} balancers, load {load:.2f}, mean wait in services (part that waits), {'; '.join(row)}",
                flush=True,
            )
    print(f"wait with 40 of 2,000 at 200 balancers and 0.8, by that without subsets: {some / base:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
