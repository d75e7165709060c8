"""Periodic tasks of a process: the loop that runs them, and the handling of tasks that raise."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from larkweir.cluster import log
from larkweir.cluster.tasks import log_failure

PAUSE_MS = 700.0  # a tick this long after the previous one means that the process was paused
MIN_RETRY_MS = 1_000.0  # delay after a failure; doubled after each further failure in a row
MAX_RETRY_MS = 8_000.0


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """A task whose `run` is called at every tick number that is a multiple of its period, which may vary.

    An exception of an essential task ends the loop, as the task's state may be inconsistent and it can't be retried.
    Any other task is retried after a delay.
    """

    name: str
    run: Callable[[], None]
    period_ticks: int | Callable[[], int] = 1
    is_essential: bool = False

    def is_due(self, tick: int) -> bool:
        """Return whether the task runs at the tick with this number."""
        period = self.period_ticks if isinstance(self.period_ticks, int) else self.period_ticks()
        return tick % period == 0


class _TaskRunner:
    """Runs one task and counts its consecutive failures."""

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
        except Exception as error:  # any exception: the other tasks must keep running
            if task.is_essential:
                raise
            retry_ms = min(MAX_RETRY_MS, MIN_RETRY_MS * 2.0**self._failures)
            log_failure("periodic_task_failed", error, task=task.name, retry_s=retry_ms / 1000.0)
            self._failures += 1
            self._resume_ms = now_ms + retry_ms


class TickLoop:
    """Runs tasks in a fixed order at each tick, and detects pauses of the process."""

    def __init__(
        self,
        tasks: Sequence[PeriodicTask],
        on_paused: Callable[[], None],
        interval_s: float,
        now_ms: Callable[[], float],
    ) -> None:
        """Create a loop; it starts with `run`.

        Args:
            tasks: the tasks, in the order in which they run in a tick.
            on_paused: called before the tasks of a tick that comes `PAUSE_MS` or more after the last one.
            interval_s: the time between two ticks, in seconds.
            now_ms: returns the time of a monotonic clock.
        """
        self._runners = [_TaskRunner(task) for task in tasks]
        self._on_paused = _TaskRunner(PeriodicTask("on_paused", on_paused))
        self._interval_s = interval_s
        self._now_ms = now_ms

    async def run(self) -> None:
        """Run until cancelled.

        Raises:
            Exception: the exception that an essential task raised.
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
