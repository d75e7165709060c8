"""The last seconds of a hop's records, in a ring that is bounded in time, records and bytes.

As Hindsight keeps traces (Zhang et al., NSDI 2023, section 4): all is kept for a moment, and what nobody asks for is
overwritten, the oldest first.
"""

from __future__ import annotations

from collections import deque

from larkweir_captures.output_queues import PendingRecord


class RecentRecords:
    __slots__ = ("_bytes", "_entries", "_newest", "evicted_count", "max_age_ms", "max_bytes", "max_records")

    def __init__(self, max_age_ms: float, max_records: int, max_bytes: int) -> None:
        self.max_age_ms = max_age_ms
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.evicted_count = 0  # younger than `most_ms`: the ring is too small for the load
        self._entries: deque[PendingRecord] = (
            deque()
        )  # oldest first; one that was taken keeps its place until it ages
        self._newest: dict[int, PendingRecord] = {}  # by trace; each leads to the one before it
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes(self) -> int:
        return self._bytes

    def put(self, item: PendingRecord, now_ms: float) -> None:
        item.stored_ms, item.is_available = now_ms, True
        item.previous = self._newest.get(item.rv)
        self._newest[item.rv] = item
        self._entries.append(item)
        self._bytes += item.line_bytes
        while len(self._entries) > self.max_records or self._bytes > self.max_bytes:
            self.evicted_count += 1
            self._drop()

    def expire(self, now_ms: float) -> None:
        """Let go what is too old: at each tick, not with each record."""
        while self._entries and now_ms - self._entries[0].stored_ms > self.max_age_ms:
            self._drop()

    def _drop(self) -> None:
        item = self._entries.popleft()
        self._bytes -= item.line_bytes
        item.previous = None
        if item.is_available:
            item.is_available = False
            if self._newest[item.rv] is item:
                del self._newest[item.rv]

    def has(self, rv: int) -> bool:
        return rv in self._newest

    def take(self, rv: int) -> list[PendingRecord]:
        """A trace's records, the oldest first, which are the taker's from here on."""
        found = []
        item = self._newest.pop(rv, None)
        while item is not None and item.is_available:
            item.is_available = False
            found.append(item)
            older, item.previous = item.previous, None
            item = older
        found.reverse()
        return found
