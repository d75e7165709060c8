"""`python -m benchmarks.language`: what the configuration language costs: a large file, a small one at a start, and
none.

A file of 10,000 lines (classes, tenants, constants, templates, comments) is checked and laid out; `--lines` sets how
many. Starts are whole processes, `--starts` of each kind in turn: without an operator file, with a small TOML file,
with the same in the language; the time to the first STATUS would need a platform, so what is timed is `load_options`
with all its imports, in a process of its own, and the memory that it adds. Last comes the time that the large file
takes to check, in seconds.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from benchmarks.hot_path import ROOT

PROBE = """
import sys, time
begun = time.perf_counter()
from larkweir.lifecycle.config_loader import load_options
load_options(sys.argv[1] or None)
spent = time.perf_counter() - begun
held = next(line for line in open("/proc/self/status") if line.startswith("VmRSS")).split()[1]
print(spent, int(held) / 1024)
"""


def large(lines: int) -> str:
    rows = [
        "let quick = 410ms;",
        "let few = 2;",
        "template careful {",
        "    attempts = $few;",
        "    worth = 8;",
        "}",
    ]
    number = 0
    while len(rows) < lines - 7:
        number += 1
        rows += [
            f"# Class number {number}, by staff of firm {number % 7}.",
            f'class "class-{number}" : careful {{',
            "    aim = $quick;",
            f"    deadline = {1 + number % 9}s;  # its clients wait as long",
            f"    worth = {number % 50 + 1};",
            "}",
            "",
        ]
    return "\n".join(rows) + "\n"


def start(path: str) -> tuple[float, float]:
    done = subprocess.run(
        [sys.executable, "-c", PROBE, path], cwd=ROOT, capture_output=True, text=True, check=True
    )
    spent, memory = done.stdout.split()
    return float(spent) * 1000.0, float(memory)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--lines", type=int, default=10_000)
    parser.add_argument("--starts", type=int, default=9)
    options = parser.parse_args()
    from larkweir.language.faults import Faults
    from larkweir.language.files import Disk
    from larkweir.language.format import formatted
    from larkweir.language.reading import read

    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        text = large(options.lines)
        root = folder / "root.lw"
        root.write_text(text)
        begun = time.perf_counter()
        disk, faults = Disk(str(root)), Faults()
        read(disk.root, disk, faults)
        checked = time.perf_counter() - begun
        assert not faults.fatal
        begun = time.perf_counter()
        after = formatted(text)
        laid = time.perf_counter() - begun
        assert after is not None
        broken = text.replace(";", "", 500)
        begun = time.perf_counter()
        many = Faults()
        root.write_text(broken)
        disk = Disk(str(root))
        read(disk.root, disk, many)
        faulty = time.perf_counter() - begun
        print(f"{len(text.splitlines())} lines: checked in {checked:.2f} s, laid out in {laid:.2f} s")
        print(f"the same with 500 faults: {faulty:.2f} s, {len(many.sorted())} told")
        small, toml = folder / "small.lw", folder / "small.toml"
        small.write_text("lifecycle { reload = whole; stop_grace = 700ms; }\n")
        toml.write_text('[lifecycle]\nreload = "whole"\nstop_grace_ms = 700.0\n')
        rows: dict[str, list[tuple[float, float]]] = {"none": [], "TOML": [], "the language": []}
        time.sleep(2.1)  # past the time in which a file that was just written is looked at twice
        for _ in range(options.starts):
            for kind, path in (("none", ""), ("TOML", str(toml)), ("the language", str(small))):
                rows[kind].append(start(path))
        for kind, times in rows.items():
            spent, memory = (median(item[at] for item in times) for at in range(2))
            print(f"a start with {kind:12}  options after {spent:6.1f} ms, {memory:5.1f} MB")
    print(f"seconds to check the large file: {checked:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
