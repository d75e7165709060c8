"""The files in a replica's folder, written and renamed so that completed calls survive a loss of power."""

from __future__ import annotations

import os
from typing import Protocol


class JournalFiles(Protocol):
    """Files in one folder. All methods raise OSError if the system call fails."""

    def read(self, name: str) -> bytes:
        """Returns the complete file. Raises FileNotFoundError if there is none."""

    def append(self, name: str, offset: int, data: bytes) -> None:
        """Truncates the file to `offset` bytes, writes `data` after them and syncs the file."""

    def replace(self, new_name: str, name: str) -> None:
        """Renames the synced file `new_name` to `name`, and syncs the folder."""


class FolderFiles:
    """`JournalFiles` in a folder on disk. Calls block while the disk syncs."""

    def __init__(self, folder: str) -> None:
        """`folder`: the path of the folder; the first write creates it."""
        self._folder = folder

    def read(self, name: str) -> bytes:
        """Returns the complete file. Raises FileNotFoundError if there is none, OSError if it can't be read."""
        with open(os.path.join(self._folder, name), "rb") as file:
            return file.read()

    def append(self, name: str, offset: int, data: bytes) -> None:
        """Truncates, writes and syncs the file; syncs the folder too if the file may be new. Raises OSError."""
        self._make_folder()
        path = os.path.join(self._folder, name)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.ftruncate(descriptor, offset)
            os.lseek(descriptor, offset, os.SEEK_SET)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if offset == 0:
            self._sync(self._folder)

    def replace(self, new_name: str, name: str) -> None:
        """Renames the file and syncs the folder. Raises OSError."""
        os.replace(os.path.join(self._folder, new_name), os.path.join(self._folder, name))
        self._sync(self._folder)

    def _make_folder(self) -> None:
        if not os.path.isdir(self._folder):
            os.makedirs(self._folder, exist_ok=True)
            self._sync(os.path.dirname(os.path.abspath(self._folder)))

    @staticmethod
    def _sync(folder: str) -> None:
        """Makes the creation, renaming and removal of files in the folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
