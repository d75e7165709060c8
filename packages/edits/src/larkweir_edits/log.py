"""A copy's log on disk: appended and flushed, and begun anew when it is long.

A record counts as kept once `fdatasync` has come back behind it; only then is its number told. The log is `N.log` in a
folder of its own; a new one is written whole under another name, flushed, renamed, and the folder flushed, before the
one before goes. Any error ends the writing for this life: what a file holds after a failed flush is not known.
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
import threading
import zlib
from collections.abc import Callable, Sequence
from contextlib import suppress

MAGIC = b"lwedits1"
MAX_RECORD_BYTES = 64 * 1024 * 1024
MAX_FILE_BYTES = 256 * 1024 * 1024
COMPACTION_BYTES = 8 * 1024 * 1024  # bytes, past which a log is begun anew
_FRAME = struct.Struct("<II")  # length, CRC-32


def framed(record: bytes) -> bytes:
    """A record as it stands in a file: length, CRC-32, bytes."""
    return _FRAME.pack(len(record), zlib.crc32(record)) + record


def read(data: bytes) -> tuple[list[bytes], int]:
    """A file's records, and how many of its bytes they are; the rest is torn, or no log."""
    if not data.startswith(MAGIC):
        return [], 0
    found, at = [], len(MAGIC)
    while at + _FRAME.size <= len(data):
        length, crc = _FRAME.unpack_from(data, at)
        record = data[at + _FRAME.size : at + _FRAME.size + length]
        if length > MAX_RECORD_BYTES or len(record) < length or zlib.crc32(record) != crc:
            break
        found.append(record)
        at += _FRAME.size + length
    return found, at


def _generations(folder: str) -> list[int]:
    stems = [name[:-4] for name in os.listdir(folder) if name.endswith(".log")]
    return sorted(int(stem) for stem in stems if stem.isascii() and stem.isdigit())


def peek(folder: str) -> list[bytes]:
    """What a log holds, though another process may be writing it. Nothing is changed; none where it can't be read."""
    for _ in range(5):  # a log that was begun anew meanwhile is looked for again
        try:
            found = _generations(folder)
            if not found:
                return []
            with open(os.path.join(folder, f"{found[-1]}.log"), "rb") as file:
                return read(file.read(MAX_FILE_BYTES))[0]
        except FileNotFoundError:
            continue
        except OSError:
            break
    return []


class Calls:
    """The system calls, in one place: tests put faults here."""

    def write(self, number: int, data: bytes) -> None:
        """Write all bytes. Raises OSError."""
        while data:
            data = data[os.write(number, data) :]

    def flush(self, number: int) -> None:
        """Wait until what was written would survive a crash. Raises OSError."""
        os.fdatasync(number)

    def rename(self, old: str, new: str) -> None:
        """Rename a file over another one. Raises OSError."""
        os.rename(old, new)

    def flush_folder(self, path: str) -> None:
        """Wait until a rename in the folder would survive a crash. Raises OSError."""
        number = os.open(path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)


