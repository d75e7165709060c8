"""A token bucket that charges late reports to the time in which the use happened."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from larkweir_quotas.limits import RateLimit

USAGE_RATE_WINDOW_MS = 1_000.0  # of the moving average of what is used
OVERFLOW_SLOT_MS = 250.0  # the resolution with which overflows are remembered
OVERFLOW_RETENTION_MS = 60_000.0  # how far back a late report may reach
LONG_DEBT_MS = 3_000.0  # of a debt, in which many clients are turned away
DEBT_PAID_MS = 1_000.0  # in which clients that were turned away during a long debt return together
OVERSUBSCRIBED_MS = 10_000.0  # a tenant counts as oversubscribed for so long after its bucket was empty


@dataclass(slots=True)
class _Overflow:
    """Units that a full bucket did not take in, within one slot of time."""

    end_ms: float
    amount: float


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one tenant.

    Attributes:
        limit: the rate and the capacity.
        level: units left, at `updated_ms`; negative for a debt.
        updated_ms: when it was refilled last, on the owner's monotonic clock.
        used_per_s: moving average of what is charged.
        last_empty_ms: when a charge last left nothing; None for never.
        debt_since_ms: since when there has been nothing left; None where there is something.
        last_debt_ms: when a debt that had lasted for `LONG_DEBT_MS` was there last; None for never.
        overflows: what was not taken in, oldest first.
        assumed_level: part of the level that its owner has only assumed.
    """

    limit: RateLimit
    level: float
    updated_ms: float
    used_per_s: float = 0.0
    last_empty_ms: float | None = None
    debt_since_ms: float | None = None
    last_debt_ms: float | None = None
    overflows: deque[_Overflow] = field(default_factory=deque)
    assumed_level: float = 0.0

    def refill(self, now_ms: float, rate_fraction: float) -> None:
        """Add what has accrued since the last refill.

        Args:
            now_ms: the present.
            rate_fraction: of the limit's rate; the rest is reserved for processes that are unreachable.
        """
        elapsed_s = (now_ms - self.updated_ms) / 1000.0
        level = self.level + self.limit.rate_per_s * rate_fraction * elapsed_s
        if level > self.limit.burst:
            self._record_overflow(level - self.limit.burst, now_ms)
            level = self.limit.burst
        self._note_debt(now_ms)
        self.level = level
        self.used_per_s *= max(0.0, 1.0 - 1000.0 * elapsed_s / USAGE_RATE_WINDOW_MS)
        self.updated_ms = now_ms

    def _note_debt(self, now_ms: float) -> None:
        if self.level > 0.0:
            self.debt_since_ms = None
        elif self.debt_since_ms is None:
            self.debt_since_ms = now_ms
        elif now_ms >= self.debt_since_ms + LONG_DEBT_MS:
            self.last_debt_ms = now_ms

    def set_limit(self, limit: RateLimit) -> None:
        """Change the limit; a level above the new burst is cut to it."""
        self.limit = limit
        self.level = min(self.level, limit.burst)

    def add_known(self, amount: float) -> None:
        """Add a part of the level that others knew, negative for a debt, in place of what was assumed."""
        self.level = min(self.limit.burst, self.level - self.assumed_level + amount)
        self.assumed_level = 0.0

    def charge(self, amount: float) -> None:
        """Withdraw units that were used just now."""
        self.used_per_s += amount * 1000.0 / USAGE_RATE_WINDOW_MS
        self._withdraw(amount)

    def charge_late(self, amount: float, over_ms: float, now_ms: float) -> None:
        """Withdraw units that were used at some time within the last `over_ms`.

        What has overflowed since then is set against them first: it would not have, had the report come in time.
        """
        since_ms = now_ms - over_ms
        uncovered = amount
        for overflow in self.overflows:
            if overflow.end_ms > since_ms:
                covered = min(uncovered, overflow.amount)
                overflow.amount -= covered
                uncovered -= covered
        self.used_per_s += amount * 1000.0 / over_ms
        self._withdraw(uncovered)

    @property
    def is_oversubscribed(self) -> bool:
        """Whether it was empty within the last `OVERSUBSCRIBED_MS`, or a long debt was paid within `DEBT_PAID_MS`."""
        return _is_recent(self.last_empty_ms, OVERSUBSCRIBED_MS, self.updated_ms) or _is_recent(
            self.last_debt_ms, DEBT_PAID_MS, self.updated_ms
        )

    def _withdraw(self, amount: float) -> None:
        self.level -= amount
        if self.level <= 0.0:
            self.last_empty_ms = self.updated_ms

    def _record_overflow(self, amount: float, now_ms: float) -> None:
        if self.overflows and now_ms < self.overflows[-1].end_ms:
            self.overflows[-1].amount += amount
            return
        self.overflows.append(_Overflow(now_ms + OVERFLOW_SLOT_MS, amount))
        while self.overflows[0].end_ms < now_ms - OVERFLOW_RETENTION_MS:
            self.overflows.popleft()


def _is_recent(when_ms: float | None, within_ms: float, now_ms: float) -> bool:
    return when_ms is not None and now_ms < when_ms + within_ms
