"""One thread for blocking calls on an acceptor's file, whose results come back to the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from typing import TypeVar

T = TypeVar("T")


class DiskThread:
    """Runs calls one after another. The thread is started with the first one."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._pool: ThreadPoolExecutor | None = None

    def run(self, call: Callable[[], T], on_done: Callable[[T], None] | None = None) -> None:
        """Run `call` on the thread, then `on_done` with its result in a turn of the loop; not where the loop has ended.
        `call` must not raise.
        """
        if self._pool is None:
            self._pool = ThreadPoolExecutor(1, "keeper")
        future = self._pool.submit(call)
        if on_done is not None:
            self._call_back(future, on_done)

    def _call_back(self, future: Future[T], on_done: Callable[[T], None]) -> None:
        def done(future: Future[T]) -> None:
            with suppress(RuntimeError):
                self._loop.call_soon_threadsafe(lambda: on_done(future.result()))

        future.add_done_callback(done)

    def close(self) -> None:
        """Start no further calls; those that were given are finished."""
        if self._pool is not None:
            self._pool.shutdown(wait=False)
