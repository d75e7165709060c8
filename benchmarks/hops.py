"""`python -m benchmarks.hops`: captures over three tiers of real processes, through a tenfold burst.

Load comes at random, 20 to 1 uneven over the balancers of each tier, for 14 s, and ten times as much from the fifth to
the ninth second; each process may write `--records` a second. Of the last tier's upstreams one answer in fifty is an
error. Two days: the burst; and the burst with the coordinator killed in it (6 s) and a cut through the middle of the
fleet from 10 s to 12 s. A trace that is drawn is whole where each hop that answered for it, and lives, has a drawn line
of it. Trouble is what was answered 502, or sent again at any hop whose record is there. Last comes the smallest part of
whole traces over the plays of the burst alone.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import defaultdict

import uvloop

from standins.hops import Hops
from standins.plans import Fault, Kind

FAST = {"probe_ms": 500.0, "ack_ms": 200.0}
WARM_S, BEGIN_S, END_S, LENGTH_S = 2.0, 5.0, 9.0, 14.0


async def play(seed: int, each: int, per_s: float, records: float, fatal: bool) -> tuple[float, str]:
    """The part of whole traces, and a line of figures."""
    size = records * 1500.0
    rows = {"rest": 0.1, "records_per_s": records, "bytes_per_s": size, "hold_ms": 4_000.0}
    rig = Hops(each, seed, rows, FAST, {"lease_ms": 1_000.0}, errors=0.02, stall_s=0.0)
    async with rig:
        first = await rig.coordinator()
        loop = asyncio.get_running_loop()
        begun = loop.time()

        async def burst() -> None:
            await asyncio.sleep(BEGIN_S)
            await rig.load(END_S - BEGIN_S, 9.0 * per_s)

        async def faults() -> None:
            if not fatal:
                return
            await asyncio.sleep(6.0)
            await rig.kill(first)
            await asyncio.sleep(4.0)
            names = [name for name in rig.names if name != first]
            fault = Fault(Kind.GROUPS, 0.0, 0.0, tuple(names[::2]), tuple(names[1::2]))
            rig.relay.air.begin(fault)
            await asyncio.sleep(2.0)
            rig.relay.air.end(fault)

        await asyncio.gather(rig.load(LENGTH_S, per_s), burst(), faults())
        await asyncio.sleep(3.0)  # what waits is written, who is asked answers
        whole, drawn = rig.whole(begun + WARM_S)
        in_burst = rig.whole(begun + BEGIN_S, begun + END_S)
        passed = rig.passed(records, size)
        kept: dict[str, set[str]] = defaultdict(set)
        trouble = {client for client, code in rig.codes.items() if code == 502}
        weights = variance = 0.0
        for name in rig.names:
            for line in rig.lines(name):
                kept[line.client].add(name)
                if sum(row[3] != "moot" for row in line.record["attempts"]) > 1:
                    trouble.add(line.client)
                if "above" not in line.record and name not in rig.down:
                    weights += line.weight
                    variance += line.weight * max(0.0, line.weight - 1.0)
        there = sum(1 for client in rig.asked if rig.hops[client] & set(rig.names[:each]) - rig.down)
        found = sum(kept[client] >= rig.hops[client] - rig.down for client in trouble)
        sigma = (weights - there) / max(1.0, variance) ** 0.5
        codes = defaultdict(int)
        for code in rig.codes.values():
            codes[code] += 1
        text = (
            f"seed {seed}: whole {whole}/{drawn} = {whole / max(1, drawn):.4f}, of the burst"
            f" {in_burst[0]}/{in_burst[1]}; trouble kept whole {found}/{len(trouble)}; windows passed {passed};"
            f" weights {weights:.0f} for {there} requests ({sigma:+.2f} sigma); answers {dict(sorted(codes.items()))}"
        )
    return whole / max(1, drawn), text


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--each", type=int, default=10, help="balancers in a tier")
    parser.add_argument("--rate", type=float, default=15.0, help="requests a second, outside of the burst")
    parser.add_argument("--records", type=float, default=16.0, help="a second that each may write")
    args = parser.parse_args()
    least = 1.0
    for fatal in (False, True):
        print("burst, a coordinator's death and a cut:" if fatal else "burst:", flush=True)
        for seed in range(args.seed, args.seed + args.plays):
            part, text = uvloop.run(play(seed, args.each, args.rate, args.records, fatal))
            least = least if fatal else min(least, part)
            print(f"  {text}", flush=True)
    print(f"{least:.4f}")


if __name__ == "__main__":
    main()
