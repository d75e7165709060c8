"""`python -m benchmarks.fleet_pairs BENCH SITE DAY... --copy NAME=DIR --copy NAME=DIR`: copies of the text compared.

Each copy plays each DAY (a name or a file) of SITE with each of `--seeds`; the first copy is what the others are
compared with. Plays go without processor time (`--no-cpu`), which nearly repeats; `--small` plays the small twins of
grown deployments. Printed for each copy: the mean worth and, against the first, the mean difference with the half
width of its 95% interval (Student's t over pairs), the same of the parts, and of figures with little noise.

`--reports DIR` keeps the bench's reports there; a play whose report is there already is not played again.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

# Student's t, two sided, 95%, by degrees of freedom; beyond the list the normal distribution's.
STUDENT = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13)
NORMAL = 1.96
PRICES = {
    "1,000 tokens of shared parts read again": "read again",
    "GB between zones": "zones",
    "new connections to servers": "connections",
}


class Play(NamedTuple):
    """One day to be played by one copy."""

    copy: str
    site: str
    day: str
    seed: int


class Played(NamedTuple):
    """The figures of one play, by name, and the rules that were broken."""

    figures: dict[str, float]
    broken: list[str]


class Difference(NamedTuple):
    """Mean over pairs, and the half width of its 95% interval."""

    mean: float
    half_width: float


def difference(pairs: Sequence[tuple[float, float]]) -> Difference:
    """Of the second of each pair to the first."""
    each = [after - before for before, after in pairs]
    mean = statistics.fmean(each)
    if len(each) < 2:
        return Difference(mean, math.inf)
    freedom = len(each) - 1
    factor = STUDENT[freedom - 1] if freedom <= len(STUDENT) else NORMAL
    return Difference(mean, factor * statistics.stdev(each) / math.sqrt(len(each)))


def figures_of(report: dict[str, object]) -> dict[str, float]:
    """What is compared, from the bench's report of a day."""
    parts = {f"{name}": value for name, _, value in report["parts"]}  # type: ignore[attr-defined]
    figures = {"worth": float(report["G"]), **parts}  # type: ignore[arg-type]
    for name, _, cost in report["prices"]:  # type: ignore[attr-defined]
        if name in PRICES:
            figures[PRICES[name]] = cost
    everyone = report["all"]
    asked = max(1, everyone["n"])  # type: ignore[index]
    for name in ("late", "refused", "failed"):
        figures[name] = everyone[name] / asked  # type: ignore[index]
    return figures


def play(
    bench: str, copies: dict[str, str], asked: Play, options: Sequence[str], reports: Path
) -> Played | None:
    """Plays one day, unless its report is there; None where it came to no end."""
    site = "-".join([Path(asked.site).stem, *options])
    report = reports / f"{asked.copy}.{site}.{Path(asked.day).stem}.{asked.seed}.json"
    if not report.exists():
        command = [bench, "run", asked.site, asked.day, "--no-cpu", "--jobs", "1", "--report", str(report)]
        if asked.seed:
            command += ["--seed", str(asked.seed)]
        why = f"trial: pairs, copy '{asked.copy}'"
        done = subprocess.run(
            [*command, *options, "--why", why], cwd=copies[asked.copy], capture_output=True, check=False
        )
        if not report.exists():
            print(f"{asked}: exit code {done.returncode}", file=sys.stderr)
            return None
    read = json.loads(report.read_text())
    return Played(figures_of(read), list(read["breaks"]))


def compare(first: str, copies: Iterable[str], played: dict[Play, Played]) -> str:
    """The table."""
    lines = []
    before = {play._replace(copy=""): result for play, result in played.items() if play.copy == first}
    for copy in copies:
        pairs = [
            (before[play._replace(copy="")].figures, result.figures)
            for play, result in played.items()
            if play.copy == copy and play._replace(copy="") in before
        ]
        if not pairs:
            continue
        names = list(pairs[0][0])
        if copy == first:
            cells = [f"{name} {statistics.fmean(one[name] for one, _ in pairs):.4f}" for name in names]
        else:
            found = {name: difference([(one[name], other[name]) for one, other in pairs]) for name in names}
            cells = [f"{name} {one.mean:+.4f}±{one.half_width:.4f}" for name, one in found.items()]
        lines.append(f"{copy} ({len(pairs)} plays): " + ", ".join(cells))
    return "\n".join(lines)


def run(
    bench: str,
    site: str,
    days: Sequence[str],
    copies: dict[str, str],
    seeds: Sequence[int],
    options: Sequence[str],
    jobs: int,
    reports: Path,
) -> int:
    """Plays all and prints the table; 1 where a rule was broken."""
    plays = [Play(copy, site, day, seed) for day in days for seed in seeds for copy in copies]
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda one: play(bench, copies, one, options, reports.absolute()), plays))
    played = {one: result for one, result in zip(plays, results, strict=True) if result is not None}
    for one, result in played.items():
        broken = f" BROKEN {result.broken}" if result.broken else ""
        print(f"{one.copy} {Path(one.day).stem} {one.seed}: {result.figures['worth']:.4f}{broken}")
    print(compare(next(iter(copies)), copies, played))
    return 1 if any(result.broken for result in played.values()) else 0


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """A parser that knows what is played: the bench, the site, the days, their seeds and options."""
    parser = argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("day", nargs="+")
    parser.add_argument("--seeds", default="0", help="by commas; 0 is the day's own")
    parser.add_argument("--small", action="store_true")
    parser.add_argument("--jobs", type=int, default=4)
    return parser


def run_arguments(arguments: argparse.Namespace, folders: dict[str, str], reports: Path) -> int:
    """`run` with what a parser made by `argument_parser` has read. `folders`: of the texts compared, by name."""
    options = ["--small"] if arguments.small else []
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    return run(
        arguments.bench, arguments.site, arguments.day, folders, seeds, options, arguments.jobs, reports
    )


def main() -> int:
    """The command."""
    parser = argument_parser(__doc__)
    parser.add_argument("--copy", action="append", required=True, metavar="NAME=DIR")
    parser.add_argument("--reports", type=Path, help="folder; by default one that is not kept")
    asked = parser.parse_args()
    copies = dict(one.partition("=")[::2] for one in asked.copy)
    with tempfile.TemporaryDirectory() as folder:
        return run_arguments(asked, copies, asked.reports or Path(folder))


if __name__ == "__main__":
    raise SystemExit(main())
