"""The owner of tasks that run beside the main one."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from larkweir.cluster.tasks import start_task


class BackgroundTasks:
    """Holds a reference to each task until it has ended, and cancels the remaining ones on close.

    A task that fails is logged and does not affect the others: an invalid request from another controller must not
    stop this one.
    """

    def __init__(self) -> None:
        """No task has been started."""
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Runs the coroutine as a task of the running loop; `name` is for the log."""
        task = start_task(name, coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Cancels all that have not ended."""
        for task in list(self._tasks):
            task.cancel()
