"""The pages name what is there: paths, files, modules, log events."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from benchmarks.house_names import definitions_of

ROOT = Path(__file__).parent.parent
PAST = ("history", "readability")  # pages that name what was
PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/glossary.md",
    "docs/testing.md",
    "docs/CAPACITY.md",
    *(str(page.relative_to(ROOT)) for page in sorted(ROOT.glob("docs/operators/*.md"))),
    *(str(page.relative_to(ROOT)) for page in sorted(ROOT.glob("docs/design/*.md")) if page.stem not in PAST),
]
FOLDERS = ("larkweir", "packages", "docs", "tests", "benchmarks", "standins", "deploy", "journal")
FLEET_FOLDERS = ("router", "controller", "cluster", "system")
PYTHON_FILES = [
    f"/{path.relative_to(ROOT)}"
    for folder in FOLDERS
    for path in (ROOT / folder).rglob("*.py")
    if "." not in path.parent.name
]
LOG_CALLS = ("log.event", "log.detail", "log.debug", "log_failure")
NOT_IN_GIT = ("tests/scenes/received",)
PLACEHOLDER = re.compile(r"[A-Z]{3,}|[*{<]")


def paths_in(text: str) -> set[str]:
    """What stands between backticks and begins with a folder of the repository, but for patterns and placeholders."""
    found = set()
    for quoted in re.findall(r"`([^`\n]+)`", text):
        path = quoted.partition("::")[0]
        is_path = re.fullmatch(rf"(?:{'|'.join(FOLDERS)})/\S+", path) is not None
        if is_path and not PLACEHOLDER.search(path.removesuffix(".md")):
            found.add(path)
    return found


def files_in(text: str) -> set[str]:
    """Python files by the end of their path, also in drawings."""
    found = set(re.findall(r"(?<![\w/.*-])(?:[\w-]+/)*\w+\.py\b", text))
    return {file for file in found if not PLACEHOLDER.search(file)}


def modules_in(text: str) -> set[str]:
    """Dotted names of the product's modules, and of what they define, between backticks."""
    return set(re.findall(r"`(larkweir(?:_[a-z]+)?(?:\.[A-Za-z_0-9]+)+)`", text))


def exists(name: str) -> bool:
    """Whether a dotted name is a module, or something that a module defines."""
    parts = name.split(".")
    base = ROOT if parts[0] == "larkweir" else ROOT / "packages" / parts[0].removeprefix("larkweir_") / "src"
    path = base.joinpath(*parts)
    if path.with_suffix(".py").is_file() or (path / "__init__.py").is_file():
        return True
    files = [file for file in (path.parent.with_suffix(".py"), path.parent / "__init__.py") if file.is_file()]
    trees = [ast.parse(file.read_text()) for file in files]
    names = {item.name for tree in trees for item in definitions_of(tree)}
    imports = [node for tree in trees for node in tree.body if isinstance(node, ast.ImportFrom)]
    return parts[-1] in names.union(alias.name for node in imports for alias in node.names)


def events_logged_in(file: Path) -> set[str]:
    """The literal names of the events that a module logs."""
    found = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if (
            isinstance(node, ast.Call)
            and ast.unparse(node.func) in LOG_CALLS
            and isinstance(node.args[0], ast.Constant)
        ):
            found.add(str(node.args[0].value))
    return found


def logged_events() -> set[str]:
    """Those of the router fleet."""
    files = [file for folder in FLEET_FOLDERS for file in (ROOT / "larkweir" / folder).rglob("*.py")]
    return {event for file in files for event in events_logged_in(file)}


@pytest.mark.parametrize("page", PAGES)
def test_a_page_names_paths_and_modules_that_exist(page: str) -> None:
    text = (ROOT / page).read_text()
    missing = {
        path for path in paths_in(text) if not path.startswith(NOT_IN_GIT) and not (ROOT / path).exists()
    }
    missing |= {
        file for file in files_in(text) if not any(path.endswith(f"/{file}") for path in PYTHON_FILES)
    }
    missing |= {name for name in modules_in(text) if not exists(name)}
    assert missing == set()


@pytest.mark.parametrize("page", ["docs/operators/fleet-logs.md", "docs/architecture.md"])
def test_every_event_of_the_router_fleet_is_on_the_pages_that_explain_them(page: str) -> None:
    text = (ROOT / page).read_text()
    assert {event for event in logged_events() if f"`{event}`" not in text} == set()


def test_the_events_of_the_log_page_are_written_by_the_code() -> None:
    page = (ROOT / "docs/operators/fleet-logs.md").read_text()
    rows = re.findall(r"^\| (`[a-z_`, ]+`) \| (?:router|controller|both) \|", page, re.M)
    named = {event for row in rows for event in re.findall(r"`([a-z_]+)`", row)}
    assert len(named) > 10
    assert named - logged_events() == set()


def test_an_event_is_written_by_the_modules_that_the_architecture_names() -> None:
    text = (ROOT / "docs/architecture.md").read_text()
    rows = re.findall(
        r"^\| (`[a-z_]+`[^|]*) \| ([^|]*`larkweir/(?:router|controller|cluster|system)/[^|]*) \|$", text, re.M
    )
    named = set()
    for events, files in rows:
        written = {
            event
            for file in re.findall(r"`(larkweir/\S+\.py)`", files)
            for event in events_logged_in(ROOT / file)
        }
        wanted = set(re.findall(r"`([a-z_]+)`", events))
        assert wanted - written == set(), files
        named |= wanted
    assert logged_events() - named == set()


def test_paths_are_told_from_other_quotes() -> None:
    text = "`larkweir/a.py` `docs/X.md` `packages/NAME` `tests/*` `larkweir check` `a/b` `tests/a.py::test_b`"
    assert paths_in(text) == {"larkweir/a.py", "docs/X.md", "tests/a.py"}
    assert files_in("a b/c.py, `d.py`: e.pyc ../f.py g.h.py") == {"b/c.py", "d.py"}
