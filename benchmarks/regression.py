"""`python -m benchmarks.regression --kit FOLDER --landing N`: the standing benches in turn, against the journal.

Plays the operators' days and both deployments' earlier days, quick or (every third landing) in full; the standing test
in full and its panel of narrow moments (`brink`) with each of `--seeds`; and the standing test quick on the other
customer's site and on the variants in `deploy/sites`. Each play's snapshot in `journal/` is compared day by day with
the snapshots of the same panel before it. A broken rule, a crash, a failed gate is said as such. A drop is only a
reason to ask for a pair: one code's days swing, so each day is measured against its own earlier plays.

Exit code: 0 fine, 1 a drop beyond the noise, 2 no kit in the folder or nothing to read, 3 a broken rule.
"""

from __future__ import annotations

import argparse
import json
import re
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence
from enum import Enum
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

ROOT = Path(__file__).parents[1]

FINE, DROP, NOTHING, BROKEN = 0, 1, 2, 3
NOISE = 0.07  # of a day's score, at the least
PLAYS = 6  # earlier plays of a day that count
FEW = 3  # plays, under which their spread says nothing: the noise is taken to be twice as large


class Length(Enum):
    """When a benchmark is played in full rather than quick."""

    QUICK = "never in full"
    THIRD = "in full at every third landing"
    FULL = "always in full"


class Bench(NamedTuple):
    """One row of the table: a program in the kit and the site it plays."""

    name: str
    program: str  # from the kit's folder
    site: str  # from the kit's folder, or from this repository's where it begins with `deploy/`
    length: Length
    panel: str = ""  # a set of days other than the usual one

    def site_path(self, kit: Path) -> Path:
        """Where the site file lies."""
        return (ROOT if self.site.startswith("deploy/") else kit) / self.site


STANDING = "more/mass/bin/lbreal"
TABLE = (
    Bench("operators", "more/ops/bin/lbreal", "sites/quito-registro.toml", Length.THIRD),
    Bench("first", "more/bin/lbreal", "sites/quito-registro.toml", Length.THIRD),
    Bench("second", "more/bin/lbreal", "more/users/perth-cards.toml", Length.THIRD),
    Bench("standing", STANDING, "sites/quito-registro.toml", Length.FULL),
    Bench("brink", STANDING, "sites/quito-registro.toml", Length.FULL, panel="brink"),
    Bench("iontrail", STANDING, "more/mass/other/iontrail-main.toml", Length.QUICK),
    Bench("asked-list", STANDING, "deploy/sites/asked-list.toml", Length.QUICK),
    Bench("short-window", STANDING, "deploy/sites/short-window.toml", Length.QUICK),
)


class Day(NamedTuple):
    name: str
    score: float
    broken: str  # the rules broken and faults, in words; empty if none


class Play(NamedTuple):
    """One snapshot, as far as it is compared."""

    panel: str  # what was played: equal ones may be compared
    at: str
    days: tuple[Day, ...]
    broken: str  # of the play as a whole


class Finding(NamedTuple):
    code: int
    text: str


# ---------------------------------------------------------------- reading and comparing plays


def read_play(text: str) -> Play | None:
    """A snapshot's text; None where it is no score on sockets."""
    try:
        data = json.loads(text)
    except ValueError:
        return None
    if (
        not isinstance(data, dict)
        or data.get("cmd") != "real-score"
        or not isinstance(data.get("days"), list)
    ):
        return None
    days = tuple(
        _day(item) for item in data["days"] if isinstance(item, dict) and item.get("score") is not None
    )
    figures = data.get("figures") or {}
    broken = str(data["error"])[:200] if data.get("error") else ""
    if figures.get("gate") == 0.0:
        broken = "the gate failed"
    return Play(str(data.get("panel")), str((data.get("at") or [""])[0]), days, broken)


def _day(item: dict[str, Any]) -> Day:
    words = [f"{name} {count} times" for name, count in (item.get("rules") or {}).items() if count]
    if item.get("fault"):
        words.append(str(item["fault"])[:200])
    return Day(str(item.get("name")), float(item["score"]), ", ".join(words))


def noise_of(earlier: Sequence[float]) -> float:
    """What a day's score may lie under the middle of its earlier plays by chance."""
    if len(earlier) < FEW:
        return 2.0 * NOISE
    middle = median(earlier)
    return max([NOISE, *(abs(score - middle) for score in earlier)])


