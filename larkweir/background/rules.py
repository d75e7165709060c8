"""Which piece of background work runs next, if any may: priorities, budgets, deadlines, back-off.

Work comes in steps, each as short as its task makes it; nothing here can stop one in the middle. Three things keep it
out of the way of requests. All of it together has a budget of the loop's time, and a step that took more is paid for
by the pauses that follow. While requests wait only what is starving runs. And each task has a budget of its own, of
time and of calls.

What waits grows more urgent, so that no priority starves another for good. A task that fails comes again later, each
time twice as late, within bounds. Times are milliseconds, handed in.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from heapq import heapify, heappop, heappush
from itertools import count
from math import inf
from random import Random


class Outcome(Enum):
    """What became of a step."""

    MORE = "more"  # the task has more to do now
    DONE = "done"  # not before its next turn
    FAILED = "failed"  # nothing was gained: later, and later each time


@dataclass(frozen=True, slots=True)
class Task:
    """One kind of work. Lower priorities go first."""

    name: str
    priority: int = 5
    period_ms: float = 0.0  # from the end of one run to the next; 0: once
    jitter: float = 0.1  # of a pause, that is drawn, so that many instances do not keep step
    first_ms: float = 0.0  # until the first run
    deadline_ms: float = inf  # from when it is due, past which a run is of no use
    budget_ms_per_s: float = inf  # of the loop's time
    calls_per_s: float = inf  # steps
    back_off_ms: float = 100.0  # after a first failure
    most_back_off_ms: float = 60_000.0
    at_drain: bool = False  # it goes on while the process drains


@dataclass(slots=True)
class _Entry:
    task: Task
    due_ms: float
    serial: int
    failures: int = 0
    runs: int = 0
    missed: int = 0  # deadlines
    spent_ms: float = 0.0
    begun_ms: float = 0.0  # when its present run became due
    credit_ms: float = 0.0  # of its own budget
    calls: float = 1.0
    credited_ms: float = 0.0
    gone: bool = False
    queued: float = field(default=inf)


class Scheduler:
    PART = 0.05  # of the loop's time, for all of it together
    SAVED_MS = 20.0  # of that, that may be saved up
    AGE_MS = 1_000.0  # of waiting, that are worth one priority
    STARVING_MS = 5_000.0  # of waiting, from which a task runs although requests wait
    MOST = 10_000  # tasks
    LEFT = 64  # called off and not yet due, beside as many as there are tasks

    def __init__(self, now_ms: float, rng: Random) -> None:
        self._rng = rng
        self._now = now_ms
        self._credit_ms = self.SAVED_MS
        self._entries: dict[str, _Entry] = {}
        self._later: list[tuple[float, int, _Entry]] = []  # a heap by due time
        self._ready: list[_Entry] = []
        self._serial = count()
        self.draining = False
        self.refused = 0

    # ------------------------------------------------ tasks

    def add(self, task: Task, now_ms: float) -> bool:
        """Take a task; one of the same name goes. False where there are too many, or the process drains."""
        if (self.draining and not task.at_drain) or (
            len(self._entries) >= self.MOST and task.name not in self._entries
        ):
            self.refused += 1
            return False
        self.cancel(task.name)
        entry = _Entry(task, now_ms + self._drawn(task.first_ms, task), next(self._serial))
        entry.credited_ms = now_ms
        entry.credit_ms = min(task.budget_ms_per_s, 1_000.0)
        self._entries[task.name] = entry
        self._queue(entry, entry.due_ms)
        return True

    def cancel(self, name: str) -> None:
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        entry.gone = True
        # Guards against a heap of what was called off.
        if len(self._later) > 2 * len(self._entries) + self.LEFT:
            self._later = [item for item in self._later if not item[2].gone]
            heapify(self._later)

    def drain(self) -> list[str]:
        """The process drains: what is not for that is called off; their names."""
        self.draining = True
        off = [name for name, entry in self._entries.items() if not entry.task.at_drain]
        for name in off:
            self.cancel(name)
        return off

    def _queue(self, entry: _Entry, due_ms: float) -> None:
        entry.due_ms = entry.begun_ms = due_ms
        entry.queued = due_ms
        heappush(self._later, (due_ms, next(self._serial), entry))

    def _drawn(self, pause_ms: float, task: Task) -> float:
        return pause_ms * (1.0 + task.jitter * (2.0 * self._rng.random() - 1.0))

    # ------------------------------------------------ what runs next

    def _move(self, now_ms: float) -> None:
        self._credit_ms = min(self.SAVED_MS, self._credit_ms + self.PART * max(0.0, now_ms - self._now))
        self._now = max(self._now, now_ms)
        while self._later and self._later[0][0] <= now_ms:
            due, _, entry = heappop(self._later)
            if not entry.gone and entry.queued == due:
                entry.queued = inf
                self._ready.append(entry)
        if any(entry.gone for entry in self._ready):
            self._ready = [entry for entry in self._ready if not entry.gone]

    def _allowed(self, entry: _Entry, now_ms: float) -> bool:
        """Whether its own budget lets it run."""
        task = entry.task
        spent = max(0.0, now_ms - entry.credited_ms) / 1_000.0
        entry.credited_ms = now_ms
        if task.budget_ms_per_s < inf:
            entry.credit_ms = min(task.budget_ms_per_s, entry.credit_ms + spent * task.budget_ms_per_s)
        if task.calls_per_s < inf:
            entry.calls = min(max(1.0, task.calls_per_s), entry.calls + spent * task.calls_per_s)
        return (task.budget_ms_per_s == inf or entry.credit_ms > 0.0) and (
            task.calls_per_s == inf or entry.calls >= 1.0 - 1e-9
        )

    def pick(self, now_ms: float, busy: bool) -> Task | None:
        """The task whose next step is to run now. `busy`: requests wait."""
        self._move(now_ms)
        if self._credit_ms <= 0.0:
            return None
        best: _Entry | None = None
        best_key = (inf, inf)
        for entry in list(self._ready):
            waited = now_ms - entry.begun_ms
            if waited > entry.task.deadline_ms:
                self._missed(entry, now_ms)
                continue
            if busy and waited < self.STARVING_MS:
                continue
            key = (entry.task.priority - waited / self.AGE_MS, entry.serial)
            if key < best_key and self._allowed(entry, now_ms):
                best, best_key = entry, key
        return best.task if best is not None else None

    def _missed(self, entry: _Entry, now_ms: float) -> None:
        self._ready.remove(entry)
        entry.missed += 1
        self._over(entry, now_ms, entry.task.period_ms)

    def _over(self, entry: _Entry, now_ms: float, pause_ms: float) -> None:
        """Its run is over: the next one is due after a pause, if there is to be one."""
        if pause_ms > 0.0:
            self._queue(entry, now_ms + self._drawn(pause_ms, entry.task))
        else:
            self._entries.pop(entry.task.name, None)
            entry.gone = True

    def ran(self, name: str, now_ms: float, spent_ms: float, outcome: Outcome) -> None:
        """A step of a task has ended at `now_ms`, after so long."""
        self._move(now_ms)
        self._credit_ms -= spent_ms
        entry = self._entries.get(name)
        if entry is None or entry not in self._ready:
            return  # called off meanwhile
        entry.spent_ms += spent_ms
        entry.credit_ms -= spent_ms
        entry.calls -= 1.0
        if outcome is Outcome.MORE:
            entry.serial = next(self._serial)  # behind others of its urgency
            return
        self._ready.remove(entry)
        if outcome is Outcome.FAILED:
            entry.failures += 1
            pause = min(
                entry.task.most_back_off_ms, entry.task.back_off_ms * 2.0 ** min(entry.failures - 1, 30)
            )
            self._over(entry, now_ms, max(pause, 1.0))
        else:
            entry.failures = 0
            entry.runs += 1
            self._over(entry, now_ms, entry.task.period_ms)

    def next_ms(self, now_ms: float) -> float:
        """When it is worth asking again; infinite where nothing is to come."""
        self._move(now_ms)
        soonest = self._later[0][0] if self._later else inf
        if self._ready:
            owed = max(0.0, -self._credit_ms) / self.PART
            soonest = min(soonest, now_ms + max(1.0, owed))
        return soonest

    def facts(self) -> dict[str, tuple[int, int, int, float]]:
        """By task: runs, failures in a row, deadlines missed, milliseconds spent."""
        return {
            name: (entry.runs, entry.failures, entry.missed, entry.spent_ms)
            for name, entry in self._entries.items()
        }

    @property
    def waiting(self) -> int:
        """Tasks that are due."""
        return sum(not entry.gone for entry in self._ready)
