"""Runs of experiments, and the store of their results."""

from __future__ import annotations

import contextlib
import os
import signal
import sqlite3
import subprocess
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any, ClassVar

import pytest

from larkweir.lab.policies import POLICIES, Policy
from larkweir.lab.report import table
from larkweir.lab.results import FORMAT, Cell, Results, StoreError
from larkweir.lab.runner import code_version, run
from larkweir.lab.scenario import fingerprint, read
from tests.lab.scenarios import GOOD, ROOT


def cells(path: Path) -> list[Cell]:
    results = Results(str(path))
    found = list(results.cells())
    results.close()
    return found


def test_a_run_plays_what_is_missing_once_and_its_results_are_the_same_by_any_number_of_processes(
    tmp_path: Path,
) -> None:
    scenario = read(GOOD + '[sweep]\npolicy = ["random", "larkweir"]\n')
    for processes in (1, 3):
        results = Results(str(tmp_path / f"{processes}.db"))
        done = run(scenario, results, processes, print)
        assert (done.played, done.known, done.failed) == (4, 0, 0)
        assert run(scenario, results, processes, print)[:2] == (0, 4)
        results.close()
    one, other = cells(tmp_path / "1.db"), cells(tmp_path / "3.db")
    assert one == other and table(one) == table(other)


connect = sqlite3.connect


class ObservedConnection(sqlite3.Connection):
    """A connection at which another one looks at the file after each statement that writes."""

    seen: ClassVar[list[tuple[int, int]]] = []  # the version of the format and the number of tables

    def execute(self, statement: str, *arguments: Any) -> sqlite3.Cursor:
        cursor = super().execute(statement, *arguments)
        if statement.startswith(("create", "pragma user_version =", "commit")):
            (_, _, file) = super().execute("pragma database_list").fetchone()
            with contextlib.closing(connect(file)) as other:
                (version,) = other.execute("pragma user_version").fetchone()
                (tables,) = other.execute("select count(*) from sqlite_master").fetchone()
                self.seen.append((version, tables))
        return cursor


def test_a_new_file_is_never_seen_half_set_up(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a process that takes a file for foreign while another one creates it.
    monkeypatch.setattr(sqlite3, "connect", partial(connect, factory=ObservedConnection))
    Results(str(tmp_path / "s.db")).close()
    assert (0, 1) not in ObservedConnection.seen
    assert ObservedConnection.seen[-1] == (FORMAT, 1)


def test_a_run_that_is_killed_goes_on_where_it_stood(tmp_path: Path) -> None:
    file, store = tmp_path / "s.toml", tmp_path / "s.db"
    file.write_text(GOOD.replace("seeds = 2", "seeds = 12"))
    command = [
        sys.executable,
        "-m",
        "larkweir",
        "lab",
        "run",
        str(file),
        "--store",
        str(store),
        "--processes",
        "2",
    ]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL, start_new_session=True)
    deadline = time.monotonic() + 60.0
    while time.monotonic() < deadline:
        if store.exists() and len(cells(store)) >= 3:
            break
        time.sleep(0.02)
    os.killpg(process.pid, signal.SIGKILL)
    process.wait()
    there = len(cells(store))
    again = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    assert f"{12 - there} played, {there} were there" in again.stdout
    assert [cell.seed for cell in cells(store)] == list(range(1, 13))


def test_two_runs_into_one_store_count_nothing_twice(tmp_path: Path) -> None:
    scenario = read(GOOD)
    one, other = Results(str(tmp_path / "s.db")), Results(str(tmp_path / "s.db"))
    cell = Cell("x", {}, fingerprint(scenario), code_version(), 1, {"in_time": 1.0})
    assert one.add(cell) and not other.add(cell)
    assert len(list(other.cells())) == 1
    one.close()
    other.close()


@pytest.mark.parametrize("at", range(0, 100, 7))
def test_a_store_that_is_torn_is_told_or_read_whole(tmp_path: Path, at: int) -> None:
    path = tmp_path / "s.db"
    results = Results(str(path))
    for seed in range(20):
        results.add(Cell("x", {}, "p", "c", seed, {"in_time": 1.0, "line": [[1, 2, 3]] * 50}))
    results.close()
    data = path.read_bytes()
    path.write_bytes(data[: len(data) * at // 100])
    try:
        found = cells(path)
    except StoreError:
        return
    assert len(found) in (0, 20)


def test_what_is_no_store_is_left_alone(tmp_path: Path) -> None:
    path = tmp_path / "s.db"
    path.write_text("something of somebody's")
    with pytest.raises(StoreError):
        Results(str(path))
    assert path.read_text() == "something of somebody's"


def test_a_policy_that_raises_spoils_its_own_cell(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    class Bad(Policy):
        def choose(self, up: list[int], now: float) -> int:
            raise RuntimeError("no idea")

    monkeypatch.setitem(POLICIES, "jsq2", Bad)
    said: list[str] = []
    results = Results(str(tmp_path / "s.db"))
    done = run(read(GOOD + '[sweep]\npolicy = ["jsq2", "random"]\n'), results, 1, said.append)
    assert (done.played, done.failed) == (4, 2) and "RuntimeError: no idea" in said[0]
    assert {cell.point["policy"] for cell in results.cells()} == {"random"}
    results.close()
