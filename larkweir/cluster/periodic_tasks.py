"""What a process does periodically: the one loop that runs it, and what becomes of a task that raises."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from larkweir.cluster import log
from larkweir.cluster.tasks import log_failure

PAUSE_MS = 700.0  # a tick that comes so late means that this process did not run
MIN_RETRY_MS = 1_000.0  # until a task that raised runs again; doubled each time it raises once more
MAX_RETRY_MS = 8_000.0


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """`run` is called at every tick whose number is a multiple of the period, which may vary.

    An essential task can't be tried again after an unexpected exception, as its state may be half changed: such an
    exception ends the loop. Any other task is called again after a while.
    """

    name: str
    run: Callable[[], None]
    period_ticks: int | Callable[[], int] = 1
    is_essential: bool = False

    def is_due(self, tick: int) -> bool:
        """Whether it runs at the tick of that number."""
        period = self.period_ticks if isinstance(self.period_ticks, int) else self.period_ticks()
        return tick % period == 0


class _TaskRunner:
    """One task, and its failures in a row."""

    def __init__(self, task: PeriodicTask) -> None:
        self._task = task
        self._failures = 0
        self._resume_ms = 0.0

    def run_if_due(self, tick: int, now_ms: float) -> None:
        task = self._task
        if self._failures and now_ms < self._resume_ms:
            return
        try:
            if task.is_due(tick):
                task.run()
                self._failures = 0
        except Exception as error:  # of whatever kind: the other tasks go on
            if task.is_essential:
                raise
            retry_ms = min(MAX_RETRY_MS, MIN_RETRY_MS * 2.0**self._failures)
            log_failure("periodic_task_failed", error, task=task.name, retry_s=retry_ms / 1000.0)
            self._failures += 1
            self._resume_ms = now_ms + retry_ms


class TickLoop:
    """Runs tasks in their order, and notices when the process was paused."""

    def __init__(
        self,
        tasks: Sequence[PeriodicTask],
        on_paused: Callable[[], None],
        interval_s: float,
        now_ms: Callable[[], float],
    ) -> None:
        """Nothing runs before `run`.

        Args:
            tasks: in the order in which one tick runs them.
            on_paused: called before the tasks of a tick that comes `PAUSE_MS` late.
            interval_s: between two ticks, in seconds.
            now_ms: the steady clock.
        """
        self._runners = [_TaskRunner(task) for task in tasks]
        self._on_paused = _TaskRunner(PeriodicTask("on_paused", on_paused))
        self._interval_s = interval_s
        self._now_ms = now_ms

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            Exception: what an essential task has raised.
        """
        last_ms = self._now_ms()
        for tick in itertools.count():
            await asyncio.sleep(self._interval_s)
            now_ms = self._now_ms()
            if now_ms >= last_ms + PAUSE_MS:
                log.event("process_paused")
                self._on_paused.run_if_due(tick, now_ms)
            last_ms = now_ms
            for runner in self._runners:
                runner.run_if_due(tick, now_ms)
