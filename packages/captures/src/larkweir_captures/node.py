"""One node's captures: sampling decisions, records, and messages to and from other nodes. Pure logic.

Results are the lines to write, from `tick`; messages, through the `Transport` handed in; and header fields that travel
with a request and its answer. No clock is read: each call is handed a monotonic time in milliseconds.
"""

from __future__ import annotations

from larkweir_captures.breadcrumbs import Breadcrumbs
from larkweir_captures.current_thresholds import CurrentThresholds
from larkweir_captures.decisions import DecisionMaker
from larkweir_captures.gossip import gossip_targets
from larkweir_captures.load_averages import UPDATE_INTERVAL_MS, LoadAverages
from larkweir_captures.messages import (
    MAX_REPORTED_KINDS,
    MAX_TRACES_PER_REQUEST,
    Report,
    RetainRequest,
    RetainResponse,
    ThresholdTable,
    decode,
    encode,
    reported_loads,
)
from larkweir_captures.options import Options
from larkweir_captures.ports import Transport
from larkweir_captures.propagation import (
    MAX_HOPS_SENT,
    SamplingDecision,
    is_hop_name,
    parse_answer_field,
)
from larkweir_captures.retention import Retention
from larkweir_captures.sampling import rate_of
from larkweir_captures.trace_collection import FAILED, RETRIED, SLOW, TraceCollection

TICK_MS = 50.0
OVERLOAD_UTILIZATION = 0.5  # of the queue of sampled records, above which a node reports overload
_TRACES_PER_RESPONSE = 10  # so that a response fits a message


