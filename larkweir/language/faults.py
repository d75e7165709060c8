"""A fault of a file: where, what is wrong, how to mend it; and how it is shown."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Severity(Enum):
    FAULT = "fault"  # the files can't be used
    WARNING = "warning"  # they can, and it is surely not meant


@dataclass(frozen=True, slots=True)
class Place:
    """Of some characters in a file: counted from 1, in characters, so that a tab or a letter of any script is one."""

    path: str
    line: int = 1
    column: int = 1
    length: int = 1

    def __str__(self) -> str:
        return f"{self.path}:{self.line}:{self.column}"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, with a code that stays the same from version to version."""

    code: str
    place: Place
    text: str
    mend: str = ""
    severity: Severity = Severity.FAULT

    def __str__(self) -> str:
        """One line, as compilers write it."""
        mend = f"; {self.mend}" if self.mend else ""
        return f"{self.place}: {self.severity.value} {self.code}: {self.text}{mend}"

    def as_data(self) -> dict[str, Any]:
        return {
            "file": self.place.path,
            "line": self.place.line,
            "column": self.place.column,
            "length": self.place.length,
            "severity": self.severity.value,
            "code": self.code,
            "text": self.text,
            "mend": self.mend,
        }


WIDEST = 120  # characters of a line that is shown


def shown(fault: Fault, texts: Mapping[str, str]) -> str:
    """The fault, the line that it is in, and a mark below the characters; without them where the file has none."""
    lines = texts.get(fault.place.path, "").split("\n")
    if not 0 < fault.place.line <= len(lines):
        return str(fault)
    line = lines[fault.place.line - 1]
    column = fault.place.column
    begin = max(0, column - WIDEST // 2) if len(line) > WIDEST else 0
    part = line[begin : begin + WIDEST].rstrip("\r").replace("\t", " ")
    printable = "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in part)
    at = min(max(0, column - 1 - begin), len(printable))
    mark = "^" * max(1, min(fault.place.length, len(printable) - at))
    margin = f"{fault.place.line:5} | "
    return f"{fault}\n{margin}{printable}\n{' ' * (len(margin) - 2)}| {' ' * at}{mark}"


MOST = 200  # faults that are told; what comes behind so many is seldom worth reading


class Faults:
    """Those of one reading, each once, in the order of their places in the end."""

    def __init__(self) -> None:
        self._found: dict[tuple[str, Place, str], Fault] = {}

    def add(
        self, code: str, place: Place, text: str, mend: str = "", severity: Severity = Severity.FAULT
    ) -> None:
        if len(self._found) < MOST:
            self._found.setdefault((code, place, text), Fault(code, place, text, mend, severity))

    def warn(self, code: str, place: Place, text: str, mend: str = "") -> None:
        self.add(code, place, text, mend, Severity.WARNING)

    @property
    def fatal(self) -> bool:
        return any(fault.severity is Severity.FAULT for fault in self._found.values())

    def sorted(self) -> list[Fault]:
        return sorted(
            self._found.values(), key=lambda f: (f.place.path, f.place.line, f.place.column, f.code, f.text)
        )

    @property
    def codes(self) -> Sequence[str]:
        return [fault.code for fault in self.sorted()]
