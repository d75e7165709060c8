"""The file that captures are written to. Does I/O: it locks PATH.lock, and a `Writer` writes on a thread of its own.

One process writes a file at a time: the one that holds PATH.lock. A successor begins when its predecessor has written
its last lines, or has ended.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Sequence

from larkweir_captures.writer import Writer

from larkweir.config.fleet_tables import Captures
from larkweir.coordination.captures.limited_log import INTERVAL_MS, LimitedLog

LOCK_RETRY_MS = 100.0  # until a lock that another process holds is tried again
OPEN_RETRY_MS = 1_000.0  # until a file that can't be opened is tried again
HANDOVER_MS = 5_000.0  # for which a process that has handed over writes on, at most
CLOSE_TIMEOUT_S = 0.25  # for lines that wait for the disk at the end


class CaptureFile:
    """The lock and the writer, while this process has them."""

    def __init__(self, options: Captures, log: LimitedLog) -> None:
        self._options, self._log = options, log
        self._writer: Writer | None = None
        self._lock_fd = -1
        self._retry_ms = 0.0  # when opening is tried next
        self._locked_out_ms = 0.0  # since when another process holds the lock; 0 if none does
        self._dropped = self._written = 0  # by writers that are closed
        self._logged_dropped = 0

    @property
    def is_open(self) -> bool:
        """Whether this process writes the file."""
        return self._writer is not None

    @property
    def written(self) -> int:
        """Lines written."""
        return self._written + (self._writer.written if self._writer is not None else 0)

    @property
    def dropped(self) -> int:
        """Lines dropped, because the disk was full or too slow."""
        return self._dropped + (self._writer.dropped if self._writer is not None else 0)

    @property
    def error(self) -> str:
        """Why the last line was dropped; empty if it was written."""
        return self._writer.broken if self._writer is not None else ""

    def open(self, now_ms: float) -> bool:
        """Take the lock and open the file, if it is time to try. Returns whether it was opened; failures are logged."""
        if now_ms < self._retry_ms:
            return False
        path = self._options.path
        try:
            if self._lock_fd < 0:
                self._lock_fd = os.open(f"{path}.lock", os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o640)
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            writer = Writer(path, file_bytes=self._options.file_bytes, files=self._options.files)
        except BlockingIOError:
            self._retry_ms = now_ms + LOCK_RETRY_MS
            self._locked_out_ms = self._locked_out_ms or now_ms
            if now_ms - self._locked_out_ms > HANDOVER_MS + INTERVAL_MS:  # not a predecessor
                self._log.log(
                    "lock", f"captures: {path} is another process's: nothing is written here until it ends"
                )
            return False
        except OSError as problem:
            self._retry_ms = now_ms + OPEN_RETRY_MS
            self._unlock()
            self._log.log("open", f"captures: {path}: {problem.strerror}; tried again")
            return False
        self._writer, self._locked_out_ms = writer, 0.0
        return True

    def put(self, lines: Sequence[bytes]) -> None:
        """Have lines written, if the file is open. Never blocks."""
        if self._writer is not None:
            self._writer.put(lines)

    def finish(self) -> bool:
        """Accept no more lines. Returns whether all are written; a disk that hangs blocks nobody."""
        if self._writer is None:
            return True
        self._writer.close(0.0)
        return self._writer.ended

    def close(self) -> None:
        """Write what waits, for `CLOSE_TIMEOUT_S` at most, and release the lock."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.close(CLOSE_TIMEOUT_S)
            self._written += writer.written
            self._dropped += writer.dropped
        self._unlock()

    def log_dropped(self) -> None:
        """Log that the open writer has dropped lines, if that is new."""
        writer = self._writer
        if writer is None or writer.dropped <= self._logged_dropped:
            return
        count, reason = writer.dropped - self._logged_dropped, writer.broken or "too many wait"
        if self._log.log("disk", f"captures: {count} lines dropped: {reason}"):
            self._logged_dropped = writer.dropped

    def _unlock(self) -> None:
        if self._lock_fd >= 0:
            os.close(self._lock_fd)
            self._lock_fd = -1
