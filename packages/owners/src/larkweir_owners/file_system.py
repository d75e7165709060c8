"""The system calls that an acceptor's file makes: a locked folder, files that are appended to, flushed and renamed.

Each call may raise OSError.
"""

from __future__ import annotations

import errno
import fcntl
import os
from typing import Protocol

from larkweir_owners.errors import FileTooLargeError, FolderInUseError

MAX_FILE_BYTES = 128 * 1024 * 1024


class FileSystem(Protocol):
    """The calls in one place, so that a test can fail any of them. OSError from each."""

    def lock(self) -> None:
        """Make the folder, and lock it; FolderInUseError where another process has it."""
        ...

    def read(self, name: str) -> bytes | None:
        """A file's content; None where there is no such file."""
        ...

    def create(self, name: str) -> int:
        """Open an empty file for writing; returns its descriptor."""
        ...

    def append(self, name: str, length: int) -> int:
        """Open a file for appending, cut to `length` bytes and flushed so; returns its descriptor."""
        ...

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        ...

    def flush(self, descriptor: int) -> None:
        """Return once what was written is on disk (fsync(2))."""
        ...

    def close_file(self, descriptor: int) -> None:
        """Close a file."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Put a file in the place of another. It counts once the folder is flushed."""
        ...

    def flush_folder(self) -> None:
        """Flush the names of the folder."""
        ...

    def close(self) -> None:
        """Release the lock."""
        ...


class LockedFolder:
    """`FileSystem` on a folder of this user's own, which one process has at a time."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._lock = -1

    def lock(self) -> None:
        """Make the folder, and lock it; FolderInUseError where another process has it."""
        os.makedirs(self.path, mode=0o700, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        self._lock = os.open(os.path.join(self.path, "keeper.lock"), flags, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise FolderInUseError(errno.EBUSY, "another process has it") from None

    def close(self) -> None:
        """Release the lock."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def read(self, name: str) -> bytes | None:
        """A file's content; None where there is none. FileTooLargeError above `MAX_FILE_BYTES`."""
        try:
            descriptor = os.open(os.path.join(self.path, name), os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            return None
        with os.fdopen(descriptor, "rb") as file:
            if os.fstat(descriptor).st_size > MAX_FILE_BYTES:
                raise FileTooLargeError(errno.EFBIG, "it is no keeper's file")
            return file.read()

    def create(self, name: str) -> int:
        """Open an empty file for writing; returns its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def append(self, name: str, length: int) -> int:
        """Open a file for appending, cut to `length` bytes and flushed so; returns its descriptor."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        descriptor = os.open(os.path.join(self.path, name), flags)
        try:
            os.ftruncate(descriptor, length)
            os.fsync(descriptor)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        left = memoryview(data)
        while left:
            left = left[os.write(descriptor, left) :]

    def flush(self, descriptor: int) -> None:
        """Return once what was written is on disk (fsync(2))."""
        os.fsync(descriptor)

    def close_file(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Put a file in the place of another. It counts once the folder is flushed."""
        os.rename(os.path.join(self.path, old), os.path.join(self.path, new))

    def flush_folder(self) -> None:
        """Flush the names of the folder."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
