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


# Modules of packages that do input or output, or import one that does. Every other one is held to do none.
IO_MODULES = {
    "larkweir_balancing",
    "larkweir_balancing.wirehost",
    "larkweir_captures",
    "larkweir_captures.writer",
    "larkweir_edits",
    "larkweir_edits.log",
    "larkweir_owners",
    "larkweir_owners.acceptor_file",
    "larkweir_owners.file_system",
    "larkweir_peers",
    "larkweir_peers.transport",
    "larkweir_quotas",
    "larkweir_registry",
    "larkweir_replication",
    "larkweir_replication.journal",
    "larkweir_replication.journal_files",
    "larkweir_rollouts",
    "larkweir_simulated",
    "larkweir_simulated.network",
}


def test_each_module_of_a_package_is_pure_or_named_as_one_that_does_input_or_output() -> None:
    held = set(CONTRACTS["Modules of rules do no input or output"]["source_modules"])
    found = set()
    for file in ROOT.glob("packages/*/src/larkweir_*/**/*.py"):
        parts = file.relative_to(ROOT).with_suffix("").parts[3:]  # behind packages/NAME/src
        found.add(".".join(parts).removesuffix(".__init__"))
    packages = {module.partition(".")[0] for module in found}
    pure = {module for module in held if module.partition(".")[0] in packages}
    assert found == pure | IO_MODULES and not pure & IO_MODULES


def test_names_of_test_files_are_unique() -> None:
    files = [path.name for path in ROOT.glob("packages/*/tests/*.py")]
    assert len(files) == len(set(files))


def test_every_file_that_the_deploy_file_names_is_there() -> None:
    """The platform counts and copies them by these names: a renamed module is renamed there too."""
    deployment = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    named = [path for values in deployment.values() if isinstance(values, list) for path in values]
    files = [path for path in named if "/" in path]
    assert files
    assert [path for path in files if not (ROOT / path).exists()] == []
