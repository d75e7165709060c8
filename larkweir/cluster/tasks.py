"""Tasks of a process: each has an owner that keeps and cancels it, and no exception of one is lost."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine
from typing import Any

from larkweir.cluster import log
from larkweir.cluster.errors import LarkweirError

MAX_LOGGED_ERROR_CHARS = 500


class EssentialTaskError(LarkweirError):
    """A task that the process can't do without has ended; the process ends too, and is to be started anew."""


def location_of(error: BaseException) -> str:
    """Where an exception was raised: file, line and function of its innermost frame."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return ""
    frame = frames[-1]
    return f"{frame.filename.rpartition('/')[2]}:{frame.lineno} {frame.name}"


def start_task(
    name: str, coroutine: Coroutine[None, None, None], on_failure: Callable[[], None] | None = None
) -> asyncio.Task[None]:
    """Start a task of the running loop. The caller owns it: it keeps the task, and cancels it when it closes.

    Args:
        name: what the task does, for the log.
        coroutine: what it runs. An exception that leaves it is logged as `task_failed`.
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
    """Log an exception that nobody expected, in one line. `fields`: what failed."""
    log.event(event, **fields, error=repr(error)[:MAX_LOGGED_ERROR_CHARS], at=location_of(error))


def log_callback_failure(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Handle an exception that left a callback of the event loop, with the loop's `context` of it."""
    error = context.get("exception")
    if isinstance(error, BaseException):
        log_failure("callback_failed", error, message=str(context.get("message", "")))
    else:
        log.event("callback_failed", message=str(context.get("message", "")))


async def wait_unless_failed(event: asyncio.Event, essential: asyncio.Task[None]) -> None:
    """Wait for an event as long as a task that the process can't do without goes on.

    Raises:
        EssentialTaskError: the task ended first.
    """
    waiting = asyncio.create_task(event.wait())
    try:
        await asyncio.wait((waiting, essential), return_when=asyncio.FIRST_COMPLETED)
    finally:
        waiting.cancel()
    if not event.is_set():
        raise EssentialTaskError(f"{essential.get_name()} ended")
