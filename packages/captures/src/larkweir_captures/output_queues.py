"""The records that wait to be written: drawn ones, whose weights stay true, and those kept after the fact.

Drawn ones go out in the order they came. Where they don't fit, the one least above its threshold is let go, and all
that wait are told how far up that was: as in priority sampling (Duffield, Lund, Thorup, JACM 2007) a record is kept
just if it lies above the highest that was let go while it waited, which does not hang on the record. So its weight,
raised by that, is still unbiased, whatever the load does; and since the order is the hash's, what is left is a subset.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from heapq import heapify, heappop, heappush

import msgspec

from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.sampling import CAPTURE_NONE, margin_of, rate_of

DRAIN_FRACTION = 0.95  # of what goes out, at which what was promised is taken to be paid off


class PendingRecord(msgspec.Struct, eq=False, gc=False):
    """A record that is to be written, and what its line says beside it.

    There is one for each request, so it is a struct that is cheap to make. The collector need not look at it: `before`
    leads to older ones alone.
    """

    trace_id: str
    rv: int
    threshold: int
    body: bytes
    line_bytes: int  # bytes of its line, at most
    table_version: tuple[int, int] = (0, 0)
    hops: tuple[str, ...] = ()  # others that the request was at
    has_unknown_hops: bool = False  # it was at others too, which are not known
    reason: str = "drawn"
    importance: int = 0
    stored_ms: float = 0.0  # in a ring: when it came,
    is_available: bool = False  # whether it can still be taken,
    previous: PendingRecord | None = None  # and the trace's one before it


class SampledQueue:
    """Records that were drawn by their threshold."""

    def __init__(self, limit: OutputLimit, seconds: float = 2.0) -> None:
        """It holds what can go out in so many seconds."""
        self.limit = limit
        self.max_records = max(4.0, limit.records.per_ms * 1000.0 * seconds)
        self.max_bytes = max(4.0 * limit.max_record_bytes, limit.bytes.per_ms * 1000.0 * seconds)
        self._items: dict[int, PendingRecord] = {}  # by their order; a dict keeps it
        self._heap: list[tuple[float, int]] = []  # how far above the threshold, and the order
        self._shed_margins: deque[tuple[int, float]] = (
            deque()
        )  # (order, how far up), the highest since each order first
        self._order = 0
        self._bytes = 0
        self._reserved = 0.0  # verdicts, less what has been paid off since
        self._reserved_ms = 0.0
        self._mean = 0.0  # bytes of a record, of late
        self.shed_count = 0
        self.oversized_count = 0

    def __len__(self) -> int:
        return len(self._items)

    @property
    def mean_record_bytes(self) -> float:
        return self._mean

    def utilization(self, now_ms: float) -> float:
        """How full it is, 0 to 1 and above, or would be if all that was promised had come."""
        self._release_reserved(now_ms)
        records = max(self._reserved, len(self._items)) / self.max_records
        return max(records, max(self._reserved * self._mean, self._bytes) / self.max_bytes)

    def reserve(self, now_ms: float) -> None:
        """A verdict has gone out by which a record will come."""
        self._release_reserved(now_ms)
        self._reserved += 1.0

    def _release_reserved(self, now_ms: float) -> None:
        gone = max(0.0, now_ms - self._reserved_ms)
        self._reserved_ms = max(self._reserved_ms, now_ms)
        rate = self.limit.records.per_ms
        if self._mean:
            rate = min(rate, self.limit.bytes.per_ms / self._mean)
        self._reserved = max(0.0, self._reserved - gone * rate * DRAIN_FRACTION)

    def put(self, item: PendingRecord) -> list[PendingRecord]:
        """Take a record in; those that were let go for it, itself among them perhaps."""
        if item.line_bytes > self.limit.max_record_bytes:
            self.oversized_count += 1
            return [item]
        self._mean += (item.line_bytes - self._mean) * 0.05 if self._mean else item.line_bytes
        self._order += 1
        self._items[self._order] = item
        self._bytes += item.line_bytes
        heappush(self._heap, (margin_of(item.threshold, item.rv), self._order))
        gone = []
        while len(self._items) > self.max_records or self._bytes > self.max_bytes:
            lift, order = heappop(self._heap)
            found = self._items.pop(order, None)
            if found is None:
                continue  # written long ago
            self._bytes -= found.line_bytes
            self.shed_count += 1
            gone.append(found)
            while self._shed_margins and self._shed_margins[-1][1] <= lift:
                self._shed_margins.pop()
            self._shed_margins.append((self._order, lift))
        if len(self._heap) > 2 * self.max_records + 64:
            self._heap = [entry for entry in self._heap if entry[1] in self._items]
            heapify(self._heap)
        return gone

    def take(self, now_ms: float) -> tuple[PendingRecord, float] | None:
        """The next that may be written now, with its weight; its threshold is raised to what has held for it."""
        if self.wait_ms(now_ms) > 0.0:
            return None
        order = next(iter(self._items))
        item = self._items.pop(order)
        self._bytes -= item.line_bytes
        self.limit.spend(item.line_bytes, now_ms)
        while self._shed_margins and self._shed_margins[0][0] < order:
            self._shed_margins.popleft()
        cut = self._shed_margins[0][1] if self._shed_margins else 0.0
        weight = 1.0 / (rate_of(item.threshold) * (1.0 - cut))
        if cut:
            item.threshold += int((CAPTURE_NONE - item.threshold) * cut)
        return item, weight

    def wait_ms(self, now_ms: float) -> float:
        """How long until the next may go; infinite if none waits."""
        if not self._items:
            return float("inf")
        return self.limit.wait_ms(self._items[next(iter(self._items))].line_bytes, now_ms)


class TriggeredQueue:
    """Records that are kept after the fact: the most important first, of those the highest hash, which is the same
    order at every hop. They stand for no others, so their weight is 0.
    """

    def __init__(self, limit: OutputLimit, most: int = 1024) -> None:
        self.limit = limit
        self._most = most
        self._most_bytes = max(4 * limit.max_record_bytes, int(limit.bytes.per_ms * 10_000.0))
        self._items: list[tuple[int, int, int, PendingRecord]] = []  # the least important first
        self._order = 0
        self._bytes = 0
        self.shed_count = 0
        self.oversized_count = 0

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: PendingRecord) -> None:
        if item.line_bytes > self.limit.max_record_bytes:
            self.oversized_count += 1
            return
        self._order += 1
        entry = (item.importance, item.rv, self._order, item)
        insort(self._items, entry)  # orders differ, so that records themselves are never compared
        self._bytes += item.line_bytes
        while len(self._items) > self._most or self._bytes > self._most_bytes:
            self._bytes -= self._items.pop(0)[3].line_bytes
            self.shed_count += 1

    def take(self, now_ms: float) -> PendingRecord | None:
        if self.wait_ms(now_ms) > 0.0:
            return None
        item = self._items.pop()[3]
        self._bytes -= item.line_bytes
        self.limit.spend(item.line_bytes, now_ms)
        return item

    def wait_ms(self, now_ms: float) -> float:
        return self.limit.wait_ms(self._items[-1][3].line_bytes, now_ms) if self._items else float("inf")
