"""A token bucket whose rate and burst can change while it is in use."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_quotas.limits import RateLimit

USAGE_RATE_WINDOW_MS = 1_000.0  # window of the moving average of charged units


@dataclass(slots=True)
class TokenBucket:
    """A token bucket.

    Attributes:
        limit: rate and capacity of the bucket.
        level: units left at `updated_ms`; negative for a debt.
        updated_ms: time of the last refill, on the owner's monotonic clock.
        used_per_s: moving average of the charged units per second.
    """

    limit: RateLimit
    level: float
    updated_ms: float
    used_per_s: float = 0.0

    def refill(self, now_ms: float) -> None:
        """Add the units that have accrued since the last refill."""
        elapsed_s = max(0.0, now_ms - self.updated_ms) / 1000.0
        self.level = min(self.limit.burst, self.level + self.limit.rate_per_s * elapsed_s)
        self.used_per_s *= max(0.0, 1.0 - 1000.0 * elapsed_s / USAGE_RATE_WINDOW_MS)
        self.updated_ms = max(self.updated_ms, now_ms)

    def set_limit(self, limit: RateLimit) -> None:
        """Change the limit from `updated_ms` on. The next refill cuts a level above the new burst to that burst."""
        self.limit = limit

    def charge(self, units: float) -> None:
        """Withdraw units. The level may become negative."""
        self.level -= units
        self.used_per_s += units * 1000.0 / USAGE_RATE_WINDOW_MS

    def refund(self, units: float) -> None:
        """Put back units that were withdrawn but not used."""
        self.level = min(self.limit.burst, self.level + units)
