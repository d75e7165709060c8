"""Grants units of tenant limits at one controller, from token buckets for the controller's share of the limits.

Units are withdrawn before they are granted, and shares are leased (`share_leases`). So all controllers together grant
no more than the limits allow, even during a network partition. A restarted controller may already have granted the
units of its buckets before the restart, so its buckets start with no more than a part of the tolerated excess.
"""

from __future__ import annotations

from collections.abc import Iterable, Set
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

LARGEST_REQUEST_DECAY = 0.98  # factor on the size of the largest request, applied at each further request
MAX_THRESHOLD_FRACTION = 0.5  # of a bucket's capacity
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
FORGET_AFTER_MS = (
    60_000.0  # from a limit's removal; routers may enforce the configuration before it meanwhile
)


class QuotaOutcome(StrEnum):
    """A controller's answer to a process that requests units."""

    GRANTED = "granted"
    REFUSED = "refused"
    UNDECIDED = "undecided"  # no share now, or a configuration older than that of the process


@dataclass(frozen=True, slots=True)
class QuotaDecision:
    """The answer to one request for units.

    Attributes:
        outcome: whether the units were granted.
        retry_after_s: time after which the units may be available; 0 unless refused.
    """

    outcome: QuotaOutcome
    retry_after_s: float = 0.0


UNDECIDED = QuotaDecision(QuotaOutcome.UNDECIDED)
GRANTED = QuotaDecision(QuotaOutcome.GRANTED)


@dataclass(slots=True)
class _TenantQuota:
    """A tenant's bucket at this controller, and the size of its largest recent request.

    Attributes:
        fleet_limit: the limit of all controllers together.
        bucket: the bucket for this controller's share.
        max_debt: by how much the level of the bucket may fall below zero.
        largest_units: units of the largest recent request, decaying with each further request.
        removed_ms: when the limit was removed from the configuration; None while it is in force.
    """

    fleet_limit: RateLimit
    bucket: TokenBucket
    max_debt: float = 0.0
    largest_units: float = 0.0
    removed_ms: float | None = None

    def threshold(self, units: float) -> float:
        """Return the level at which a request of any size is granted, so that small requests have no advantage.

        A large request may leave a debt of `max_debt`. The debt may be larger if the bucket's capacity is small
        compared with such a request.
        """
        self.largest_units = max(units, LARGEST_REQUEST_DECAY * self.largest_units)
        threshold = max(0.0, self.largest_units - self.max_debt)
        return min(threshold, MAX_THRESHOLD_FRACTION * self.bucket.limit.burst)

    def can_be_forgotten(self, now_ms: float) -> bool:
        """Whether the limit was removed long ago and its tenant, if added again, would have its burst anyway."""
        if self.removed_ms is None or now_ms < self.removed_ms + FORGET_AFTER_MS:
            return False
        return self.bucket.level >= self.bucket.limit.burst


