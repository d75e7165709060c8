"""`python -m benchmarks.together [--plays N] [--processes M] [--seed S] [--lease MS] [WHAT ...]`: one owner at a time,
seen at real processes.

One fleet of M programs, five of them keepers (three in a fleet under seven), with a steady duty ("drill") and a caller
each, all datagrams through a relay. Each play of WHAT waits until all keepers vote
and all copies take effects of one term, then:

stop      SIGSTOP of the owner for three leases, SIGCONT; told are effects of an old term that any copy took afterwards
kill      SIGKILL of the owner and a restart with its old disk; told is the time until an effect of a new term is taken
          anywhere, in leases
drain     SIGTERM of the owner and a restart; the time until another says that it owns the duty, and until an effect
          of the new term is taken
heal      the owner is cut off with a minority for four leases, then all heals; told are terms that are new after that,
          until two leases are over
plan      a drawn plan of eight faults of all kinds in twelve leases

With --smaller N, a plan that broke a promise is made smaller by N plays at the most, each with a fleet of its own, and
what is left of it is told.

Behind all plays, every checker looks at the whole history. The last line is how many promises were broken; the program
ends with 1 where there are any.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import time
from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from random import Random

import uvloop

from standins.checkers import Asked, Owned, Ran, Taken, broken
from standins.plans import Disk, Fault, Kind, Plan, drawn
from standins.smaller import smaller
from standins.together import Together

DUTY = "drill"
WHAT = ("stop", "kill", "drain", "heal", "plan")
Figures = dict[str, list[float]]


def fault(kind: Kind, *who: str, to: Sequence[str] = ()) -> Fault:
    """One that the play begins and ends itself."""
    return Fault(kind, 0.0, 0.0, who, tuple(to), disk=Disk.OLD)


class Plays:
    def __init__(self, rig: Together, lease_ms: float, rng: Random) -> None:
        self._rig, self._lease_ms, self._rng = rig, lease_ms, rng
        self.figures: Figures = defaultdict(list)
        self.last: Plan | None = None  # that was drawn

    async def settled(self) -> tuple[str, int]:
        """The owner and its term, once all keepers vote and each copy has taken an effect of it that is new now."""
        await self._rig.all_vote()
        rig, at = self._rig, len(self._rig.history)

        def one() -> bool:
            last: dict[str, int] = {}
            for event in rig.history[at:]:
                if isinstance(event, Taken) and event.duty == DUTY:
                    last[event.copy] = event.term
            return set(last.values()) == {rig.owner(DUTY)[1]} and last.keys() == rig.copies.keys()

        await rig.until(one, "one term at all copies")
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))  # faults come at any moment of a step
        return rig.owner(DUTY)

    async def _new(self, term: int) -> float:
        """When an effect of a later term is first taken."""
        await self._rig.until(lambda: self._rig.taken(DUTY, term), "an effect of a new term")
        return self._rig.taken(DUTY, term)[0].at_ms

    async def stop(self) -> None:
        rig, (owner, term) = self._rig, await self.settled()
        began_ms = rig.now_ms()
        await rig.begin(fault(Kind.STOP, owner))
        new_ms = await self._new(term)
        await asyncio.sleep(max(0.0, began_ms + 3.0 * self._lease_ms - rig.now_ms()) / 1000.0)
        woken = len(rig.history)
        await rig.end(fault(Kind.STOP, owner))
        await rig.until(lambda: rig.taken(DUTY, term, [owner]), "the woken one takes the new term's")
        await self.settled()
        after = [event for event in rig.history[woken:] if isinstance(event, Taken) and event.copy != owner]
        self.figures["stop: effects of an old term"].append(float(sum(event.term <= term for event in after)))
        self.figures["stop: leases to a new term"].append((new_ms - began_ms) / self._lease_ms)

    async def kill(self) -> None:
        rig, (owner, term) = self._rig, await self.settled()
        began_ms = rig.now_ms()
        await rig.begin(fault(Kind.KILL, owner))
        new_ms = await self._new(term)
        await rig.end(fault(Kind.KILL, owner))
        self.figures["kill: leases to a new term"].append((new_ms - began_ms) / self._lease_ms)

    async def drain(self) -> None:
        rig, (owner, term) = self._rig, await self.settled()
        began_ms = rig.now_ms()
        await rig.begin(fault(Kind.DRAIN, owner))
        await rig.until(lambda: rig.owner(DUTY)[1] > term, "another owner")
        owned = next(event for event in rig.history if isinstance(event, Owned) and event.term > term)
        new_ms = await self._new(term)
        await rig.end(fault(Kind.DRAIN, owner))
        self.figures["drain: ms to a new owner"].append(owned.at_ms - began_ms)
        self.figures["drain: ms to its first effect"].append(new_ms - began_ms)

    async def heal(self) -> None:
        rig, (owner, term) = self._rig, await self.settled()
        names = list(rig.copies)
        keepers = [name for name in rig.keepers if name != owner]
        others = [name for name in names if name != owner and name not in keepers]
        most = len(rig.keepers) // 2 - (owner in rig.keepers)  # keepers beside the owner
        side = [owner, *keepers[:most], *others[: max(0, len(names) // 2 - 1 - most)]]
        cut = fault(Kind.GROUPS, *side, to=[name for name in names if name not in side])
        began_ms = rig.now_ms()
        await rig.begin(cut)
        await self._new(term)
        await asyncio.sleep(max(0.0, began_ms + 4.0 * self._lease_ms - rig.now_ms()) / 1000.0)
        healed_ms, before = rig.now_ms(), rig.owner(DUTY)[1]
        await rig.end(cut)
        await self.settled()
        self.figures["heal: leases to one term at all"].append((rig.now_ms() - healed_ms) / self._lease_ms)
        await asyncio.sleep(max(0.0, healed_ms + 2.0 * self._lease_ms - rig.now_ms()) / 1000.0)
        self.figures["heal: new terms after it"].append(float(rig.owner(DUTY)[1] - before))

    async def plan(self) -> None:
        rig = self._rig
        _, term = await self.settled()
        length_ms = 12.0 * self._lease_ms
        names = list(rig.copies)
        self.last = drawn(self._rng, names, rig.keepers, length_ms, 8, self._lease_ms, servers=rig.servers)
        await rig.play(self.last)
        await self.settled()
        self.figures["plan: terms it took"].append(float(rig.owner(DUTY)[1] - term))


def told(name: str, values: list[float]) -> str:
    ranks = sorted(values)

    def at(part: float) -> float:
        return ranks[min(len(ranks) - 1, int(part * len(ranks)))]

    return (
        f"{name}: {len(ranks)} plays, sum {sum(ranks):.1f}, median {at(0.5):.2f}, p90 {at(0.9):.2f}, "
        f"p99 {at(0.99):.2f}, most {ranks[-1]:.2f}"
    )


def fleet(args: argparse.Namespace) -> Together:
    keepers = 5 if args.processes >= 7 else 3
    owners = {"lease_ms": args.lease, "duties": [DUTY]}
    peers = {"probe_ms": args.probe, "ack_ms": 0.4 * args.probe}
    return Together(args.processes, args.seed, keepers, peers, owners, args.pause, streams=args.streams)


async def breaks(args: argparse.Namespace, plan: Plan) -> bool:
    """Whether a plan breaks a promise in a fleet that has known no other, by what its checkers find."""
    async with fleet(args) as rig:
        plays = Plays(rig, args.lease, Random(args.seed))
        try:
            await plays.settled()
            await rig.play(plan)
            await plays.settled()
            await rig.quiet()
        except (AssertionError, TimeoutError) as problem:
            print(f"  {problem!r:.200}")  # it may be the machine: the history alone decides
        return bool(broken(rig.history))


async def least(args: argparse.Namespace, plan: Plan) -> Plan:
    """What is left of a plan that broke a promise; a line for each play."""
    run = smaller(plan, args.smaller, tries=2)
    try:
        tried = next(run)
        while True:
            found = await breaks(args, tried)
            print(f"{len(tried.faults)} faults: {'broken' if found else 'nothing'}", flush=True)
            tried = run.send(found)
    except StopIteration as over:
        return over.value  # type: ignore[no-any-return]


async def main(args: argparse.Namespace) -> int:
    wrong = []
    began_s = time.monotonic()
    async with fleet(args) as rig:
        print(f"{args.processes} processes up after {time.monotonic() - began_s:.1f} s", flush=True)
        plays = Plays(rig, args.lease, Random(args.seed))
        for n in range(args.plays):
            for what in args.what or WHAT:
                if broken(rig.history) or time.monotonic() - began_s > args.most_s:
                    break
                try:
                    await getattr(plays, what)()
                except (AssertionError, TimeoutError) as problem:
                    wrong.append(f"play {n} of {what}: {problem!r:.2000}")
                    print(wrong[-1], flush=True)
            if wrong or broken(rig.history) or time.monotonic() - began_s > args.most_s:
                break  # what comes after it starts from a fleet that no play knows
        await rig.quiet()
        wrong += broken(rig.history)
        for name, values in plays.figures.items():
            print(told(name, values))
        asked = sum(isinstance(event, Asked) for event in rig.history)
        ran = sum(isinstance(event, Ran) for event in rig.history)
        taken = sum(isinstance(event, Taken) for event in rig.history)
        if args.history:
            Path(args.history).write_text("".join(f"{event}\n" for event in rig.history))
        print(
            f"{rig.owner(DUTY)[1]} terms, {taken} effects taken, {asked} requests, {ran} runs, "
            f"{rig.relay.passed} datagrams passed and {rig.relay.lost} lost, {time.monotonic() - began_s:.0f} s"
        )
    for line in wrong[:50]:
        print(line)
    if wrong and args.smaller and plays.last is not None:
        left = await least(args, plays.last)
        print("what is left:", *(f"\n  {each.words()}" for each in left.faults))
    print(f"seed {args.seed}: {len(wrong)} promises broken")
    return min(1, len(wrong))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", nargs="*", choices=[*WHAT, []])
    parser.add_argument("--plays", type=int, default=10, help="of each kind")
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lease", type=float, default=1_000.0, help="milliseconds")
    parser.add_argument(
        "--probe", type=float, default=200.0, help="milliseconds between two probes of a peer"
    )
    parser.add_argument("--pause", type=float, default=0.2, help="seconds between two requests of a caller")
    parser.add_argument("--history", help="a file for all that was seen, a line each")
    parser.add_argument(
        "--streams", action="store_true", help="connections to upstreams by doors, reset in plans"
    )
    parser.add_argument("--smaller", type=int, default=0, help="plays for a smaller plan, at most")
    parser.add_argument("--most-s", type=float, default=3_600.0, help="no play begins after that")
    sys.exit(uvloop.run(main(parser.parse_args())))
