"""The thresholds that a node goes by, and what holds when nobody sets them any more."""

from __future__ import annotations

from larkweir_captures.messages import MAX_TABLE_KEYS, ThresholdTable
from larkweir_captures.sampling import CAPTURE_NONE, TableVersion, scaled_threshold, threshold_of

MAX_VERSION_NUMBER = 10**15  # as far as a request's text can say it


class CurrentThresholds:
    """The newest table that was seen. One of an older (term, number) is refused, whoever sends it."""

    def __init__(self, default_rate: float, stale_after_ms: float, stale_fraction: float) -> None:
        """`rest`: the rate before there is a table. Without word for `hold_ms` rates become a `safe` part of what they
        were, all at once: nobody knows what the other hops can take now.
        """
        self.table = ThresholdTable(0, 0, "", 1000, threshold_of(default_rate), {})
        self.rejected_count = 0  # tables of old numbers
        self._stale_after_ms = stale_after_ms
        self._stale_fraction = stale_fraction
        self._received_ms = 0.0

    @property
    def version(self) -> TableVersion:
        return self.table.term, self.table.number

    def offer(self, table: ThresholdTable, now_ms: float) -> bool:
        """Whether it is newer than what is held, and holds from now on."""
        if (table.term, table.number) <= self.version:
            self.rejected_count += (table.term, table.number) < self.version
            return False
        sane = all(
            0 <= value <= CAPTURE_NONE for value in (table.default_threshold, *table.thresholds.values())
        )
        sane = sane and table.term < MAX_VERSION_NUMBER and table.number < MAX_VERSION_NUMBER
        if (
            not sane
            or len(table.thresholds) > MAX_TABLE_KEYS + 1
            or not 100 <= table.report_interval_ms <= 600_000
        ):
            self.rejected_count += 1
            return False
        self.table = table
        self._received_ms = now_ms
        return True

    def is_stale(self, now_ms: float) -> bool:
        """Whether nobody has set thresholds for so long that the safe part holds."""
        return bool(self.table.term) and now_ms - self._received_ms > self._stale_after_ms

    def table_threshold(self, key: int) -> int:
        """The threshold that the table has for a key, however old it is."""
        return self.table.thresholds.get(key, self.table.default_threshold)

    def threshold(self, key: int, now_ms: float) -> int:
        """The threshold for a key now."""
        found = self.table_threshold(key)
        return scaled_threshold(found, self._stale_fraction) if self.is_stale(now_ms) else found
