"""One node's captures: verdicts, records, what it tells others and hears from them.

What it gives out: lines to write, from `tick`; items, through the Mail that it was handed; texts that travel with a
request and its answer. It never calls a clock: each call is handed the monotonic time in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from larkweir_captures.coordinator import gossip_targets
from larkweir_captures.current_thresholds import CurrentThresholds
from larkweir_captures.load_averages import UPDATE_INTERVAL_MS, LoadAverages
from larkweir_captures.messages import (
    MAX_REPORTED_KINDS,
    MAX_TRACES_PER_REQUEST,
    Report,
    RetainRequest,
    RetainResponse,
    ThresholdTable,
    TraceRequest,
    decode,
    encode,
    most,
)
from larkweir_captures.output_limits import MIN_BURST_BYTES, OutputLimit
from larkweir_captures.output_queues import DRAIN_FRACTION, PendingRecord, SampledQueue, TriggeredQueue
from larkweir_captures.ports import Transport
from larkweir_captures.recent_records import RecentRecords
from larkweir_captures.sampling import (
    MAX_HOPS_SENT,
    SamplingDecision,
    is_hop_name,
    key_of,
    overload_fraction,
    parse_answer_field,
    parse_request_field,
    randomness,
    rate_of,
    scaled_threshold,
    to_hex,
)
from larkweir_captures.trace_collection import FAILED, RETRIED, SLOW, TraceCollection

TICK_MS = 50.0
ENVELOPE_BYTES = 330  # bytes of a line beside the trace's id and the record itself, at most
MAX_LINE_TRACE_CHARS = 200  # characters of a trace's id in a line
MAX_KNOWN_KINDS = 4096  # texts of route, class and tenant whose key is remembered
OVERLOAD_UTILIZATION = 0.5  # of the queue, from which a node is past its bound


@dataclass(frozen=True, slots=True)
class Options:
    """A node's bounds. Volumes are what no window of a second or longer passes, times its length."""

    records_per_s: float = 200.0
    bytes_per_s: float = 400_000.0
    triggered_fraction: float = 0.25  # part of both for what is kept after the fact
    recent_ms: float = 5_000.0
    recent_records: int = 20_000
    recent_bytes: int = 16 * 1024 * 1024
    default_rate: float = 0.01  # rate of kinds that nobody has set
    stale_after_ms: float = 30_000.0  # for so long thresholds hold without word from the coordinator
    stale_fraction: float = 0.25  # the part of their rates that holds after that
    triggered_traces_per_s: float = 20.0  # traces that this node has others keep

    def __post_init__(self) -> None:
        part = min(self.triggered_fraction, 1.0 - self.triggered_fraction)
        if not (
            2.0 <= self.records_per_s * part <= 1e6
            and 2.0 * MIN_BURST_BYTES <= self.bytes_per_s * part <= 1e9
        ):
            raise ValueError(
                "each part of the volume, after the fact and not, needs 2 records and 4096 bytes a second"
            )
        if not (
            0.0 < self.default_rate <= 1.0
            and 0.0 <= self.stale_fraction <= 1.0
            and self.stale_after_ms >= 1000.0
        ):
            raise ValueError("rest and safe are parts of 1, and hold_ms is 1000 at least")
        if not (self.recent_ms > 0.0 and self.recent_records > 0 and self.recent_bytes > 0):
            raise ValueError("ring_ms, ring_records and ring_bytes must be above 0")


