"""What a controller does periodically, in a fixed order."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from larkweir.cluster import log
from larkweir.controller.clock import now_ms

TICK_S = 0.04
PAUSE_MS = 700.0  # a tick that comes so late means that this process did not run


@dataclass(frozen=True, slots=True)
class PeriodicTask:
    """`run` is called at every tick whose number is a multiple of the period, which may vary."""

    run: Callable[[], None]
    period_ticks: int | Callable[[], int] = 1

    def is_due(self, tick: int) -> bool:
        """Whether it runs at the tick of that number."""
        period = self.period_ticks if isinstance(self.period_ticks, int) else self.period_ticks()
        return tick % period == 0


class TickLoop:
    """Runs tasks in their order, and notices when the process was paused."""

    def __init__(self, tasks: Sequence[PeriodicTask], on_paused: Callable[[], None]) -> None:
        """`on_paused` is called before the tasks of a tick that comes `PAUSE_MS` late."""
        self._tasks = tuple(tasks)
        self._on_paused = on_paused

    async def run(self) -> None:
        """Runs until it is cancelled. An exception of a task ends the loop."""
        last_ms = now_ms()
        for tick in itertools.count():
            await asyncio.sleep(TICK_S)
            present_ms = now_ms()
            if present_ms >= last_ms + PAUSE_MS:
                log.event("process_paused")
                self._on_paused()
            last_ms = present_ms
            for task in self._tasks:
                if task.is_due(tick):
                    task.run()
