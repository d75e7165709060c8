"""The store of results, one SQLite file. A cell (one run of a scenario under one seed) is written once and as a whole.

Considered and not used: Parquet (made for millions of rows, and a file is written whole), JSON lines (no key, and an
interrupted write leaves half a line). Two processes may write to one file; each waits for the other's transaction, and
neither repeats a cell that the other has stored.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterator
from typing import Any, NamedTuple

FORMAT = 1


class StoreError(ValueError):
    """A file that holds no results, or can't be written; the message says why."""


class Cell(NamedTuple):
    """One run: of a scenario at a point of its sweep, by a version of the code, under a seed."""

    scenario: str  # its name
    point: dict[str, Any]  # what the sweep has set
    played: str  # fingerprint of what was played
    code: str  # of what played it
    seed: int
    result: dict[str, Any]


class Results:
    """The store. StoreError where the file can't be used; the message says why."""

    def __init__(self, path: str) -> None:
        try:
            self._base = sqlite3.connect(path, timeout=30.0, isolation_level=None)
        except sqlite3.Error as problem:
            raise StoreError(f"{path}: {problem}") from None
        try:
            self._set_up(path)
        except (sqlite3.Error, StoreError) as problem:
            self._base.close()
            raise problem if isinstance(problem, StoreError) else StoreError(f"{path}: {problem}") from None

    def _set_up(self, path: str) -> None:
        """Check the format and create what a new file lacks, in one transaction: another process may open it too."""
        self._base.execute("pragma journal_mode = wal")
        self._base.execute("pragma synchronous = full")
        self._base.execute("begin immediate")
        self._check_format(path)
        self._base.execute(
            "create table if not exists cells (played text, code text, seed integer, scenario text, point text,"
            " result text, primary key (played, code, seed)) without rowid"
        )
        self._base.execute(f"pragma user_version = {FORMAT}")
        self._base.execute("commit")

    def _check_format(self, path: str) -> None:
        (version,) = self._base.execute("pragma user_version").fetchone()
        (tables,) = self._base.execute("select count(*) from sqlite_master").fetchone()
        if version not in (0, FORMAT) or (version == 0 and tables):
            raise StoreError(f"{path}: is no file of results, or of another version")
        (fault,) = self._base.execute("pragma quick_check(1)").fetchone()
        if fault != "ok":
            raise StoreError(f"{path}: {fault}")

    def has(self, played: str, code: str, seed: int) -> bool:
        """Whether a cell is stored."""
        row = self._base.execute(
            "select 1 from cells where played = ? and code = ? and seed = ?", (played, code, seed)
        ).fetchone()
        return row is not None

    def add(self, cell: Cell) -> bool:
        """False where it is there already. StoreError where it can't be kept."""
        try:
            done = self._base.execute(
                "insert or ignore into cells values (?, ?, ?, ?, ?, ?)",
                (
                    cell.played,
                    cell.code,
                    cell.seed,
                    cell.scenario,
                    json.dumps(cell.point, sort_keys=True),
                    json.dumps(cell.result, sort_keys=True),
                ),
            )
        except sqlite3.Error as problem:
            raise StoreError(f"a result can't be kept: {problem}") from None
        return done.rowcount == 1

    def cells(self, scenario: str = "", code: str = "") -> Iterator[Cell]:
        """In one order, whatever the order in which they came."""
        rows = self._base.execute(
            "select scenario, point, played, code, seed, result from cells order by scenario, point, code, seed"
        )
        try:
            for name, point, played, by, seed, result in rows:
                if (not scenario or name == scenario) and (not code or by == code):
                    yield Cell(name, json.loads(point), played, by, seed, json.loads(result))
        except (sqlite3.Error, ValueError) as problem:  # a page that is torn and still hangs together
            raise StoreError(f"a result can't be read: {problem}") from None

    def close(self) -> None:
        """Close the file."""
        self._base.close()
