"""A keeper's folder on a simulated disk (`larkweir_owners.acceptor_file.FileSystem`): what was not flushed may be lost
whole or torn when its machine goes; a full disk fails.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass, field
from random import Random
from typing import Any


@dataclass
class Content:
    data: bytearray = field(default_factory=bytearray)
    safe: int = 0  # bytes that were flushed


@dataclass
class Drive:
    """What is on a machine's disk. Names that were renamed count only once the folder is flushed."""

    files: dict[str, Content] = field(default_factory=dict)
    kept: dict[str, Content] = field(default_factory=dict)  # as of the last flush of the folder
    taken: Any = None  # the process that holds the lock
    full: bool = False

    def crash(self, rng: Random) -> None:
        """The machine is gone: names as they were flushed or as they are, tails torn anywhere."""
        if rng.random() < 0.5:
            self.files = dict(self.kept)
        for content in self.files.values():
            left = rng.randint(content.safe, max(content.safe, len(content.data)))
            del content.data[left:]
            content.safe = left
        self.kept = dict(self.files)
        self.taken = None

    def wipe(self) -> None:
        self.files, self.kept, self.taken = {}, {}, None


class Folder:
    """`System` for one process; the path says nothing here, since a machine has one drive."""

    def __init__(self, drive: Drive, owner: Any) -> None:
        self._drive, self._owner = drive, owner
        self._open: dict[int, Content] = {}
        self._next = 1

    def lock(self) -> None:
        holder = self._drive.taken
        if holder is not None and holder is not self._owner and not holder.dead:
            raise OSError(errno.EBUSY, "another process has it")
        self._drive.taken = self._owner

    def read(self, name: str) -> bytes | None:
        content = self._drive.files.get(name)
        return None if content is None else bytes(content.data)

    def create(self, name: str) -> int:
        self._look_full()
        self._drive.files[name] = Content()
        return self._number(self._drive.files[name])

    def append(self, name: str, length: int) -> int:
        content = self._drive.files.get(name)
        if content is None:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT))
        del content.data[length:]
        content.safe = len(content.data)
        return self._number(content)

    def _number(self, content: Content) -> int:
        self._next += 1
        self._open[self._next] = content
        return self._next

    def _look_full(self) -> None:
        if self._drive.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def write(self, number: int, data: bytes) -> None:
        content = self._open[number]
        if self._drive.full:
            content.data += data[: len(data) // 2]
        self._look_full()
        content.data += data

    def flush(self, number: int) -> None:
        content = self._open[number]
        content.safe = len(content.data)

    def close_file(self, number: int) -> None:
        del self._open[number]

    def rename(self, old: str, new: str) -> None:
        self._drive.files[new] = self._drive.files.pop(old)

    def flush_folder(self) -> None:
        self._drive.kept = dict(self._drive.files)

    def close(self) -> None:
        if self._drive.taken is self._owner:
            self._drive.taken = None
