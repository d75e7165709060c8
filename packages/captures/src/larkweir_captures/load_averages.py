"""What a node sees of each kind of request, a second, and the rates that its own room alone would set."""

from __future__ import annotations

from larkweir_captures.max_min_fairness import fill
from larkweir_captures.sampling import CAPTURE_NONE, threshold_of

MAX_KINDS = 1024  # that are counted apart; others count as key 0
AVERAGING_S = 1.0  # of the moving averages
UPDATE_INTERVAL_MS = 250.0


class LoadAverages:
    def __init__(self) -> None:
        self.first_hops_per_s: dict[int, float] = {}  # requests a second that began here
        self.forwarded_per_s: dict[
            int, float
        ] = {}  # records a second that would come from above, were every rate set at 1
        self.forwarded_records_per_s = 0.0  # records a second that come from above
        self._counts: tuple[dict[int, float], dict[int, float]] = ({}, {})
        self._came_count = 0.0
        self._since_ms = 0.0
        self._local_thresholds: dict[int, int] = {}  # thresholds

    def local_threshold(self, key: int) -> int:
        """The threshold that the room here asks for at the first hop."""
        return self._local_thresholds.get(key, 0)

    def count_first_hop(self, key: int, requests: int = 1) -> None:
        counts = self._counts[0]
        key = key if key in counts or len(counts) < MAX_KINDS else 0
        counts[key] = counts.get(key, 0.0) + requests

    def count_forwarded(self, key: int, rate: float, set_rate: float) -> None:
        """A request from above, at a rate that may be below what is set for its kind."""
        counts = self._counts[1]
        key = key if key in counts or len(counts) < MAX_KINDS else 0
        counts[key] = counts.get(key, 0.0) + (min(1.0, rate / set_rate) if set_rate > 0.0 else 0.0)
        self._came_count += rate

    def tick(self, now_ms: float, room: float, set_rates: dict[int, float], rest: float) -> None:
        """Once every `EVERY_MS`. `room`: records a second that can be written here; `set_rates`: what is set."""
        span = (now_ms - self._since_ms) / 1000.0
        if span <= 0.0:
            return
        self._since_ms = now_ms
        part = min(1.0, span / AVERAGING_S)
        for held, counts in (
            (self.first_hops_per_s, self._counts[0]),
            (self.forwarded_per_s, self._counts[1]),
        ):
            for key in held.keys() | counts.keys():
                value = held.get(key, 0.0)
                value += (counts.get(key, 0.0) / span - value) * part
                if value < 0.001:
                    held.pop(key, None)
                elif key in held or len(held) <= MAX_KINDS:
                    held[key] = value
            counts.clear()
        self.forwarded_records_per_s += (self._came_count / span - self.forwarded_records_per_s) * part
        self._came_count = 0.0
        asked = {key: load * set_rates.get(key, rest) for key, load in self.first_hops_per_s.items()}
        parts = fill(asked, [(self.first_hop_capacity(room), asked)])
        self._local_thresholds = {
            key: threshold_of(part * set_rates.get(key, rest)) for key, part in parts.items() if part < 1.0
        }

    def first_hop_capacity(self, room: float) -> float:
        """Of the room here, what requests that begin here may take: half, and what those from above leave."""
        return max(room / 2.0, room - self.forwarded_records_per_s)

    def forwarded_capacity(self, room: float, set_rates: dict[int, float], rest: float) -> float:
        """Of the room here, what those from above may take: half, and what those that begin here leave."""
        firsts = sum(
            load * min(set_rates.get(key, rest), (CAPTURE_NONE - self.local_threshold(key)) / CAPTURE_NONE)
            for key, load in self.first_hops_per_s.items()
        )
        return max(room / 2.0, room - firsts)
