"""A node's limits."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_captures.output_limits import MIN_BURST_BYTES


@dataclass(frozen=True, slots=True)
class Options:
    """Limits of output are what no window of a second or longer exceeds, times its length.

    Raises ValueError where a value is out of range.
    """

    records_per_s: float = 200.0
    bytes_per_s: float = 400_000.0
    triggered_fraction: float = 0.25  # of both, for records retained after the fact
    recent_ms: float = 5_000.0  # for how long unsampled records are stored
    recent_records: int = 20_000
    recent_bytes: int = 16 * 1024 * 1024
    default_rate: float = 0.01  # of kinds without a threshold
    stale_after_ms: float = 30_000.0  # without a table, after which the lower rates are in force
    stale_fraction: float = 0.25  # of the table's rates, which are then in force
    triggered_traces_per_s: float = 20.0  # traces that this node collects from other hops

    def __post_init__(self) -> None:
        smaller = min(self.triggered_fraction, 1.0 - self.triggered_fraction)
        records_per_s, bytes_per_s = self.records_per_s * smaller, self.bytes_per_s * smaller
        if not (2.0 <= records_per_s <= 1e6 and 2.0 * MIN_BURST_BYTES <= bytes_per_s <= 1e9):
            raise ValueError("sampled and triggered records each need 2 records and 4096 bytes a second")
        if not (0.0 < self.default_rate <= 1.0 and 0.0 <= self.stale_fraction <= 1.0):
            raise ValueError("default_rate and stale_fraction are parts of 1")
        if not self.stale_after_ms >= 1000.0:
            raise ValueError("stale_after_ms is 1000 at least")
        if not (self.recent_ms > 0.0 and self.recent_records > 0 and self.recent_bytes > 0):
            raise ValueError("recent_ms, recent_records and recent_bytes must be above 0")
