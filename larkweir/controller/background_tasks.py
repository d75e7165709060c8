"""Ownership of the asyncio tasks that run in the background of a controller."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from larkweir.cluster.tasks import start_task


class BackgroundTasks:
    """Holds a reference to each task until it has ended, and cancels the remaining ones on close.

    The failure of a task is logged and does not affect other tasks: an invalid request from another controller must
    not stop this one.
    """

    def __init__(self) -> None:
        """Starts without any tasks."""
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Runs the coroutine as a task of the running event loop; `name` identifies the task in the log."""
        task = start_task(name, coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """Cancels all tasks that have not ended."""
        for task in list(self._tasks):
            task.cancel()
