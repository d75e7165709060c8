"""The build of the router fleet: it reinstalls after any edit of its sources, and only then."""

from __future__ import annotations

import os
import re
import subprocess
import tomllib
from pathlib import Path
from shutil import copytree

import pytest

ROOT = Path(__file__).resolve().parents[2]

# A fake interpreter in place of `python3 -m pip`: records its calls and creates the target folder.
FAKE_PYTHON = """#!/bin/sh
echo "$@" >> "$CALLS"
mkdir -p ../deps
"""


class Checkout:
    """A copy of the files that the build reads, with an interpreter that installs nothing."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.calls = folder / "calls"
        for name in (
            "deploy",
            "packages/balancing",
            "packages/replication",
            "packages/registry",
            "packages/quotas",
            "packages/rollouts",
        ):
            copytree(ROOT / name, folder / name)
        for name in ("requirements-system.txt", "dependencies-system.txt"):
            (folder / name).write_bytes((ROOT / name).read_bytes())
        programs = folder / "programs"
        programs.mkdir()
        (programs / "python3").write_text(FAKE_PYTHON)
        (programs / "python3").chmod(0o755)

    def build(self) -> int:
        """Run the build as the platform does; return the number of installations so far."""
        command = tomllib.loads((self.folder / "deploy/system.toml").read_text())["build"]
        path = f"{self.folder / 'programs'}:{os.environ['PATH']}"
        subprocess.run(
            ["sh", "-c", command],
            cwd=self.folder,
            env={"PATH": path, "CALLS": str(self.calls)},
            check=True,
        )
        return len(self.calls.read_text().splitlines())


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    return Checkout(tmp_path)


def test_an_unchanged_checkout_is_installed_once(checkout: Checkout) -> None:
    assert checkout.build() == 1
    assert checkout.build() == 1
    (checkout.folder / "packages/quotas/src/larkweir_quotas/__pycache__").mkdir(exist_ok=True)
    (checkout.folder / "packages/quotas/src/larkweir_quotas/__pycache__/usage_table.pyc").write_bytes(b"x")
    assert checkout.build() == 1


@pytest.mark.parametrize(
    "name",
    [
        "packages/quotas/src/larkweir_quotas/quota_allocator.py",
        "packages/replication/src/larkweir_replication/replica.py",
        "packages/registry/pyproject.toml",
        "requirements-system.txt",
        "dependencies-system.txt",
    ],
)
def test_an_edit_of_any_source_is_installed(checkout: Checkout, name: str) -> None:
    assert checkout.build() == 1
    edited = checkout.folder / name
    before = edited.stat()
    edited.write_text(edited.read_text() + "\n# edited\n")
    os.utime(
        edited, ns=(before.st_atime_ns, before.st_mtime_ns - 10**12)
    )  # a modification time far in the past, as after a checkout
    assert checkout.build() == 2
    assert checkout.build() == 2


def test_a_removed_module_is_no_longer_installed(checkout: Checkout) -> None:
    assert checkout.build() == 1
    (checkout.folder / "packages/quotas/src/larkweir_quotas/retry_budget.py").unlink()
    assert checkout.build() == 2
    assert not (checkout.folder / "target/src/packages/quotas/src/larkweir_quotas/retry_budget.py").exists()


def test_nothing_is_made_outside_target(checkout: Checkout) -> None:
    before = {path for path in checkout.folder.rglob("*") if "target" not in path.parts}
    checkout.build()
    after = {path for path in checkout.folder.rglob("*") if "target" not in path.parts}
    assert after - before == {checkout.calls}


# The Debian package of each program that the build or a role calls; `sh` and its builtins are part of dash.
PACKAGE_BY_PROGRAM = {
    "sh": "dash",
    "python3": "python3",
    "python3 -m pip": "python3-pip",
    "sed": "sed",
    "find": "findutils",
    **dict.fromkeys(("cat", "cp", "dirname", "mkdir", "rm", "sha256sum", "sort"), "coreutils"),
}
SHELL_KEYWORDS = frozenset(
    ("set", "if", "then", "fi", "for", "do", "done", "exit", "cd", "[", "printf", "export", "in")
)
CERTIFICATES = "ca-certificates"  # pip needs them to verify the registry


def programs_called(script: str) -> set[str]:
    """Return the words in command position in a shell script."""
    text = re.sub(r"'[^']*'", "''", "\n".join(line.partition("#")[0] for line in script.splitlines()))
    found = set()
    for command in re.split(r"\$\(|&&|\|\||[;|&(){}\n]|\bdo\b|\bthen\b", text):
        words = [word for word in command.split() if not re.fullmatch(r"[A-Z_a-z]+=\S*", word)]
        name = words[0].strip('"') if words else ""
        if re.fullmatch(r"[a-z][a-z0-9_.-]*", name) and name not in SHELL_KEYWORDS:
            found.add("python3 -m pip" if words[:3] == ["python3", "-m", "pip"] else name)
    return found


def test_every_program_that_is_called_is_in_a_package_that_is_listed() -> None:
    deployment = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    commands = [deployment["build"], *(role["run"] for role in deployment["roles"].values())]
    called = {program for command in commands for program in programs_called(command)}
    called |= programs_called((ROOT / "deploy/build_system.sh").read_text())
    assert {"sh", "python3", "python3 -m pip", "find", "sha256sum", "sort", "sed"} <= called
    assert called <= set(PACKAGE_BY_PROGRAM), "a program is missing in PACKAGE_BY_PROGRAM"
    needed = {PACKAGE_BY_PROGRAM[program] for program in called} | {CERTIFICATES}
    assert set(deployment["packages"]) == needed


def test_a_new_program_in_the_script_is_noticed() -> None:
    assert programs_called("set -eu\nx=$(awk 1 f | uniq)\nif [ -f y ]; then curl z; fi\n") == {
        "awk",
        "uniq",
        "curl",
    }
