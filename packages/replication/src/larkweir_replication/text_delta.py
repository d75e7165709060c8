"""The difference of two texts as copies and insertions: pure logic, fast on texts of megabytes.

Both texts are cut behind each closing brace, so that the items of a JSON document are pieces. Runs of pieces that the
old text has too are copied, the others are sent (as rsync does with blocks: Tridgell and Mackerras 1996).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

PIECE_END = "}"
MAX_TEXT_CHARS = 2**31

Position = Annotated[int, msgspec.Meta(ge=0, le=MAX_TEXT_CHARS)]


class TextEdit(msgspec.Struct, frozen=True, array_like=True):
    """A part of the new text: a copy of `length` characters of the old one from `start` on, then `inserted`."""

    start: Position
    length: Position
    inserted: str = ""


def make_edits(old: str, new: str) -> tuple[TextEdit, ...]:
    """The edits that make the new text of the old one."""
    start_by_piece: dict[str, int] = {}
    position = 0
    for piece in _pieces(old):
        start_by_piece.setdefault(piece, position)
        position += len(piece)
    edits: list[TextEdit] = []
    start = length = 0
    inserted: list[str] = []
    for piece in _pieces(new):
        if not inserted and old.startswith(piece, start + length):
            length += len(piece)  # the run goes on, also over pieces that the old text has several times
            continue
        found = start_by_piece.get(piece)
        if found is None:
            inserted.append(piece)
            continue
        edits.append(TextEdit(start, length, "".join(inserted)))
        start, length, inserted = found, len(piece), []
    edits.append(TextEdit(start, length, "".join(inserted)))
    return tuple(edit for edit in edits if edit.length or edit.inserted)


def apply_edits(old: str, edits: Iterable[TextEdit]) -> str:
    """The new text; of another old text than that of `make_edits` it is some other text."""
    parts: list[str] = []
    for edit in edits:
        parts.append(old[edit.start : edit.start + edit.length])
        parts.append(edit.inserted)
    return "".join(parts)


def _pieces(text: str) -> list[str]:
    ends = text.split(PIECE_END)
    pieces = [piece + PIECE_END for piece in ends[:-1]]
    return [*pieces, ends[-1]] if ends[-1] else pieces
