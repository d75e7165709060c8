"""The log and the channel of a replica before this process has its folder and the peers' address."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from larkweir_edits.state_transfer import Channel


class RecordLog(Protocol):
    """`larkweir_edits.log.FileLog`, as far as records go."""

    def append(self, record: bytes) -> int:
        """Append a record; returns its number."""


class LateLog:
    """The log that a copy is made with. What it is given before `give` is what a copy itself begins with: a record or
    two. Numbers go on in the file as they were told.
    """

    def __init__(self) -> None:
        self.number = 0  # of the last record
        self._waiting: list[bytes] = []
        self._file: RecordLog | None = None

    def append(self, record: bytes) -> int:
        """Append a record, now or once there is a file; returns its number."""
        if self._file is not None:
            self.number = self._file.append(record)
        else:
            self._waiting.append(record)
            self.number += 1
        return self.number

    def give(self, file: RecordLog) -> None:
        """The file is this life's, and nothing was written to it before."""
        self._file = file
        for record in self._waiting:
            file.append(record)
        self._waiting = []


class LateChannel:
    """The mail that a copy is made with: until there is one, nothing goes."""

    def __init__(self) -> None:
        self.channel: Channel | None = None

    def post(self, to: str, item: bytes) -> bool:
        """Send an item to a peer; False where it was not sent."""
        return self.channel is not None and self.channel.post(to, item)

    def alive(self) -> Sequence[str]:
        """The peers that are believed to be alive."""
        return self.channel.alive() if self.channel is not None else ()
