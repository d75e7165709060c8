"""`python -m benchmarks.owners [--seeds N] [WHAT ...]`: what one owner at a time costs, and whether it ever is two.

On the simulated network (1 to 10 ms each way, 2% lost, 2% doubled unless said), the real rules, flushes of 0.2 to 3 ms,
leases of 1 s. WHAT is one or more of:

stop      the owner of a steady duty is stopped for three leases and then goes on; 5 processes, 3 of them keepers. Told
          are effects of an old term that counted or were taken by a copy, and all else that the checker finds
faults    seeded fault plans as in the package's tests, with all that it knows of
kill      SIGKILL of the owner: leases until a new term counts
drain     drain of the owner: milliseconds until a new term counts
rest      three owners in turn are stopped for three leases and woken, so that the last one's two other candidates rest:
          leases from its stop until a new term counts
heal      the owner's side is cut off with one keeper, for four leases; then it heals: terms that are new after the heal
traffic   datagrams and bytes a process and second, at 30, 200 and 2,000 processes with as many duties as a tenth of
          them (at least 20) that step once a second; of keepers, of owners, and of all others

Seeds are counted from `--first`. The last line is the number of promises that were broken.
"""

from __future__ import annotations

import argparse
import os
import sys
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, median
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "packages" / "owners" / "tests"))

from fleet_owners import Fleet, InvariantError, Process
from larkweir_owners.lease_timing import LeaseTiming

KEY = "duty0"


def settled(seed: int, **how: Any) -> tuple[Fleet, Process]:
    fleet = Fleet(seed, **how)
    if not fleet.run_until(lambda: fleet.owner(KEY) is not None, 10_000.0, 20.0):
        raise InvariantError("nobody takes the duty")
    if not fleet.run_until(lambda: all(fleet.votes(name) for name in fleet.members), 20_000.0, 20.0):
        raise InvariantError("not all keepers vote")
    fleet.run(fleet.rng.uniform(300.0, 1300.0))
    owner = fleet.owner(KEY)
    if owner is None:
        raise InvariantError("the duty is lost without a fault")
    return fleet, owner


def new_term(fleet: Fleet, most_ms: float) -> float:
    """Milliseconds until a term counts that is above the present one; inf where none does."""
    term, now = fleet.checker.last[KEY].term, fleet.network.now_ms
    fleet.run_until(lambda: (KEY, term + 1) in fleet.checker.term_committed_ms, most_ms, 5.0)
    return fleet.checker.term_committed_ms.get((KEY, term + 1), float("inf")) - now


def stop(seed: int) -> float:
    """Effects of an old term that were taken."""
    fleet, owner = settled(seed)
    fleet.network.pause(owner.name)
    fleet.run(3 * fleet.timing.lease_ms)
    if fleet.checker.last[KEY].term < 2:
        raise InvariantError("nobody took the term of a stopped owner")
    fleet.network.resume(owner.name)
    fleet.run(600.0)
    return fleet.checker.stale_term_writes


def faults(seed: int) -> float:
    fleet = Fleet(seed)
    fleet.play()
    return fleet.checker.stale_term_writes


def kill(seed: int) -> float:
    fleet, owner = settled(seed)
    fleet.kill(owner.name)
    return new_term(fleet, 8000.0) / fleet.timing.lease_ms


def rest(seed: int) -> float:
    fleet, owner = settled(seed)
    for _ in range(2):
        name = owner.name
        fleet.network.pause(name)
        fleet.run(3 * fleet.timing.lease_ms)
        fleet.network.resume(name)
        fleet.run(600.0)
        found = fleet.owner(KEY)
        if found is None or found.name == name:
            raise InvariantError("nobody took the term of a stopped owner")
        owner = found
    fleet.network.pause(owner.name)
    return new_term(fleet, 12_000.0) / fleet.timing.lease_ms


def drain(seed: int) -> float:
    fleet, owner = settled(seed)
    assert owner.owners is not None
    owner.owners.drain(fleet.network.now_ms)
    owner.flush_and_reschedule()
    return new_term(fleet, 8000.0)


