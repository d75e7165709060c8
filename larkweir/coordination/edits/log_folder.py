"""The folder of the edits' log: opened and closed on a thread of its own, reported in the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress

from larkweir_edits.log import Calls, FileLog


class LogFolder:
    """All its callbacks come in the loop in which it was made."""

    def __init__(
        self,
        path: str,
        on_durable: Callable[[int], None],
        on_failure: Callable[[str], None],
        calls: Calls | None = None,
    ) -> None:
        """Open nothing yet.

        Args:
            path: the folder's.
            on_durable: called with the number of the newest record that would survive a crash.
            on_failure: called with a log line when an open log has ended.
            calls: system calls in place of the real ones.
        """
        self.path = path
        self.calls = calls
        self._on_durable, self._on_failure = on_durable, on_failure
        self._loop = asyncio.get_running_loop()
        self._thread = ThreadPoolExecutor(1, "edits")

    def open(self, on_opened: Callable[[FileLog | str], None]) -> None:
        """Call `on_opened` with the log, or with why there is none."""

        def done(future: Future[FileLog | str]) -> None:
            self._call_in_loop(lambda: on_opened(future.result()))

        self._thread.submit(self._open).add_done_callback(done)

    def release(self, log: FileLog) -> None:
        """Write what was given to an open log, and close it."""
        self._thread.submit(log.close)

    def close(self) -> None:
        """End the thread once it has done what was asked of it."""
        self._thread.shutdown(wait=False)

    def _open(self) -> FileLog | str:
        """On the thread."""
        try:
            return FileLog(
                self.path,
                lambda number: self._call_in_loop(lambda: self._on_durable(number)),
                lambda line: self._call_in_loop(lambda: self._on_failure(line)),
                self.calls,
            )
        except OSError as problem:
            return problem.strerror or str(problem)

    def _call_in_loop(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop is over
            self._loop.call_soon_threadsafe(call)