def compare(play: Play, earlier: Iterable[Play]) -> list[Finding]:
    """What a play says against those of the same panel before it, the worst first."""
    found = [Finding(BROKEN, f"{play.broken}: mend this before anything new")] if play.broken else []
    before: dict[str, list[float]] = {}
    for one in sorted((p for p in earlier if p.panel == play.panel and p.at < play.at), key=lambda p: p.at):
        for day in one.days:
            if not day.broken:
                before.setdefault(day.name, []).append(day.score)
    for day in play.days:
        scores = before.get(day.name, [])[-PLAYS:]
        if day.broken:
            found.append(Finding(BROKEN, f"{day.name}: {day.broken}: mend this before anything new"))
        elif not scores:
            found.append(Finding(FINE, f"{day.name}: {day.score:.2f}, played for the first time"))
        else:
            middle, noise = median(scores), noise_of(scores)
            text = f"{day.name}: {day.score:.2f}, {middle:.2f} in the middle of {len(scores)} plays, noise {noise:.2f}"
            low = day.score < middle - noise
            pair = "; play it beside the code before, twice, before you believe it" if low else ""
            found.append(Finding(DROP if low else FINE, text + pair))
    return sorted(found, key=lambda item: -item.code)


def worst(findings: Iterable[Finding]) -> int:
    return max((item.code for item in findings), default=FINE)


def rows(landing: int, only: Sequence[str]) -> list[tuple[Bench, bool]]:
    """What a landing plays, and whether in full."""
    third = landing % 3 == 0
    return [
        (bench, bench.length is Length.FULL or (bench.length is Length.THIRD and third))
        for bench in TABLE
        if not only or bench.name in only
    ]


def commands(bench: Bench, full: bool, kit: Path, seeds: Sequence[int], why: str) -> Iterator[list[str]]:
    """The command lines of a row: one for each seed where the row is a panel, else one."""
    command = [str(kit / bench.program), "score", str(bench.site_path(kit))]
    if bench.panel:
        for seed in seeds:
            yield [*command, "--panel", bench.panel, "--seed", str(seed), "--why", f"{why}, seed {seed}"]
    else:
        yield [*command, *([] if full else ["--quick"]), "--why", why]


SNAPSHOT = re.compile(r"^snapshot ([0-9a-f]{8})$", re.MULTILINE)


def snapshot_of(output: str) -> str | None:
    """The id that a bench's last line names."""
    found = SNAPSHOT.findall(output)
    return found[-1] if found else None


# ---------------------------------------------------------------- input and output


def plays_in(journal: Path) -> dict[str, Play]:
    """Every score on sockets in the journal, by its snapshot's id."""
    found = {}
    for path in sorted(journal.glob("*.json")):
        play = read_play(path.read_text(errors="replace"))
        if play is not None:
            found[path.stem.rpartition("-")[2]] = play
    return found


def arguments_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kit", type=Path, required=True, help="the folder that the benches lie in")
    parser.add_argument("--landing", type=int, default=1, help="its number: every third is played in full")
    parser.add_argument("--only", nargs="*", default=[], choices=[bench.name for bench in TABLE])
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2], help="of the panel `brink`")
    parser.add_argument("--cpus", help="the cores that nothing else uses, as taskset names them")
    parser.add_argument("--why", default="The regression table", help="one plain sentence for the journal")
    return parser


def play_command(command: list[str]) -> list[Finding] | None:
    """Run one benchmark and compare its snapshot with those before it; None where it left none."""
    done = subprocess.run(
        command, cwd=ROOT, text=True, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False
    )
    number = snapshot_of(done.stdout)
    plays = plays_in(ROOT / "journal")
    if number is None or number not in plays:
        print(f"  no snapshot to read; its last lines: {done.stdout.strip().splitlines()[-3:]}")
        return None
    return compare(plays[number], plays.values())


def main(arguments: Sequence[str] | None = None) -> int:
    options = arguments_parser().parse_args(arguments)
    found: list[Finding] = []
    for bench, full in rows(options.landing, options.only):
        program, site = options.kit / bench.program, bench.site_path(options.kit)
        if not program.is_file() or not site.is_file():
            print(f"regression: no kit at {options.kit}: {program} or {site} is not there", file=sys.stderr)
            return NOTHING
        for command in commands(bench, full, options.kit, options.seeds, options.why):
            print(f"{bench.name}, {'in full' if full else 'quick'}", flush=True)
            pinned = ["taskset", "-c", options.cpus] if options.cpus else []
            findings = play_command([*pinned, *command])
            if findings is None:
                return NOTHING
            for item in findings:
                print(f"  {('fine', 'DROP', '', 'BROKEN')[item.code]:6} {item.text}")
            found += findings
    return worst(found)


if __name__ == "__main__":
    sys.exit(main())