class Node:
    def __init__(self, me: str, options: Options, mail: Transport, gossip: bool = True) -> None:
        """`me`: the name under which peers reach this node. Without `gossip` tables come by `follow` alone, and a
        peer's is not read.
        """
        if not is_hop_name(me):
            raise ValueError(f"a hop's name is an address, or up to 48 letters, digits and ._-, not {me!r}")
        self.me = me
        self._options = options
        self._mail = mail
        self._gossip = gossip
        drawn = 1.0 - options.triggered_fraction
        self.sampled = SampledQueue(OutputLimit(options.records_per_s * drawn, options.bytes_per_s * drawn))
        self.triggered = TriggeredQueue(
            OutputLimit(
                options.records_per_s * options.triggered_fraction,
                options.bytes_per_s * options.triggered_fraction,
            )
        )
        self.recent = RecentRecords(options.recent_ms, options.recent_records, options.recent_bytes)
        self.thresholds = CurrentThresholds(
            options.default_rate, options.stale_after_ms, options.stale_fraction
        )
        self.loads = LoadAverages()
        self.triggers = TraceCollection(me, options.triggered_traces_per_s)
        self.unreadable = 0  # texts and items
        self.oversized_count = 0  # records that were longer than may be written
        self.is_overloaded = False  # past its bound: it captures less than is asked
        self._keys: dict[tuple[str, str, str], int] = {}
        self._max_line_bytes = min(self.sampled.limit.max_record_bytes, self.triggered.limit.max_record_bytes)
        self._coordinator = ""
        # Kinds that begin here, for as long as the part holds: key, threshold, and requests not counted in loads yet.
        self._first_hops: dict[tuple[str, str, str], list[int]] = {}
        self._table_version = self.thresholds.version  # of the table that these thresholds are of
        self._fraction_now = 1.0
        self._fraction_until_ms = 0.0
        self._next_ms = 0.0
        self._loads_due_ms = 0.0
        self._report_due_ms = 0.0

    # Verdicts

    def first_hop(
        self, trace_id: bytes, route: str, cls: str, tenant: str, now_ms: float
    ) -> SamplingDecision:
        """The verdict on a request that comes with none: made here, for all hops."""
        kind = (route, cls, tenant)
        if now_ms >= self._fraction_until_ms:
            self._overload_fraction(now_ms)
        found = self._first_hops.get(kind)
        if found is None:
            found = self._first_hop_state(kind, now_ms)
        found[2] += 1
        key, threshold, _ = found
        rv = randomness(trace_id)
        if rv >= threshold:
            self._reserve(now_ms)
        return SamplingDecision(
            rv, threshold, key, self._table_version, (), (), True, trace_id.decode("latin-1")
        )

    def _first_hop_state(self, kind: tuple[str, str, str], now_ms: float) -> list[int]:
        """What holds for a kind of request that begins here."""
        key = self._keys.get(kind)
        if key is None:
            if len(self._keys) >= MAX_KNOWN_KINDS:
                self._keys.clear()
            key = self._keys[kind] = key_of(*kind)
        if len(self._first_hops) >= MAX_KNOWN_KINDS:
            self._invalidate()
        threshold = scaled_threshold(
            max(self.thresholds.threshold(key, now_ms), self.loads.local_threshold(key)), self._fraction_now
        )
        found = self._first_hops[kind] = [key, threshold, 0]
        return found

    def _invalidate(self) -> None:
        """What holds is to be reckoned anew: a table, a load or the part is another. Requests are counted."""
        for key, _, requests in self._first_hops.values():
            if requests:
                self.loads.count_first_hop(key, requests)
        self._first_hops.clear()
        self._table_version = self.thresholds.version

    def later_hop(self, text: str, now_ms: float, trace_id: bytes = b"") -> SamplingDecision | None:
        """The verdict that came with a request, lowered where this node is short; none if it can't be read, and the
        request is as one that came with none.
        """
        verdict = parse_request_field(text)
        if verdict is None:
            self.unreadable += 1
            return None
        verdict.trace_id = trace_id.decode("latin-1")
        self.loads.count_forwarded(
            verdict.key, verdict.rate, rate_of(self.thresholds.table_threshold(verdict.key))
        )
        verdict.threshold = scaled_threshold(verdict.threshold, self._overload_fraction(now_ms))
        if verdict.captured:
            self._reserve(now_ms)
        self.triggers.add_breadcrumbs((*verdict.previous_hops, self.me))
        return verdict

    def _overload_fraction(self, now_ms: float) -> float:
        """The part of what is asked that is captured here now: reckoned anew after each promise, and every 10 ms."""
        if now_ms >= self._fraction_until_ms:
            self._fraction_until_ms = now_ms + 10.0
            self._invalidate()
            self._fraction_now = overload_fraction(self.sampled.utilization(now_ms))
        return self._fraction_now

    def _reserve(self, now_ms: float) -> None:
        self.sampled.reserve(now_ms)
        self._fraction_until_ms = now_ms

    def request_field(self, verdict: SamplingDecision) -> str:
        """What goes on with the request."""
        return verdict.request_field(self.me)

    def on_answer(self, verdict: SamplingDecision, text: str) -> None:
        """What came back with an attempt's answer."""
        found = parse_answer_field(text)
        if found is None:
            self.unreadable += 1
            return
        threshold, names = found
        verdict.merge_answer(threshold, names)
        self.triggers.add_breadcrumbs((self.me, *names))

    def answer_field(self, verdict: SamplingDecision) -> str:
        """What goes back with the answer."""
        return verdict.answer_field(self.me)

    # Records

    def record(
        self,
        verdict: SamplingDecision,
        body: bytes,
        now_ms: float,
        failed: bool = False,
        slow: bool = False,
        again: bool = False,
        lost: bool = False,
    ) -> None:
        """A request has ended here. `body`: its record, a JSON object. `lost`: an attempt's answer never came, so what
        hops it was at is not all known.
        """
        trace = verdict.trace_id[:MAX_LINE_TRACE_CHARS]
        captured = verdict.rv >= verdict.threshold
        cost = len(body) + ENVELOPE_BYTES + 6 * len(trace)
        if cost > self._max_line_bytes or b"\n" in body:
            self.oversized_count += 1
            body = b'{"cut":%d}' % len(body)
            cost = len(body) + ENVELOPE_BYTES + 6 * len(trace)
        hops = verdict.previous_hops + verdict.next_hops
        item = PendingRecord(
            trace, verdict.rv, verdict.threshold, body, cost, verdict.table_version, hops, lost
        )
        triggers, rv = self.triggers, verdict.rv
        asked, sources = triggers.requested_by(rv, now_ms) if rv in triggers.requested else (0, ())
        if not (captured or asked or failed or slow or again):
            self.recent.put(item, now_ms)
            return
        if captured:
            for gone in self.sampled.put(item):
                self._retain_or_store(gone, self.triggers.requested_by(gone.rv, now_ms)[0], now_ms)
        else:
            self._retain_or_store(item, asked, now_ms)
        if asked:  # who asked knows those above, or is told of them; those below it may not know
            below = [name for name in verdict.next_hops if name not in sources]
            if below or lost:
                self.triggers.trigger(TraceRequest(verdict.rv, trace, asked), below, lost)
            return
        importance = FAILED if failed else SLOW if slow else RETRIED if again else 0
        whole = captured and not lost and not failed  # the others have drawn it too
        if importance and not whole:
            self.triggers.trigger(TraceRequest(verdict.rv, trace, importance), hops, lost)

    def _retain_or_store(self, item: PendingRecord, asked: int, now_ms: float) -> None:
        if asked:
            self._retain(item, asked)
        else:
            self.recent.put(item, now_ms)

    def _retain(self, item: PendingRecord, importance: int) -> None:
        item.reason = {FAILED: "failed", SLOW: "slow"}.get(importance, "again")
        item.importance = importance
        self.triggered.put(item)

    def _retain_trace(self, rv: int, importance: int, now_ms: float, source: str) -> list[str]:
        """A trace is worth keeping: what is here of it, and what comes. The hops that it is known to have been at."""
        self.triggers.add_requested(rv, importance, now_ms + self._options.recent_ms, source)
        hops: list[str] = []
        for item in self.recent.take(rv):
            self._retain(item, importance)
            hops.extend(name for name in item.hops if name not in hops)
            if item.has_unknown_hops and source != self.me:
                self.triggers.trigger(TraceRequest(rv, item.trace_id, importance), (), True)
        return hops[:MAX_HOPS_SENT]

    # Others

    @property
    def capacity_per_s(self) -> float:
        """Drawn records a second that can be written here."""
        bound, mean = self.sampled.limit, self.sampled.mean_record_bytes
        rate = min(bound.records.per_ms, bound.bytes.per_ms / mean) if mean else bound.records.per_ms
        return rate * 1000.0 * DRAIN_FRACTION

    def on_message(self, source: str, item: bytes, now_ms: float) -> Report | None:
        """An item from a peer. A report is handed back: it is the coordinator's, if that is here."""
        read = decode(item)
        if read is None:
            self.unreadable += 1
        elif isinstance(read, Report):
            return read
        elif isinstance(read, ThresholdTable):
            if self._gossip:
                self._on_table(read, now_ms)
            else:
                self.unreadable += 1
        elif isinstance(read, RetainRequest):
            asks = read.traces[:MAX_TRACES_PER_REQUEST]
            for at in range(0, len(asks), 10):  # so that an answer fits an item
                hops = {
                    ask.rv: self._retain_trace(
                        ask.rv, max(RETRIED, min(FAILED, ask.importance)), now_ms, source
                    )
                    for ask in asks[at : at + 10]
                }
                self._mail.post(source, encode(RetainResponse(hops)))
        else:
            for rv, names in read.hops_by_rv.items():
                self.triggers.on_retained(source, rv, names[:MAX_HOPS_SENT])
        return None

    def follow(self, table: ThresholdTable, now_ms: float) -> bool:
        """A table from whoever tells every node of it; whether it is newer than what was held."""
        newer = self.thresholds.offer(table, now_ms)
        if newer:
            self._coordinator = table.coordinator
            self._invalidate()
        return newer

    def _on_table(self, table: ThresholdTable, now_ms: float) -> None:
        if self.follow(table, now_ms):
            for name in gossip_targets(self._mail.alive(), table, self.me):
                self._mail.post(name, encode(table))

    @property
    def next_ms(self) -> float:
        return self._next_ms

    def tick(self, now_ms: float, writes: bool = True) -> list[bytes]:
        """What is due, and the lines that may be written now: none where `writes` says that they can't be."""
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + TICK_MS
        self.recent.expire(now_ms)
        table = self.thresholds.table
        if now_ms >= self._loads_due_ms:
            self._loads_due_ms = now_ms + UPDATE_INTERVAL_MS
            self._invalidate()
            part = self._options.stale_fraction if self.thresholds.is_stale(now_ms) else 1.0
            rates = {key: part * rate_of(value) for key, value in table.thresholds.items()}
            self.loads.tick(now_ms, self.capacity_per_s, rates, part * rate_of(table.default_threshold))
        short = self.sampled.utilization(now_ms) > OVERLOAD_UTILIZATION
        if now_ms >= self._report_due_ms or (short and not self.is_overloaded):
            self._report_due_ms = now_ms + table.report_interval_ms
            self._report(short)
        self.is_overloaded = short
        begun, posts = self.triggers.take_due(now_ms, self._mail.alive() if len(self.triggers) else ())
        for ask in begun:
            self._retain_trace(ask.rv, ask.importance, now_ms, self.me)
        for name, asks in posts.items():
            self._mail.post(name, encode(RetainRequest(asks)))
        return self.lines(now_ms) if writes else []

    def _report(self, short: bool) -> None:
        if not self._coordinator:
            return
        table = self.thresholds.table
        rates = {key: rate_of(value) for key, value in table.thresholds.items()}
        room = self.loads.forwarded_capacity(self.capacity_per_s, rates, rate_of(table.default_threshold))
        report = Report(
            table.term,
            table.number,
            int(room * 1000.0),
            short,
            most(self.loads.first_hops_per_s, MAX_REPORTED_KINDS),
            most(self.loads.forwarded_per_s, MAX_REPORTED_KINDS),
        )
        self._mail.post(self._coordinator, encode(report))

    def lines(self, now_ms: float) -> list[bytes]:
        """What the volume lets go now."""
        found = []
        while drawn := self.sampled.take(now_ms):
            found.append(self._line(drawn[0], drawn[1], now_ms))
        while item := self.triggered.take(now_ms):
            found.append(self._line(item, 0.0, now_ms))
        return found

    def _line(self, item: PendingRecord, weight: float, now_ms: float) -> bytes:
        """A line says which hop, by which table, with which threshold, and how many requests it stands for: none where
        it was kept after the fact.
        """
        line = {
            "v": 1,
            "trace": item.trace_id,
            "hop": self.me,
            "mono_ms": round(now_ms, 1),
            "why": item.reason,
            "rv": f"{item.rv:014x}",
            "th": to_hex(item.threshold),
            "weight": weight,
            "table": f"{item.table_version[0]}.{item.table_version[1]}",
            "record": msgspec.Raw(item.body),
        }
        return msgspec.json.encode(line) + b"\n"

    def begin_writing(self, now_ms: float) -> None:
        """From here on lines are written. Who wrote them before may have used all that a window holds."""
        for bound in (self.sampled.limit, self.triggered.limit):
            bound.exhaust(now_ms)

    def status(self, now_ms: float) -> dict[str, object]:
        """What operators are shown."""
        return {
            "table": "{}.{}".format(*self.thresholds.version),
            "leader": self._coordinator,
            "alone": self.thresholds.is_stale(now_ms),
            "short": self.is_overloaded,
            "full": round(self.sampled.utilization(now_ms), 3),
            "waiting": [len(self.sampled), len(self.triggered)],
            "let_go": [self.sampled.shed_count, self.triggered.shed_count, self.triggers.shed_count],
            "too_long": self.oversized_count,
            "ring": [len(self.recent), self.recent.bytes, self.recent.evicted_count],
            "peers_lost": self.triggers.unanswered_count,
            "unreadable": self.unreadable,
        }
