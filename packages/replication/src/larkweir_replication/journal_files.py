"""The files of a replica's folder: written and renamed so that a loss of power can't undo what has returned."""

from __future__ import annotations

import os
from typing import Protocol


class JournalFiles(Protocol):
    """Files of one folder. All methods raise OSError where the system refuses the call."""

    def read(self, name: str) -> bytes:
        """The complete file. Raises FileNotFoundError where there is none."""

    def append(self, name: str, offset: int, data: bytes) -> None:
        """Truncates the file to `offset` bytes, writes `data` behind them and syncs the file."""

    def replace(self, new_name: str, name: str) -> None:
        """Renames the synced file `new_name` to `name`, and syncs the folder."""


class FolderFiles:
    """`JournalFiles` of a folder on disk. Blocks while the disk syncs."""

    def __init__(self, folder: str) -> None:
        """`folder`: its path; the first write creates it."""
        self._folder = folder

    def read(self, name: str) -> bytes:
        """The complete file. Raises FileNotFoundError where there is none, OSError where it can't be read."""
        with open(os.path.join(self._folder, name), "rb") as file:
            return file.read()

    def append(self, name: str, offset: int, data: bytes) -> None:
        """Truncates, writes and syncs; a new file's name is synced with the folder. Raises OSError."""
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
        """Makes names that were created, renamed or removed in the folder durable."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
