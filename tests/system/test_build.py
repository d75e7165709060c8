"""The build of the router fleet: edits anywhere in what it installs are seen, and nothing is installed twice."""

from __future__ import annotations

import os
import subprocess
import tomllib
from pathlib import Path
from shutil import copytree

import pytest

ROOT = Path(__file__).resolve().parents[2]

# Stands in for pip: notes that it was called, and makes the folder that it was given.
FAKE_PYTHON = """#!/bin/sh
echo "$@" >> "$CALLS"
mkdir -p ../deps
"""


class Checkout:
    """A copy of what the build reads, with an interpreter that installs nothing."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.calls = folder / "calls"
        for name in (
            "deploy",
            "packages/balancing",
            "packages/replication",
            "packages/registry",
            "packages/quotas",
        ):
            copytree(ROOT / name, folder / name)
        for name in ("requirements-system.txt", "dependencies-system.txt"):
            (folder / name).write_bytes((ROOT / name).read_bytes())
        programs = folder / "programs"
        programs.mkdir()
        (programs / "python3").write_text(FAKE_PYTHON)
        (programs / "python3").chmod(0o755)

    def build(self) -> int:
        """Builds as the platform does; how often something was installed so far."""
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
        "packages/quotas/src/larkweir_quotas/usage_table.py",
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
    )  # as if it had been checked out long ago
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
