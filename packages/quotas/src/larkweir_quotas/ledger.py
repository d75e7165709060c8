"""The usage of all tenants as one ledger hears it: a bucket each, from which what is reported is taken.

Any number of ledgers may run side by side. Each hears every process that can reach it; whoever asks several
believes the one that has seen the most usage, so no ledger needs to be elected, and a new one that has heard little
does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

RATE_MEMORY_MS = 1_000.0  # of the mean of what is used up
LIVES_MOST = 4_096  # of processes, of which the counts are kept; the oldest go first


class Limit(msgspec.Struct, frozen=True):
    """A tenant's limit in units (requests or tokens): so many a second, and so many at once above that."""

    rate_per_s: float
    burst: float


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """What a ledger knows of a tenant: what is left in its bucket (negative: a debt), and the use per second of all."""

    level: float
    used_per_s: float


@dataclass(slots=True)
class _Bucket:
    limit: Limit
    level: float
    at_ms: float
    used_per_s: float = 0.0

    def refill(self, now_ms: float) -> None:
        passed_s = (now_ms - self.at_ms) / 1000.0
        self.level = min(self.limit.burst, self.level + self.limit.rate_per_s * passed_s)
        self.used_per_s *= max(0.0, 1.0 - 1000.0 * passed_s / RATE_MEMORY_MS)
        self.at_ms = now_ms

    def take(self, amount: float) -> None:
        self.level -= amount
        self.used_per_s += amount * 1000.0 / RATE_MEMORY_MS


class Ledger:
    """Sums what processes report: for each tenant a count that only rises within one life of a process."""

    def __init__(self) -> None:
        self._limits: dict[str, Limit] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._seen: dict[str, dict[str, float]] = {}  # by process and its life: counts by tenant

    def set_limits(self, limits: dict[str, Limit], now_ms: float) -> None:
        """The tenants that have a limit from now on; what they have used so far stays counted."""
        self._limits = limits
        for tenant in [one for one in self._buckets if one not in limits]:
            del self._buckets[tenant]
        for tenant, bucket in self._buckets.items():
            bucket.refill(now_ms)
            bucket.limit = limits[tenant]
            bucket.level = min(bucket.level, bucket.limit.burst)

    def report(self, process: str, counts: dict[str, float], now_ms: float) -> list[str]:
        """Takes a process' counts; the tenants whose bucket fell below a third by it, whom others should hear of soon.

        The first report of a life only sets where it counts from: its use so far may be another ledger's old news.
        """
        known = self._seen.get(process)
        if known is None:
            self._seen[process] = dict(counts)
            if len(self._seen) > LIVES_MOST:
                del self._seen[next(iter(self._seen))]
            return []
        urgent = []
        for tenant, count in counts.items():
            used = count - known.get(tenant, 0.0)
            known[tenant] = count
            limit = self._limits.get(tenant)
            if used <= 0.0 or limit is None:
                continue
            bucket = self._bucket(tenant, limit, now_ms)
            before = bucket.level
            bucket.take(used)
            if bucket.level < limit.burst / 3.0 <= before:
                urgent.append(tenant)
        return urgent

    def statements(self, tenants: list[str], now_ms: float) -> dict[str, Statement]:
        """What is left of each of these tenants' limits."""
        found = {}
        for tenant in tenants:
            limit = self._limits.get(tenant)
            if limit is not None:
                bucket = self._bucket(tenant, limit, now_ms)
                found[tenant] = Statement(round(bucket.level), round(bucket.used_per_s))
        return found

    def _bucket(self, tenant: str, limit: Limit, now_ms: float) -> _Bucket:
        bucket = self._buckets.get(tenant)
        if bucket is None:
            bucket = self._buckets[tenant] = _Bucket(limit, limit.burst, now_ms)
        bucket.refill(now_ms)
        return bucket