class Node:
    """Captures at one node."""

    def __init__(self, me: str, options: Options, transport: Transport, gossip: bool = True) -> None:
        """`me`: the name under which peers reach this node. Without `gossip` tables come only by `follow`, and those
        that peers send are rejected. Raises ValueError if the name can't be sent.
        """
        if not is_hop_name(me):
            raise ValueError(f"a hop's name is an address, or up to 48 letters, digits and ._-, not {me!r}")
        self.me = me
        self._options = options
        self._transport = transport
        self._gossip = gossip
        self._breadcrumbs = Breadcrumbs()
        self.trace_collection = TraceCollection(me, options.triggered_traces_per_s, self._breadcrumbs)
        self._retention = Retention(me, options, self.trace_collection)
        self.sampled = self._retention.sampled
        self.triggered = self._retention.triggered
        self.recent = self._retention.recent
        self.thresholds = CurrentThresholds(
            options.default_rate, options.stale_after_ms, options.stale_fraction
        )
        self.loads = LoadAverages()
        self._decisions = DecisionMaker(self.thresholds, self.loads, self.sampled)
        self.unreadable = 0  # header fields and messages
        self.is_overloaded = False  # it captures less than it is asked to
        self._coordinator = ""
        self._next_ms = 0.0
        self._loads_due_ms = 0.0
        self._report_due_ms = 0.0

    # ------------------------------------------------ decisions

    def first_hop(
        self, trace_id: bytes, route: str, cls: str, tenant: str, now_ms: float
    ) -> SamplingDecision:
        """The decision on a request that comes with none: made here, for all hops."""
        return self._decisions.first_hop(trace_id, route, cls, tenant, now_ms)

    def later_hop(self, text: str, now_ms: float, trace_id: bytes = b"") -> SamplingDecision | None:
        """The decision in a request's field, its rate lowered if this node is overloaded. None if it is malformed: the
        request is then treated as one that came with none.
        """
        decision = self._decisions.later_hop(text, now_ms, trace_id)
        if decision is None:
            self.unreadable += 1
        else:
            self._breadcrumbs.add((*decision.previous_hops, self.me))
        return decision

    def request_field(self, decision: SamplingDecision) -> str:
        """The field of the request that is forwarded."""
        return decision.request_field(self.me)

    def on_answer(self, decision: SamplingDecision, text: str) -> None:
        """An attempt's answer has arrived with this field."""
        found = parse_answer_field(text)
        if found is None:
            self.unreadable += 1
            return
        threshold, names = found
        decision.merge_answer(threshold, names)
        self._breadcrumbs.add((self.me, *names))

    def answer_field(self, decision: SamplingDecision) -> str:
        """The field of the answer that is returned."""
        return decision.answer_field(self.me)

    # ------------------------------------------------ records

    @property
    def oversized_count(self) -> int:
        """Records that were replaced by a marker of their size."""
        return self._retention.oversized_count

    def record(
        self,
        decision: SamplingDecision,
        body: bytes,
        now_ms: float,
        failed: bool = False,
        slow: bool = False,
        again: bool = False,
        lost: bool = False,
    ) -> None:
        """A request has ended here. `body`: its record, a JSON object. `failed`, `slow`, `again` (it was retried): its
        trace is worth retaining. `lost`: an attempt's answer is missing, so the hops it passed are not all known.
        """
        importance = FAILED if failed else SLOW if slow else RETRIED if again else 0
        self._retention.record(decision, body, now_ms, importance, lost)

    def take_lines(self, now_ms: float) -> list[bytes]:
        """The lines that the output limits allow now."""
        return self._retention.take_lines(now_ms)

    def begin_writing(self, now_ms: float) -> None:
        """This process writes lines from now on. Its predecessor may have used up the limits of the current window."""
        for queue in (self.sampled, self.triggered):
            queue.limit.exhaust(now_ms)

    # ------------------------------------------------ messages

    def on_message(self, source: str, item: bytes, now_ms: float) -> Report | None:
        """A message from a peer. A report is returned, for the coordinator, if it runs here."""
        message = decode(item)
        if isinstance(message, Report):
            return message
        if isinstance(message, ThresholdTable) and self._gossip:
            self._on_table(message, now_ms)
        elif isinstance(message, RetainRequest):
            self._on_retain_request(source, message, now_ms)
        elif isinstance(message, RetainResponse):
            for rv, names in message.hops_by_rv.items():
                self.trace_collection.on_retained(source, rv, names[:MAX_HOPS_SENT])
        else:
            self.unreadable += 1
        return None

    def follow(self, table: ThresholdTable, now_ms: float) -> bool:
        """Go by a table if it is newer than the current one. Returns whether it was."""
        is_newer = self.thresholds.offer(table, now_ms)
        if is_newer:
            self._coordinator = table.coordinator
            self._decisions.invalidate()
        return is_newer

    def _on_table(self, table: ThresholdTable, now_ms: float) -> None:
        if self.follow(table, now_ms):
            for name in gossip_targets(self._transport.alive(), table, self.me):
                self._transport.post(name, encode(table))

    def _on_retain_request(self, source: str, request: RetainRequest, now_ms: float) -> None:
        traces = request.traces[:MAX_TRACES_PER_REQUEST]
        for begin in range(0, len(traces), _TRACES_PER_RESPONSE):
            hops = {
                trace.rv: self._retention.retain_trace(
                    trace.rv, max(RETRIED, min(FAILED, trace.importance)), now_ms, source
                )
                for trace in traces[begin : begin + _TRACES_PER_RESPONSE]
            }
            self._transport.post(source, encode(RetainResponse(hops)))

    # ------------------------------------------------ time

    @property
    def next_ms(self) -> float:
        """When `tick` has something to do."""
        return self._next_ms

    def tick(self, now_ms: float, can_write: bool = True) -> list[bytes]:
        """Do what is due. Returns the lines that may be written now: none unless `can_write`."""
        if now_ms < self._next_ms:
            return []
        self._next_ms = now_ms + TICK_MS
        self.recent.expire(now_ms)
        self._update_loads(now_ms)
        is_overloaded = self.sampled.utilization(now_ms) > OVERLOAD_UTILIZATION
        if now_ms >= self._report_due_ms or (is_overloaded and not self.is_overloaded):
            self._report_due_ms = now_ms + self.thresholds.table.report_interval_ms
            self._report(is_overloaded)
        self.is_overloaded = is_overloaded
        self._collect_traces(now_ms)
        return self.take_lines(now_ms) if can_write else []

    def _update_loads(self, now_ms: float) -> None:
        if now_ms < self._loads_due_ms:
            return
        self._loads_due_ms = now_ms + UPDATE_INTERVAL_MS
        self._decisions.invalidate()
        table = self.thresholds.table
        fraction = self._options.stale_fraction if self.thresholds.is_stale(now_ms) else 1.0
        rates = {key: fraction * rate_of(value) for key, value in table.thresholds.items()}
        self.loads.tick(
            now_ms, self.sampled.drain_records_per_s, rates, fraction * rate_of(table.default_threshold)
        )

    def _collect_traces(self, now_ms: float) -> None:
        collection = self.trace_collection
        begun, requests = collection.take_due(now_ms, self._transport.alive() if len(collection) else ())
        self._retention.requested.expire(now_ms)
        for trace in begun:
            self._retention.retain_trace(trace.rv, trace.importance, now_ms, self.me)
        for name, traces in requests.items():
            self._transport.post(name, encode(RetainRequest(traces)))

    def _report(self, is_overloaded: bool) -> None:
        """Report loads and capacity to the coordinator, if there is one."""
        if not self._coordinator:
            return
        table = self.thresholds.table
        rates = {key: rate_of(value) for key, value in table.thresholds.items()}
        capacity = self.loads.forwarded_capacity(
            self.sampled.drain_records_per_s, rates, rate_of(table.default_threshold)
        )
        report = Report(
            table.term,
            table.number,
            int(capacity * 1000.0),
            is_overloaded,
            reported_loads(self.loads.first_hops_per_s, MAX_REPORTED_KINDS),
            reported_loads(self.loads.forwarded_per_s, MAX_REPORTED_KINDS),
        )
        self._transport.post(self._coordinator, encode(report))

    def status(self, now_ms: float) -> dict[str, object]:
        """The node's state, for operators."""
        collection = self.trace_collection
        return {
            "table": "{}.{}".format(*self.thresholds.version),
            "leader": self._coordinator,
            "alone": self.thresholds.is_stale(now_ms),
            "short": self.is_overloaded,
            "full": round(self.sampled.utilization(now_ms), 3),
            "waiting": [len(self.sampled), len(self.triggered)],
            "let_go": [self.sampled.shed_count, self.triggered.shed_count, collection.shed_count],
            "too_long": self.oversized_count,
            "ring": [len(self.recent), self.recent.bytes, self.recent.evicted_count],
            "peers_lost": collection.unanswered_count,
            "unreadable": self.unreadable,
        }
