"""The owner of tasks that run beside the main one."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine


class BackgroundTasks:
    """Holds a reference to each task until it has ended, and cancels the remaining ones on close.

    A task that fails does not affect the others: an invalid request from another controller must not stop this one.
    """

    def __init__(self) -> None:
        """No task has been started."""
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> None:
        """Runs the coroutine as a task of the running loop."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels all that have not ended."""
        for task in list(self._tasks):
            task.cancel()
