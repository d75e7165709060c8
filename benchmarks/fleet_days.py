"""`python -m benchmarks.fleet_days BENCH SITE...`: plays this project's own days of the router fleet, one by one.

BENCH is the platform's `fleetbench`, SITE a site file. For each day of `benchmarks/days/`: the part of requests' worth
that was served and refused, and the rules that were broken. `--only NAME` plays some of them. The last line counts the
days with a broken rule; so does the exit code, 1 where there is one. `--grown` plays those of `grown/` too, whose kinds
of trouble only grown deployments open.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

DAYS = Path(__file__).parent / "days"
BROKEN = re.compile(r"^rules broken: (.*)$", re.MULTILINE)


class Played(NamedTuple):
    """What the bench says of one day; `broken` is empty where all rules were kept."""

    score: float
    worth: float
    served: float
    refused: float
    failed: float
    broken: str


def read(name: str, text: str) -> Played | None:
    """The day's line of a report; None where there is none, as when the day was given up."""
    figures = r"\s+(\d\.\d+)" * 5
    found = re.search(rf"^{re.escape(name)}\s+\d+/\d+{figures}", text, re.MULTILINE)
    if found is None:
        return None
    score, worth, served, refused, failed = (float(figure) for figure in found.groups())
    broken = BROKEN.search(text)
    return Played(score, worth, served, refused, failed, broken.group(1) if broken else "")


def play(bench: str, site: str, day: Path, why: str) -> Played | None:
    """Plays one day and reads its report."""
    command = [bench, "run", site, str(day), "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return read(day.stem, done.stdout)


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench")
    parser.add_argument("site", nargs="+")
    parser.add_argument("--only", action="append", default=[], help="the name of a day; may come again")
    parser.add_argument("--grown", action="store_true")
    parser.add_argument("--why", default="own days of the router fleet")
    asked = parser.parse_args()
    found = sorted(DAYS.glob("*.toml")) + (sorted(DAYS.glob("grown/*.toml")) if asked.grown else [])
    days = [day for day in found if not asked.only or day.stem in asked.only]
    count = broken = 0
    for site in asked.site:
        for day in days:
            played = play(asked.bench, site, day, f"{asked.why}: {day.stem}")
            count += 1
            if played is None:
                print(f"{Path(site).stem} {day.stem}: not played to its end", flush=True)
                broken += 1
                continue
            broken += bool(played.broken)
            figures = f"served {played.served:.3f}, refused {played.refused:.3f}, failed {played.failed:.3f}"
            kept = played.broken or "no rule broken"
            print(f"{Path(site).stem} {day.stem}: score {played.score:.2f}, {figures}, {kept}", flush=True)
    print(f"{broken} of {count} days with a broken rule or no end")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
