"""Steps of background work on the event loop, one a turn, as the rules pick them."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random

from larkweir.background.rules import Outcome, Scheduler, Task
from larkweir.core.clock import Clock, Timer

Step = Callable[[], Outcome]


class Runner:
    """Tasks are given with what does one step of them. A step that raises has failed, and that is said once a failure's
    kind: whatever a task does, the loop goes on.
    """

    BUSY_MS = 5.0  # from look to look while requests wait

    def __init__(
        self, clock: Clock, busy: Callable[[], bool], say: Callable[[str], None], rng: Random
    ) -> None:
        self._clock = clock
        self._busy = busy
        self._say = say
        self.scheduler = Scheduler(clock.now_ms(), rng)
        self._steps: dict[str, Step] = {}
        self._said: dict[str, str] = {}
        self._timer: Timer | None = None
        self._armed_ms = 0.0

    def add(self, task: Task, step: Step) -> None:
        if self.scheduler.add(task, self._clock.now_ms()):
            self._steps[task.name] = step
            self._arm()

    def cancel(self, name: str) -> None:
        self.scheduler.cancel(name)
        self._steps.pop(name, None)

    def drain(self) -> None:
        for name in self.scheduler.drain():
            self._steps.pop(name, None)

    def _arm(self) -> None:
        now = self._clock.now_ms()
        due = self.scheduler.next_ms(now)
        if due == float("inf"):
            return
        if self._timer is not None:
            if self._armed_ms <= due:
                return
            self._timer.cancel()
        self._armed_ms = due
        self._timer = self._clock.at(max(due, now + 1.0), self._turn)

    def _turn(self) -> None:
        """One step at the most; the next one has a turn of its own, behind whatever has come in."""
        self._timer = None
        now = self._clock.now_ms()
        task = self.scheduler.pick(now, self._busy())
        if task is not None:
            begun = time.monotonic()
            outcome = self._step(task.name)
            spent = (time.monotonic() - begun) * 1000.0
            self.scheduler.ran(task.name, self._clock.now_ms(), spent, outcome)
            if task.name not in self.scheduler.facts():
                self._steps.pop(task.name, None)
        elif self.scheduler.waiting:  # not now: requests wait, or a budget is spent
            self._armed_ms = now + self.BUSY_MS
            self._timer = self._clock.at(self._armed_ms, self._turn)
            return
        self._arm()

    def _step(self, name: str) -> Outcome:
        try:
            outcome = self._steps[name]()
        except Exception as problem:  # a task, whatever it does, ends no loop
            said = f"{type(problem).__name__}: {problem}"
            if self._said.get(name) != said:
                self._said[name] = said
                self._say(f"background: {name}: {said}")
            return Outcome.FAILED
        if outcome is not Outcome.FAILED:
            self._said.pop(name, None)
        return outcome

    def facts(self) -> dict[str, object]:
        rows = self.scheduler.facts()
        failing = sorted(name for name, row in rows.items() if row[1])
        return {
            "background": len(rows),
            "background_due": self.scheduler.waiting,
            "background_failing": ",".join(failing)[:100] or "none",
        }
