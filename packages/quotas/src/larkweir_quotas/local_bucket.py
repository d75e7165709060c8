"""The part of a limit that one process has to itself while no usage table is in reach.

A part may be smaller than one request. Requests are not divided, so the part is rounded at random: a request of size u
is admitted once the level reaches a random fraction of u. The fraction is drawn once for each accumulation and not for
each try, or clients that press often enough would get through everywhere. All processes together then admit about the
sum of their parts and half a request, and no process saves up a whole request where its part is less.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.limits import RateLimit


@dataclass(slots=True)
class LocalBucket:
    """A token bucket that rounds at random.

    Attributes:
        rng: draws the thresholds.
        level: units left, at `updated_ms`; negative for a debt.
        share: this process' equal part of what is left of the whole limit, of which only a fraction is handed out.
        updated_ms: when it was refilled last, on the owner's monotonic clock.
    """

    rng: Random
    level: float
    share: float
    updated_ms: float
    _rounding: float = field(init=False, default=1.0)  # 0 for a process alone: only one may then be in debt
    _threshold_fraction: float = field(init=False)  # of a request, which the level must reach
    _drawn_ms: float = field(init=False)

    def __post_init__(self) -> None:
        """Draw the first threshold."""
        self._draw()

    def restart(self, level: float, share: float, now_ms: float) -> None:
        """Begin from a level that was learnt from elsewhere. The threshold stays: nothing has accumulated by that."""
        self.level, self.share = level, share
        self.updated_ms = now_ms

    def refill(self, limit: RateLimit, processes: int, fraction: float, now_ms: float) -> None:
        """Add what has accrued since the last refill.

        Args:
            limit: of all processes together.
            processes: that share it equally.
            fraction: of an equal part, which a process may hand out by itself.
            now_ms: the present.
        """
        part = RateLimit(limit.rate_per_s / processes, limit.burst / processes)
        self._rounding = 1.0 - 1.0 / processes
        accrued = part.rate_per_s * max(0.0, now_ms - self.updated_ms) / 1000.0
        self.share = min(
            limit.burst, self.share + accrued
        )  # the sum over all processes is what a burst bounds
        self.level = min(part.burst * fraction, self.level + accrued * fraction)
        self.updated_ms = max(self.updated_ms, now_ms)
        # A full bucket gains no more by waiting, so each time that it could have been filled counts as one more draw.
        if part.rate_per_s * (self.updated_ms - self._drawn_ms) / 1000.0 >= part.burst:
            self._draw()

    def admits(self, units: float) -> bool:
        """Whether a request of that size may be admitted now; to be charged then."""
        return self.level > 0.0 and self.missing(units) == 0.0

    def missing(self, units: float) -> float:
        """Return what the level lacks for a request of that size."""
        return max(0.0, self._rounding * self._threshold_fraction * units - self.level)

    def charge(self, units: float) -> None:
        """Withdraw what was admitted."""
        self.level -= units
        self.share -= units
        self._draw()

    def refund(self, units: float) -> None:
        """Return what was charged for a request that was never executed."""
        self.level += units
        self.share += units

    def _draw(self) -> None:
        self._threshold_fraction = self.rng.random()
        self._drawn_ms = self.updated_ms
