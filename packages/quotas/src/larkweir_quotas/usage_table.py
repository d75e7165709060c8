"""The usage of all tenants as one controller knows it: a token bucket each, charged with what processes report.

Any number of tables may run side by side. Each receives the reports of every process that can reach it, and a process
that reads several follows the one that has seen the most usage. So no table needs to be elected, and a new one that
knows little does no harm.

A table that was cut off or paused receives all at once what was used meanwhile. `TokenBucket.charge_late` charges that
to the time in which it happened.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from larkweir_quotas.limits import ISOLATED_FRACTION, SCARCE_FRACTION, QuotaSnapshot, QuotaStatus, RateLimit
from larkweir_quotas.token_bucket import TokenBucket

MAX_TRACKED_INCARNATIONS = 4_096  # of processes whose counts are kept; the oldest are dropped first
LATE_REPORT_MS = 1_000.0  # reports of one process further apart than this are charged to the past
INITIAL_FILL_FRACTION = 0.5  # of the burst, for a tenant whose use before the table's start is unknown
REBUILD_MS = 5_000.0  # after a table's start, in which it takes over what processes knew before
SCARCE_REFRESH_MS = 25.0  # between two looks for tenants that are scarce


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
        self._started_ms: float | None = None  # when the first limits were set
        self._process_count = 0  # the largest of all snapshots that were taken over
        self._unknowing_processes = 0  # that connected meanwhile without any knowledge
        self._early_snapshots: deque[QuotaSnapshot] = deque(maxlen=MAX_TRACKED_INCARNATIONS)
        self._scarce: list[str] = []  # at `_scarce_ms`
        self._scarce_ms = -SCARCE_REFRESH_MS

    @property
    def has_limits(self) -> bool:
        """Whether the limits are known: until then nothing that this table answers says anything of a tenant."""
        return self._started_ms is not None

    def set_unreachable(self, fraction: float, tolerance: float) -> None:
        """Reserve what processes may admit that do not reach this table (`ISOLATED_FRACTION`).

        Args:
            fraction: of all processes that are unreachable.
            tolerance: fraction by which a limit may be exceeded; so much is not reserved.
        """
        self._rate_fraction = 1.0 - max(0.0, ISOLATED_FRACTION * fraction - tolerance)

    def set_limits(self, limits: dict[str, RateLimit], now_ms: float) -> None:
        """Set the limits of all tenants that have one; the use of those that keep one stays charged."""
        is_first = self._started_ms is None
        if self._started_ms is None:
            self._started_ms = now_ms
        self._limits = limits
        for tenant in [one for one in self._buckets if one not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.refill(now_ms, self._refill_fraction(now_ms))
            bucket.set_limit(limits[tenant])
        if is_first:
            for snapshot in self._early_snapshots:
                self._rebuild(snapshot, now_ms)
            self._early_snapshots.clear()

    def record_report(
        self,
        incarnation: str,
        units_by_tenant: dict[str, float],
        sent_ms: float,
        now_ms: float,
        snapshot: QuotaSnapshot | None = None,
    ) -> list[str]:
        """Charge what a process has admitted since its last report.

        The first report of an incarnation only sets the base: its use so far may have been reported to another table.

        Args:
            incarnation: of the process.
            units_by_tenant: units that it has admitted since it started.
            sent_ms: when it sent the report, by its own monotonic clock: this table may have been paused since.
            now_ms: the present.
            snapshot: what the process knew when it connected; None in later reports.

        Returns:
            The tenants that were not oversubscribed and of which less than `SCARCE_FRACTION` is left now: all others
            should know soon.
        """
        known = self._processes.get(incarnation)
        if known is None:
            self._add_process(incarnation, units_by_tenant, sent_ms)
            self._take_over(snapshot or QuotaSnapshot(), now_ms)
            return []
        if not self.has_limits:
            return []  # the first report after the limits tells of all use since the snapshot
        over_ms, known.sent_ms = sent_ms - known.sent_ms, sent_ms
        urgent = []
        for tenant, units in units_by_tenant.items():
            used = units - known.units_by_tenant.get(tenant, 0.0)
            known.units_by_tenant[tenant] = units
            limit = self._limits.get(tenant)
            if used > 0.0 and limit is not None and self._charge(tenant, limit, used, over_ms, now_ms):
                urgent.append(tenant)
        return urgent

    def _charge(self, tenant: str, limit: RateLimit, used: float, over_ms: float, now_ms: float) -> bool:
        """Charge a tenant. Returns whether that is news to other processes."""
        bucket = self._bucket(tenant, limit, now_ms)
        level_before, was_oversubscribed = bucket.level, bucket.is_oversubscribed
        if over_ms >= LATE_REPORT_MS:
            bucket.charge_late(used, over_ms, now_ms)
        else:
            bucket.charge(used)
        return not was_oversubscribed and bucket.level < limit.burst * SCARCE_FRACTION <= level_before

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

    def scarce_tenants(self, now_ms: float) -> list[str]:
        """Return those tenants of which every process should know, also one that has not admitted any of late."""
        if now_ms >= self._scarce_ms + SCARCE_REFRESH_MS:
            self._scarce_ms = now_ms
            for bucket in self._buckets.values():
                bucket.refill(now_ms, self._refill_fraction(now_ms))
            self._scarce = [
                tenant
                for tenant, bucket in self._buckets.items()
                if bucket.level < bucket.limit.burst * SCARCE_FRACTION
            ]
        return self._scarce

    def _add_process(self, incarnation: str, units_by_tenant: dict[str, float], sent_ms: float) -> None:
        self._processes[incarnation] = _ProcessUsage(dict(units_by_tenant), sent_ms)
        if len(self._processes) > MAX_TRACKED_INCARNATIONS:
            del self._processes[next(iter(self._processes))]

    def _take_over(self, snapshot: QuotaSnapshot, now_ms: float) -> None:
        """Rebuild from a snapshot, at the latest once the limits are known."""
        if self.has_limits:
            self._rebuild(snapshot, now_ms)
        else:
            self._early_snapshots.append(snapshot)

    def _is_rebuilding(self, now_ms: float) -> bool:
        return self._started_ms is not None and now_ms < self._started_ms + REBUILD_MS

    def _rebuild(self, snapshot: QuotaSnapshot, now_ms: float) -> None:
        """Take over a process' equal part of the levels that it knows: the parts of all add up to the level.

        A burst anew would come on top of what was used just before this table started. Processes that know nothing,
        as at the first start of all, count with what is assumed.
        """
        if not self._is_rebuilding(now_ms):
            return
        self._process_count = max(self._process_count, snapshot.process_count)
        if not snapshot.process_count:
            self._unknowing_processes += 1
            for bucket in self._buckets.values():
                if bucket.assumed_level == 0.0 and self._process_count:
                    bucket.add_known(bucket.limit.burst * INITIAL_FILL_FRACTION / self._process_count)
            return
        for tenant, level in snapshot.levels.items():
            limit = self._limits.get(tenant)
            if limit is not None:
                bucket = self._bucket(tenant, limit, now_ms)
                assumed = bucket.assumed_level * min(self._unknowing_processes, self._process_count - 1)
                share = min(level / snapshot.process_count, limit.burst)
                bucket.add_known(share + assumed / snapshot.process_count)

    def _refill_fraction(self, now_ms: float) -> float:
        """Of a limit's rate: processes that have not connected yet still use their parts."""
        if self._process_count and self._is_rebuilding(now_ms):
            return self._rate_fraction * min(1.0, len(self._processes) / self._process_count)
        return self._rate_fraction

    def _bucket(self, tenant: str, limit: RateLimit, now_ms: float) -> TokenBucket:
        """Return the tenant's bucket, refilled up to now."""
        bucket = self._buckets.get(tenant)
        if bucket is None:
            assumed = limit.burst * INITIAL_FILL_FRACTION
            bucket = TokenBucket(limit, assumed, now_ms, assumed_level=assumed)
            self._buckets[tenant] = bucket
        bucket.refill(now_ms, self._refill_fraction(now_ms))
        return bucket
