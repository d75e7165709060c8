"""The usage of all tenants as one ledger hears it: a bucket each, from which what is reported is taken.

Any number of ledgers may run side by side. Each hears every process that can reach it; whoever asks several
believes the one that has seen the most usage, so no ledger needs to be elected, and a new one that has heard little
does no harm.

A ledger that was cut off or stood still hears on its return all at once what was used meanwhile. That use is charged
to the time in which it happened: what a full bucket could not take in during that time is set against it first.
"""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_quotas.limits import ISOLATED_FRACTION, QuotaStatus, RateLimit
from larkweir_quotas.token_bucket import TokenBucket

MAX_TRACKED_INCARNATIONS = 4_096  # of processes, of which the counts are kept; the oldest go first
LATE_REPORT_MS = 1_000.0  # reports of one process further apart than this tell of the past
INITIAL_FILL_FRACTION = 0.5  # of the burst, where a ledger has just begun and knows of no use before it


@dataclass(slots=True)
class _ProcessUsage:
    """One life of a process as this ledger has heard it."""

    counts: dict[str, float]  # by tenant
    sent_ms: float  # the last report, by the process' own clock


class UsageTable:
    """Sums what processes report: for each tenant a count that only rises within one life of a process."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._buckets: dict[str, TokenBucket] = {}
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

    def _bucket(self, tenant: str, limit: RateLimit, now_ms: float) -> TokenBucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = TokenBucket(limit, limit.burst * INITIAL_FILL_FRACTION, now_ms)
        bucket.refill(now_ms, self._rate_fraction)
        return bucket
