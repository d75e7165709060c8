"""Runs the cells of an experiment in parallel processes and stores each result; stored cells are not run again."""

from __future__ import annotations

import hashlib
import sys
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import larkweir_balancing
import msgspec

from larkweir.lab.model import play
from larkweir.lab.results import Cell, Results
from larkweir.lab.scenario import Scenario, ScenarioError, arrivals_of, build, fingerprint, variants
from larkweir.lab.stats import enough


def code_version() -> str:
    """A hash of the code that determines a run's result: the lab, but for its reports, and the decision module."""
    folders = [Path(__file__).parent, Path(larkweir_balancing.__file__).parent]
    whole = hashlib.sha256()
    for folder in folders:
        for path in sorted(folder.glob("*.py")):
            if path.name not in ("report.py", "results.py", "runner.py", "stats.py"):
                whole.update(path.name.encode() + b"\0" + path.read_bytes())
    return whole.hexdigest()[:12]


class Work(NamedTuple):
    """A cell to be run."""

    point: dict[str, Any]
    scenario: Scenario
    seed: int


def _play(data: dict[str, Any], seed: int) -> dict[str, Any]:
    try:
        scenario = build(data)
        recorded = None
        if scenario.recorded:
            text = Path(scenario.recorded).read_text(encoding="utf-8")
            if hashlib.sha256(text.encode()).hexdigest()[:16] != scenario.digest:
                raise ScenarioError("recorded: the file has changed since the run began")
            recorded = arrivals_of(text)
        return play(scenario, seed, recorded)
    except Exception as problem:  # a policy that raises fails its own cell alone
        return {"error": f"{type(problem).__name__}: {problem}"}


class Done(NamedTuple):
    """How many cells were run, were in the store already, and failed."""

    played: int
    known: int
    failed: int


@dataclass
class _Run:
    """The state of one call of `run`."""

    scenario: Scenario
    results: Results
    code: str
    tell: Callable[[str], None]
    narrow: float
    measure: str
    values: dict[str, list[float]] = field(default_factory=dict)  # the measure's, by fingerprint
    waiting: list[tuple[Work, str]] = field(default_factory=list)  # with fingerprints; the next one last
    total: int = 0
    played: int = 0
    known: int = 0
    failed: int = 0

    def plan(self) -> None:
        """Find the cells that are missing in the store."""
        points = [(point, made, fingerprint(made)) for point, made in variants(self.scenario)]
        self.values = {key: [] for _, _, key in points}
        for cell in self.results.cells(code=self.code):
            if cell.played in self.values and cell.result.get(self.measure) is not None:
                self.values[cell.played].append(cell.result[self.measure])
        for seed in range(1, self.scenario.seeds + 1):  # all points of a seed first: pairs are there early
            for point, made, key in points:
                if self.results.has(key, self.code, seed):
                    self.known += 1
                else:
                    self.waiting.append((Work(point, made, seed), key))
        self.total = len(self.waiting)
        self.waiting.reverse()

    def next(self) -> tuple[Work, str] | None:
        """The next cell to be run, past those whose point is known closely enough."""
        while self.waiting:
            work, key = self.waiting.pop()
            if self.narrow > 0.0 and enough(self.values[key], self.narrow):
                self.total -= 1
                continue
            return work, key
        return None

    def ended(self, work: Work, key: str, result: dict[str, Any]) -> None:
        """A cell was run: store its result, or tell why it failed."""
        if "error" in result:
            self.failed += 1
            self.tell(f"{work.point} seed {work.seed}: {result['error']}")
        else:
            self.results.add(Cell(self.scenario.name, work.point, key, self.code, work.seed, result))
            if result.get(self.measure) is not None:
                self.values[key].append(result[self.measure])
        self.played += 1
        if sys.stderr.isatty():
            print(f"\r{self.played} of {self.total}", end="", file=sys.stderr, flush=True)


def run(
    scenario: Scenario,
    results: Results,
    processes: int,
    tell: Callable[[str], None],
    narrow: float = 0.0,
    measure: str = "in_time",
) -> Done:
    """Run the cells that are not stored. With `narrow` a point is run seed by seed until the half width of its mean's
    interval is no more than that.
    """
    it = _Run(scenario, results, code_version(), tell, narrow, measure)
    it.plan()
    running: dict[Future[dict[str, Any]], tuple[Work, str]] = {}
    with ProcessPoolExecutor(processes) as pool:
        try:
            while it.waiting or running:
                while len(running) < 2 * processes and (following := it.next()) is not None:
                    work, _ = following
                    running[pool.submit(_play, msgspec.to_builtins(work.scenario), work.seed)] = following
                if running:
                    for done in wait(running, return_when=FIRST_COMPLETED).done:
                        it.ended(*running.pop(done), done.result())
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    if sys.stderr.isatty() and it.total:
        print(file=sys.stderr)
    return Done(it.played, it.known, it.failed)
