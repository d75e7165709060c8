"""Each folder under packages/ is a whole package, and the checks and the set-up know it."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
NAMES = sorted(place.parent.name for place in ROOT.glob("packages/*/pyproject.toml"))
CHECKS = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]
CONTRACTS = {contract["name"]: contract for contract in CHECKS["importlinter"]["contracts"]}


@pytest.mark.parametrize("name", NAMES)
def test_a_package_is_whole_and_known_to_every_check(name: str) -> None:
    place, module = ROOT / "packages" / name, f"larkweir_{name}"
    project = tomllib.loads((place / "pyproject.toml").read_text())["project"]
    assert project["name"] == f"larkweir-{name}"
    assert project["requires-python"] == ">=3.11"
    extras = [line for lines in project["optional-dependencies"].values() for line in lines]
    for requirement in project["dependencies"] + extras:
        assert re.fullmatch(
            r"larkweir-[a-z]+|[A-Za-z0-9_.-]+==[0-9.]+", requirement
        ), "pinned, or of this workspace"
    assert 5 <= len((place / "README.md").read_text().splitlines()) <= 20
    assert (place / "src" / module / "py.typed").exists()
    assert list(place.glob("tests/test_*.py")) and not list(place.glob("tests/**/__init__.py"))
    assert module in CHECKS["mypy"]["packages"]
    assert module in CHECKS["importlinter"]["root_packages"]
    assert module in CONTRACTS["Packages stand alone"]["source_modules"]
    assert module in CONTRACTS["Packages are joined by ports, not by imports"]["modules"]
    installed = (ROOT / "requirements.txt").read_text() + (ROOT / "requirements-dev.txt").read_text()
    assert installed.splitlines().count(f"-e packages/{name}") == 1


def test_modules_that_say_rules_are_held_to_it() -> None:
    held = CONTRACTS["Modules of rules do no input or output"]["source_modules"]
    for file in ROOT.glob("packages/*/src/larkweir_*/**/*.py"):
        first = file.read_text().partition("\n")[0]
        assert first.startswith(('"""Rules: ', '"""Hands: ')), f"{file}: the first line says which kind it is"
        if first.startswith('"""Rules: '):
            parts = file.relative_to(ROOT).with_suffix("").parts[3:]  # behind packages/NAME/src
            assert ".".join(parts).removesuffix(".__init__") in held


def test_names_of_test_files_are_unique() -> None:
    files = [path.name for path in ROOT.glob("packages/*/tests/*.py")]
    assert len(files) == len(set(files))
