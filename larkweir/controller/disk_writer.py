"""The thread that waits for the disk, so that heartbeats do not."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from larkweir_replication.journal import Journal
from larkweir_replication.journal_files import JournalFiles
from larkweir_replication.messages import DurableState

from larkweir.cluster import log

NEW_SUFFIX = ".new"  # of a file that is being written


@dataclass(frozen=True, slots=True)
class _Record:
    """A journal record to write."""

    token: int
    durable: DurableState


class _Signal(Enum):
    """What the queue holds beside records."""

    HINTS_CHANGED = auto()  # there is a hint file to write
    STOP = auto()  # the thread is to end; what is still queued is not written


class DiskWriter:
    """Writes the newest of the records that are queued; it supersedes the earlier ones."""

    def __init__(
        self,
        journal: Journal,
        files: JournalFiles,
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
        self._entries: queue.SimpleQueue[_Record | _Signal] = queue.SimpleQueue()
        self._hints: dict[str, bytes] = {}  # by file; added by the loop's thread, removed by this one
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def write_record(self, token: int, durable: DurableState) -> None:
        """Queues a journal record; one of the callbacks follows unless a newer record supersedes it."""
        self._entries.put(_Record(token, durable))

    def write_hint(self, name: str, data: bytes) -> None:
        """Replaces that file after the record that is being written. Errors are only logged."""
        self._hints[name] = data
        self._entries.put(_Signal.HINTS_CHANGED)

    def read_hint(self, name: str) -> bytes | None:
        """What `write_hint` left in an earlier incarnation, read at once; None where it can't be read."""
        try:
            return self._files.read(name)
        except OSError:
            return None

    def close(self) -> None:
        """Ends the thread; does not wait for it."""
        self._entries.put(_Signal.STOP)

    def _run(self) -> None:
        while True:
            entries = self._take_queued()
            if _Signal.STOP in entries:
                return
            records = [entry for entry in entries if isinstance(entry, _Record)]
            if records:
                self._write_record(records[-1])
            self._write_hints()

    def _take_queued(self) -> list[_Record | _Signal]:
        """Waits for an entry, and takes it with all that are queued behind it."""
        entries = [self._entries.get()]
        while not self._entries.empty():
            entries.append(self._entries.get())
        return entries

    def _write_record(self, record: _Record) -> None:
        try:
            self._journal.write(record.durable)
        except OSError as problem:
            log.event("disk_write_failed", error=problem.strerror)
            self._notify(self._on_failed, record.token)
        else:
            self._notify(self._on_persisted, record.token)

    def _write_hints(self) -> None:
        while self._hints:
            name, data = self._hints.popitem()
            try:
                self._files.append(name + NEW_SUFFIX, 0, data)
                self._files.replace(name + NEW_SUFFIX, name)
            except OSError as problem:
                log.debug("hint_write_failed", error=problem.strerror)

    def _notify(self, callback: Callable[[int], None], token: int) -> None:
        with contextlib.suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(callback, token)
