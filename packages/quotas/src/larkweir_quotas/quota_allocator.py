"""What one controller hands out of all tenants' limits: token buckets for its share of them.

Units are withdrawn before they are handed out, and a share is leased (`share_leases`), so all controllers together hand
out no more than the limits yield, whoever is cut off from whom. A controller that returns without memory hands out no
more at first than limits tolerate beyond that: what its buckets held may be out already.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from larkweir_quotas.limits import (
    DEBTS_FRACTION,
    RESTARTS_FRACTION,
    QuotaStatus,
    RateLimit,
    Tolerance,
    check_units,
)
from larkweir_quotas.share_leases import TOTAL_SHARE
from larkweir_quotas.token_bucket import TokenBucket

LARGEST_REQUEST_DECAY = 0.98  # of the largest request's size, at each further request
MAX_THRESHOLD_FRACTION = 0.5  # of a bucket's capacity
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class QuotaOutcome(StrEnum):
    """How a controller answers a process that asks for units."""

    GRANTED = "granted"
    REFUSED = "refused"
    UNDECIDED = "undecided"  # it holds no share at present, or an older configuration than the process


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The answer to one request for units.

    Attributes:
        outcome: whether they were withdrawn.
        retry_after_s: after which the units may be there; 0 unless refused.
    """

    outcome: QuotaOutcome
    retry_after_s: float = 0.0


UNDECIDED = QuotaDecision(QuotaOutcome.UNDECIDED)
GRANTED = QuotaDecision(QuotaOutcome.GRANTED)


@dataclass(slots=True)
class _TenantQuota:
    """A tenant's bucket here, and the size of its large requests.

    Attributes:
        fleet_limit: the limit of all controllers together.
        bucket: of this controller's share.
        max_debt: by how much its level may fall below zero here.
        largest_units: of the largest request of late.
    """

    fleet_limit: RateLimit
    bucket: TokenBucket
    max_debt: float = 0.0
    largest_units: float = 0.0

    def threshold(self, units: float) -> float:
        """The level from which on a request of any size is admitted, so that no size has an advantage.

        A large request may leave a debt of `max_debt`; where the bucket holds little more than such a request, a
        larger one.
        """
        self.largest_units = max(units, LARGEST_REQUEST_DECAY * self.largest_units)
        threshold = max(0.0, self.largest_units - self.max_debt)
        return min(threshold, MAX_THRESHOLD_FRACTION * self.bucket.limit.burst)


