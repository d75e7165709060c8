"""Admission of tenants' requests at one process, by what usage tables report and what was admitted here since.

No request waits for a message: the limiter extrapolates from the last status of each table.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.limits import ISOLATED_FRACTION, SCARCE_FRACTION, QuotaSnapshot, QuotaStatus, RateLimit
from larkweir_quotas.local_bucket import LocalBucket

STATUS_VALID_MS = 900.0  # a status is not extrapolated for longer
QUIET_MS = 400.0  # between two answers, which several tables give in turn
ACTIVE_TENANT_MS = 10_000.0  # a tenant's usage is reported for so long after its last request here
MEAN_UNITS_WEIGHT = 0.05  # of one request in the moving average of a tenant's units per request
REJOIN_MS = 2_000.0  # after isolation: tables that answer by then may have heard of few processes themselves
STAGGER_FACTOR = 0.5  # of what all processes together admit if each admits one request
MAX_STAGGER_FRACTION = 0.5  # of the burst
RUNNING_DRY_FRACTION = 0.5  # of the burst
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """An admitted request, and what it was charged; the receipt for a refund."""

    tenant: str
    units: float  # 0 where the tenant had no limit


@dataclass(frozen=True, slots=True)
class QuotaRejection:
    """A request that would exceed its tenant's limit. Nothing was charged."""

    retry_after_s: float  # after which its client should retry


@dataclass(slots=True)
class _ReceivedStatus:
    """The last status from one table, and the usage that it may include."""

    status: QuotaStatus
    received_ms: float
    admitted_units: float


@dataclass(slots=True)
class _TenantState:
    """What this process knows of one tenant."""

    admitted_units: float = 0.0  # since this process started
    last_admitted_ms: float = -1.0
    received: dict[str, _ReceivedStatus] = field(default_factory=dict)  # by controller
    reported_units: dict[str, float] = field(default_factory=dict)  # by controller, in the last report
    local: LocalBucket | None = None  # used while no controller is in reach
    mean_units: float = 0.0  # moving average over requests

    def record_request(self, units: float) -> None:
        """Count one more request into the moving average."""
        weight = MEAN_UNITS_WEIGHT if self.mean_units else 1.0
        self.mean_units += weight * (units - self.mean_units)


