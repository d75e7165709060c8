"""`python -m benchmarks.admission [--seconds S]`: the real module before overloaded tiers, in simulated time.

Four overloads by slots by service times: what is served within the aim of 410 ms as a part of the capacity, beside the
most that any rule could reach on the same kind of arrivals, and how long those waited who were refused. Figures come
from seeds, not from the machine's speed. The last line is the least part of what is possible.
"""

from __future__ import annotations

import argparse
import sys

from standins.tier import World, best_possible, quantile

SLOTS = (1, 4, 32)
SERVICE_MS = (5.0, 50.0, 300.0)
TIMES = (1.2, 2.0, 4.0, 10.0)
MOST_REQUESTS = 20_000


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=24.0, help="of simulated time, where requests allow")
    parser.add_argument("--spread", choices=("fixed", "exponential", "lognormal"), default="fixed")
    options = parser.parse_args()
    least = 1.0
    for slots in SLOTS:
        for service in SERVICE_MS:
            for times in TIMES:
                world = World(3, 3, slots, service, options.spread)
                per_s = world.capacity_per_s * times
                until = min(options.seconds * 1000.0, max(3_000.0, MOST_REQUESTS / per_s * 1000.0))
                world.poisson(per_s, until)
                world.run(until)
                since = 0.25 * until  # the opening is not in it
                found = world.total(since, until)
                reached = found.in_aim / (world.capacity_per_s * (until - since) / 1000.0)
                best = best_possible(3, 3, slots, service, times, 100_000.0)
                least = min(least, reached / min(1.0, best))
                print(
                    f"{slots:2} slots x {service:3.0f} ms x {times:4}: {reached:5.3f} of the capacity"
                    f" (at best {min(1.0, best):5.3f})  p50 {quantile(found.spent, 0.5):5.1f}"
                    f" p99 {quantile(found.spent, 0.99):5.1f} ms  refused after p50 {quantile(found.waits, 0.5):5.1f}"
                    f" p99 {quantile(found.waits, 0.99):5.1f} ms  failed {found.failed}",
                    flush=True,
                )
    print(f"least part of what is possible: {least:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
