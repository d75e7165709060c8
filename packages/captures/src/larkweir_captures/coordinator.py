"""Whoever has the duty sets thresholds for all, from what nodes report.

It is a duty of the fleet: one at a time, with a term from those who keep terms. Nothing breaks if two believe that they
have it: nodes go by the highest (term, number).
"""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nsmallest
from zlib import crc32

from larkweir_captures.max_min_fairness import fill
from larkweir_captures.messages import MAX_REPORTED_KINDS, MAX_TABLE_KEYS, Report, ThresholdTable, encode
from larkweir_captures.ports import Transport
from larkweir_captures.sampling import rate_of, threshold_of

GOSSIP_FANOUT = 3  # nodes that are told a table; each passes it on to so many
MAX_REPORTS_PER_S = (
    100  # reports that come in a second, at most: nodes report so much more rarely where they are many
)
MAX_NODES = 4096
MAX_RATE_GROWTH_FACTOR = 2.0  # a rate at most doubles from one table to the next
MIN_RATE = 1e-4  # from which a rate grows
SIGNIFICANT_CHANGE_FRACTION = 0.15  # of a rate, from which a new table is worth sending
PLANNED_FRACTION = 0.9  # of what a node can take, that is planned for


class Coordinator:
    def __init__(
        self,
        me: str,
        term: int,
        mail: Transport,
        now_ms: float,
        stale_after_ms: float,
        rest: float,
        last: ThresholdTable | None = None,
    ) -> None:
        """`hold_ms`: after so long without a table nodes go on by a safe part, so one is sent three times as often.
        `rest`: the rate of kinds that nobody has reported yet. `last`: the newest table that is known here, which
        holds on under the new term until nodes have reported.
        """
        self.me = me
        self.term = term
        had = last or ThresholdTable(0, 0, "", 1000, threshold_of(rest), {})
        self.table = ThresholdTable(
            term, 0, me, had.report_interval_ms, had.default_threshold, had.thresholds
        )
        self._mail = mail
        self._stale_after_ms = stale_after_ms
        self._default_rate = rest
        self._reports: dict[str, tuple[float, Report]] = {}
        self._next_ms = now_ms
        self._sets_ms = now_ms + 2.5 * had.report_interval_ms
        self._sent_ms = float("-inf")

    @property
    def next_ms(self) -> float:
        return self._next_ms

    @property
    def nodes(self) -> int:
        """How many have reported of late."""
        return len(self._reports)

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A report. Whoever goes by an old table is sent the one that holds."""
        if source not in self._reports and len(self._reports) >= MAX_NODES:
            return
        if max(len(report.first_hops), len(report.forwarded)) > MAX_REPORTED_KINDS + 1:
            return
        self._reports[source] = (now_ms, report)
        if (report.term, report.number) < (self.table.term, self.table.number):
            self._mail.post(source, encode(self.table))

    def tick(self, now_ms: float) -> None:
        if now_ms < self._next_ms:
            return
        self._next_ms = now_ms + self.table.report_interval_ms
        # A node that is not heard of may be cut off and still be passed: it counts until nobody goes by this table.
        for name in [
            name for name, (came, _) in self._reports.items() if now_ms - came > self._stale_after_ms
        ]:
            del self._reports[name]
        thresholds, rest = self.table.thresholds, self.table.default_threshold
        if now_ms >= self._sets_ms and self._reports:
            thresholds, rest = self._set()
        every = max(1000, len(self._reports) * 1000 // MAX_REPORTS_PER_S)
        changed = (
            abs(rate_of(thresholds.get(key, rest)) - rate_of(self._had(key)))
            > SIGNIFICANT_CHANGE_FRACTION * rate_of(self._had(key))
            for key in thresholds.keys() | self.table.thresholds.keys()
        )
        first = not self.table.number
        if not first and now_ms - self._sent_ms < self._stale_after_ms / 3.0 and not any(changed):
            return
        self.table = ThresholdTable(self.term, self.table.number + 1, self.me, every, rest, thresholds)
        self._sent_ms = now_ms
        for name in gossip_targets(self._mail.alive(), self.table, self.me, 2 * GOSSIP_FANOUT):
            self._mail.post(name, encode(self.table))

    def _had(self, key: int) -> int:
        return self.table.thresholds.get(key, self.table.default_threshold)

    def _set(self) -> tuple[dict[int, int], int]:
        begun: dict[int, float] = {}
        for _, report in self._reports.values():
            for key, load in report.first_hops.items():
                begun[key] = begun.get(key, 0.0) + load
        told = set(sorted(begun, key=lambda key: begun[key], reverse=True)[:MAX_TABLE_KEYS])

        def pooled(loads: dict[int, int]) -> dict[int, float]:
            found: dict[int, float] = {}
            for key, load in loads.items():
                named = key if key in told else 0
                found[named] = found.get(named, 0.0) + load
            return found

        every = pooled({key: int(load) for key, load in begun.items()})
        rates = fill(
            every, [(r.capacity * PLANNED_FRACTION, pooled(r.forwarded)) for _, r in self._reports.values()]
        )
        for key in rates.keys() & self.table.thresholds.keys():
            rates[key] = min(rates[key], max(MIN_RATE, rate_of(self._had(key)) * MAX_RATE_GROWTH_FACTOR))
        rest = rates.pop(0, min(rates.values(), default=self._default_rate))
        return {key: threshold_of(rate) for key, rate in rates.items()}, threshold_of(rest)


def gossip_targets(
    names: Sequence[str], table: ThresholdTable, me: str, most: int = GOSSIP_FANOUT
) -> list[str]:
    """Whom to tell of a table: for each table and node other names, by rendezvous, so that it reaches all in a few
    steps. Who is missed gets it for an answer to its next report.
    """
    salt = f"{table.term}.{table.number}.{me}".encode()
    order = nsmallest(most, ((crc32(name.encode(), crc32(salt)), name) for name in names if name != me))
    return [name for _, name in order]
