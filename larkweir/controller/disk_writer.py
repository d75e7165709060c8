"""A thread for disk writes, so that a slow disk does not delay the event loop and its heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeVar

from larkweir_replication.journal import Journal
from larkweir_replication.journal_files import JournalFiles
from larkweir_replication.messages import DurableState

from larkweir.cluster import log

_Result = TypeVar("_Result")

NEW_SUFFIX = ".new"  # of a file until it is complete


@dataclass(frozen=True, slots=True)
class _Record:
    """A journal record to write, identified by its token."""

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class _File:
    """The contents of a file to replace, and what to call on the event loop with whether that succeeded."""

    data: bytes
    on_written: Callable[[bool], None] | None


class _Signal(Enum):
    """Queue entries other than records."""

    FILES_CHANGED = auto()  # a file is to be replaced
    STOP = auto()  # the thread ends without writing the entries that are still queued


class DiskWriter:
    """Writes journal records and files on a separate thread. Only the newest queued record and files are written."""

    def __init__(
        self,
        journal: Journal,
        files: JournalFiles,
        loop: asyncio.AbstractEventLoop,
        on_persisted: Callable[[int], None],
        on_failed: Callable[[int], None],
    ) -> None:
        """Starts the thread. Both callbacks are called on `loop` with the token of a record."""
        self._journal = journal
        self._files = files
        self._loop = loop
        self._on_persisted = on_persisted
        self._on_failed = on_failed
        self._entries: queue.SimpleQueue[_Record | _Signal] = queue.SimpleQueue()
        # By file name: the event loop's thread adds them, the disk thread removes them.
        self._replacements: dict[str, _File] = {}
        self._thread = threading.Thread(target=self._run, name="disk", daemon=True)
        self._thread.start()

    def write_record(self, token: int, durable: DurableState) -> None:
        """Queues a journal record. One of the callbacks is called later, unless a newer record supersedes this one."""
        self._entries.put(_Record(token, durable))

    def replace_file(self, name: str, data: bytes, on_written: Callable[[bool], None] | None = None) -> None:
        """Replaces a file once the record that is being written is done. Errors are logged.

        Args:
            name: the name of the file in the replica's folder.
            data: the complete contents.
            on_written: called later with whether the file is durable, unless a newer replacement supersedes this one.
        """
        self._replacements[name] = _File(data, on_written)
        self._entries.put(_Signal.FILES_CHANGED)

    def read_file(self, name: str) -> bytes | None:
        """Reads, in the calling thread, a file of an earlier incarnation; None if it can't be read."""
        try:
            return self._files.read(name)
        except OSError:
            return None

    def close(self) -> None:
        """Tells the thread to end and does not wait for it."""
        self._entries.put(_Signal.STOP)

    def _run(self) -> None:
        while True:
            entries = self._take_queued()
            if _Signal.STOP in entries:
                return
            records = [entry for entry in entries if isinstance(entry, _Record)]
            if records:
                self._write_record(records[-1])
            self._replace_files()

    def _take_queued(self) -> list[_Record | _Signal]:
        """Waits for an entry and returns it with all other queued entries."""
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

    def _replace_files(self) -> None:
        while self._replacements:
            name, file = self._replacements.popitem()
            try:
                self._files.append(name + NEW_SUFFIX, 0, file.data)
                self._files.replace(name + NEW_SUFFIX, name)
                is_durable = True
            except OSError as problem:
                log.debug("hint_write_failed", file=name, error=problem.strerror)
                is_durable = False
            if file.on_written is not None:
                self._notify(file.on_written, is_durable)

    def _notify(self, callback: Callable[[_Result], None], result: _Result) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed
            self._loop.call_soon_threadsafe(callback, result)