class QuotaLimiter:
    """Admits by the lowest level that a usage table leaves, or by a small local token bucket where none is in reach.

    All times are milliseconds of this process' monotonic clock.

    Attributes:
        process_count: how many processes share the limits, as far as is known.
    """

    def __init__(self, rng: Random | None = None) -> None:
        """Create a limiter without limits, which admits everything."""
        self._rng = rng or Random()
        self.process_count = 1
        self._limits: dict[str, RateLimit] = {}
        self._tenants: dict[str, _TenantState] = {}
        self._reported_ms: dict[str, float] = {}  # by controller, the last report to it
        self._answered_ms: dict[str, float] = {}  # by controller, its last answer to a report

    def set_limits(self, limits: dict[str, RateLimit]) -> None:
        """Set the limits of all tenants that have one."""
        self._limits = limits

    def admit(self, tenant: str, units: float, now_ms: float) -> QuotaCharge | QuotaRejection:
        """Admit a request and charge it, or tell when to retry it.

        Args:
            tenant: whose request it is.
            units: what it uses of the limit; finite and not negative.
            now_ms: the present time.

        Raises:
            ValueError: `units` would lower the tenant's usage, or is no number.
        """
        if not 0.0 <= units < math.inf:
            raise ValueError(f"units of a request: {units}")
        limit = self._limits.get(tenant)
        if limit is None:
            return QuotaCharge(tenant, 0.0)
        state = self._tenants.setdefault(tenant, _TenantState())
        state.record_request(units)
        levels = self._levels(state, limit, now_ms)
        if levels:
            remaining = min(levels) - max(self._stagger(state, limit), self._silence_reserve(state, now_ms))
            if remaining <= 0.0:
                return _rejection(-remaining, limit.rate_per_s)
            if state.local is not None:
                state.local.share -= units
        else:
            local = self._local_bucket(state, limit, now_ms)
            if not local.admits(units):
                return _rejection(max(-local.level, local.missing(units)), limit.rate_per_s)
            local.charge(units)
        state.admitted_units += units
        state.last_admitted_ms = now_ms
        return QuotaCharge(tenant, units)

    def refund(self, charge: QuotaCharge) -> None:
        """Return the units of an admitted request that was never executed; once for each charge."""
        state = self._tenants.get(charge.tenant)
        if state is not None:
            state.admitted_units -= charge.units
            if state.local is not None:
                state.local.refund(charge.units)

    def usage(self, controller: str, now_ms: float) -> dict[str, float]:
        """Return the report for a controller: units admitted since the start, by recently active tenant."""
        self._reported_ms[controller] = now_ms
        units_by_tenant = {}
        for tenant, state in self._tenants.items():
            if state.last_admitted_ms >= 0.0 and now_ms < state.last_admitted_ms + ACTIVE_TENANT_MS:
                units_by_tenant[tenant] = state.admitted_units
                state.reported_units[controller] = state.admitted_units
        return units_by_tenant

    def snapshot(self, now_ms: float) -> QuotaSnapshot | None:
        """Return what this process knows of the levels, for a usage table that it connects to; None for nothing."""
        if not self._answered_ms or not self._limits:
            return None
        processes = max(1, self.process_count)
        levels: dict[str, float] = {}
        for tenant, limit in self._limits.items():
            state = self._tenants.setdefault(tenant, _TenantState())
            is_known = bool(self._levels(state, limit, now_ms))
            if state.local is not None and now_ms < state.local.updated_ms + REJOIN_MS:
                state.local.refill(limit, processes, ISOLATED_FRACTION, now_ms)
                levels[tenant] = round(state.local.share * processes)
            elif is_known:
                valid = [one for one in state.received.values() if now_ms < one.received_ms + STATUS_VALID_MS]
                levels[tenant] = round(self._level_by_own_use(state, valid, limit, now_ms))
            else:
                levels[tenant] = round(self._local_bucket(state, limit, now_ms).share * processes)
        return QuotaSnapshot(levels, processes)

    def receive_statuses(self, controller: str, statuses: dict[str, QuotaStatus], now_ms: float) -> None:
        """Take in a controller's answer to the last report.

        An answer that took longer than a status is valid was not read at once, as after a pause of this process. It may
        be as old as the report, and counts as received when it was due.
        """
        received_ms = min(now_ms, self._reported_ms.get(controller, now_ms) + STATUS_VALID_MS)
        if not self._answered_ms:  # what was assumed before was that of a process alone
            for state in self._tenants.values():
                state.local = None
        self._answered_ms[controller] = received_ms
        for tenant, status in statuses.items():
            state = self._tenants.setdefault(tenant, _TenantState())
            reported_units = state.reported_units.get(controller, 0.0)
            state.received[controller] = _ReceivedStatus(status, received_ms, reported_units)

    def _level_by_own_use(
        self, state: _TenantState, statuses: list[_ReceivedStatus], limit: RateLimit, now_ms: float
    ) -> float:
        """The level if all processes had used as much since those statuses as this one: right in their sum."""
        levels = []
        for one in statuses:
            refilled = one.status.level + limit.rate_per_s * (now_ms - one.received_ms) / 1000.0
            here = state.admitted_units - one.admitted_units
            levels.append(min(limit.burst, refilled) - here * max(1, self.process_count))
        return min(levels)

    def _levels(self, state: _TenantState, limit: RateLimit, now_ms: float) -> list[float]:
        """Units that each table in reach leaves; empty where none is."""
        valid = [one for one in state.received.values() if now_ms < one.received_ms + STATUS_VALID_MS]
        if not valid:
            valid = self._assume_not_scarce(state, limit, now_ms)
        return [self._remaining_by_status(received, state, limit, now_ms) for received in valid]

    def _assume_not_scarce(
        self, state: _TenantState, limit: RateLimit, now_ms: float
    ) -> list[_ReceivedStatus]:
        """Assume that the tenant is not scarce, where a table is in reach: it would have told of that unasked."""
        for controller, answered_ms in self._answered_ms.items():
            if now_ms < answered_ms + STATUS_VALID_MS:
                return [self._assume_status(state, limit, controller)]
        return []

    def _assume_status(self, state: _TenantState, limit: RateLimit, controller: str) -> _ReceivedStatus:
        """Assume the least level at which that table would not have told of the tenant in its last answer."""
        status = QuotaStatus(limit.burst * SCARCE_FRACTION, 0.0)
        reported_units = state.reported_units.get(controller, state.admitted_units)
        received = _ReceivedStatus(status, self._answered_ms[controller], reported_units)
        state.received[controller] = received
        return received

    def _remaining_by_status(
        self, received: _ReceivedStatus, state: _TenantState, limit: RateLimit, now_ms: float
    ) -> float:
        """Extrapolate a status: add the refill since, subtract what was admitted here and, by estimate, elsewhere.

        Clients of an oversubscribed tenant retry at the same moment at all processes, which all received the same
        level: each process then assumes that every other one admits as much as it does itself.
        """
        elapsed_s = (now_ms - received.received_ms) / 1000.0
        here = state.admitted_units - received.admitted_units
        elsewhere = received.status.used_per_s * elapsed_s
        if received.status.is_oversubscribed or _is_running_dry(received.status, limit):
            elsewhere = max(elsewhere, here * self.process_count)
        refilled = min(limit.burst, received.status.level + limit.rate_per_s * elapsed_s)
        return refilled - max(here, elsewhere)

    def _stagger(self, state: _TenantState, limit: RateLimit) -> float:
        """Units that must remain for one more request; drawn anew for each request.

        All processes learn at nearly the same time what is left. If each of many admitted one request then, they would
        exceed the limit together. Of an oversubscribed tenant any number may press at that moment, of others as many
        as did lately. The mean request decides, so that large requests are not put at a disadvantage.
        """
        one_request_each = STAGGER_FACTOR * state.mean_units * self.process_count
        most = min(one_request_each, MAX_STAGGER_FRACTION * limit.burst)
        statuses = [received.status for received in state.received.values()]
        if not any(status.is_oversubscribed for status in statuses):
            used_per_s = max((status.used_per_s for status in statuses), default=0.0)
            most = min(most, used_per_s * STATUS_VALID_MS / 1000.0)
        return self._rng.random() * most

    def _silence_reserve(self, state: _TenantState, now_ms: float) -> float:
        """Units that must remain when no table has answered for a while; drawn anew for each request.

        The tenant may have become busy since at all processes. The reserve grows to that of an isolated process, for
        which an equal part of the level must reach a random fraction of a request.
        """
        silent_ms = now_ms - max(self._answered_ms.values()) - QUIET_MS
        if silent_ms <= 0.0:
            return 0.0
        one_request_each = state.mean_units * (self.process_count - 1)
        return self._rng.random() * one_request_each * silent_ms / (STATUS_VALID_MS - QUIET_MS)

    def _local_bucket(self, state: _TenantState, limit: RateLimit, now_ms: float) -> LocalBucket:
        """Refill the local token bucket. It goes on from an equal part of the level that was known last."""
        processes = max(1, self.process_count)
        is_new = state.local is None
        if state.local is None:
            part = limit.burst / processes
            state.local = LocalBucket(self._rng, part * ISOLATED_FRACTION, part * SCARCE_FRACTION, now_ms)
        latest = self._latest_statuses(state, limit)
        if latest:
            expired_ms = max(one.received_ms for one in latest) + STATUS_VALID_MS
            if is_new or expired_ms > state.local.updated_ms:
                level = min(self._remaining_by_status(one, state, limit, expired_ms) for one in latest)
                known = self._level_by_own_use(state, latest, limit, expired_ms)
                state.local.restart(level / processes, known / processes, expired_ms)
        state.local.refill(limit, processes, ISOLATED_FRACTION, now_ms)
        return state.local

    def _latest_statuses(self, state: _TenantState, limit: RateLimit) -> list[_ReceivedStatus]:
        """What was known when a table was in reach last; empty if none ever was."""
        last_ms = max((one.received_ms for one in state.received.values()), default=-math.inf)
        if self._answered_ms:
            controller = max(self._answered_ms, key=self._answered_ms.__getitem__)
            if self._answered_ms[controller] >= last_ms + STATUS_VALID_MS:
                return [self._assume_status(state, limit, controller)]
        return [one for one in state.received.values() if one.received_ms > last_ms - STATUS_VALID_MS]


def _is_running_dry(status: QuotaStatus, limit: RateLimit) -> bool:
    """Whether a tenant uses more than its rate and has used most of its burst, so that it is about to press."""
    return status.used_per_s > limit.rate_per_s and status.level < RUNNING_DRY_FRACTION * limit.burst


def _rejection(missing: float, rate_per_s: float) -> QuotaRejection:
    """Tell to retry when what is missing has accrued."""
    retry_after_s = missing / rate_per_s if rate_per_s > 0.0 else MAX_RETRY_AFTER_S
    return QuotaRejection(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s)))
