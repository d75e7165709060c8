"""The system calls that an acceptor's file needs: lock a folder; append to, flush and rename files.

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
    """The system calls behind one interface, so that a test can make any of them fail. Each may raise OSError."""

    def lock(self) -> None:
        """Create the folder if necessary, and lock it; FolderInUseError if another process holds the lock."""
        ...

    def read(self, name: str) -> bytes | None:
        """Return a file's content; None if there is no such file."""
        ...

    def create(self, name: str) -> int:
        """Open an empty file for writing; return its descriptor."""
        ...

    def append(self, name: str, length: int) -> int:
        """Open a file for appending, truncate it to `length` bytes and flush it; return its descriptor."""
        ...

    def write(self, descriptor: int, data: bytes) -> None:
        """Write all of `data`."""
        ...

    def flush(self, descriptor: int) -> None:
        """Flush all written data to disk (fsync(2)) before returning."""
        ...

    def close_file(self, descriptor: int) -> None:
        """Close a file."""
        ...

    def rename(self, old: str, new: str) -> None:
        """Replace the file `new` with the file `old`. The change is durable only after `flush_folder`."""
        ...

    def flush_folder(self) -> None:
        """Flush the folder, so that new and renamed files survive a crash."""
        ...

    def close(self) -> None:
        """Release the lock."""
        ...


class LockedFolder:
    """A `FileSystem` on a folder that only this user can access and only one process uses at a time."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._lock = -1

    def lock(self) -> None:
        """Create the folder if necessary, and lock it; FolderInUseError if another process holds the lock."""
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
        """Return a file's content; None if there is no such file. FileTooLargeError above `MAX_FILE_BYTES`."""
        try:
            descriptor = os.open(os.path.join(self.path, name), os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            return None
        with os.fdopen(descriptor, "rb") as file:
            if os.fstat(descriptor).st_size > MAX_FILE_BYTES:
                raise FileTooLargeError(errno.EFBIG, "it is no keeper's file")
            return file.read()

    def create(self, name: str) -> int:
        """Open an empty file for writing; return its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def append(self, name: str, length: int) -> int:
        """Open a file for appending, truncate it to `length` bytes and flush it; return its descriptor."""
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
        """Flush all written data to disk (fsync(2)) before returning."""
        os.fsync(descriptor)

    def close_file(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def rename(self, old: str, new: str) -> None:
        """Replace the file `new` with the file `old`. The change is durable only after `flush_folder`."""
        os.rename(os.path.join(self.path, old), os.path.join(self.path, new))

    def flush_folder(self) -> None:
        """Flush the folder, so that new and renamed files survive a crash."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
