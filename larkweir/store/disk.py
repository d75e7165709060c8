"""A store's folder: one lock, a log that is appended to and flushed, snapshots that replace it.

The order of the system calls is what durability depends on; tests enumerate every crash between and inside them:

1. A generation begins with its snapshot under another name, flushed, renamed to `G.snap`. Its log `G.log` is then made,
   with its header, and it and the folder are flushed, before any record counts as durable there.
2. A record is durable once the log was flushed after it.
3. Files of older generations are removed only then.

Any error ends the writing for as long as the process lives: what a file holds after a failed flush is not known
(fsync(2) may have dropped what it could not write). It is logged once; the balancer serves on without a store.
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
from larkweir.store.state import StoredState

MAX_FILE_BYTES = 256 * 1024 * 1024  # a larger file is not one of a store


class Files:
    """The system calls on one folder. Tests substitute a model of a file system."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self._lock = -1

    def open(self) -> None:
        """Create the folder and lock it.

        Raises:
            OSError: it can't be created, belongs to another user, or another process has it (EBUSY).
        """
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
        """Release the lock, if it is held."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def names(self) -> list[str]:
        """The names in the folder, sorted."""
        return sorted(os.listdir(self.folder))

    def read(self, name: str) -> bytes:
        """A whole file. Raises OSError where it can't be read, or is no regular file of at most `MAX_FILE_BYTES`."""
        number = os.open(os.path.join(self.folder, name), os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        with os.fdopen(number, "rb") as file:
            if not stat.S_ISREG(os.fstat(number).st_mode) or os.fstat(number).st_size > MAX_FILE_BYTES:
                raise OSError(errno.EINVAL, "it is no file of a store")
            return file.read()

    def create(self, name: str) -> int:
        """Create or empty a file; returns its descriptor. Raises OSError."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self.folder, name), flags, 0o600)

    def write(self, number: int, data: bytes) -> None:
        """Write all of `data`. Raises OSError; some of it may be written then."""
        while data:
            data = data[os.write(number, data) :]

    def flush(self, number: int) -> None:
        """Return once what was written is on disk. Raises OSError; what is on disk is not known then."""
        os.fdatasync(number)

    def close_file(self, number: int) -> None:
        """Close a descriptor."""
        os.close(number)

    def rename(self, old: str, new: str) -> None:
        """Rename a file, over an existing one if there is one. Raises OSError."""
        os.rename(os.path.join(self.folder, old), os.path.join(self.folder, new))

    def flush_folder(self) -> None:
        """Return once the folder's entries are on disk. Raises OSError."""
        number = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)

    def remove(self, name: str) -> None:
        """Remove a file. Raises OSError."""
        os.unlink(os.path.join(self.folder, name))


def read_files(files: Files, max_attempts: int = 8) -> dict[str, bytes]:
    """The store's files by name, read without its lock, as they were at one time: a balancer that writes meanwhile may
    begin a generation between two reads, so all are read again while names change.

    Raises:
        OSError: the names changed at each of `max_attempts` (EBUSY), or a file can't be read.
    """
    for left in range(max_attempts, 0, -1):
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
    """One open store of the balancer `site`. Its calls block: they belong on a thread of their own."""

    def __init__(self, files: Files, site: bytes) -> None:
        self._files = files
        self._site = site
        self._log = -1
        self._serial = 0
        self.generation = 0
        self.log_bytes = 0

    def open(self) -> Recovered:
        """Lock the store and recover what is there. Raises OSError as `Files.open` does."""
        self._files.open()
        found: dict[str, bytes] = {}
        for name in self._files.names():
            stem, _, end = name.partition(".")
            if end in ("snap", "log") and stem.isascii() and stem.isdigit():
                with suppress(OSError):  # a file that can't be read counts as missing
                    found[name] = self._files.read(name)
        recovered = recover(found, self._site)
        self.generation = recovered.generation
        return recovered

    def begin_generation(self, pieces: Iterable[bytes] | None, state: StoredState | None = None) -> None:
        """Write a new generation: a snapshot from its bytes (`pieces`), or else of `state`, and an empty log. Raises
        OSError.
        """
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
            files.close_file(number)
        files.rename(f"{generation}.new", f"{generation}.snap")
        log = files.create(f"{generation}.log")
        head = header(self._site, generation)
        try:
            files.write(log, head)
            files.flush(log)
            files.flush_folder()
        except OSError:
            files.close_file(log)
            raise
        before, self._log = self._log, log
        old = self.generation
        self.generation, self._serial, self.log_bytes = generation, 0, len(head)
        if before >= 0:
            files.close_file(before)
        self._remove_older(old)

    def _remove_older(self, newest: int) -> None:
        """Remove the files of generations before `newest`; nothing depends on them."""
        for name in self._files.names():
            stem, _, end = name.partition(".")
            if stem.isascii() and stem.isdigit() and end in ("snap", "log", "new") and int(stem) < newest:
                with suppress(OSError):
                    self._files.remove(name)

    def append(self, records: Iterable[Record], durable: bool) -> int:
        """Write records to the log, and flush it if they are to be durable. Returns the bytes written. Raises
        OSError.
        """
        parts = []
        for record in records:
            try:
                parts.append(frame(self._serial, record))
            except StoreError:  # a record that is too long is left out; the others count
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
        """Flush and close the log, and release the lock."""
        if self._log >= 0:
            with suppress(OSError):
                self._files.flush(self._log)
            with suppress(OSError):
                self._files.close_file(self._log)
            self._log = -1
        self._files.close()
