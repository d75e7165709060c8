"""Rules: what is told to staff of a merged whole, in lines of the log and words of STATUS, bounded."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from larkweir_edits.rows import Told
from larkweir_edits.schema import Tables
from larkweir_edits.starts import Began

MOST_LINES = 8  # of one change
MOST_A_MINUTE = 40
MOST_VALUE = 80  # characters of one value
MOST_ASKED = 4  # proposals in one line; STATUS has how many there are
MOST_NAMES = 160  # characters in STATUS

WAITS = "the file says otherwise than when it was read last; that counts once more than half of all are met"


def began_line(began: Began) -> str:
    """What came of a file that says otherwise at a start."""
    if began.old:
        return (
            "the folder is older than what the others have from here: what the file says otherwise was said before, "
            "and makes no edit; change it and reload, or name it in settle, where it is to count"
        )
    if began.problem:
        return f"{began.problem}; what this file says anew does not count"
    return f"{began.made} made of what the file says otherwise than when it was read last"


def key_of(told: Told) -> str:
    """What it is about, as `settle` would name it."""
    return ".".join(text for text in (told.table, told.row, told.unit) if text) or "whole"


def line_of(told: Told) -> str:
    """One line of the log."""
    asked = [f"{writer} {_said(told, value)}" for writer, value in told.proposals[:MOST_ASKED]]
    more = len(told.proposals) - len(asked)
    if more > 0:
        asked.append(f"and {more} more")
    return f"edits: {key_of(told)}: {told.why}" + (f" ({'; '.join(asked)})" if asked else "")


def _said(told: Told, value: Any) -> str:
    """Of a row's own being there, in words."""
    if not told.unit and isinstance(value, bool):
        return "has it" if value else "deleted it"
    return f"says {_short(value)}"


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MOST_VALUE else text[: MOST_VALUE - 3] + "..."


def names_of(told: Sequence[Told]) -> str:
    """For STATUS: what is to be looked at, without a space."""
    keys = dict.fromkeys("".join(key_of(item).split()) for item in told)
    text = ",".join(keys)
    return text if len(text) <= MOST_NAMES else text[: MOST_NAMES - 3] + "..."


def mark_of(tables: Tables) -> str:
    """The same wherever the tables are the same."""
    digest = blake2b(digest_size=4)
    for table in sorted(tables):
        for name in sorted(tables[table]):
            digest.update(repr((table, name, sorted(tables[table][name].items()))).encode())
    return digest.hexdigest()


class Lines:
    """Which lines go to the log: what is new among what is told, and what is told no more; so many a minute."""

    def __init__(self) -> None:
        self._known: Mapping[str, str] = {}  # by line, what it is about
        self._since_ms = 0.0
        self._said = 0

    def of(self, told: Sequence[Told], now_ms: float) -> list[str]:
        now = {line_of(item): key_of(item) for item in told}
        new = [line for line in now if line not in self._known]
        keys = set(now.values())
        gone = dict.fromkeys(key for key in self._known.values() if key not in keys)
        self._known = now
        found = [*new, *(f"edits: {key}: settled" for key in gone)]
        if now_ms - self._since_ms >= 60_000.0:
            self._since_ms, self._said = now_ms, 0
        room = max(0, min(MOST_LINES, MOST_A_MINUTE - self._said))
        left = len(found) - room
        if left > 0:
            found = [*found[:room], *([f"edits: {left} more to be told; STATUS names them"] if room else [])]
        self._said += len(found)
        return found
