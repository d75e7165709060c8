"""What one process may admit by itself, while no controller hands out units.

All processes' reserves add up to a part of what a limit tolerates, and refill slowly, so that they fit beside what
controllers hand out at the same time. A process that has been isolated for a while also gets a part of the limit's
rate: by then controllers have noticed its absence and hold that part back, or there are none that hand out anything.

A part may be smaller than one request. Requests are not divided, so the part is rounded at random: a request of size u
is admitted once the level reaches a random fraction of u. The fraction is drawn once for each accumulation and not for
each try, or clients that press often enough would get through everywhere. All processes together then admit about the
sum of their parts and half a request, and no process saves up a whole request where its part is less.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.limits import RESERVES_FRACTION, RateLimit, Tolerance

ISOLATED_FRACTION = 0.5  # of an equal part of a limit's rate: what an isolated process gets
ISOLATION_NOTICE_MS = 2_000.0  # within which controllers notice that a process has lost them
REFILL_FRACTION = 0.25  # of its capacity, by which a reserve refills in each window
ISOLATED_BURST_S = 1.0  # of an isolated process' rate, which it may save up beside that


@dataclass(slots=True)
class LocalReserve:
    """A tenant's reserve at one process. It begins empty: a process before it may have used it.

    Attributes:
        rng: draws the thresholds.
        updated_ms: when it was refilled last, on the owner's monotonic clock.
        level: units left; negative for a debt.
    """

    rng: Random
    updated_ms: float
    level: float = 0.0
    _rounding: float = field(init=False, default=1.0)  # 0 for a process alone: only one may then be in debt
    _threshold_fraction: float = field(init=False)  # of a request, which the level must reach
    _drawn_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Draw the first threshold."""
        self._draw_threshold()

    def refill(
        self, limit: RateLimit, tolerance: Tolerance, processes: int, isolated_since_ms: float, now_ms: float
    ) -> None:
        """Add what has accrued since the last refill.

        Args:
            limit: of all processes together.
            tolerance: by how much it may be exceeded.
            processes: that share it equally.
            isolated_since_ms: since when no controller hands out units to this process; infinite: one does.
            now_ms: the present.
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
        # A full reserve gains no more by waiting, so each time that it could have been filled counts as one more draw.
        per_s = isolated_per_s if is_isolation_noticed else slow_per_s
        if per_s * (self.updated_ms - self._drawn_ms) / 1000.0 >= capacity:
            self._draw_threshold()

    def admits(self, units: float) -> bool:
        """Whether a request of that size may be admitted now; to be charged then."""
        return self.level > 0.0 and self.missing(units) == 0.0

    def missing(self, units: float) -> float:
        """Return what the level lacks for a request of that size."""
        return max(0.0, self._rounding * self._threshold_fraction * units - self.level)

    def charge(self, units: float) -> None:
        """Withdraw what was admitted."""
        self.level -= units
        self._draw_threshold()

    def refund(self, units: float) -> None:
        """Return what was charged for a request that was never executed."""
        self.level += units

    def _draw_threshold(self) -> None:
        self._threshold_fraction = self.rng.random()
        self._drawn_ms = self.updated_ms
