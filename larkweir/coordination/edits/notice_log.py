"""Notices on merged tables for the operators, as a bounded number of log lines and fields of STATUS."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from larkweir_edits.rows import Notice
from larkweir_edits.schema import Tables
from larkweir_edits.starts import Began

MAX_LINES = 8  # of one change
MAX_LINES_PER_MINUTE = 40
MAX_VALUE_CHARS = 80  # characters of one value
MAX_PROPOSALS_PER_LINE = 4  # proposals in one line; STATUS has how many there are
MAX_NAMES_CHARS = 160  # characters in STATUS

START_FILE_WAITS = (
    "the file says otherwise than when it was read last; that counts once more than half of all are met"
)


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


def key_of(notices: Notice) -> str:
    """What it is about, as `settle` would name it."""
    return ".".join(text for text in (notices.table, notices.row, notices.unit) if text) or "whole"


def line_of(notices: Notice) -> str:
    """One line of the log."""
    proposals = [
        f"{writer} {_phrase(notices, value)}" for writer, value in notices.proposals[:MAX_PROPOSALS_PER_LINE]
    ]
    more = len(notices.proposals) - len(proposals)
    if more > 0:
        proposals.append(f"and {more} more")
    return f"edits: {key_of(notices)}: {notices.why}" + (f" ({'; '.join(proposals)})" if proposals else "")


def _phrase(notices: Notice, value: Any) -> str:
    """Of a row's own being there, in words."""
    if not notices.unit and isinstance(value, bool):
        return "has it" if value else "deleted it"
    return f"says {_short(value)}"


def _short(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARS else text[: MAX_VALUE_CHARS - 3] + "..."


def names_of(notices: Sequence[Notice]) -> str:
    """For STATUS: what is to be looked at, without a space."""
    keys = dict.fromkeys("".join(key_of(item).split()) for item in notices)
    text = ",".join(keys)
    return text if len(text) <= MAX_NAMES_CHARS else text[: MAX_NAMES_CHARS - 3] + "..."


def fingerprint_of(tables: Tables) -> str:
    """The same wherever the tables are the same."""
    digest = blake2b(digest_size=4)
    for table in sorted(tables):
        for name in sorted(tables[table]):
            digest.update(repr((table, name, sorted(tables[table][name].items()))).encode())
    return digest.hexdigest()


class NoticeLog:
    """Which lines go to the log: what is new among what is told, and what is told no more; so many a minute."""

    def __init__(self) -> None:
        self._known: Mapping[str, str] = {}  # by line, what it is about
        self._since_ms = 0.0
        self._logged_count = 0

    def new_lines(self, notices: Sequence[Notice], now_ms: float) -> list[str]:
        """The lines that are due: new notices, and those that no longer hold; bounded by time and number."""
        now = {line_of(item): key_of(item) for item in notices}
        new = [line for line in now if line not in self._known]
        keys = set(now.values())
        gone = dict.fromkeys(key for key in self._known.values() if key not in keys)
        self._known = now
        found = [*new, *(f"edits: {key}: settled" for key in gone)]
        if now_ms - self._since_ms >= 60_000.0:
            self._since_ms, self._logged_count = now_ms, 0
        free_lines = max(0, min(MAX_LINES, MAX_LINES_PER_MINUTE - self._logged_count))
        left = len(found) - free_lines
        if left > 0:
            found = [
                *found[:free_lines],
                *([f"edits: {left} more to be told; STATUS names them"] if free_lines else []),
            ]
        self._logged_count += len(found)
        return found