class QuotaAllocator:
    """Grants units from the token buckets of one controller. Times are milliseconds of its monotonic clock."""

    def __init__(self, tolerance: Tolerance | None = None) -> None:
        """Create an allocator without limits and share. `tolerance`: by how much limits may be exceeded."""
        self._tolerance = tolerance or Tolerance()
        self._tenants: dict[str, _TenantQuota] = {}
        self._share = 0
        self._expires_ms = 0.0
        self._rate_fraction = 1.0
        self.granted_units: dict[str, float] = {}  # by tenant, since the start of the process
        self.refused_units: dict[str, float] = {}

    def set_limits(
        self, limits: dict[str, RateLimit], now_ms: float, *, controllers: int, is_restart: bool
    ) -> None:
        """Set the limits of all tenants. Tenants that already had a limit keep their bucket level.

        A removed limit is kept for a while: routers that have not removed it still request its units, and a tenant that
        is added again has what its bucket has left.

        Args:
            limits: by tenant.
            now_ms: the current time.
            controllers: number of controllers; each fills an equal part of a new tenant's bucket.
            is_restart: the controller has restarted, so tenants may already have used their limits.
        """
        self._refill_all(now_ms)
        self._remove_all_but(limits.keys(), now_ms)
        for tenant, limit in limits.items():
            quota = self._tenants.get(tenant)
            tolerated = self._tolerance.units(limit) / controllers
            if quota is None:
                part = limit.burst / controllers
                level = min(part, RESTARTS_FRACTION * tolerated) if is_restart else part
                quota = self._tenants[tenant] = _TenantQuota(limit, TokenBucket(limit, level, now_ms))
            quota.fleet_limit, quota.max_debt = limit, DEBTS_FRACTION * tolerated
            quota.removed_ms = None
        self._apply_share()

    @property
    def tenants(self) -> Set[str]:
        """The tenants whose limits are in force, or were removed and are not forgotten yet."""
        return self._tenants.keys()

    def _remove_all_but(self, tenants: Set[str], now_ms: float) -> None:
        """Mark all other limits as removed, and forget those that were removed long ago."""
        for tenant in self._tenants.keys() - tenants:
            quota = self._tenants[tenant]
            if quota.removed_ms is None:
                quota.removed_ms = now_ms
            elif quota.can_be_forgotten(now_ms):
                del self._tenants[tenant]

    def set_share(self, share: int, expires_ms: float, now_ms: float) -> None:
        """Set the leased share, a part of `TOTAL_SHARE`, which is valid until `expires_ms`."""
        if share != self._share:
            self._refill_all(now_ms)
            self._share = share
            self._apply_share()
        elif now_ms >= self._expires_ms:
            self._refill_all(now_ms)
        self._expires_ms = expires_ms

    def set_rate_fraction(self, fraction: float, now_ms: float) -> None:
        """Grant only that fraction of the rates; the rest is reserved for processes that reach no controller."""
        if fraction != self._rate_fraction:
            self._refill_all(now_ms)
            self._rate_fraction = fraction
            self._apply_share()

    def request(self, tenant: str, units: float, now_ms: float) -> QuotaDecision:
        """Withdraw units for a process if they are available.

        Args:
            tenant: the tenant whose limit is charged.
            units: units that the tenant's request uses; finite and not negative.
            now_ms: the current time.

        Raises:
            ValueError: `units` is negative or not finite.
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
        """Withdraw units that were used without being requested. The level may become negative."""
        quota = self._tenants.get(tenant)
        if quota is not None:
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.charge(units)

    def refund(self, tenant: str, units: float, now_ms: float) -> None:
        """Put back units that this controller granted but the process did not use."""
        quota = self._tenants.get(tenant)
        if quota is not None:
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.refund(units)

    def has_share(self, now_ms: float) -> bool:
        """Return whether this controller may grant units now."""
        return self._share > 0 and now_ms < self._expires_ms

    def share(self, now_ms: float) -> int:
        """Return the part of `TOTAL_SHARE` from which this controller may grant units now."""
        return self._share if self.has_share(now_ms) else 0

    def statuses(self, tenants: Iterable[str], now_ms: float) -> dict[str, QuotaStatus]:
        """Return the state of the fleet's limits, extrapolated from this share, for processes without share leases."""
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
        """Return the part of the used `units` that this controller charges, if usage is reported to all controllers."""
        return units * self._share / TOTAL_SHARE if self.has_share(now_ms) else 0.0

    def _refill_all(self, now_ms: float) -> None:
        """Refill all buckets up to now, but not beyond the end of the lease."""
        for quota in self._tenants.values():
            quota.bucket.refill(min(now_ms, self._expires_ms))
            quota.bucket.updated_ms = now_ms

    def _apply_share(self) -> None:
        """Set the rates and capacities of the buckets. Without a share the levels are kept but cannot be used."""
        part = self._share / TOTAL_SHARE
        for quota in self._tenants.values():
            rate_per_s = quota.fleet_limit.rate_per_s * part * self._rate_fraction
            quota.bucket.set_limit(RateLimit(rate_per_s, quota.fleet_limit.burst * (part or 1.0)))


def _retry_after_s(missing: float, rate_per_s: float) -> float:
    """Return the time until the missing units have accrued, bounded for clients."""
    retry_after_s = missing / rate_per_s if rate_per_s > 0.0 else MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
