"""Rules: a copy's log and its mail while neither the folder nor the peers' address is this life's yet."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from larkweir_edits.wholes import Mail


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


class Posts:
    """The mail that a copy is made with: until there is one, nothing goes."""

    def __init__(self) -> None:
        self.mail: Mail | None = None

    def post(self, to: str, item: bytes) -> bool:
        return self.mail is not None and self.mail.post(to, item)

    def alive(self) -> Sequence[str]:
        return self.mail.alive() if self.mail is not None else ()