def heal(seed: int) -> float:
    """Terms that begin within five leases of the heal. The owner is on the smaller side: one has begun before."""
    fleet, owner = settled(seed)
    members = [name for name in fleet.members if name != owner.name]
    group = {owner.name, members[0]} if owner.name not in fleet.members else {owner.name}
    fleet.network.split([group])
    fleet.run(4 * fleet.timing.lease_ms)
    before = fleet.checker.last[KEY].term
    if before != 2:
        raise InvariantError(f"{before - 1} terms began while it was cut, not one")
    fleet.network.heal()
    fleet.run(5 * fleet.timing.lease_ms)
    return fleet.checker.last[KEY].term - before


def traffic(processes: int) -> str:
    duties = max(20, processes // 10)
    fleet = Fleet(1, processes, 3, duties, 0.02, 0.0, LeaseTiming(lease_ms=3000.0, step_ms=1000.0))
    fleet.run(8000.0)
    sent = {name: process.sent for name, process in fleet.processes.items()}
    size = fleet.network.sent_bytes
    fleet.run(10_000.0)
    rate = {name: (process.sent - sent[name]) / 10 for name, process in fleet.processes.items()}
    size = fleet.network.sent_bytes - size
    owning = {p.name for key in fleet.keys if (p := fleet.owner(key)) is not None}
    keeping = [rate[name] for name in fleet.members]
    own = [rate[name] for name in rate if name in owning and name not in fleet.members]
    rest = [rate[name] for name in rate if name not in owning and name not in fleet.members]
    return (
        f"{processes:6} processes, {duties:4} duties: mean {mean(rate.values()):.1f} datagrams/s a process, "
        f"{size / 10 / processes:.0f} bytes/s; keepers {mean(keeping):.0f}, owners {mean(own):.1f}, "
        f"others mean {mean(rest):.1f}, most {max(rest):.1f}"
    )


def guarded(job: tuple[str, int]) -> tuple[int, float | str]:
    what, seed = job
    try:
        return seed, PLAYS[what](seed)
    except InvariantError as error:
        return seed, str(error)


PLAYS: dict[str, Callable[[int], float]] = {
    "stop": stop,
    "faults": faults,
    "kill": kill,
    "rest": rest,
    "drain": drain,
    "heal": heal,
}
TOLD = {
    "stop": "old effects",
    "faults": "old effects",
    "kill": "leases",
    "rest": "leases",
    "drain": "ms",
    "heal": "new terms",
}


def told(what: str, values: Sequence[float]) -> str:
    ordered = sorted(values)
    if what in ("stop", "faults"):
        return f"{sum(ordered):.0f} effects of an old term taken"
    if what == "heal":
        counts = {value: ordered.count(value) for value in sorted(set(ordered))}
        return "new terms after the heal: " + ", ".join(f"{v:.0f} in {n}" for v, n in counts.items())
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return (
        f"{TOLD[what]} until a new term: median {median(ordered):.2f}, p99 {p99:.2f}, most {ordered[-1]:.2f}"
    )


def main(given: Iterable[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", nargs="*", default=[*PLAYS, "traffic"])
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--at-once", type=int, default=len(os.sched_getaffinity(0)))
    args = parser.parse_args(None if given is None else list(given))
    broken = 0
    with ProcessPoolExecutor(args.at_once) as pool:
        for what in args.what:
            if what == "traffic":
                for line in pool.map(traffic, (30, 200, 2000)):
                    print(line, flush=True)
                continue
            jobs = [(what, seed) for seed in range(args.first, args.first + args.seeds)]
            good: list[float] = []
            for seed, value in pool.map(guarded, jobs, chunksize=20):
                if isinstance(value, str):
                    broken += 1
                    print(f"{what}, seed {seed}: {value}", flush=True)
                else:
                    good.append(value)
                    broken += what in ("stop", "faults") and value > 0
            if good:
                print(f"{what}: {len(jobs)} seeds from {args.first}: {told(what, good)}", flush=True)
    print(broken)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
