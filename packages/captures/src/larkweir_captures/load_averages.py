"""Moving averages of each kind's load at a node, and the thresholds that its capacity requires. Pure logic."""

from __future__ import annotations

from larkweir_captures.max_min_fairness import max_min_rates
from larkweir_captures.sampling import CAPTURE_NONE, threshold_of

MAX_KINDS = 1024  # that are counted apart; others count as key 0
AVERAGING_S = 1.0  # time constant of the moving averages
UPDATE_INTERVAL_MS = 250.0
_NEGLIGIBLE_PER_S = 0.001  # an average below this is forgotten


class LoadAverages:
    """Loads by kind, from counts of requests. A kind is the key of a route, class and tenant."""

    def __init__(self) -> None:
        self.first_hops_per_s: dict[int, float] = {}  # requests that entered the system here
        self.forwarded_per_s: dict[int, float] = {}  # records of forwarded requests, if every rate were 1
        self.forwarded_records_per_s = 0.0  # records of forwarded requests, at the rates in force
        self._counts: tuple[dict[int, float], dict[int, float]] = ({}, {})
        self._forwarded_count = 0.0
        self._updated_ms = 0.0
        self._local_thresholds: dict[int, int] = {}

    def local_threshold(self, key: int) -> int:
        """The threshold that this node's capacity requires for requests that enter here."""
        return self._local_thresholds.get(key, 0)

    def count_first_hop(self, key: int, requests: int = 1) -> None:
        """Count requests that entered the system here."""
        counts = self._counts[0]
        key = key if key in counts or len(counts) < MAX_KINDS else 0
        counts[key] = counts.get(key, 0.0) + requests

    def count_forwarded(self, key: int, rate: float, table_rate: float) -> None:
        """Count a request from another hop. `rate`: at which it was sampled; it may be below `table_rate`."""
        counts = self._counts[1]
        key = key if key in counts or len(counts) < MAX_KINDS else 0
        counts[key] = counts.get(key, 0.0) + (min(1.0, rate / table_rate) if table_rate > 0.0 else 0.0)
        self._forwarded_count += rate

    def tick(
        self, now_ms: float, capacity: float, table_rates: dict[int, float], default_rate: float
    ) -> None:
        """Update the averages, once every `UPDATE_INTERVAL_MS`. `capacity`: the records a second that can be written
        here; `table_rates`, `default_rate`: the rates in force.
        """
        span_s = (now_ms - self._updated_ms) / 1000.0
        if span_s <= 0.0:
            return
        self._updated_ms = now_ms
        weight = min(1.0, span_s / AVERAGING_S)
        for averages, counts in zip((self.first_hops_per_s, self.forwarded_per_s), self._counts, strict=True):
            _update(averages, counts, span_s, weight)
        self.forwarded_records_per_s += (
            self._forwarded_count / span_s - self.forwarded_records_per_s
        ) * weight
        self._forwarded_count = 0.0
        requested = {
            key: load * table_rates.get(key, default_rate) for key, load in self.first_hops_per_s.items()
        }
        fractions = max_min_rates(requested, [(self.first_hop_capacity(capacity), requested)])
        self._local_thresholds = {
            key: threshold_of(fraction * table_rates.get(key, default_rate))
            for key, fraction in fractions.items()
            if fraction < 1.0
        }

    def first_hop_capacity(self, capacity: float) -> float:
        """The part of `capacity` for requests that enter here: half, or what forwarded requests leave."""
        return max(capacity / 2.0, capacity - self.forwarded_records_per_s)

    def forwarded_capacity(
        self, capacity: float, table_rates: dict[int, float], default_rate: float
    ) -> float:
        """The part of `capacity` for forwarded requests: half, or what requests that enter here leave."""
        first_hops = sum(
            load
            * min(
                table_rates.get(key, default_rate), (CAPTURE_NONE - self.local_threshold(key)) / CAPTURE_NONE
            )
            for key, load in self.first_hops_per_s.items()
        )
        return max(capacity / 2.0, capacity - first_hops)


def _update(averages: dict[int, float], counts: dict[int, float], span_s: float, weight: float) -> None:
    """Take the counts of one interval into the averages, and clear them."""
    for key in averages.keys() | counts.keys():
        value = averages.get(key, 0.0)
        value += (counts.get(key, 0.0) / span_s - value) * weight
        if value < _NEGLIGIBLE_PER_S:
            averages.pop(key, None)
        elif key in averages or len(averages) <= MAX_KINDS:
            averages[key] = value
    counts.clear()
