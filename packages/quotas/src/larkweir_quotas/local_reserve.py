"""Units that a process may admit without a controller, while no controller grants any.

The reserves of all processes add up to a fixed fraction of the tolerated excess of a limit and refill slowly, so that
the tolerance covers them in addition to the units that controllers grant at the same time. A process that has been
isolated for a while also gets a part of the limit's rate. By then the controllers have noticed the lost connection and
withhold that part of the rate, or no controller grants anything.

The reserve of one process may be smaller than one request. Requests are not divided, so admission is rounded at random:
a request of size u is admitted once the level reaches a random fraction of u. The fraction is drawn once for each
accumulation rather than for each attempt; otherwise clients that retry often enough would be admitted by every process.
All processes together then admit about the sum of their reserves plus half a request, and no process accumulates the
units of a whole request if its reserve is smaller than that.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.limits import RESERVES_FRACTION, RateLimit, Tolerance

ISOLATED_FRACTION = 0.5  # of an equal part of a limit's rate, which an isolated process may use
ISOLATION_NOTICE_MS = 2_000.0  # within which controllers notice that a process is isolated
REFILL_FRACTION = 0.25  # of the capacity, by which a reserve refills in each window
ISOLATED_BURST_S = 1.0  # of an isolated process' rate; added to the capacity of its reserve


@dataclass(slots=True)
class LocalReserve:
    """A tenant's reserve in one process. It starts empty because a predecessor of the process may have used it up.

    Attributes:
        rng: draws the thresholds.
        updated_ms: time of the last refill, on the owner's monotonic clock.
        level: units left; negative for a debt.
    """

    rng: Random
    updated_ms: float
    level: float = 0.0
    # Factor on the random threshold; 0 for a single process, which may go into debt because no other one does.
    _rounding: float = field(init=False, default=1.0)
    _threshold_fraction: float = field(init=False)  # of a request's size, which the level must reach
    _drawn_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Draw the first threshold."""
        self._draw_threshold()

    def refill(
        self, limit: RateLimit, tolerance: Tolerance, processes: int, isolated_since_ms: float, now_ms: float
    ) -> None:
        """Add the units that have accrued since the last refill.

        Args:
            limit: the limit of all processes together.
            tolerance: by how much the limit may be exceeded.
            processes: number of processes that share the limit equally.
            isolated_since_ms: since when no controller grants units to this process; infinite while one does.
            now_ms: the current time.
        """
        capacity = RESERVES_FRACTION * tolerance.units(limit) / processes
        slow_per_s = REFILL_FRACTION * capacity / tolerance.window_s
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000.0
        isolation_noticed_ms = isolated_since_ms + ISOLATION_NOTICE_MS
        isolated_s = max(0.0, now_ms - max(self.updated_ms, isolation_noticed_ms)) / 1000.0
        isolated_per_s = ISOLATED_FRACTION * limit.rate_per_s / processes
        self._rounding = 1.0 - 1.0 / processes
        accrued = slow_per_s * elapsed_s + isolated_per_s * isolated_s
        is_isolation_noticed = now_ms >= isolation_noticed_ms
        if is_isolation_noticed:
            capacity += isolated_per_s * ISOLATED_BURST_S
        self.level = min(capacity, self.level + accrued)
        self.updated_ms = max(self.updated_ms, now_ms)
        # A full reserve gains nothing by waiting. So a new threshold is drawn after each period that would fill it.
        per_s = isolated_per_s if is_isolation_noticed else slow_per_s
        if per_s * (self.updated_ms - self._drawn_ms) / 1000.0 >= capacity:
            self._draw_threshold()

    def admits(self, units: float) -> bool:
        """Return whether a request of that size may be admitted now. The caller then charges the request."""
        return self.level > 0.0 and self.missing(units) == 0.0

    def missing(self, units: float) -> float:
        """Return how many units are missing to admit a request of that size."""
        return max(0.0, self._rounding * self._threshold_fraction * units - self.level)

    def charge(self, units: float) -> None:
        """Withdraw the units of an admitted request."""
        self.level -= units
        self._draw_threshold()

    def refund(self, units: float) -> None:
        """Put back the units of a request that was never executed."""
        self.level += units

    def _draw_threshold(self) -> None:
        self._threshold_fraction = self.rng.random()
        self._drawn_ms = self.updated_ms
