"""`python -m benchmarks.readability [--no-tests] [--no-duplicates] [ROOT]`: a tree's readability as counts by folder.

With `--folders` it prints names and shape of each package instead (`benchmarks.house_names`). With `--check` it prints
what stands against the folders that `benchmarks/readability.toml` lists as done, and exits with 1 where something does;
`--done FOLDER` holds one more folder or module to it.

Without these it prints one Markdown table with a row for each top-level folder that holds Python files known to git,
and a row of sums:

- files, lines: `.py` files and their lines.
- long modules: modules of more than 500 lines.
- long functions: functions and methods of more than 40 lines, from the `def` line to the last line of the body, with
  docstring, comments and nested functions, without decorators.
- no docstring: public items without one: modules, classes, and functions and methods whose name has no leading
  underscore and which stand in public classes or at the top of a module. Nested functions are not counted, nor the
  bodies of `@overload`. In `tests` the test functions count as well.
- Any: annotations of parameters and results that hold `Any`, one for each annotation.
- duplicates: pairs that the command `duplicates` finds inside the folder with its defaults, by its first line. The last
  row is a run over the whole tree, which also pairs places of different folders.
- tests: items that `pytest --collect-only -q` collects in the folder.

Coverage is not counted: no coverage tool is among the dependencies.
"""

from __future__ import annotations

import argparse
import ast
import re
import subprocess
import sys
from collections.abc import Iterator, Sequence
from dataclasses import astuple, dataclass, fields, replace
from pathlib import Path

from benchmarks import house_names

ROOT = Path(__file__).resolve().parent.parent
MAX_MODULE_LINES = 500
MAX_FUNCTION_LINES = 40
DUPLICATES_TIMEOUT_S = 120

Function = ast.FunctionDef | ast.AsyncFunctionDef


@dataclass
class Counts:
    """The counts of one module, or the sum over a folder. `duplicates` is None where it was not counted."""

    files: int = 0
    lines: int = 0
    long_modules: int = 0
    long_functions: int = 0
    no_docstring: int = 0
    any_annotations: int = 0
    duplicates: int | None = None
    tests: int | None = None

    def add(self, other: Counts) -> None:
        """Add the counts of a module to these."""
        for field in fields(self):
            value = getattr(other, field.name)
            if value is not None:
                setattr(self, field.name, (getattr(self, field.name) or 0) + value)


def count_module(text: str) -> Counts:
    """Count one module's source; SyntaxError where it is not Python."""
    tree = ast.parse(text)
    functions = [node for node in ast.walk(tree) if isinstance(node, Function)]
    lines = len(text.splitlines())
    return Counts(
        files=1,
        lines=lines,
        long_modules=int(lines > MAX_MODULE_LINES),
        long_functions=sum(_function_lines(node) > MAX_FUNCTION_LINES for node in functions),
        no_docstring=sum(ast.get_docstring(node) is None for node in _public_items(tree)),
        any_annotations=sum(_holds_any(item) for node in functions for item in _annotations(node)),
    )


def _function_lines(node: Function) -> int:
    assert node.end_lineno is not None
    return node.end_lineno - node.lineno + 1


def _public_items(node: ast.Module | ast.ClassDef) -> Iterator[ast.Module | ast.ClassDef | Function]:
    yield node
    for item in node.body:
        if not isinstance(item, ast.ClassDef | Function) or item.name.startswith("_"):
            continue
        if isinstance(item, ast.ClassDef):
            yield from _public_items(item)
        elif not any(ast.unparse(line).endswith("overload") for line in item.decorator_list):
            yield item


def _annotations(node: Function) -> Iterator[ast.expr]:
    arguments = node.args
    every = [
        *arguments.posonlyargs,
        *arguments.args,
        *arguments.kwonlyargs,
        arguments.vararg,
        arguments.kwarg,
    ]
    yield from (item.annotation for item in every if item is not None and item.annotation is not None)
    if node.returns is not None:
        yield node.returns


def _holds_any(annotation: ast.expr) -> bool:
    return re.search(r"\bAny\b", ast.unparse(annotation)) is not None


def read_pairs(output: str) -> int | None:
    """The number of pairs in what `duplicates` prints; None where its run was not complete."""
    if re.search(r"^incomplete:", output, re.M):
        return None
    found = re.match(r"(\d+) pairs? ", output)
    if found is not None:
        return int(found[1])
    return 0 if output.startswith("no duplicates") else None


