"""Represents the difference between two texts as copies and insertions. Pure logic; fast on texts of megabytes.

Both texts are split after each closing brace, so that the items of a JSON document are pieces. Runs of pieces that the
old text contains too are copied, the others are sent (as rsync does with blocks: Tridgell and Mackerras 1996).
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

PIECE_END = "}"
MAX_TEXT_CHARS = 2**31

Position = Annotated[int, msgspec.Meta(ge=0, le=MAX_TEXT_CHARS)]


class TextEdit(msgspec.Struct, frozen=True, array_like=True):
    """A part of the new text: `length` characters of the old text from `start` on, followed by `inserted`."""

    start: Position
    length: Position
    inserted: str = ""


def make_edits(old: str, new: str) -> tuple[TextEdit, ...]:
    """Returns the edits that turn the old text into the new one."""
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
            length += len(piece)  # extends the run, even over pieces that the old text has several times
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
    """Returns the new text. `old` must be the text that `make_edits` was given, else the result is another text."""
    parts: list[str] = []
    for edit in edits:
        parts.append(old[edit.start : edit.start + edit.length])
        parts.append(edit.inserted)
    return "".join(parts)


def _pieces(text: str) -> list[str]:
    ends = text.split(PIECE_END)
    pieces = [piece + PIECE_END for piece in ends[:-1]]
    return [*pieces, ends[-1]] if ends[-1] else pieces
