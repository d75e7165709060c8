"""The records retained after the fact that wait to be written. Pure logic."""

from __future__ import annotations

from bisect import insort

from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.records import PendingRecord

_MAX_WAIT_MS = 10_000.0  # of output, that it holds in bytes at most


class TriggeredQueue:
    """The most important record first, among equals the highest hash, so that the order is the same at every hop. These
    records represent no others, so their weight is 0.
    """

    def __init__(self, limit: OutputLimit, max_records: int = 1024) -> None:
        self.limit = limit
        self._max_records = max_records
        self._max_bytes = max(4 * limit.max_record_bytes, int(limit.bytes.per_ms * _MAX_WAIT_MS))
        self._entries: list[tuple[int, int, int, PendingRecord]] = []  # the least important first
        self._sequence = 0
        self._bytes = 0
        self.shed_count = 0
        self.oversized_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, record: PendingRecord) -> None:
        """Add a record; shed the least important where there are too many."""
        if record.line_bytes > self.limit.max_record_bytes:
            self.oversized_count += 1
            return
        self._sequence += 1
        entry = (record.importance, record.rv, self._sequence, record)
        insort(self._entries, entry)  # sequence numbers differ, so records themselves are never compared
        self._bytes += record.line_bytes
        while len(self._entries) > self._max_records or self._bytes > self._max_bytes:
            self._bytes -= self._entries.pop(0)[3].line_bytes
            self.shed_count += 1

    def take(self, now_ms: float) -> PendingRecord | None:
        """Remove and return the next record that may be written now, or None."""
        if self.wait_ms(now_ms) > 0.0:
            return None
        record = self._entries.pop()[3]
        self._bytes -= record.line_bytes
        self.limit.spend(record.line_bytes, now_ms)
        return record

    def wait_ms(self, now_ms: float) -> float:
        """The time until the next record may be written; infinite if there is none."""
        return self.limit.wait_ms(self._entries[-1][3].line_bytes, now_ms) if self._entries else float("inf")