def read_collected(output: str) -> dict[str, int]:
    """Tests by top-level folder, of what `pytest --collect-only -q` prints."""
    found: dict[str, int] = {}
    for line in output.splitlines():
        path, separator, _ = line.partition("::")
        if separator and path.endswith(".py"):
            folder = path.partition("/")[0]
            found[folder] = found.get(folder, 0) + 1
    return found


def tracked_modules(root: Path) -> list[Path]:
    """The `.py` files below `root` that git knows, as they are in the working tree."""
    listed = _output(["git", "ls-files", "-z", "*.py"], root).split("\0")
    return [root / name for name in sorted(listed) if name and (root / name).is_file()]


def count_tree(root: Path, modules: Sequence[Path]) -> dict[str, Counts]:
    """Sums over the modules, by top-level folder; files at the root itself count as "."."""
    found: dict[str, Counts] = {}
    for path in modules:
        parts = path.relative_to(root).parts
        folder = parts[0] if len(parts) > 1 else "."
        found.setdefault(folder, Counts()).add(count_module(path.read_text()))
    return dict(sorted(found.items()))


def _output(command: list[str], folder: Path) -> str:
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=True).stdout


def _count_duplicates(folder: Path) -> int | None:
    command = ["duplicates", "--repo", str(folder), "--seconds", str(DUPLICATES_TIMEOUT_S), "--most", "1"]
    return read_pairs(_output(command, folder))


def _count_tests(root: Path) -> dict[str, int]:
    return read_collected(_output([sys.executable, "-m", "pytest", "--collect-only", "-q"], root))


def table(rows: dict[str, Counts]) -> str:
    """The rows as a Markdown table; "-" for what was not counted or does not apply."""
    names = [
        "folder",
        *(field.name.replace("_", " ").replace("any annotations", "Any") for field in fields(Counts)),
    ]
    lines = [f"| {' | '.join(names)} |", "| --- " + "| ---: " * (len(names) - 1) + "|"]
    for folder, counts in rows.items():
        cells = ["-" if value is None else f"{value:,}" for value in astuple(counts)]
        lines.append(f"| {folder} | {' | '.join(cells)} |")
    return "\n".join(lines)


def _find(root: Path, more_done: Sequence[str] = ()) -> house_names.TreeFindings:
    texts = {str(path.relative_to(root)): path.read_text() for path in tracked_modules(root)}
    file = root / "benchmarks" / house_names.SETTINGS_FILE.name
    settings = house_names.read_settings(file.read_text()) if file.exists() else house_names.Settings()
    settings = replace(settings, done=(*settings.done, *more_done))
    return house_names.find_in_tree(texts, settings)


def _check(root: Path, more_done: Sequence[str]) -> int:
    found = _find(root, more_done)
    faults = house_names.faults_of(found)
    for line in faults:
        print(line)
    print(f"{len(faults)} findings in {len(found.settings.done)} folders and modules that are done")
    return int(bool(faults))


def _print_counts(root: Path, count_tests: bool, count_duplicates: bool) -> None:
    rows = count_tree(root, tracked_modules(root))
    tests = _count_tests(root) if count_tests else {}
    total = Counts()
    for folder, counts in rows.items():
        counts.tests = tests.get(folder)
        total.add(counts)
        if count_duplicates and folder != ".":
            counts.duplicates = _count_duplicates(root / folder)
    if count_duplicates:
        total.duplicates = _count_duplicates(root)
    print(table({**rows, "all": total}))


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the table for a tree, or check it; the exit code is 1 where the check found something."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.readability")
    parser.add_argument("root", nargs="?", type=Path, default=ROOT)
    parser.add_argument("--no-tests", action="store_true", help="do not collect tests")
    parser.add_argument("--no-duplicates", action="store_true", help="do not run `duplicates`")
    parser.add_argument(
        "--folders", action="store_true", help="names and shape of each package, without these two"
    )
    parser.add_argument("--check", action="store_true", help="fail where a folder that is done has findings")
    parser.add_argument(
        "--done", action="append", default=[], metavar="FOLDER", help="with --check: one more is done"
    )
    options = parser.parse_args(arguments)
    root = options.root.resolve()
    if options.check:
        return _check(root, options.done)
    if options.folders:
        print(house_names.folder_table(house_names.count_folders(_find(root))))
    else:
        _print_counts(root, not options.no_tests, not options.no_duplicates)
    return 0


if __name__ == "__main__":
    sys.exit(main())
