"""The thread that waits for the disk, so that heartbeats do not."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable

from larkweir_replication.journal import Files, Journal
from larkweir_replication.messages import NO_EPOCH, Durable

from larkweir.cluster import log

NEW_SUFFIX = ".new"  # behind the name of a file that is being written
HINT = (0, Durable(NO_EPOCH, None))  # in the queue: there is a hint to write


class DiskWriter:
    """Writes the newest of the records that wait; the earlier ones are covered by it."""

    def __init__(
        self,
        journal: Journal,
        files: Files,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[int], None],
    ) -> None:
        """Both callbacks are called on the loop with the token of a record."""
        self._journal = journal
        self._files = files
        self._loop = loop
        self._on_persisted = on_persisted
        self._on_failed = on_failed
        self._entries: queue.SimpleQueue[tuple[int, Durable] | None] = queue.SimpleQueue()
        self._hints: dict[str, bytes] = {}  # by file; put by the loop's thread, taken by the other
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def write_record(self, token: int, durable: Durable) -> None:
        """Queues a record."""
        self._entries.put((token, durable))

    def write_hint(self, name: str, data: bytes) -> None:
        """Replaces that file, when no record waits. Nobody is told when, or whether, that is done."""
        self._hints[name] = data
        self._entries.put(HINT)

    def close(self) -> None:
        """Ends the thread behind what is queued; does not wait for it."""
        self._entries.put(None)

    def _run(self) -> None:
        while (record := self._entries.get()) is not None:
            newest = record
            while not self._entries.empty():
                newer = self._entries.get()
                if newer is None:
                    return
                if newer is not HINT or newest is HINT:
                    newest = newer
            if newest is not HINT:
                self._write_record(*newest)
            self._write_hints()

    def _write_record(self, token: int, durable: Durable) -> None:
        try:
            self._journal.write(durable)
        except OSError as problem:
            log.event("disk_write_failed", error=problem.strerror)
            self._notify(self._on_failed, token)
        else:
            self._notify(self._on_persisted, token)

    def _write_hints(self) -> None:
        while self._hints:
            name, data = self._hints.popitem()
            try:
                self._files.append(name + NEW_SUFFIX, 0, data)
                self._files.replace(name + NEW_SUFFIX, name)
            except OSError as problem:
                log.detail("hint_write_failed", error=problem.strerror)

    def _notify(self, callback: Callable[[int], None], token: int) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(callback, token)
