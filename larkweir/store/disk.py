"""Hands: a store's folder: one lock, a log that is appended to and flushed, snapshots that replace it.

The order of the system calls is what the promises rest on; tests enumerate every crash between and inside them:

1. A generation begins with its snapshot under another name, flushed, renamed to `G.snap`. Its log `G.log` is then made,
   with its header, and it and the folder are flushed, before any record counts as kept there.
2. A record is kept once the log was flushed behind it.
3. Files of older generations are removed only then.

Any error ends the writing for this life, for good: what a file holds after a failed flush is not known (fsync(2) may
have dropped what it could not write). It is told once; the balancer serves on without.
"""

from __future__ import annotations

import errno
import fcntl
import os
import stat
from collections.abc import Iterable
from contextlib import suppress

from larkweir.store.records import Record, StoreError, frame, header
from larkweir.store.recovery import Recovered, recover, snapshot
from larkweir.store.state import State

MOST_FILE = 256 * 1024 * 1024  # a larger one is none of ours


class Files:
    """The system calls, in one place: tests put a model of a file system here."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._lock = -1

    def open(self) -> None:
        """Make the folder and lock it; OSError where that can't be, or another process has it."""
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        found = os.lstat(self.folder)
        if not stat.S_ISDIR(found.st_mode) or found.st_uid != os.geteuid():
            raise OSError(errno.EPERM, "it is no folder of this user's own")
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        self._lock = os.open(os.path.join(self.folder, "lock"), flags, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            self._lock = -1
            raise OSError(errno.EBUSY, "another process has it") from None

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        number = os.open(os.path.join(self.folder, name), os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        with os.fdopen(number, "rb") as file:
            if not stat.S_ISREG(os.fstat(number).st_mode) or os.fstat(number).st_size > MOST_FILE:
                raise OSError(errno.EINVAL, "it is no file of a store")
            return file.read()

    def create(self, name: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self.folder, name), flags, 0o600)

    def write(self, number: int, data: bytes) -> None:
        while data:
            data = data[os.write(number, data) :]

    def flush(self, number: int) -> None:
        os.fdatasync(number)

    def shut(self, number: int) -> None:
        os.close(number)

    def rename(self, old: str, new: str) -> None:
        os.rename(os.path.join(self.folder, old), os.path.join(self.folder, new))

    def flush_folder(self) -> None:
        number = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def remove(self, name: str) -> None:
        os.unlink(os.path.join(self.folder, name))


def look(files: Files, tries: int = 8) -> dict[str, bytes]:
    """The store's files without its lock, as they stood at one time: a balancer that writes beside it may end a
    generation between two reads, so it is looked again while names change. OSError where that goes on, or none can be
    read.
    """
    for left in range(tries, 0, -1):
        names = [name for name in files.names() if name.endswith((".snap", ".log"))]
        try:
            found = {name: files.read(name) for name in names}
        except FileNotFoundError:
            if left > 1:
                continue
            raise
        if names == [name for name in files.names() if name.endswith((".snap", ".log"))]:
            return found
    raise OSError(errno.EBUSY, "it changes faster than it can be read")


class Disk:
    """One store, open. Blocking: used on a thread of its own."""

    def __init__(self, files: Files, site: bytes) -> None:
        self._files = files
        self._site = site
        self._log = -1
        self._serial = 0
        self.generation = 0
        self.log_bytes = 0

    def open(self) -> Recovered:
        """Lock it and read what is there; OSError where it can't be had."""
        self._files.open()
        found: dict[str, bytes] = {}
        for name in self._files.names():
            stem, _, end = name.partition(".")
            if end in ("snap", "log") and stem.isascii() and stem.isdigit():
                with suppress(OSError):  # one that can't be read is as one that is not there
                    found[name] = self._files.read(name)
        recovered = recover(found, self._site)
        self.generation = recovered.generation
        return recovered

    def begin(self, pieces: Iterable[bytes] | None, state: State | None = None) -> None:
        """A new generation from a state, or from its snapshot's bytes. OSError where it fails."""
        generation = self.generation + 1
        if pieces is None:
            assert state is not None
            pieces = snapshot(state, self._site, generation)
        files = self._files
        number = files.create(f"{generation}.new")
        try:
            for piece in pieces:
                files.write(number, piece)
            files.flush(number)
        finally:
            files.shut(number)
        files.rename(f"{generation}.new", f"{generation}.snap")
        log = files.create(f"{generation}.log")
        head = header(self._site, generation)
        try:
            files.write(log, head)
            files.flush(log)
            files.flush_folder()
        except OSError:
            files.shut(log)
            raise
        before, self._log = self._log, log
        old = self.generation
        self.generation, self._serial, self.log_bytes = generation, 0, len(head)
        if before >= 0:
            files.shut(before)
        self._tidy(old)

    def _tidy(self, newest: int) -> None:
        """Remove what is older than the generation before; nothing depends on it."""
        for name in self._files.names():
            stem, _, end = name.partition(".")
            if stem.isascii() and stem.isdigit() and end in ("snap", "log", "new") and int(stem) < newest:
                with suppress(OSError):
                    self._files.remove(name)

    def append(self, records: Iterable[Record], durable: bool) -> int:
        """Write records to the log, and flush it if they are to be kept; how many bytes."""
        parts = []
        for record in records:
            try:
                parts.append(frame(self._serial, record))
            except StoreError:  # one that is too long is left out: all others count
                continue
            self._serial += 1
        data = b"".join(parts)
        if data:
            self._files.write(self._log, data)
            self.log_bytes += len(data)
        if durable:
            self._files.flush(self._log)
        return len(data)

    def close(self) -> None:
        if self._log >= 0:
            with suppress(OSError):
                self._files.flush(self._log)
            with suppress(OSError):
                self._files.shut(self._log)
            self._log = -1
        self._files.close()
