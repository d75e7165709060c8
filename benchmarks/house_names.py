"""Names, shape and docstrings of each folder, and the circles of imports, for `benchmarks.readability`.

A definition is a class, function, argument, attribute (an annotated or assigned name in a class body, or `self.name =`)
or assigned name; each counts once in its scope. A house name is a definition one of whose words is in `HOUSE_WORDS`
and whose use there is not allowed by `readability.toml`, which gives a reason for each exception.
"""

from __future__ import annotations

import ast
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, fields
from fnmatch import fnmatchcase
from pathlib import Path

from benchmarks.import_circles import circles_of

MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 40
SETTINGS_FILE = Path(__file__).with_name("readability.toml")
OLD_HEADS = ("Rules:", "Hands:")
GROUPED_FOLDERS = ("larkweir", "packages")  # each folder inside counts for itself
TEST_FOLDERS = ("tests",)

# The words that issue 55 names, with their forms.
HOUSE_WORDS = frozenset(
    """
    told tell tells telling teller whole wholes wholly held hold holds copy copies asked ask asks asking asker
    said say says saying kept keep keeps keeper keepers life lives came come comes coming word words wording
    heard hear hears hearing caller callers room rooms news mail mails troubles trouble troubled
    mend mends mended mending promised promise promises owed owe owes owing duty duties ride rides rider riders rode
    ledger ledgers settle settles settled settling ballot ballots
    """.split()
)

Function = ast.FunctionDef | ast.AsyncFunctionDef
Scope = ast.Module | ast.ClassDef | Function


@dataclass(frozen=True)
class Definition:
    """A name that a module defines, and the line where it does so first."""

    name: str
    line: int


@dataclass(frozen=True)
class AllowedNames:
    """An exception: `words` (or names, as patterns) that are the field's own below `folder`; "" is the tree."""

    folder: str
    reason: str
    words: frozenset[str] = frozenset()
    names: frozenset[str] = frozenset()

    def covers(self, path: str) -> bool:
        """Whether the exception holds for the module at `path`, relative to the root."""
        return is_below(path, self.folder)


@dataclass(frozen=True)
class Settings:
    """What `readability.toml` says: the folders and modules that are done, and the names that are allowed."""

    done: tuple[str, ...] = ()
    allowed: tuple[AllowedNames, ...] = ()


@dataclass
class ModuleFindings:
    """What one module holds, with the line of each finding; `path` is relative to the root."""

    path: str
    lines: int
    definitions: list[Definition]
    long_functions: list[Definition]
    without_docstring: list[Definition]
    old_heads: list[Definition]


@dataclass
class FolderCounts:
    """The sums over a folder's modules. `without_docstring` is None for tests, where none are asked for."""

    files: int = 0
    lines: int = 0
    definitions: int = 0
    house_names: int = 0
    long_functions: int = 0
    long_modules: int = 0
    without_docstring: int | None = None
    old_heads: int = 0
    import_circles: int = 0

    def add(self, other: FolderCounts) -> None:
        """Add another's counts to these."""
        for item in fields(self):
            value = getattr(other, item.name)
            if value is not None:
                setattr(self, item.name, (getattr(self, item.name) or 0) + value)


@dataclass
class TreeFindings:
    """Everything that is found below a root."""

    settings: Settings
    modules: list[ModuleFindings] = field(default_factory=list)
    circles: list[list[str]] = field(default_factory=list)


def read_settings(text: str) -> Settings:
    """Read `readability.toml`.

    Raises:
        ValueError: an exception without a reason, or with neither words nor names.
    """
    tables = tomllib.loads(text)
    allowed = []
    for row in tables.get("allowed", []):
        exception = AllowedNames(
            folder=row.get("folder", ""),
            reason=row.get("reason", "").strip(),
            words=frozenset(row.get("words", [])),
            names=frozenset(row.get("names", [])),
        )
        if not exception.reason or not (exception.words or exception.names):
            raise ValueError(f"an exception needs a reason, and words or names: {row}")
        allowed.append(exception)
    return Settings(done=tuple(tables.get("done", [])), allowed=tuple(allowed))


def is_below(path: str, folder: str) -> bool:
    """Whether a path is the folder or module itself or stands below it; "" is everything."""
    return not folder or path == folder or path.startswith(folder.rstrip("/") + "/")


def folder_of(path: str) -> str:
    """The folder that a module counts for: `packages/NAME`, `larkweir/NAME`, or the top-level folder."""
    parts = Path(path).parts
    if len(parts) == 1:
        return "."
    if parts[0] in GROUPED_FOLDERS and len(parts) > 2:
        is_test = "tests" in parts[2:-1]
        return f"{parts[0]}/{parts[1]}" + ("/tests" if is_test else "")
    return parts[0]


