"""What becomes of a node's records: written as sampled, retained after the fact, or dropped with age. Pure logic."""

from __future__ import annotations

from larkweir_captures.lines import MAX_TRACE_CHARS, encode_line, max_line_bytes
from larkweir_captures.messages import TraceRequest
from larkweir_captures.options import Options
from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.propagation import MAX_HOPS_SENT, SamplingDecision
from larkweir_captures.recent_records import RecentRecords
from larkweir_captures.records import PendingRecord
from larkweir_captures.requested_traces import RequestedTraces
from larkweir_captures.sampled_queue import SampledQueue
from larkweir_captures.trace_collection import FAILED, RETRIED, SLOW, TraceCollection
from larkweir_captures.triggered_queue import TriggeredQueue

_REASONS = {FAILED: "failed", SLOW: "slow", RETRIED: "again"}


class Retention:
    """One node's records."""

    def __init__(self, me: str, options: Options, collection: TraceCollection) -> None:
        self.me = me
        self._recent_ms = options.recent_ms
        records_per_s, bytes_per_s = options.records_per_s, options.bytes_per_s
        triggered, sampled = options.triggered_fraction, 1.0 - options.triggered_fraction
        self.sampled = SampledQueue(OutputLimit(records_per_s * sampled, bytes_per_s * sampled))
        self.triggered = TriggeredQueue(OutputLimit(records_per_s * triggered, bytes_per_s * triggered))
        self.recent = RecentRecords(options.recent_ms, options.recent_records, options.recent_bytes)
        self.requested = RequestedTraces()
        self.collection = collection
        self.oversized_count = 0  # records that were replaced by a marker of their size
        self._max_line_bytes = min(self.sampled.limit.max_record_bytes, self.triggered.limit.max_record_bytes)

    def record(
        self, decision: SamplingDecision, body: bytes, now_ms: float, importance: int, is_lost: bool
    ) -> None:
        """A request has ended. `importance`: 0, or `FAILED`, `SLOW` or `RETRIED`."""
        trace_id, rv = decision.trace_id[:MAX_TRACE_CHARS], decision.rv
        is_sampled = rv >= decision.threshold
        requested, sources = self.requested.find(rv, now_ms) if rv in self.requested else (0, ())
        record = self._pending(decision, trace_id, body, is_lost)
        if not (is_sampled or requested or importance):
            self.recent.put(record, now_ms)
            return
        if is_sampled:
            for shed in self.sampled.put(record):
                self._retain_or_store(shed, self.requested.find(shed.rv, now_ms)[0], now_ms)
        else:
            self._retain_or_store(record, requested, now_ms)
        if requested:  # the hops that asked reach the previous hops; they may not know the next hops
            hops = [name for name in decision.next_hops if name not in sources]
            if hops or is_lost:
                self.collection.trigger(TraceRequest(rv, trace_id, requested), hops, is_lost)
            return
        is_complete = (
            is_sampled and not is_lost and importance != FAILED
        )  # the other hops have sampled it too
        if importance and not is_complete:
            self.collection.trigger(TraceRequest(rv, trace_id, importance), record.hops, is_lost)

    def _pending(
        self, decision: SamplingDecision, trace_id: str, body: bytes, is_lost: bool
    ) -> PendingRecord:
        """The record; one that can't be written is replaced by a marker of its size."""
        line_bytes = max_line_bytes(trace_id, body)
        if line_bytes > self._max_line_bytes or b"\n" in body:
            self.oversized_count += 1
            body = b'{"cut":%d}' % len(body)
            line_bytes = max_line_bytes(trace_id, body)
        hops = decision.previous_hops + decision.next_hops
        rv, threshold, version = decision.rv, decision.threshold, decision.table_version
        return PendingRecord(trace_id, rv, threshold, body, line_bytes, version, hops, is_lost)

    def _retain_or_store(self, record: PendingRecord, requested: int, now_ms: float) -> None:
        if requested:
            self._retain(record, requested)
        else:
            self.recent.put(record, now_ms)

    def _retain(self, record: PendingRecord, importance: int) -> None:
        record.reason = _REASONS.get(importance, "again")
        record.importance = importance
        self.triggered.put(record)

    def retain_trace(self, rv: int, importance: int, now_ms: float, source: str) -> list[str]:
        """Hop `source` asks to retain a trace: its stored records, and those yet to come. Returns other hops that it is
        known to have passed.
        """
        self.requested.add(rv, importance, now_ms + self._recent_ms, source)
        hops: list[str] = []
        for record in self.recent.take(rv):
            self._retain(record, importance)
            hops.extend(name for name in record.hops if name not in hops)
            if record.has_unknown_hops and source != self.me:
                self.collection.trigger(TraceRequest(rv, record.trace_id, importance), (), True)
        return hops[:MAX_HOPS_SENT]

    def take_lines(self, now_ms: float) -> list[bytes]:
        """The lines that the output limits allow now."""
        lines = []
        while sampled := self.sampled.take(now_ms):
            lines.append(encode_line(self.me, sampled[0], sampled[1], now_ms))
        while record := self.triggered.take(now_ms):
            lines.append(encode_line(self.me, record, 0.0, now_ms))
        return lines
