"""Lines of captures, to files of a bounded size in turn or to a descriptor, on a thread of their own.

Its caller never waits. What can't be written (a full disk, a reader that is away, too much waiting) is dropped whole
and counted, so each line in a file is whole but for the last one of a process that was killed.
"""

from __future__ import annotations

import os
import threading
from collections import deque
from collections.abc import Sequence


class Writer:
    """Writes records to a bounded file, and drops what has no room."""

    def __init__(
        self,
        path: str = "",
        descriptor: int = -1,
        file_bytes: int = 64 * 1024 * 1024,
        files: int = 4,
        max_waiting_bytes: int = 8 * 1024 * 1024,
    ) -> None:
        """To `path`, whose full files become `path.1`, `path.2`, ..., so many `files` in all; or to an open
        `descriptor`, which stays its owner's. `most_waiting`: bytes. OSError where the path can't be opened.
        """
        if bool(path) == (descriptor >= 0) or files < 1 or file_bytes < 1:
            raise ValueError("a path or a descriptor, and at least one file of at least one byte")
        self._path = path
        self._descriptor = descriptor
        self._file_bytes = file_bytes
        self._files = files
        self._most = max_waiting_bytes
        self._size = 0
        self._waiting: deque[bytes] = deque()
        self._bytes = 0
        self._wake = threading.Condition()
        self._stopping = False
        self.written = 0  # lines
        self.dropped = 0  # lines
        self.broken = ""  # why the last line was dropped; empty if it was written
        if path:
            self._open()
        self._thread = threading.Thread(target=self._run, name="captures", daemon=True)
        self._thread.start()

    def put(self, lines: Sequence[bytes]) -> None:
        """Lines, each with its end. Never blocks for the disk."""
        if not lines:
            return
        with self._wake:
            for line in lines:
                if self._bytes + len(line) > self._most or self._stopping:
                    self.dropped += 1
                    continue
                self._waiting.append(line)
                self._bytes += len(line)
            self._wake.notify()

    @property
    def ended(self) -> bool:
        """Whether it was closed, and has written all that it will."""
        return not self._thread.is_alive()

    def close(self, wait_s: float = 2.0) -> None:
        """Write what waits; the caller is held for so long at most."""
        with self._wake:
            self._stopping = True
            self._wake.notify()
        self._thread.join(wait_s)

    def _open(self) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        self._descriptor = os.open(self._path, flags, 0o640)
        self._size = os.fstat(self._descriptor).st_size

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._waiting and not self._stopping:
                    self._wake.wait()
                if not self._waiting:
                    break
                line = self._waiting.popleft()
                self._bytes -= len(line)
            try:
                self._write(line)
            except OSError as error:
                self.dropped += 1
                self.broken = str(error)
            else:
                self.written += 1
                self.broken = ""
        if self._path and self._descriptor >= 0:
            os.close(self._descriptor)

    def _write(self, line: bytes) -> None:
        if self._path:
            if self._descriptor >= 0 and self._size and self._size + len(line) > self._file_bytes:
                self._turn()
            if self._descriptor < 0:
                self._open()
        view = memoryview(line)
        begun = 0
        try:
            while begun < len(line):
                begun += os.write(self._descriptor, view[begun:])
        except OSError:
            if self._path and begun:  # a full disk takes a part of a line: take it back
                os.ftruncate(self._descriptor, self._size)
            raise
        self._size += len(line)

    def _turn(self) -> None:
        os.close(self._descriptor)
        self._descriptor = -1
        for number in range(self._files - 1, 0, -1):
            source = f"{self._path}.{number - 1}" if number > 1 else self._path
            if os.path.exists(source):
                os.replace(source, f"{self._path}.{number}")
        if self._files == 1:
            os.truncate(self._path, 0)
