"""The sampled records that wait to be written, with weights that stay unbiased when records are shed. Pure logic.

Records are written in the order of their arrival. When the queue is full, the record with the smallest margin above its
threshold is shed, and that margin applies to all records that are waiting: as in priority sampling (Duffield, Lund,
Thorup, JACM 2007) a record remains exactly if its margin exceeds the largest margin shed while it waited, which is
independent of the record itself. So its weight, raised accordingly, is still unbiased under any load. Margins order
records by the trace's hash, so what remains is the same subset at every hop.
"""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush

from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.records import PendingRecord
from larkweir_captures.sampling import CAPTURE_NONE, margin_of, rate_of

DRAIN_FRACTION = 0.95  # of the output limit, at which reservations are taken to be released
_MEAN_WEIGHT = 0.05  # of a new record in the moving average of sizes


class SampledQueue:
    """Records that were sampled by their threshold."""

    def __init__(self, limit: OutputLimit, capacity_s: float = 2.0) -> None:
        """`capacity_s`: it holds what can be written in so many seconds."""
        self.limit = limit
        self.max_records = max(4.0, limit.records.per_ms * 1000.0 * capacity_s)
        self.max_bytes = max(4.0 * limit.max_record_bytes, limit.bytes.per_ms * 1000.0 * capacity_s)
        self._records: dict[int, PendingRecord] = {}  # by sequence number, in order
        self._heap: list[tuple[float, int]] = []  # (margin, sequence number)
        self._shed_margins: deque[tuple[int, float]] = deque()  # (newest sequence number, margin), decreasing
        self._sequence = 0
        self._bytes = 0
        self._reserved = 0.0  # records expected by positive decisions, less those released since
        self._reserved_ms = 0.0
        self._mean = 0.0
        self.shed_count = 0
        self.oversized_count = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def mean_record_bytes(self) -> float:
        """The moving average of record sizes; 0 before the first record."""
        return self._mean

    @property
    def drain_records_per_s(self) -> float:
        """Records a second that can be written, at the mean size."""
        records, mean = self.limit.records.per_ms, self._mean
        per_ms = min(records, self.limit.bytes.per_ms / mean) if mean else records
        return per_ms * 1000.0 * DRAIN_FRACTION

    def utilization(self, now_ms: float) -> float:
        """How full the queue is, or would be if all expected records had arrived: 0 to 1, and above."""
        self._release_reserved(now_ms)
        records = max(self._reserved, len(self._records)) / self.max_records
        return max(records, max(self._reserved * self._mean, self._bytes) / self.max_bytes)

    def reserve(self, now_ms: float) -> None:
        """A request was sampled, whose record will follow."""
        self._release_reserved(now_ms)
        self._reserved += 1.0

    def _release_reserved(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._reserved_ms)
        self._reserved_ms = max(self._reserved_ms, now_ms)
        per_ms = self.limit.records.per_ms
        if self._mean:
            per_ms = min(per_ms, self.limit.bytes.per_ms / self._mean)
        self._reserved = max(0.0, self._reserved - elapsed_ms * per_ms * DRAIN_FRACTION)

    def put(self, record: PendingRecord) -> list[PendingRecord]:
        """Add a record. Returns those that were shed for it, perhaps itself among them."""
        if record.line_bytes > self.limit.max_record_bytes:
            self.oversized_count += 1
            return [record]
        self._mean += (record.line_bytes - self._mean) * _MEAN_WEIGHT if self._mean else record.line_bytes
        self._sequence += 1
        self._records[self._sequence] = record
        self._bytes += record.line_bytes
        heappush(self._heap, (margin_of(record.threshold, record.rv), self._sequence))
        shed = []
        while len(self._records) > self.max_records or self._bytes > self.max_bytes:
            margin, sequence = heappop(self._heap)
            found = self._records.pop(sequence, None)
            if found is None:
                continue  # it was written long ago
            self._bytes -= found.line_bytes
            self.shed_count += 1
            shed.append(found)
            while self._shed_margins and self._shed_margins[-1][1] <= margin:
                self._shed_margins.pop()
            self._shed_margins.append((self._sequence, margin))
        if len(self._heap) > 2 * self.max_records + 64:
            self._heap = [entry for entry in self._heap if entry[1] in self._records]
            heapify(self._heap)
        return shed

    def take(self, now_ms: float) -> tuple[PendingRecord, float] | None:
        """Remove the next record that may be written now; returns it and its weight, or None. Its threshold is raised
        to the one that was effective while it waited.
        """
        if self.wait_ms(now_ms) > 0.0:
            return None
        sequence = next(iter(self._records))
        record = self._records.pop(sequence)
        self._bytes -= record.line_bytes
        self.limit.spend(record.line_bytes, now_ms)
        while self._shed_margins and self._shed_margins[0][0] < sequence:
            self._shed_margins.popleft()
        shed_margin = self._shed_margins[0][1] if self._shed_margins else 0.0
        weight = 1.0 / (rate_of(record.threshold) * (1.0 - shed_margin))
        if shed_margin:
            record.threshold += int((CAPTURE_NONE - record.threshold) * shed_margin)
        return record, weight

    def wait_ms(self, now_ms: float) -> float:
        """The time until the next record may be written; infinite if there is none."""
        if not self._records:
            return float("inf")
        return self.limit.wait_ms(self._records[next(iter(self._records))].line_bytes, now_ms)
