"""Which modules import each other in a circle, for `benchmarks.readability`.

Every import statement counts, also those under TYPE_CHECKING and inside functions. `from a import b` is an import of
the module `a.b` where there is one, and of `a` otherwise.
"""

from __future__ import annotations

import ast
from collections.abc import Iterable, Mapping
from pathlib import Path


def module_name(path: str) -> str:
    """The dotted name by which a file is imported: `packages/x/src/a/b.py` is `a.b`."""
    parts = Path(path).with_suffix("").parts
    if parts[0] == "packages" and len(parts) > 3 and parts[2] == "src":
        parts = parts[3:]
    return ".".join(parts).removesuffix(".__init__")


def imports_of(name: str, is_package: bool, text: str, known: Iterable[str]) -> set[str]:
    """The known modules that a module imports anywhere in its text, also under TYPE_CHECKING and in functions."""
    names = set(known)
    found: set[str] = set()
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = _absolute(name, is_package, node)
            for alias in node.names:
                inner = f"{base}.{alias.name}"
                found.add(inner if inner in names else base)
    return (found & names) - {name}


def _absolute(name: str, is_package: bool, node: ast.ImportFrom) -> str:
    if not node.level:
        return node.module or ""
    parts = name.split(".")
    parts = parts[: len(parts) - node.level + int(is_package)]
    return ".".join([*parts, *([node.module] if node.module else [])])


def find_circles(imports: Mapping[str, Iterable[str]]) -> list[list[str]]:
    """The groups of two or more modules that import each other, directly or over others (Tarjan's algorithm)."""
    numbers: dict[str, int] = {}
    lowest: dict[str, int] = {}
    open_modules: list[str] = []
    circles: list[list[str]] = []

    def visit(module: str) -> None:
        numbers[module] = lowest[module] = len(numbers)
        open_modules.append(module)
        for other in sorted(imports.get(module, ())):
            if other not in numbers:
                visit(other)
                lowest[module] = min(lowest[module], lowest[other])
            elif other in open_modules:
                lowest[module] = min(lowest[module], numbers[other])
        if lowest[module] == numbers[module]:
            start = open_modules.index(module)
            group = open_modules[start:]
            del open_modules[start:]
            if len(group) > 1:
                circles.append(sorted(group))

    for module in sorted(imports):
        if module not in numbers:
            visit(module)
    return sorted(circles)


def circles_of(texts: Mapping[str, str]) -> list[list[str]]:
    """The circles among modules given by path relative to the root, as lists of paths."""
    paths = {module_name(path): path for path in texts}
    imports = {
        name: imports_of(name, Path(path).name == "__init__.py", texts[path], paths)
        for name, path in paths.items()
    }
    return [[paths[name] for name in circle] for circle in find_circles(imports)]
