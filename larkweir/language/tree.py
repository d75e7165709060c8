"""What a file says, as a tree of statements with the place of each word."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from larkweir.language.faults import Place


class Form(Enum):
    """How a value is written."""

    WORD = "word"
    TEXT = "text"
    AMOUNT = "amount"
    REFERENCE = "reference"
    LIST = "list"


@dataclass(frozen=True, slots=True)
class Value:
    form: Form
    text: str  # as it is written; of a text, what it means
    place: Place
    items: tuple[Value, ...] = ()


@dataclass(frozen=True, slots=True)
class Name:
    text: str
    place: Place


@dataclass(frozen=True, slots=True)
class Setting:
    name: Name
    value: Value


@dataclass(frozen=True, slots=True)
class Let:
    name: Name
    value: Value


@dataclass(frozen=True, slots=True)
class Include:
    target: Name


@dataclass(frozen=True, slots=True)
class Template:
    name: Name
    parents: tuple[Name, ...]
    settings: tuple[Setting, ...]


@dataclass(frozen=True, slots=True)
class Block:
    kind: Name
    label: Name | None
    parents: tuple[Name, ...]
    settings: tuple[Setting, ...]


Statement = Setting | Let | Include | Template | Block


@dataclass(slots=True)
class File:
    """One file's statements, as far as they could be read."""

    path: str
    statements: list[Statement] = field(default_factory=list)
