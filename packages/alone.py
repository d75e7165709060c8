"""`python packages/alone.py [NAME ...]`: each package's tests, with only what the package declares installed.

For each folder beside this file: a fresh virtual environment, the package and its extra `test` with their pinned
dependencies (those called larkweir-NAME are taken from here), then its tests in a folder of their own, so that nothing
else of the repository can be imported. All packages at once. Prints a line each; exit code 1 if one failed.
"""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
import time
import tomllib
import venv
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from shutil import copy, copytree

HERE = Path(__file__).resolve().parent
TOGETHER = 4


def declared(name: str) -> list[str]:
    """The packages of this workspace that a package or its tests declare, theirs too, in order of name."""
    found: set[str] = set()
    left = [(name, True)]
    while left:
        one, with_tests = left.pop()
        project = tomllib.loads((HERE / one / "pyproject.toml").read_text())["project"]
        wanted = list(project.get("dependencies", []))
        if with_tests:
            wanted += project.get("optional-dependencies", {}).get("test", [])
        for requirement in wanted:
            match = re.match(r"larkweir-([a-z]+)", requirement)
            if match and match[1] not in found:
                found.add(match[1])
                left.append((match[1], False))
    return sorted(found)


def passed_over(name: str) -> list[str]:
    """Pytest's options for the package's tests in KNOWN-RED.txt, which CI passes over here as in the whole run."""
    lines = (HERE.parent / "KNOWN-RED.txt").read_text().splitlines()
    ids = [line.split()[0] for line in lines if line.startswith(f"packages/{name}/")]
    return [f"--deselect={id_.removeprefix(f'packages/{name}/')}" for id_ in ids]


def alone(name: str) -> tuple[str, int, float, str]:
    """Gives the name, pytest's or pip's exit code, the seconds it took, and what was printed."""
    begun = time.monotonic()
    left_out = (
        "PYTHONPATH",
        "VIRTUAL_ENV",
        "PYTHONPYCACHEPREFIX",
    )  # what is compiled goes with the environment
    env = {key: value for key, value in os.environ.items() if key not in left_out}
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder)
        venv.create(place / "venv", with_pip=False, symlinks=True)
        python = str(place / "venv/bin/python")
        pip = [sys.executable, "-m", "pip", "--python", python, "-q", "install", "--no-compile"]
        install = [*pip, "--disable-pip-version-check", f"{HERE / name}[test]"]
        install += [str(HERE / other) for other in declared(name)]
        done = subprocess.run(install, env=env, capture_output=True, text=True, check=False)
        if done.returncode == 0:
            copytree(HERE / name / "tests", place / "tests")
            copy(HERE / name / "README.md", place / "README.md")  # a test runs its example
            test = [python, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", folder]
            test += [*passed_over(name), "tests"]
            done = subprocess.run(test, env=env, cwd=folder, capture_output=True, text=True, check=False)
    return name, done.returncode, time.monotonic() - begun, done.stdout + done.stderr


def main(names: list[str]) -> int:
    names = names or sorted(place.parent.name for place in HERE.glob("*/pyproject.toml"))
    with ThreadPoolExecutor(TOGETHER) as pool:
        results = list(pool.map(alone, names))
    for name, code, seconds, printed in results:
        if code:
            print(printed)
        print(f"{name} alone: {'FAILED' if code else 'ok'} in {seconds:.1f} s")
    return 1 if any(code for _, code, _, _ in results) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
