"""Asyncio tasks of a process. Each has an owner that keeps and cancels it, and its exceptions are always logged."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from larkweir.cluster import log
from larkweir.cluster.errors import LarkweirError

MAX_LOGGED_ERROR_CHARS = 500


class EssentialTaskError(LarkweirError):
    """A task without which the process can't run has ended. The process exits and needs to be restarted."""


def location_of(error: BaseException) -> str:
    """Return where an exception was raised: the file, line and function of its innermost frame."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"


def start_task(
    name: str, coroutine: Coroutine[None, None, None], on_failure: Callable[[], None] | None = None
) -> asyncio.Task[None]:
    """Start a task in the running event loop. The caller owns it: it keeps the task, and cancels it when closing.

    Args:
        name: what the task does, for the log.
        coroutine: the coroutine to run. An exception that it raises is logged as `task_failed`.
        on_failure: called after such an exception.
    """
    task = asyncio.get_running_loop().create_task(coroutine, name=name)

    def on_done(done: asyncio.Task[None]) -> None:
        if done.cancelled():
            return
        error = done.exception()
        if error is not None:
            log_failure("task_failed", error, task=name)
            if on_failure is not None:
                on_failure()

    task.add_done_callback(on_done)
    return task


def log_failure(event: str, error: BaseException, **fields: str | float) -> None:
    """Log an unexpected exception in one line. `fields` describe what failed."""
    log.event(event, **fields, error=repr(error)[:MAX_LOGGED_ERROR_CHARS], at=location_of(error))


def log_callback_failure(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception raised by an event loop callback; `context` is that of `loop.call_exception_handler`."""
    error = context.get("exception")
    if isinstance(error, BaseException):
        log_failure("callback_failed", error, message=str(context.get("message", "")))
    else:
        log.event("callback_failed", message=str(context.get("message", "")))


async def wait_unless_failed(event: asyncio.Event, essential: asyncio.Task[None]) -> None:
    """Wait for an event, unless an essential task ends first: the process can't run without that task.

    Raises:
        EssentialTaskError: the task ended before the event was set.
    """
    waiting = asyncio.create_task(event.wait())
    try:
        await asyncio.wait((waiting, essential), return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiting.cancel()
    if not event.is_set():
        raise EssentialTaskError(f"{essential.get_name()} ended")
