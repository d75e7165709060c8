"""The usage of all tenants as one controller knows it: a token bucket each, charged with what processes report.

Any number of tables may run side by side. Each receives the reports of every process that can reach it, and a process
that reads several follows the one that has seen the most usage. So no table needs to be elected, and a new one that
knows little does no harm.

A table that was cut off or paused receives all at once what was used meanwhile. `TokenBucket.charge_late` charges that
to the time in which it happened.
"""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_quotas.limits import ISOLATED_FRACTION, QuotaStatus, RateLimit
from larkweir_quotas.token_bucket import TokenBucket

MAX_TRACKED_INCARNATIONS = 4_096  # of processes whose counts are kept; the oldest are dropped first
LATE_REPORT_MS = 1_000.0  # reports of one process further apart than this are charged to the past
INITIAL_FILL_FRACTION = 0.5  # of the burst, for a tenant whose use before the table's start is unknown
URGENT_DIVISOR = 3.0  # of the burst: a bucket that falls below the quotient is news to the other processes


@dataclass(slots=True)
class _ProcessUsage:
    """What one incarnation of a process has reported."""

    units_by_tenant: dict[str, float]
    sent_ms: float  # of the last report, by the clock of the process


class UsageTable:
    """Sums the usage that processes report: for each tenant a count that only rises within one incarnation.

    All times but `sent_ms` are milliseconds of the table's own monotonic clock.
    """

    def __init__(self) -> None:
        """Create a table without limits."""
        self._limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._processes: dict[str, _ProcessUsage] = {}  # by incarnation
        self._rate_fraction = 1.0

    def set_unreachable(self, fraction: float, tolerance: float) -> None:
        """Reserve what processes may admit that do not reach this table (`ISOLATED_FRACTION`).

        Args:
            fraction: of all processes that are unreachable.
            tolerance: fraction by which a limit may be exceeded; so much is not reserved.
        """
        self._rate_fraction = 1.0 - max(0.0, ISOLATED_FRACTION * fraction - tolerance)

    def set_limits(self, limits: dict[str, RateLimit], now_ms: float) -> None:
        """Set the limits of all tenants that have one; the use of those that keep one stays charged."""
        self._limits = limits
        for tenant in [one for one in self._buckets if one not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.refill(now_ms, self._rate_fraction)
            bucket.set_limit(limits[tenant])

    def record_report(
        self, incarnation: str, units_by_tenant: dict[str, float], sent_ms: float, now_ms: float
    ) -> list[str]:
        """Charge what a process has admitted since its last report.

        The first report of an incarnation only sets the base: its use so far may have been reported to another table.

        Args:
            incarnation: of the process.
            units_by_tenant: units that it has admitted since it started.
            sent_ms: when it sent the report, by its own monotonic clock: this table may have been paused since.
            now_ms: the present.

        Returns:
            The tenants whose bucket fell below `burst / URGENT_DIVISOR`, of which other processes should know soon.
        """
        known = self._processes.get(incarnation)
        if known is None:
            self._add_process(incarnation, units_by_tenant, sent_ms)
            return []
        over_ms, known.sent_ms = sent_ms - known.sent_ms, sent_ms
        urgent = []
        for tenant, units in units_by_tenant.items():
            used = units - known.units_by_tenant.get(tenant, 0.0)
            known.units_by_tenant[tenant] = units
            limit = self._limits.get(tenant)
            if used <= 0.0 or limit is None:
                continue
            bucket = self._bucket(tenant, limit, now_ms)
            level_before = bucket.level
            if over_ms >= LATE_REPORT_MS:
                bucket.charge_late(used, over_ms, now_ms)
            else:
                bucket.charge(used)
            if bucket.level < limit.burst / URGENT_DIVISOR <= level_before:
                urgent.append(tenant)
        return urgent

    def statuses(self, tenants: list[str], now_ms: float) -> dict[str, QuotaStatus]:
        """Return the status of those tenants that have a limit, in whole units."""
        statuses = {}
        for tenant in tenants:
            limit = self._limits.get(tenant)
            if limit is not None:
                bucket = self._bucket(tenant, limit, now_ms)
                statuses[tenant] = QuotaStatus(
                    round(bucket.level), round(bucket.used_per_s), bucket.is_oversubscribed
                )
        return statuses

    def _add_process(self, incarnation: str, units_by_tenant: dict[str, float], sent_ms: float) -> None:
        self._processes[incarnation] = _ProcessUsage(dict(units_by_tenant), sent_ms)
        if len(self._processes) > MAX_TRACKED_INCARNATIONS:
            del self._processes[next(iter(self._processes))]

    def _bucket(self, tenant: str, limit: RateLimit, now_ms: float) -> TokenBucket:
        """Return the tenant's bucket, refilled up to now."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(limit, limit.burst * INITIAL_FILL_FRACTION, now_ms)
        bucket.refill(now_ms, self._rate_fraction)
        return bucket