def is_test_folder(folder: str) -> bool:
    """Whether a folder, as `folder_of` names it, holds tests."""
    return folder in TEST_FOLDERS or folder.endswith("/tests")


def words_of(name: str) -> list[str]:
    """The words of a name in lower case: `HTTPKeeper_told2` is http, keeper, told."""
    return [word.lower() for word in re.findall(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+", name)]


def is_house_name(name: str, path: str, allowed: Iterable[AllowedNames] = ()) -> bool:
    """Whether one of the name's words is a house word that no exception allows in this module."""
    found = HOUSE_WORDS.intersection(words_of(name))
    if not found:
        return False
    for exception in allowed:
        if exception.covers(path):
            if any(fnmatchcase(name.strip("_"), pattern) for pattern in exception.names):
                return False
            found -= exception.words
    return bool(found)


def find_in_module(path: str, text: str) -> ModuleFindings:
    """Read one module; SyntaxError where it is not Python."""
    tree = ast.parse(text)
    functions = [node for node in ast.walk(tree) if isinstance(node, Function)]
    documented = [node for node in ast.walk(tree) if isinstance(node, Scope)]
    return ModuleFindings(
        path=path,
        lines=len(text.splitlines()),
        definitions=list(definitions_of(tree)),
        long_functions=[
            Definition(node.name, node.lineno)
            for node in functions
            if function_lines(node) > MAX_FUNCTION_LINES
        ],
        without_docstring=[
            Definition(_name_of(node), _line_of(node))
            for node in public_items(tree)
            if ast.get_docstring(node) is None
        ],
        old_heads=[
            Definition(_name_of(node), _line_of(node))
            for node in documented
            if (ast.get_docstring(node) or "").startswith(OLD_HEADS)
        ],
    )


def function_lines(node: Function) -> int:
    """Lines from `def` to the last of the body, decorators not counted."""
    assert node.end_lineno is not None
    return node.end_lineno - node.lineno + 1


def public_items(node: ast.Module | ast.ClassDef) -> Iterator[Scope]:
    """The module or class itself, and what is public in it; neither nested functions nor the bodies of overloads."""
    yield node
    for item in node.body:
        if not isinstance(item, ast.ClassDef | Function) or item.name.startswith("_"):
            continue
        if isinstance(item, ast.ClassDef):
            yield from public_items(item)
        elif not any(ast.unparse(line).endswith("overload") for line in item.decorator_list):
            yield item


def _name_of(node: Scope) -> str:
    return "module" if isinstance(node, ast.Module) else node.name


def _line_of(node: Scope) -> int:
    return 1 if isinstance(node, ast.Module) else node.lineno


def definitions_of(tree: ast.Module) -> Iterator[Definition]:
    """Each class, function, argument, attribute and assigned name of a module, once in its scope."""
    yield from _definitions_in(tree)


def _definitions_in(scope: Scope) -> Iterator[Definition]:
    seen: set[str] = set()
    attributes: set[str] = set()
    for node in _nodes_of_scope(scope):
        if isinstance(node, ast.ClassDef | Function):
            if node.name not in seen:
                yield Definition(node.name, node.lineno)
            seen.add(node.name)
            yield from _arguments_of(node)
            yield from _definitions_in(node)
        elif isinstance(node, ast.Lambda):
            yield from _arguments_of(node)
        elif isinstance(node, ast.Name) and isinstance(node.ctx, ast.Store) and node.id not in seen:
            seen.add(node.id)
            yield Definition(node.id, node.lineno)
        elif (
            isinstance(node, ast.Attribute)
            and isinstance(node.ctx, ast.Store)
            and isinstance(node.value, ast.Name)
            and node.value.id == "self"
            and node.attr not in attributes
        ):
            attributes.add(node.attr)
            yield Definition(node.attr, node.lineno)


def _nodes_of_scope(scope: Scope) -> Iterator[ast.AST]:
    """All nodes of a scope's body, but not what stands inside classes and functions in it."""
    waiting: list[ast.AST] = list(reversed(scope.body))
    while waiting:
        node = waiting.pop()
        yield node
        if not isinstance(node, ast.ClassDef | Function):
            waiting.extend(reversed(list(ast.iter_child_nodes(node))))


def _arguments_of(node: ast.ClassDef | Function | ast.Lambda) -> Iterator[Definition]:
    if isinstance(node, ast.ClassDef):
        return
    given = node.args
    for item in (*given.posonlyargs, *given.args, given.vararg, *given.kwonlyargs, given.kwarg):
        if item is not None and item.arg not in ("self", "cls"):
            yield Definition(item.arg, item.lineno)


def find_in_tree(texts: Mapping[str, str], settings: Settings) -> TreeFindings:
    """Read all modules, by their path relative to the root. Circles are given as lists of paths."""
    return TreeFindings(
        settings=settings,
        modules=[find_in_module(path, text) for path, text in sorted(texts.items())],
        circles=circles_of(texts),
    )


def count_folders(found: TreeFindings) -> dict[str, FolderCounts]:
    """Sums by folder; a circle counts for each folder that has a module in it."""
    rows: dict[str, FolderCounts] = {}
    for module in found.modules:
        folder = folder_of(module.path)
        rows.setdefault(folder, FolderCounts()).add(count_module(module, found.settings))
    for circle in found.circles:
        for folder in {folder_of(path) for path in circle}:
            rows[folder].import_circles += 1
    return dict(sorted(rows.items()))


def count_module(module: ModuleFindings, settings: Settings) -> FolderCounts:
    """The counts of one module, but for circles."""
    return FolderCounts(
        files=1,
        lines=module.lines,
        definitions=len(module.definitions),
        house_names=len(house_names_of(module, settings)),
        long_functions=len(module.long_functions),
        long_modules=int(module.lines > MAX_MODULE_LINES),
        without_docstring=None if is_test_folder(folder_of(module.path)) else len(module.without_docstring),
        old_heads=len(module.old_heads),
    )


def house_names_of(module: ModuleFindings, settings: Settings) -> list[Definition]:
    """The definitions of a module that are house names."""
    return [item for item in module.definitions if is_house_name(item.name, module.path, settings.allowed)]


def faults_of(found: TreeFindings) -> list[str]:
    """What stands against the folders that are done, a line each, and entries of the settings that match nothing."""
    settings = found.settings
    lines: list[str] = []
    for module in found.modules:
        if any(is_below(module.path, folder) for folder in settings.done):
            lines.extend(_faults_of_module(module, settings))
    lines.extend(
        f"{circle[0]}: circle of imports: {', '.join(circle)}"
        for circle in found.circles
        if any(is_below(path, folder) for path in circle for folder in settings.done)
    )
    return [*lines, *_idle_settings(found)]


def _faults_of_module(module: ModuleFindings, settings: Settings) -> Iterator[str]:
    at = module.path
    for item in house_names_of(module, settings):
        yield f"{at}:{item.line}: house name: {item.name}"
    for item in module.long_functions:
        yield f"{at}:{item.line}: function over {MAX_FUNCTION_LINES} lines: {item.name}"
    if module.lines > MAX_MODULE_LINES:
        yield f"{at}: module over {MAX_MODULE_LINES} lines: {module.lines}"
    if not is_test_folder(folder_of(at)):
        for item in module.without_docstring:
            yield f"{at}:{item.line}: public item without docstring: {item.name}"
    for item in module.old_heads:
        yield f"{at}:{item.line}: docstring begins with one of {', '.join(OLD_HEADS)}: {item.name}"


def _idle_settings(found: TreeFindings) -> Iterator[str]:
    for folder in found.settings.done:
        if not any(is_below(module.path, folder) for module in found.modules):
            yield f"{SETTINGS_FILE.name}: done: there is nothing at {folder}"
    for exception in found.settings.allowed:
        names = {
            item.name.strip("_")
            for module in found.modules
            if exception.covers(module.path)
            for item in module.definitions
        }
        words = {word for name in names for word in words_of(name)}
        idle = {
            pattern for pattern in exception.names if not any(fnmatchcase(name, pattern) for name in names)
        }
        for unused in sorted((exception.words - words) | idle):
            yield f"{SETTINGS_FILE.name}: allowed, but not used in {exception.folder or 'the tree'}: {unused}"


def folder_table(rows: Mapping[str, FolderCounts]) -> str:
    """The rows as a Markdown table, with a row of sums; "-" for what does not apply."""
    names = ["folder", *(item.name.replace("_", " ") for item in fields(FolderCounts))]
    lines = [f"| {' | '.join(names)} |", "| --- " + "| ---: " * (len(names) - 1) + "|"]
    total = FolderCounts()
    for counts in rows.values():
        total.add(counts)
    for folder, counts in [*rows.items(), ("all", total)]:
        lines.append(f"| {folder} | {' | '.join(_cells(counts))} |")
    return "\n".join(lines)


def _cells(counts: FolderCounts) -> Sequence[str]:
    values = [getattr(counts, item.name) for item in fields(counts)]
    return ["-" if value is None else f"{value:,}" for value in values]
