"""The records of the last seconds, in a ring buffer that is bounded in age, number and bytes. Pure logic.

As Hindsight retains traces (Zhang et al., NSDI 2023, section 4): every record is stored for a short time, and
the oldest are evicted unless their trace is asked for.
"""

from __future__ import annotations

from collections import deque

from larkweir_captures.records import PendingRecord


class RecentRecords:
    """Records by trace and by age."""

    __slots__ = ("_bytes", "_entries", "_newest", "evicted_count", "max_age_ms", "max_bytes", "max_records")

    def __init__(self, max_age_ms: float, max_records: int, max_bytes: int) -> None:
        self.max_age_ms = max_age_ms
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.evicted_count = 0  # before they reached `max_age_ms`: the buffer is too small for the load
        self._entries: deque[PendingRecord] = deque()  # oldest first; taken ones stay until they expire
        self._newest: dict[int, PendingRecord] = {}  # by trace; each refers to the one before it
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes(self) -> int:
        """The size of all records in the buffer."""
        return self._bytes

    def put(self, record: PendingRecord, now_ms: float) -> None:
        """Store a record; evict the oldest where there are too many."""
        record.stored_ms, record.is_available = now_ms, True
        record.previous = self._newest.get(record.rv)
        self._newest[record.rv] = record
        self._entries.append(record)
        self._bytes += record.line_bytes
        while len(self._entries) > self.max_records or self._bytes > self.max_bytes:
            self.evicted_count += 1
            self._drop_oldest()

    def expire(self, now_ms: float) -> None:
        """Drop what is too old. Called at each tick, not for each record."""
        while self._entries and now_ms - self._entries[0].stored_ms > self.max_age_ms:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        record = self._entries.popleft()
        self._bytes -= record.line_bytes
        record.previous = None
        if record.is_available:
            record.is_available = False
            if self._newest[record.rv] is record:
                del self._newest[record.rv]

    def has(self, rv: int) -> bool:
        """Whether there is a record of this trace."""
        return rv in self._newest

    def take(self, rv: int) -> list[PendingRecord]:
        """Remove and return a trace's records, the oldest first."""
        found = []
        record = self._newest.pop(rv, None)
        while record is not None and record.is_available:
            record.is_available = False
            found.append(record)
            older, record.previous = record.previous, None
            record = older
        found.reverse()
        return found
