"""The coordinator of captures: computes all nodes' sampling thresholds from what nodes report. Pure logic.

It is a singleton role, whose term comes from whoever elects it. Two coordinators at a time do no harm: nodes go by the
table with the highest (term, number).
"""

from __future__ import annotations

from larkweir_captures.gossip import GOSSIP_FANOUT, gossip_targets
from larkweir_captures.max_min_fairness import max_min_rates
from larkweir_captures.messages import MAX_REPORTED_KINDS, MAX_TABLE_KEYS, Report, ThresholdTable, encode
from larkweir_captures.ports import Transport
from larkweir_captures.sampling import rate_of, threshold_of

MAX_REPORTS_PER_S = (
    100  # of all nodes together: the more nodes, the longer the interval between a node's reports
)
MIN_REPORT_INTERVAL_MS = 1000
MAX_NODES = 4096
MAX_RATE_GROWTH_FACTOR = 2.0  # from one table to the next
MIN_RATE = 1e-4  # from which a rate may grow
SIGNIFICANT_CHANGE_FRACTION = 0.15  # of a rate, from which a new table is worth sending
PLANNED_FRACTION = 0.9  # of a node's capacity, that is planned for
_FIRST_TABLE_INTERVALS = 2.5  # report intervals, after which a new coordinator computes thresholds


class Coordinator:
    """One term of the role."""

    def __init__(
        self,
        me: str,
        term: int,
        transport: Transport,
        now_ms: float,
        stale_after_ms: float,
        default_rate: float,
        last: ThresholdTable | None = None,
    ) -> None:
        """`stale_after_ms`: without a table for so long nodes fall back to lower rates, so one is sent three times as
        often. `default_rate`: of kinds that no node has reported yet. `last`: the newest table known here, which stays
        in force under the new term until nodes have reported.
        """
        self.me = me
        self.term = term
        last = last or ThresholdTable(0, 0, "", MIN_REPORT_INTERVAL_MS, threshold_of(default_rate), {})
        interval_ms = last.report_interval_ms
        self.table = ThresholdTable(term, 0, me, interval_ms, last.default_threshold, last.thresholds)
        self._transport = transport
        self._stale_after_ms = stale_after_ms
        self._default_rate = default_rate
        self._reports: dict[str, tuple[float, Report]] = {}  # by node, with the time of receipt
        self._next_ms = now_ms
        self._compute_from_ms = now_ms + _FIRST_TABLE_INTERVALS * interval_ms
        self._sent_ms = float("-inf")

    @property
    def next_ms(self) -> float:
        """When `tick` has something to do."""
        return self._next_ms

    @property
    def nodes(self) -> int:
        """The number of nodes whose report is recent enough to count."""
        return len(self._reports)

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """Take a node's report in. A node that goes by an old table is sent the current one."""
        if source not in self._reports and len(self._reports) >= MAX_NODES:
            return
        if max(len(report.first_hops), len(report.forwarded)) > MAX_REPORTED_KINDS + 1:
            return
        self._reports[source] = (now_ms, report)
        if (report.term, report.number) < (self.table.term, self.table.number):
            self._transport.post(source, encode(self.table))

    def tick(self, now_ms: float) -> None:
        """Compute the thresholds, once every report interval; send a table that differs or that is due."""
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self.table.report_interval_ms
        self._drop_old_reports(now_ms)
        thresholds, default_threshold = self.table.thresholds, self.table.default_threshold
        if now_ms >= self._compute_from_ms and self._reports:
            thresholds, default_threshold = self._compute()
        is_due = not self.table.number or now_ms - self._sent_ms >= self._stale_after_ms / 3.0
        if not is_due and not self._is_significant(thresholds, default_threshold):
            return
        interval_ms = max(MIN_REPORT_INTERVAL_MS, len(self._reports) * 1000 // MAX_REPORTS_PER_S)
        self.table = ThresholdTable(
            self.term, self.table.number + 1, self.me, interval_ms, default_threshold, thresholds
        )
        self._sent_ms = now_ms
        for name in gossip_targets(self._transport.alive(), self.table, self.me, 2 * GOSSIP_FANOUT):
            self._transport.post(name, encode(self.table))

    def _drop_old_reports(self, now_ms: float) -> None:
        """A node that no longer reports may be partitioned off and still receive requests: its report counts until
        every node has stopped going by this table.
        """
        old = [name for name, (at_ms, _) in self._reports.items() if now_ms - at_ms > self._stale_after_ms]
        for name in old:
            del self._reports[name]

    def _is_significant(self, thresholds: dict[int, int], default_threshold: int) -> bool:
        """Whether a rate differs enough from the table's."""
        for key in thresholds.keys() | self.table.thresholds.keys():
            rate = rate_of(self._table_threshold(key))
            change = abs(rate_of(thresholds.get(key, default_threshold)) - rate)
            if change > SIGNIFICANT_CHANGE_FRACTION * rate:
                return True
        return False

    def _table_threshold(self, key: int) -> int:
        return self.table.thresholds.get(key, self.table.default_threshold)

    def _compute(self) -> tuple[dict[int, int], int]:
        """The thresholds that the reports call for, and the default threshold."""
        first_hops: dict[int, float] = {}
        for _, report in self._reports.values():
            for key, load in report.first_hops.items():
                first_hops[key] = first_hops.get(key, 0.0) + load
        largest = sorted(first_hops, key=lambda key: first_hops[key], reverse=True)
        named = set(largest[:MAX_TABLE_KEYS])
        total = _pool_unnamed({key: int(load) for key, load in first_hops.items()}, named)
        nodes = [
            (report.capacity * PLANNED_FRACTION, _pool_unnamed(report.forwarded, named))
            for _, report in self._reports.values()
        ]
        rates = max_min_rates(total, nodes)
        for key in rates.keys() & self.table.thresholds.keys():
            last_rate = rate_of(self._table_threshold(key))
            rates[key] = min(rates[key], max(MIN_RATE, last_rate * MAX_RATE_GROWTH_FACTOR))
        default_rate = rates.pop(0, min(rates.values(), default=self._default_rate))
        return {key: threshold_of(rate) for key, rate in rates.items()}, threshold_of(default_rate)


def _pool_unnamed(loads: dict[int, int], named: set[int]) -> dict[int, float]:
    """Loads by key, those of keys that are not in `named` added up as key 0."""
    found: dict[int, float] = {}
    for key, load in loads.items():
        pool = key if key in named else 0
        found[pool] = found.get(pool, 0.0) + load
    return found
