"""Rules: what a copy's log is while its folder is not this life's yet: records are numbered and wait."""

from __future__ import annotations

from typing import Protocol


class Kept(Protocol):
    """`larkweir_edits.log.FileLog`, as far as records go."""

    def keep(self, record: bytes) -> int: ...


class Waiting:
    """The log that a copy is made with. What it is given before `give` is what a copy itself begins with: a record or
    two. Numbers go on in the file as they were told.
    """

    def __init__(self) -> None:
        self.number = 0  # of the last record
        self._waits: list[bytes] = []
        self._file: Kept | None = None

    def keep(self, record: bytes) -> int:
        if self._file is not None:
            self.number = self._file.keep(record)
        else:
            self._waits.append(record)
            self.number += 1
        return self.number

    def give(self, file: Kept) -> None:
        """The file is this life's, and nothing was written to it before."""
        self._file = file
        for record in self._waits:
            file.keep(record)
        self._waits = []
