"""A simulated disk of a machine, in memory: slow syncs, writes torn by a crash, and damaged data."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from larkweir_replication.journal import JOURNAL_FILE, Journal
from larkweir_replication.messages import DurableState


class MemoryFiles:
    """`JournalFiles` in memory; every write is durable at once."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(name)
        return self.files[name]

    def append(self, name: str, offset: int, data: bytes) -> None:
        self.files[name] = self.files.get(name, b"")[:offset] + data

    def replace(self, new_name: str, name: str) -> None:
        self.files[name] = self.files.pop(new_name)


class Disk:
    """The disk of a machine and its current faults. It outlives the processes of the machine."""

    def __init__(self, rng: Random, sync_ms: float) -> None:
        self.rng = rng
        self.files = MemoryFiles()
        self.sync_ms = sync_ms
        self.full = False
        self.stalled = False
        self._stalled_writes: list[Callable[[], None]] = []

    @property
    def is_blank(self) -> bool:
        return not self.files.files

    def wipe(self) -> None:
        """Deletes all files."""
        self.files = MemoryFiles()

    def flip_bit(self) -> bool:
        """Damages a record that is not the last one; returns False if there is no such record."""
        data = self.files.files.get(JOURNAL_FILE, b"")
        last = data.rfind(b"\n", 0, len(data) - 1) + 1
        if last <= 0:
            return False
        damaged = bytearray(data)
        damaged[self.rng.randrange(last)] ^= 1 << self.rng.randrange(8)
        self.files.files[JOURNAL_FILE] = bytes(damaged)
        return True

    def crash_during(self, journal: Journal, durable: DurableState) -> None:
        """Simulates a crash or a loss of power during a write: the record is complete, torn, or missing."""
        if self.full or self.stalled:
            return
        before = dict(self.files.files)
        outcome = self.rng.random()
        if outcome < 0.3:
            return
        journal.write(durable)
        if outcome < 0.6 and len(self.files.files.get(JOURNAL_FILE, b"")) > len(
            before.get(JOURNAL_FILE, b"")
        ):
            intact = self.files.files[JOURNAL_FILE]
            prefix_bytes = len(before.get(JOURNAL_FILE, b""))
            cut = self.rng.randrange(prefix_bytes, len(intact))
            self.files.files = {**before, JOURNAL_FILE: intact[:cut]}

    def when_responsive(self, callback: Callable[[], None]) -> None:
        """Calls `callback` at once, or when the current stall ends."""
        if self.stalled:
            self._stalled_writes.append(callback)
        else:
            callback()

    def end_stall(self) -> None:
        """Ends the stall and completes the delayed writes."""
        self.stalled = False
        waiting, self._stalled_writes = self._stalled_writes, []
        for callback in waiting:
            callback()
