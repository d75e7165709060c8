"""`python -m benchmarks.edits_rig`: two edges cut off, edited by file and reload, and met again, by real processes.

Every process is `larkweir run` with `[edits]` on and all its routes; one caller each asks all the while. One is cut off
from the others, both sides edit other routes and a few of the same ones, then the cut heals. Told: from the healing
until every process has the same tables; what is told as in conflict; the median and the 99th of a hundred of the
callers' times before the cut, and from the healing until all were equal; what of the four rules' history does not hold
(it should be nothing). The seconds come last.
"""

from __future__ import annotations

import argparse
import asyncio
from random import Random
from statistics import median, quantiles
from typing import Any

import uvloop

from standins.checkers import Answered, Asked, broken
from standins.copies import Copy
from standins.plans import Fault, Kind
from standins.together import Together

PATIENCE_S = 120.0


async def equal(copies: list[Copy], edits: int) -> None:
    """Until all have so many edits, and the same tables in force."""
    async with asyncio.timeout(PATIENCE_S):
        while True:
            found = [await copy.status() for copy in copies]
            marks = {facts.get("edits_tables") for facts in found}
            if {facts.get("edits") for facts in found} == {str(edits)} and len(marks) == 1:
                return
            await asyncio.sleep(0.02)


def times(rig: Together, since_ms: float, until_ms: float) -> list[float]:
    asked = {event.trace: event.at_ms for event in rig.history if isinstance(event, Asked)}
    ended = [event for event in rig.history if isinstance(event, Answered)]
    return [event.at_ms - asked[event.trace] for event in ended if since_ms <= asked[event.trace] <= until_ms]


def shown(found: list[float]) -> str:
    if len(found) < 2:
        return "none"
    return f"{median(found):.1f} and {quantiles(found, n=100)[98]:.1f} ms of {len(found)}"


async def play(seed: int, processes: int, routes: int, reloads: int) -> float:
    rng = Random(seed)
    rows: dict[str, dict[str, Any]] = {"route.all": {"path": "/*"}}
    rows |= {f"route.r{n}": {"path": f"/r{n}/*"} for n in range(routes)}
    peers = {"probe_ms": 500.0, "ack_ms": 200.0}
    async with Together(processes, seed, peers=peers, edits={"away_ms": 6e5}, routes=rows) as rig:
        copies = list(rig.copies.values())
        await equal(copies, 0)
        began = rig.now_ms()
        await asyncio.sleep(2.0)
        before = times(rig, began, rig.now_ms())
        cut = Fault(Kind.GROUPS, 0.0, 0.0, (copies[0].name,), tuple(copy.name for copy in copies[1:]))
        await rig.begin(cut)
        for n in range(reloads):
            for side, copy in enumerate(copies[:2]):
                both = n % 10 == 0  # the same route at both sides
                name = f"route_r{n if both else rng.randrange(side, routes, 2)}"
                copy.edit(**{name: {"path": f"/{copy.name}/{n}/*"}})
                for _ in range(200):
                    if (await copy.status()).get("edits") == str(n + 1):
                        break
                    await asyncio.sleep(0.02)
        await rig.end(cut)
        healed = rig.now_ms()
        await equal(copies, 2 * reloads)
        took = rig.now_ms() - healed
        during = times(rig, healed, rig.now_ms())
        told = {(await copy.status()).get("edits_told", "") for copy in copies}
        await rig.quiet()
        wrong = broken(rig.history)
        print(
            f"seed {seed}: equal after {took:.0f} ms, {'/'.join(told)} conflicts told; callers {shown(before)} before, "
            f"{shown(during)} while they met; rules broken: {len(wrong)}",
            flush=True,
        )
        return took


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plays", type=int, default=3)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--routes", type=int, default=200)
    parser.add_argument("--reloads", type=int, default=20, help="of each side")
    args = parser.parse_args()
    found = [
        uvloop.run(play(args.seed + n, args.processes, args.routes, args.reloads)) for n in range(args.plays)
    ]
    print(f"{max(found) / 1000.0:.2f} s at worst until equal at all, {args.plays} plays")


if __name__ == "__main__":
    main()