class QuotaAllocator:
    """Owns the buckets of one controller. Times are milliseconds of its monotonic clock."""

    def __init__(self, tolerance: Tolerance | None = None) -> None:
        """Know no limits and hold no share. `tolerance`: by how much limits may be exceeded."""
        self._tolerance = tolerance or Tolerance()
        self._tenants: dict[str, _TenantQuota] = {}
        self._share = 0
        self._expires_ms = 0.0
        self._rate_fraction = 1.0
        self.granted_units: dict[str, float] = {}  # by tenant, since the start
        self.refused_units: dict[str, float] = {}

    def set_limits(
        self, limits: dict[str, RateLimit], now_ms: float, *, controllers: int, is_restart: bool
    ) -> None:
        """Set the limits of all tenants that have one; buckets of those that keep one keep their level.

        Args:
            limits: by tenant.
            now_ms: the present.
            controllers: that fill an equal part each of a new tenant's bucket.
            is_restart: tenants that are new here may have used their limits before.
        """
        self._refill_all(now_ms)
        self._tenants = {tenant: quota for tenant, quota in self._tenants.items() if tenant in limits}
        for tenant, limit in limits.items():
            quota = self._tenants.get(tenant)
            tolerated = self._tolerance.units(limit) / controllers
            if quota is None:
                part = limit.burst / controllers
                level = min(part, RESTARTS_FRACTION * tolerated) if is_restart else part
                quota = self._tenants[tenant] = _TenantQuota(limit, TokenBucket(limit, level, now_ms))
            quota.fleet_limit, quota.max_debt = limit, DEBTS_FRACTION * tolerated
        self._apply_share()

    def set_share(self, share: int, expires_ms: float, now_ms: float) -> None:
        """Take a lease of a part of `TOTAL_SHARE`, until `expires_ms`."""
        if share != self._share:
            self._refill_all(now_ms)
            self._share = share
            self._apply_share()
        elif now_ms >= self._expires_ms:
            self._refill_all(now_ms)
        self._expires_ms = expires_ms

    def set_rate_fraction(self, fraction: float, now_ms: float) -> None:
        """Hand out only that fraction of the rates: the rest is reserved for processes that reach no controller."""
        if fraction != self._rate_fraction:
            self._refill_all(now_ms)
            self._rate_fraction = fraction
            self._apply_share()

    def request(self, tenant: str, units: float, now_ms: float) -> QuotaDecision:
        """Withdraw units for a process, if they are there.

        Args:
            tenant: who uses them.
            units: that a request uses; finite and not negative.
            now_ms: the present.

        Raises:
            ValueError: `units` is no such number.
        """
        check_units(units)
        if not self.has_share(now_ms):
            return UNDECIDED
        quota = self._tenants.get(tenant)
        if quota is None:
            return GRANTED
        quota.bucket.refill(now_ms)
        missing = quota.threshold(units) - quota.bucket.level
        if missing > 0.0:
            self.refused_units[tenant] = self.refused_units.get(tenant, 0.0) + units
            return QuotaDecision(QuotaOutcome.REFUSED, _retry_after_s(missing, quota.bucket.limit.rate_per_s))
        quota.bucket.charge(units)
        self.granted_units[tenant] = self.granted_units.get(tenant, 0.0) + units
        return GRANTED

    def charge(self, tenant: str, units: float, now_ms: float) -> None:
        """Withdraw what was used without a request for it, into debt if need be."""
        quota = self._tenants.get(tenant)
        if quota is not None:
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.charge(units)

    def refund(self, tenant: str, units: float, now_ms: float) -> None:
        """Take back units that this controller granted to a process and that were not used."""
        quota = self._tenants.get(tenant)
        if quota is not None:
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.refund(units)

    def has_share(self, now_ms: float) -> bool:
        """Whether this controller may hand out anything now."""
        return self._share > 0 and now_ms < self._expires_ms

    def share(self, now_ms: float) -> int:
        """The part of `TOTAL_SHARE` that this controller may hand out now."""
        return self._share if self.has_share(now_ms) else 0

    def statuses(self, tenants: Iterable[str], now_ms: float) -> dict[str, QuotaStatus]:
        """Return what is left of whole limits, for processes that know no share leases."""
        if not self.has_share(now_ms):
            return {}
        statuses = {}
        for tenant in tenants:
            quota = self._tenants.get(tenant)
            if quota is not None:
                quota.bucket.refill(now_ms)
                fleet_factor = TOTAL_SHARE / self._share
                used_per_s = round(quota.bucket.used_per_s * fleet_factor)
                level = round(quota.bucket.level * fleet_factor)
                statuses[tenant] = QuotaStatus(level, used_per_s, level <= 0)
        return statuses

    def share_of(self, units: float, now_ms: float) -> float:
        """The part of a use, reported to all controllers, that this one has to charge."""
        return units * self._share / TOTAL_SHARE if self.has_share(now_ms) else 0.0

    def _refill_all(self, now_ms: float) -> None:
        """Nothing accrues behind the end of a lease."""
        for quota in self._tenants.values():
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.updated_ms = now_ms

    def _apply_share(self) -> None:
        """Set the buckets' rates and capacities. Without a share they keep their levels, which nobody can use then."""
        part = self._share / TOTAL_SHARE
        for quota in self._tenants.values():
            rate_per_s = quota.fleet_limit.rate_per_s * part * self._rate_fraction
            quota.bucket.set_limit(RateLimit(rate_per_s, quota.fleet_limit.burst * (part or 1.0)))


def _retry_after_s(missing: float, rate_per_s: float) -> float:
    """When what is missing has accrued."""
    retry_after_s = missing / rate_per_s if rate_per_s > 0.0 else MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
