"""The usage of all tenants as one ledger hears it: a bucket each, from which what is reported is taken.

Any number of ledgers may run side by side. Each hears every process that can reach it; whoever asks several
believes the one that has seen the most usage, so no ledger needs to be elected, and a new one that has heard little
does no harm.

A ledger that was cut off or stood still hears on its return all at once what was used meanwhile. That use is charged
to the time in which it happened: what a full bucket could not take in during that time is set against it first.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import msgspec

USAGE_RATE_WINDOW_MS = 1_000.0  # of the mean of what is used up
MAX_TRACKED_INCARNATIONS = 4_096  # of processes, of which the counts are kept; the oldest go first
LATE_REPORT_MS = 1_000.0  # reports of one process further apart than this tell of the past
OVERFLOW_SLOT_MS = 250.0
OVERFLOW_RETENTION_MS = 60_000.0  # how far back a late report may reach
ISOLATED_FRACTION = 0.5  # of an equal part of the limit, for a process that hears no ledger
OVERSUBSCRIBED_MS = 10_000.0  # a tenant counts as pressing so long after its bucket was empty
INITIAL_FILL_FRACTION = 0.5  # of the burst, where a ledger has just begun and knows of no use before it


class RateLimit(msgspec.Struct, frozen=True):
    """A tenant's limit in units (requests or tokens): so many a second, and so many at once above that."""

    rate_per_s: float
    burst: float


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a ledger knows of a tenant: what is left in its bucket (negative: a debt), and the use per second of all.

    `is_oversubscribed`: nothing was left there at some time of late, so that the tenant asks for more than its limit.
    """

    level: float
    used_per_s: float
    is_oversubscribed: bool = False


@dataclass(slots=True)
class _Overflow:
    """What a full bucket could not take in, within one slot of time."""

    end_ms: float
    amount: float


@dataclass(slots=True)
class _Bucket:
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


@dataclass(slots=True)
class _ProcessUsage:
    """One life of a process as this ledger has heard it."""

    counts: dict[str, float]  # by tenant
    sent_ms: float  # the last report, by the process' own clock


class UsageTable:
    """Sums what processes report: for each tenant a count that only rises within one life of a process."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._processes: dict[str, _ProcessUsage] = {}  # by process and its life
        self._rate_fraction = 1.0

    def set_unreachable(self, fraction: float, tolerance: float) -> None:
        """That part of all processes does not reach this ledger and may use a share of its own (`ISOLATED_FRACTION`).

        What that may come to, beyond the part `tolerance` by which a limit may be passed, is kept back for them.
        """
        self._rate_fraction = 1.0 - max(0.0, ISOLATED_FRACTION * fraction - tolerance)

    def set_limits(self, limits: dict[str, RateLimit], now_ms: float) -> None:
        """The tenants that have a limit from now on; what they have used so far stays counted."""
        self._limits = limits
        for tenant in [one for one in self._buckets if one not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.refill(now_ms, self._rate_fraction)
            bucket.limit = limits[tenant]
            bucket.level = min(bucket.level, bucket.limit.burst)

    def record_report(
        self, process: str, counts: dict[str, float], sent_ms: float, now_ms: float
    ) -> list[str]:
        """Takes a process' counts; the tenants whose bucket fell below a third by it, whom others should hear of soon.

        `sent_ms` is the process' own steady clock: this ledger may have stood still before it reads the report.
        The first report of a life only sets where it counts from: its use so far may be another ledger's old news.
        """
        known = self._processes.get(process)
        if known is None:
            self._processes[process] = _ProcessUsage(dict(counts), sent_ms)
            if len(self._processes) > MAX_TRACKED_INCARNATIONS:
                del self._processes[next(iter(self._processes))]
            return []
        over_ms, known.sent_ms = sent_ms - known.sent_ms, sent_ms
        urgent = []
        for tenant, count in counts.items():
            used = count - known.counts.get(tenant, 0.0)
            known.counts[tenant] = count
            limit = self._limits.get(tenant)
            if used <= 0.0 or limit is None:
                continue
            bucket = self._bucket(tenant, limit, now_ms)
            before = bucket.level
            if over_ms >= LATE_REPORT_MS:
                bucket.charge_late(used, over_ms, now_ms)
            else:
                bucket.charge(used)
            if bucket.level < limit.burst / 3.0 <= before:
                urgent.append(tenant)
        return urgent

    def statuses(self, tenants: list[str], now_ms: float) -> dict[str, QuotaStatus]:
        """What is left of each of these tenants' limits."""
        found = {}
        for tenant in tenants:
            limit = self._limits.get(tenant)
            if limit is not None:
                bucket = self._bucket(tenant, limit, now_ms)
                found[tenant] = QuotaStatus(
                    round(bucket.level), round(bucket.used_per_s), bucket.is_oversubscribed
                )
        return found

    def _bucket(self, tenant: str, limit: RateLimit, now_ms: float) -> _Bucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(limit, limit.burst * INITIAL_FILL_FRACTION, now_ms)
        bucket.refill(now_ms, self._rate_fraction)
        return bucket
