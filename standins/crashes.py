"""A file system in memory that says what a crash may leave: every state, after every system call and inside every
write.

What is flushed stays. Of what was written and not flushed, any prefix may be there, file by file; of what was done to
the folder and not flushed, any part may be, in any combination (as ALICE found of real file systems). A flush that
fails may have dropped what it could not write.
"""

from __future__ import annotations

import errno
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import combinations, product


@dataclass
class Inode:
    kept: bytes = b""  # flushed
    loose: bytes = b""  # written behind that, and not flushed


@dataclass
class ModelFiles:
    """Stands in for `larkweir.store.disk.Files`."""

    fails: dict[int, int] = field(default_factory=dict)  # by the number of the call: with what it fails
    calls: int = 0
    files: dict[str, int] = field(default_factory=dict)  # as the running system sees them
    kept: dict[str, int] = field(default_factory=dict)  # as the disk surely has them
    loose: list[tuple[str, str, int]] = field(
        default_factory=list
    )  # done to the folder since: name before, after
    inodes: list[Inode] = field(default_factory=list)
    locked: bool = False
    writes: list[tuple[int, int]] = field(default_factory=list)  # the call, and how many bytes

    def _call(self) -> None:
        self.calls += 1
        number = self.fails.get(self.calls)
        if number is not None:
            raise OSError(number, errno.errorcode[number])

    def open(self) -> None:
        if self.locked:
            raise OSError(errno.EBUSY, "another process has it")
        self.locked = True

    def close(self) -> None:
        self.locked = False

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        inode = self.inodes[self.files[name]]
        return inode.kept + inode.loose

    def create(self, name: str) -> int:
        self._call()
        self.inodes.append(Inode())
        number = len(self.inodes) - 1
        self.files[name] = number
        self.loose.append(("", name, number))
        return number

    def write(self, number: int, data: bytes) -> None:
        self._call()
        self.writes.append((self.calls, len(data)))
        self.inodes[number].loose += data

    def flush(self, number: int) -> None:
        try:
            self._call()
        except OSError:
            self.inodes[number].loose = b""  # dropped, and a later flush would not say so
            raise
        inode = self.inodes[number]
        inode.kept += inode.loose
        inode.loose = b""

    def close_file(self, number: int) -> None:
        pass

    def rename(self, old: str, new: str) -> None:
        self._call()
        number = self.files.pop(old)
        self.files[new] = number
        self.loose.append((old, new, number))

    def flush_folder(self) -> None:
        self._call()
        self.kept = dict(self.files)
        self.loose = []

    def remove(self, name: str) -> None:
        self._call()
        number = self.files.pop(name)
        self.loose.append((name, "", number))

    # ------------------------------------------------ crashes

    def states(self, every_byte: bool = True) -> Iterator[dict[str, bytes]]:
        """What may be on the disk if the machine stops now."""
        for folder in self._folders():
            numbers = sorted(set(folder.values()))
            cuts = []
            for number in numbers:
                size = len(self.inodes[number].loose)
                cuts.append(
                    range(size + 1) if every_byte else sorted({0, 1, size // 2, max(0, size - 1), size})
                )
            for chosen in product(*cuts):
                content = {
                    number: self.inodes[number].kept + self.inodes[number].loose[:cut]
                    for number, cut in zip(numbers, chosen, strict=True)
                }
                yield {name: content[number] for name, number in folder.items()}

    def _folders(self) -> Iterator[dict[str, int]]:
        seen: set[tuple[tuple[str, int], ...]] = set()
        for count in range(len(self.loose) + 1):
            for chosen in combinations(self.loose, count):
                folder = dict(self.kept)
                for old, new, number in chosen:
                    if old and folder.get(old) == number:
                        del folder[old]
                    if new:
                        folder[new] = number
                key = tuple(sorted(folder.items()))
                if key not in seen:
                    seen.add(key)
                    yield folder
