"""`python -m benchmarks.planted [PACKAGE ...] [--fault TEXT]`: each planted fault, and which check found it.

Faults stand in `packages/NAME/tests/planted/faults.toml`: a list of checks (name, what it looks at, a command for
Python, run in the package's folder) and of faults (name, file, old text, new text; the old text must be there just
once, unless `every = true`). Each fault is put into a copy of the package by itself, and the checks are run on the
copy in their order until one fails. The copy without a fault must pass them all. Ends with 1 where a fault was not
found, or a check fails without one. Tests of another package that a check needs are found by PYTHONPATH.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MOST_S = 600.0  # a check that takes longer has found the fault: what it looks at does not end any more


def run(package: Path, fault: dict[str, Any] | None, checks: Sequence[dict[str, Any]]) -> tuple[str, float]:
    """Which check found it, "" for none, and the seconds."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / package.name
        shutil.copytree(package, copy, ignore=shutil.ignore_patterns("__pycache__", ".*", "planted"))
        if fault is not None:
            file = copy / fault["file"]
            text = file.read_text()
            if text.count(fault["old"]) != 1 and not fault.get("every"):
                return f"no fault: its text is there {text.count(fault['old'])} times", 0.0
            file.write_text(text.replace(fault["old"], fault["new"]))
        others = [str(path) for path in sorted((ROOT / "packages").glob("*/src")) if path.parent != package]
        paths = [str(copy / "src"), str(copy / "tests"), *others, str(ROOT)]
        given = os.environ.get("PYTHONPATH")
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join([*paths, *([given] if given else [])]),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        for check in checks:
            command = [sys.executable, *check["command"]]
            if command[1:3] == ["-m", "pytest"]:
                command += ["-p", "no:cacheprovider", "--rootdir", str(copy)]
            try:
                done = subprocess.run(
                    command, cwd=copy, env=environment, capture_output=True, timeout=MOST_S, check=False
                )
            except subprocess.TimeoutExpired:
                return check["name"], time.monotonic() - started
            if done.returncode != 0:
                tail = [
                    line for line in done.stdout.decode(errors="replace").splitlines() if line[:2] == "E "
                ]
                why = tail[0][2:].strip()[:100] if tail else ""
                return f"{check['name']}: {why}", time.monotonic() - started
    return "", time.monotonic() - started


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("packages", nargs="*")
    parser.add_argument("--fault", default="", help="only faults whose name has this text")
    parser.add_argument("--at-once", type=int, default=len(os.sched_getaffinity(0)))
    args = parser.parse_args()
    missed = planted = 0
    for list_of_faults in sorted((ROOT / "packages").glob("*/tests/planted/faults.toml")):
        package = list_of_faults.parent.parent.parent
        if args.packages and package.name not in args.packages:
            continue
        data = tomllib.loads(list_of_faults.read_text())
        checks = data["check"]
        faults: list[Any] = [fault for fault in data["fault"] if args.fault in fault["name"]]
        print(
            f"{package.name}: {len(faults)} faults; checks " + ", ".join(c["name"] for c in checks),
            flush=True,
        )
        with ThreadPoolExecutor(args.at_once) as pool:
            found = pool.map(lambda fault: run(package, fault, checks), [None, *faults])  # noqa: B023
            for fault, (by, seconds) in zip([None, *faults], found, strict=True):
                if fault is None:
                    good = not by
                    print(f"  without a fault: {by or 'all pass'} ({seconds:.0f} s)", flush=True)
                else:
                    planted += 1
                    good = bool(by) and not by.startswith("no fault")
                    print(f"  {fault['name']}: {by or 'NOT FOUND'} ({seconds:.0f} s)", flush=True)
                missed += not good
    print(f"{planted} planted, {missed} not found or without their text")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
