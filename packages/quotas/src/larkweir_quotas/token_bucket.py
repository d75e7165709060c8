"""A tenant's token bucket, which use that is reported late is charged to as if it had been reported at once."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from larkweir_quotas.limits import RateLimit

USAGE_RATE_WINDOW_MS = 1_000.0  # of the mean of what is used up
OVERFLOW_SLOT_MS = 250.0
OVERFLOW_RETENTION_MS = 60_000.0  # how far back a late report may reach
OVERSUBSCRIBED_MS = 10_000.0  # a tenant counts as pressing so long after its bucket was empty


@dataclass(slots=True)
class _Overflow:
    """What a full bucket could not take in, within one slot of time."""

    end_ms: float
    amount: float


@dataclass(slots=True)
class TokenBucket:
    limit: RateLimit
    level: float
    at_ms: float
    used_per_s: float = 0.0
    last_empty_ms: float | None = None  # when nothing was left the last time
    overflows: deque[_Overflow] = field(default_factory=deque)

    def refill(self, now_ms: float, rate_fraction: float) -> None:
        """`rate_fraction`: of the limit's rate, the part that is not kept back for processes that are away."""
        passed_s = (now_ms - self.at_ms) / 1000.0
        level = self.level + self.limit.rate_per_s * rate_fraction * passed_s
        if level > self.limit.burst:
            self._overflow(level - self.limit.burst, now_ms)
            level = self.limit.burst
        self.level = level
        self.used_per_s *= max(0.0, 1.0 - 1000.0 * passed_s / USAGE_RATE_WINDOW_MS)
        self.at_ms = now_ms

    def _overflow(self, amount: float, now_ms: float) -> None:
        if self.overflows and now_ms < self.overflows[-1].end_ms:
            self.overflows[-1].amount += amount
            return
        self.overflows.append(_Overflow(now_ms + OVERFLOW_SLOT_MS, amount))
        while self.overflows[0].end_ms < now_ms - OVERFLOW_RETENTION_MS:
            self.overflows.popleft()

    def charge(self, amount: float) -> None:
        """Used since the last report, which was lately."""
        self.used_per_s += amount * 1000.0 / USAGE_RATE_WINDOW_MS
        self._withdraw(amount)

    def _withdraw(self, amount: float) -> None:
        self.level -= amount
        if self.level <= 0.0:
            self.last_empty_ms = self.at_ms

    @property
    def is_oversubscribed(self) -> bool:
        """Whether it was empty of late."""
        return self.last_empty_ms is not None and self.at_ms < self.last_empty_ms + OVERSUBSCRIBED_MS

    def charge_late(self, amount: float, over_ms: float, now_ms: float) -> None:
        """Used at some time within these milliseconds: what has overflowed since would have made up for it."""
        since_ms = now_ms - over_ms
        left = amount
        for overflow in self.overflows:
            if overflow.end_ms > since_ms:
                made_up = min(left, overflow.amount)
                overflow.amount -= made_up
                left -= made_up
        self.used_per_s += amount * 1000.0 / over_ms
        self._withdraw(left)