class FileLog:
    """The log of one replica, written by a thread of its own.

    Attributes:
        records: what the folder held at the start.
        left_out: bytes at the end of the file that were no whole record.
        broken: a write failed, and nothing more is written.
    """

    def __init__(
        self,
        folder: str,
        on_durable: Callable[[int], None],
        on_failure: Callable[[str], None],
        calls: Calls | None = None,
    ) -> None:
        self._folder, self._on_durable, self._on_failure = folder, on_durable, on_failure
        self._calls = calls or Calls()
        self._wake = threading.Condition()
        self._queue: list[bytes] = []
        self._compaction: tuple[bytes, int] | None = (
            None  # with which the next log begins, behind so many of the queue
        )
        self._number = 0  # of the last record that was given
        self._ending = False
        self.broken = False
        os.makedirs(folder, mode=0o700, exist_ok=True)
        self._lock = os.open(os.path.join(folder, "lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self.records, self.left_out = self._open()
        except BlockingIOError:
            os.close(self._lock)
            raise OSError(errno.EBUSY, "another process has it") from None
        except OSError:
            os.close(self._lock)
            raise
        self._thread = threading.Thread(target=self._run, name="edits-log", daemon=True)
        self._thread.start()

    def _path(self, generation: int, end: str = "log") -> str:
        return os.path.join(self._folder, f"{generation}.{end}")

    def _open(self) -> tuple[list[bytes], int]:
        """What is there, and how many bytes at its end are left out (a write that was cut off, or worse)."""
        found = _generations(self._folder)
        self._generation = found[-1] if found else 0
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_APPEND
        self._file = os.open(self._path(self._generation), flags, 0o600)
        size = os.fstat(self._file).st_size
        if size > MAX_FILE_BYTES:
            raise OSError(errno.EFBIG, "it is no log of edits")
        with open(self._path(self._generation), "rb") as file:
            data = file.read()
        records, good = read(data)
        if good < len(data) and data and not good:
            raise OSError(errno.EINVAL, f"{self._path(self._generation)} is no log of edits; take it away")
        os.ftruncate(self._file, good)
        if not good:
            self._calls.write(self._file, MAGIC)
            self._calls.flush(self._file)
            self._calls.flush_folder(self._folder)
        self._size = max(good, len(MAGIC))
        for old in found[:-1]:
            with suppress(OSError):
                os.unlink(self._path(old))
        return records, len(data) - good

    @property
    def is_long(self) -> bool:
        """Whether it should be begun anew."""
        return self._size > COMPACTION_BYTES and self._compaction is None and not self.broken

    def append(self, record: bytes) -> int:
        """A record to be written; its number. Nothing is kept any more where the writing has ended."""
        with self._wake:
            self._number += 1
            if not self.broken and not self._ending:
                self._queue.append(record)
                self._wake.notify()
            return self._number

    def compact(self, records: Sequence[bytes]) -> None:
        """Begin the file anew with records of all that counts, the pending ones (`Replica.pending`) behind them.

        What is appended from now on comes behind these.
        """
        with self._wake:
            self._compaction = b"".join(map(framed, records)), len(self._queue)
            self._wake.notify()

    def close(self) -> None:
        """Write what was given, and end."""
        with self._wake:
            self._ending = True
            self._wake.notify()
        self._thread.join()
        os.close(self._file)
        os.close(self._lock)

    def _run(self) -> None:
        while True:
            with self._wake:
                self._wake.wait_for(lambda: self._queue or self._compaction is not None or self._ending)
                records, self._queue = self._queue, []
                compaction, number = self._compaction, self._number
                self._compaction = None
                if not records and compaction is None:
                    return
            try:
                before = len(records) if compaction is None else compaction[1]
                self._append(records[:before])
                if compaction is not None:
                    self._begin(compaction[0])
                self._append(records[before:])
            except OSError as problem:
                with self._wake:
                    self.broken = True
                    self._queue.clear()
                why = problem.strerror or problem
                self._on_failure(
                    f"edits: {self._folder}: {why}; no edit is made or told until it can be written"
                )
                return
            if records:
                self._on_durable(number)

    def _append(self, records: Sequence[bytes]) -> None:
        if records:
            data = b"".join(map(framed, records))
            self._calls.write(self._file, data)
            self._calls.flush(self._file)
            self._size += len(data)

    def _begin(self, records: bytes) -> None:
        new = self._generation + 1
        flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_APPEND
        number = os.open(self._path(new, "new"), flags, 0o600)
        try:
            data = MAGIC + records
            self._calls.write(number, data)
            self._calls.flush(number)
            self._calls.rename(self._path(new, "new"), self._path(new))
            self._calls.flush_folder(self._folder)
        except OSError:
            os.close(number)
            raise
        os.close(self._file)
        self._file, self._size = number, len(data)
        with suppress(OSError):
            os.unlink(self._path(self._generation))
        self._generation = new
