"""`python -m benchmarks.planted [LIST ...] [--fault TEXT]`: each planted fault, and which check found it.

A list stands in `packages/NAME/tests/planted/faults.toml`, and that of the balancer, `larkweir`, in
`tests/planted/faults.toml`. It has faults: name, file, old text, new text, and `by`, the check that must find it: the
name of one of the list's checks, or a test as pytest names it. The old text must be there just once. A check has a
name, what it looks at, and what pytest is to run. Each fault is put by itself into a copy of the package (of the
repository, for the balancer), and its check is run on the copy, until the first test fails; a check that takes longer
than ten minutes has found it as well. Where its own check finds nothing, the list's others are tried, and the one that
does is told; the fault counts as not found all the same. The copy without a fault must pass them all. `--table` prints
what a page wants. Ends with 1 where a fault was not found by its check, or a check fails without one; last comes the
count.
"""

from __future__ import annotations

import argparse
import ast
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
MOST_S = 600.0  # a check that takes longer has found the fault: what it looks at does not end any more
LEFT_OUT = shutil.ignore_patterns("__pycache__", ".*", "planted", "journal", "*.egg-info")


class Fault(NamedTuple):
    name: str
    file: str  # from the folder that is copied
    old: str
    new: str
    by: str

    def put(self, folder: Path) -> None:
        """Into a copy. ValueError, one line, where it can't be."""
        file = folder / self.file
        text = file.read_text() if file.is_file() else ""
        if text.count(self.old) != 1:
            raise ValueError(f"{self.file}: its text is there {text.count(self.old)} times")
        changed = text.replace(self.old, self.new)
        try:
            ast.parse(changed)
        except SyntaxError as problem:
            raise ValueError(f"{self.file}: no Python any more: {problem}") from None
        file.write_text(changed)


class Planted(NamedTuple):
    """One list."""

    name: str
    folder: Path  # that is copied, and that files and tests are named from
    checks: dict[str, str]  # what pytest runs, by name
    faults: list[Fault]

    def runs(self, by: str) -> str:
        return self.checks.get(by, by)


def read(file: Path, folder: Path, name: str) -> Planted:
    """ValueError or KeyError where it is no such list."""
    data = tomllib.loads(file.read_text())
    checks = {check["name"]: check["runs"] for check in data.get("check", ())}
    faults = [Fault(**fault) for fault in data["fault"]]
    return Planted(name, folder, checks, faults)


def lists(root: Path = ROOT) -> Iterator[Planted]:
    for file in sorted((root / "packages").glob("*/tests/planted/faults.toml")):
        folder = file.parent.parent.parent
        yield read(file, folder, folder.name)
    own = root / "tests" / "planted" / "faults.toml"
    if own.exists():
        yield read(own, root, "larkweir")


def paths(of: Planted, copy: Path) -> list[str]:
    """What Python finds its modules by: the copy first, then the packages beside it."""
    if (copy / "packages").is_dir():
        return [str(copy), *map(str, sorted((copy / "packages").glob("*/src")))]
    others = [path for path in sorted((ROOT / "packages").glob("*/src")) if path.parent != of.folder]
    return [str(copy / "src"), str(copy / "tests"), *map(str, others), str(ROOT)]


def found_by(of: Planted, runs: str, copy: Path) -> str:
    """The test that fails, and why; "" where all pass."""
    given = os.environ.get("PYTHONPATH")
    environment = {
        **os.environ,
        "PYTHONPATH": os.pathsep.join([*paths(of, copy), *([given] if given else [])]),
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider", "-p", "no:randomly"]
    command += ["--rootdir", str(copy), *runs.split()]
    try:
        done = subprocess.run(
            command, cwd=copy, env=environment, capture_output=True, timeout=MOST_S, check=False
        )
    except subprocess.TimeoutExpired:
        return f"{runs}: it does not end"
    if done.returncode == 0:
        return ""
    said = done.stdout.decode(errors="replace")
    test = re.search(r"^(?:FAILED|ERROR) (?:\S*/)?(\w+\.py.*?)(?: - (.*))?$", said, re.MULTILINE)
    if test is None:  # no test has failed: the check itself could not be run
        return f"{runs}: ended with {done.returncode}: {said.strip()[-200:]!r}"
    why = re.search(r"^E +(.*)$", said, re.MULTILINE)
    return f"{test[1]}: {(why[1] if why else test[2] or '').strip()[:100]}"


class Outcome(NamedTuple):
    good: bool
    words: str
    seconds: float


def play(of: Planted, fault: Fault | None, checks: Sequence[str]) -> Outcome:
    """Without a fault: whether all checks pass."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / of.folder.name
        shutil.copytree(of.folder, copy, ignore=LEFT_OUT)
        if fault is None:
            wrong = next((found for by in checks if (found := found_by(of, of.runs(by), copy))), "")
            return Outcome(not wrong, wrong or "all checks pass", time.monotonic() - started)
        try:
            fault.put(copy)
        except ValueError as problem:
            return Outcome(False, f"NO FAULT: {problem}", 0.0)
        words = found_by(of, of.runs(fault.by), copy)
        good = bool(words)
        if not good:
            others = [by for by in checks if by != fault.by]
            words = next((found for by in others if (found := found_by(of, of.runs(by), copy))), "")
            words = f"NOT FOUND by {fault.by}" + (f", but by {words}" if words else " nor by another")
    return Outcome(good, words, time.monotonic() - started)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("lists", nargs="*", help="packages, or larkweir; all where none is named")
    parser.add_argument("--fault", default="", help="only faults whose name has this text")
    parser.add_argument("--at-once", type=int, default=len(os.sched_getaffinity(0)))
    parser.add_argument("--table", action="store_true", help="as a table for a page")
    args = parser.parse_args()
    missed = planted = 0
    for one in lists():
        faults = [fault for fault in one.faults if args.fault in fault.name]
        if (args.lists and one.name not in args.lists) or not faults:
            continue
        checks = list(dict.fromkeys([*one.checks, *(fault.by for fault in faults)]))
        plays: list[Fault | None] = [None, *faults]
        print(f"{one.name}: {len(faults)} faults" if not args.table else f"\n### {one.name}\n", flush=True)
        if args.table:
            print("| fault | file | found by |\n| --- | --- | --- |")
        with ThreadPoolExecutor(args.at_once) as pool:
            done = pool.map(lambda fault: play(one, fault, checks), plays)  # noqa: B023
            for fault, outcome in zip(plays, done, strict=True):
                name = fault.name if fault else "without a fault"
                missed += not outcome.good
                planted += fault is not None
                if args.table and fault:
                    words = outcome.words.split(": ")[0] if outcome.good else outcome.words
                    print(f"| {name} | `{Path(fault.file).name}` | `{words}` |", flush=True)
                elif not args.table or not outcome.good:
                    print(f"  {name}: {outcome.words} ({outcome.seconds:.0f} s)", flush=True)
    print(f"{planted} planted, {missed} not found by their check")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
