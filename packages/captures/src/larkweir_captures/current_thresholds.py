"""The threshold table that a node goes by, and the fallback when no newer one arrives. Pure logic."""

from __future__ import annotations

from larkweir_captures.messages import MAX_TABLE_KEYS, ThresholdTable
from larkweir_captures.sampling import CAPTURE_NONE, TableVersion, scaled_threshold, threshold_of

MAX_VERSION_NUMBER = 10**15  # the largest that fits the request field


class CurrentThresholds:
    """The newest table received. One of an older (term, number) is rejected, whoever sends it."""

    def __init__(self, default_rate: float, stale_after_ms: float, stale_fraction: float) -> None:
        """`default_rate`: in force before there is a table. Without a table for `stale_after_ms` all rates drop to
        `stale_fraction` of what they were, because nobody knows the other hops' capacity any more.
        """
        self.table = ThresholdTable(0, 0, "", 1000, threshold_of(default_rate), {})
        self.rejected_count = 0  # tables of an old version, or out of range
        self._stale_after_ms = stale_after_ms
        self._stale_fraction = stale_fraction
        self._received_ms = 0.0

    @property
    def version(self) -> TableVersion:
        """The (term, number) of the table in force."""
        return self.table.term, self.table.number

    def offer(self, table: ThresholdTable, now_ms: float) -> bool:
        """Go by a table if it is newer than the current one. Returns whether it was."""
        if (table.term, table.number) <= self.version:
            self.rejected_count += (table.term, table.number) < self.version
            return False
        if not _is_valid(table):
            self.rejected_count += 1
            return False
        self.table = table
        self._received_ms = now_ms
        return True

    def is_stale(self, now_ms: float) -> bool:
        """Whether no table has arrived for so long that the lower rates are in force."""
        return bool(self.table.term) and now_ms - self._received_ms > self._stale_after_ms

    def table_threshold(self, key: int) -> int:
        """The table's threshold for a key, however old the table is."""
        return self.table.thresholds.get(key, self.table.default_threshold)

    def threshold(self, key: int, now_ms: float) -> int:
        """The threshold in force for a key."""
        found = self.table_threshold(key)
        return scaled_threshold(found, self._stale_fraction) if self.is_stale(now_ms) else found


def _is_valid(table: ThresholdTable) -> bool:
    """Whether all values are in range."""
    thresholds = (table.default_threshold, *table.thresholds.values())
    return (
        all(0 <= value <= CAPTURE_NONE for value in thresholds)
        and table.term < MAX_VERSION_NUMBER
        and table.number < MAX_VERSION_NUMBER
        and len(table.thresholds) <= MAX_TABLE_KEYS + 1
        and 100 <= table.report_interval_ms <= 600_000
    )
