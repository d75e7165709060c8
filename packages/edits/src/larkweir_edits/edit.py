"""An edit: its dot, what its writer had seen, and what it says of one row.

Dots and contexts after Preguica, Baquero, Almeida, Fonte, Goncalves: "Dotted Version Vectors: Logical Clocks for
Optimistic Replication" (2010). An edit's context is the version vector that its writer had applied; applying goes in
causal order, so a context is causally closed, and a vector is enough.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

import msgspec

MAX_EDIT_BYTES = 7 * 1024  # bytes of one edit on the wire: an item of 8 KiB takes it
MAX_TEXT_CHARS = 1024  # characters of a name or an element
MAX_CONTEXT_ENTRIES = 4096  # of a context

Dot = tuple[str, int]  # writer, counter from 1
Vector = Mapping[str, int]  # of each writer, how many of its edits
Sub = tuple[str, str]  # unit of a row, and element of it where it is a list ("" otherwise)
RowKey = tuple[str, str]  # table, name

HERE: Sub = ("", "")  # whether the row is there
LIST_PRESENT = ""  # the element of a list that says whether the list is said at all
ENDED = "ended"  # unit of verdicts: [term, number, whether it is ended], one for each pool of a split
STEP = "step"  # unit of an owner's other writes: [term, number, value], by name


class EditError(ValueError):
    """Bytes that are no edit, or one that is past its bounds."""


class Kind(IntEnum):
    """What an edit does. The numbers are on the wire and on disk."""

    WRITE = 0  # fields of a row that is to be there
    DELETE = 1  # a row
    OWNER = 2  # by an owner with a term: verdicts and steps
    STRIKE = 3  # what a writer (the row) wrote past a number is proposals


def covers(vector: Vector, other: Vector) -> bool:
    """Whether all of `other` is in `vector`."""
    return all(vector.get(writer, 0) >= count for writer, count in other.items())


@dataclass(frozen=True, slots=True, eq=False)
class Edit:
    """One row's changes. `seen` is shared between edits that had seen the same; the writer's own are below its dot."""

    dot: Dot
    seen: Vector
    kind: Kind
    row: RowKey
    changes: tuple[tuple[Sub, Any], ...]
    stamp: int = field(default=0)  # a number above those of all that it had seen

    def saw(self, dot: Dot) -> bool:
        """Whether the writer had applied the edit of that dot."""
        writer, count = dot
        if writer == self.dot[0]:
            return count < self.dot[1]
        return self.seen.get(writer, 0) >= count

    def saw_all(self, vector: Vector) -> bool:
        """Whether the writer had applied all edits of the vector."""
        return all(self.saw((writer, count)) for writer, count in vector.items() if count)

    @property
    def order(self) -> tuple[int, str, int]:
        """The same at every copy, and no edit comes before one that it had seen."""
        return (self.stamp, *self.dot)

    def writes(self) -> tuple[tuple[Sub, Any], ...]:
        """What it says of each part of its row, whether the row is there among it."""
        if self.kind is Kind.WRITE:
            return ((HERE, True), *self.changes)
        if self.kind is Kind.DELETE:
            return ((HERE, False),)
        return self.changes if self.kind is Kind.OWNER else ()


def made(dot: Dot, seen: Vector, kind: Kind, row: RowKey, changes: tuple[tuple[Sub, Any], ...]) -> Edit:
    """An edit with its stamp: one more than it had seen, its own writer's earlier ones among them."""
    others = sum(count for writer, count in seen.items() if writer != dot[0])
    return Edit(dot, seen, kind, row, changes, others + dot[1])


def delta(before: Vector, seen: Vector) -> dict[str, int]:
    """What a context adds to that of the same writer's edit before."""
    return {writer: count for writer, count in seen.items() if before.get(writer, 0) != count}


class Wire(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An edit as it travels; its writer stands once over many. `more` is its context beyond the edit's before."""

    count: int
    more: dict[str, int]
    kind: int
    table: str
    name: str
    changes: list[tuple[str, str, Any]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Wire] = msgspec.msgpack.Decoder(Wire)


def encoded(edit: Edit, before: Vector) -> bytes:
    """An edit's bytes; EditError where they are too many."""
    data = _ENCODER.encode(
        Wire(
            edit.dot[1],
            delta(before, edit.seen),
            int(edit.kind),
            *edit.row,
            [(*sub, value) for sub, value in edit.changes],
        )
    )
    if len(data) > MAX_EDIT_BYTES:
        raise EditError(
            f"{len(data)} bytes in one edit of {'.'.join(edit.row)}; {MAX_EDIT_BYTES} at the most"
        )
    return data


def _plain(value: Any, deep: int = 3) -> bool:
    if isinstance(value, dict):
        return deep > 0 and all(
            isinstance(key, str) and _plain(item, deep - 1) for key, item in value.items()
        )
    if isinstance(value, list):
        return deep > 0 and all(_plain(item, deep - 1) for item in value)
    return value is None or isinstance(value, str | bool | int | float)


def shaped(data: bytes) -> Wire:
    """Bytes from outside, looked at; EditError where they are none."""
    if len(data) > MAX_EDIT_BYTES:
        raise EditError(f"{len(data)} bytes; {MAX_EDIT_BYTES} at the most")
    try:
        wire = _DECODER.decode(data)
    except (msgspec.ValidationError, msgspec.DecodeError, RecursionError, ValueError) as problem:
        raise EditError(f"no edit: {problem}") from None
    texts = [wire.table, wire.name, *wire.more, *(part for item in wire.changes for part in item[:2])]
    if wire.count < 1 or wire.count > 1 << 53 or wire.kind not in tuple(Kind):
        raise EditError("no edit: its counter or its kind")
    if any(len(text) > MAX_TEXT_CHARS for text in texts) or len(wire.more) > MAX_CONTEXT_ENTRIES:
        raise EditError("no edit: a name is too long, or it has seen too many")
    if any(count < 0 for count in wire.more.values()) or not all(_plain(item[2]) for item in wire.changes):
        raise EditError("no edit: a value is of no plain kind")
    if wire.kind == Kind.OWNER and not all(_termed(item) for item in wire.changes):
        raise EditError("no edit: an owner's write has its term, its number and a value")
    if wire.kind == Kind.STRIKE and not (
        len(wire.changes) == 1 and type(wire.changes[0][2]) is int and wire.changes[0][2] >= 0
    ):
        raise EditError("no edit: a strike has one number")
    if wire.kind == Kind.WRITE and any(item[0] in ("", ENDED, STEP) for item in wire.changes):
        raise EditError("no edit: staff write fields alone")
    return wire


def _termed(item: tuple[str, str, Any]) -> bool:
    value = item[2]
    return (
        item[0] in (ENDED, STEP)
        and isinstance(value, list)
        and len(value) == 3
        and all(type(number) is int and number >= 0 for number in value[:2])
    )


def read(writer: str, wire: Wire, before: Vector) -> Edit:
    """An edit whose writer's edit before had this context."""
    seen = before if not wire.more else {**before, **wire.more}
    changes = tuple(((unit, element), value) for unit, element, value in wire.changes)
    return made((writer, wire.count), seen, Kind(wire.kind), (wire.table, wire.name), changes)
