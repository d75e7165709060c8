"""`python -m standins.world --seeds 0:1000 [--days churn,fleet]`: days of the real program under simulated time.

A line for each seed that fails, with the faults that are enough for it; last a line of counts; exit code 1 if any has
failed. `--seed N --days DAY --trace` plays one day and prints all that happened, its hash last.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

from standins.world.days import DAYS, Fault
from standins.world.play import Outcome, play
from standins.world.shrink import shrunk

CHUNK = 4  # plays that go to a worker at a time


def promise(line: str) -> str:
    """Which promise a line says was broken, without who broke it."""
    head, colon, _ = line.partition(": ")
    return head if colon and " " not in head else "".join(" " if c.isdigit() else c for c in line)[:30]


def one(day: str, seed: int, shrinks: bool) -> tuple[Outcome, float, tuple[Fault, ...]]:
    """Played, with the CPU seconds that it took, and the faults that are enough where it fails."""
    begun = time.process_time()
    found = play(DAYS[day], seed)
    spent_s = time.process_time() - begun
    if not found.wrong or not shrinks:
        return found, spent_s, found.faults
    broken = {promise(line) for line in found.wrong}

    def fails(faults: Sequence[Fault]) -> bool:
        return bool(broken & {promise(line) for line in play(DAYS[day], seed, faults).wrong})

    return found, spent_s, tuple(shrunk(found.faults, fails))


def _seeds(text: str) -> range:
    first, colon, end = text.partition(":")
    return range(int(first), int(end)) if colon else range(int(first), int(first) + 1)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m standins.world", description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=range(20), help="FIRST:END")
    parser.add_argument("--seed", type=_seeds, help="one alone")
    parser.add_argument("--days", default=",".join(DAYS), help=", ".join(DAYS))
    parser.add_argument("--trace", action="store_true", help="print all that happens on one day")
    parser.add_argument("--hashes", action="store_true", help="print each day's hash")
    parser.add_argument("--whole", action="store_true", help="do not look for fewer faults where a day fails")
    parser.add_argument("--jobs", type=int, default=1)
    told = parser.parse_args(arguments)
    days = told.days.split(",")
    unknown = [day for day in days if day not in DAYS]
    if unknown:
        parser.error(f"{unknown[0]!r} is no kind of day; known: {', '.join(DAYS)}")
    seeds = told.seed or told.seeds
    if told.trace:
        return _trace(days[0], seeds[0])
    jobs = [(day, seed) for seed in seeds for day in days]
    failed = asked = events = 0
    simulated_s = spent_s = 0.0
    begun = time.monotonic()
    played = 0
    names, numbers = [day for day, _ in jobs], [seed for _, seed in jobs]
    with ProcessPoolExecutor(told.jobs) as pool:
        try:
            for found, cpu_s, enough in pool.map(
                one, names, numbers, [not told.whole] * len(jobs), chunksize=CHUNK
            ):
                played, asked, events = played + 1, asked + found.asked, events + found.events
                simulated_s, spent_s = simulated_s + found.simulated_s, spent_s + cpu_s
                if told.hashes:
                    print(f"{found.day} {found.seed} {found.digest}")
                if found.wrong:
                    failed += 1
                    faults = "; ".join(map(str, enough)) or "none"
                    lines = f"{len(found.wrong)} lines; faults: {faults}"
                    print(f"FAILED {found.day} {found.seed}: {found.wrong[0]} ({lines})", flush=True)
                if played % 20 == 0:
                    print(f"{played} of {len(jobs)} days, {failed} failed", file=sys.stderr, flush=True)
        except KeyboardInterrupt:  # what was played until then counts
            pool.shutdown(wait=False, cancel_futures=True)
    wall_s = time.monotonic() - begun
    print(
        f"{played} days, {failed} failed; {asked} requests, {events} events, {simulated_s:.0f} s simulated "
        f"in {spent_s:.0f} s of CPU ({simulated_s / max(spent_s, 1e-9):.1f} s a second), {wall_s:.0f} s by the clock"
    )
    return 1 if failed else 0


def _trace(day: str, seed: int) -> int:
    found = play(DAYS[day], seed, keep=True)
    for line in found.lines:
        print(line)
    for line in found.wrong:
        print(f"WRONG {line}")
    print(f"{found.day} {found.seed} {found.digest}")
    return 1 if found.wrong else 0


if __name__ == "__main__":
    sys.exit(main())
