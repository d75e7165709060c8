"""Whether a request of a tenant may be admitted here, by what ledgers said and what was admitted since."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.limits import ISOLATED_FRACTION, QuotaStatus, RateLimit

STATUS_VALID_MS = 900.0  # a statement older than this says nothing
ACTIVE_TENANT_MS = 10_000.0  # tenants are reported so long after their last request here
MEAN_UNITS_WEIGHT = 0.05  # of one request in the mean of what a tenant's requests take
STAGGER_FACTOR = 0.5  # of what all processes together admit if each admits one request
MAX_STAGGER_FRACTION = 0.5  # of the burst
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


@dataclass(slots=True)
class _ReceivedStatus:
    """One ledger's statement, and what was admitted here since the count it may include."""

    status: QuotaStatus
    received_ms: float
    admitted_units: float


@dataclass(slots=True)
class _TenantState:
    admitted_units: float = 0.0  # units admitted here in this life
    last_admitted_ms: float = -1.0
    received: dict[str, _ReceivedStatus] = field(default_factory=dict)  # by ledger
    reported_units: dict[str, float] = field(
        default_factory=dict
    )  # by ledger: the count that it was last told
    local_level: float = 0.0  # the bucket of a process alone
    local_level_ms: float = -1.0
    mean_units: float = 0.0  # of one request

    def record_request(self, units: float) -> None:
        """Counts one more request into the mean."""
        weight = MEAN_UNITS_WEIGHT if self.mean_units else 1.0
        self.mean_units += weight * (units - self.mean_units)


class QuotaLimiter:
    """Admits by the lowest of what the ledgers leave; alone, by a small bucket of its own."""

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self.process_count = 1  # how many share the limits, as far as is known
        self._limits: dict[str, RateLimit] = {}
        self._tenants: dict[str, _TenantState] = {}

    def set_limits(self, limits: dict[str, RateLimit]) -> None:
        """The tenants that have a limit from now on."""
        self._limits = limits

    def admit(self, tenant: str, units: float, now_ms: float) -> float:
        """0 where the request is admitted, and counted; else the seconds after which to come back."""
        limit = self._limits.get(tenant)
        if limit is None:
            return 0.0
        state = self._tenants.setdefault(tenant, _TenantState())
        state.record_request(units)
        left = self._remaining(state, limit, now_ms)
        if left <= 0.0:
            retry_after_s = -left / limit.rate_per_s if limit.rate_per_s > 0.0 else MAX_RETRY_AFTER_S
            return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        state.admitted_units += units
        state.last_admitted_ms = now_ms
        state.local_level -= units
        return 0.0

    def refund(self, tenant: str, units: float) -> None:
        """A request that was admitted here has not run and never will."""
        state = self._tenants.get(tenant)
        if state is not None and tenant in self._limits:
            state.admitted_units -= units
            state.local_level += units

    def _remaining(self, state: _TenantState, limit: RateLimit, now_ms: float) -> float:
        known = [
            self._remaining_by_status(received, state, limit, now_ms)
            for received in state.received.values()
            if now_ms < received.received_ms + STATUS_VALID_MS
        ]
        if known:
            state.local_level, state.local_level_ms = min(known) / max(1, self.process_count), now_ms
            return min(known) - self._stagger(state, limit)
        return self._remaining_isolated(state, limit, now_ms)

    def _stagger(self, state: _TenantState, limit: RateLimit) -> float:
        """How much must be left here for one more request of a tenant that presses; drawn anew for each.

        All processes hear at nearly the same time that something is left again. If each of many admitted one request
        then, they would pass the limit together. The mean request decides, so that large ones are not put behind.
        """
        if not any(received.status.is_oversubscribed for received in state.received.values()):
            return 0.0
        together = min(
            STAGGER_FACTOR * state.mean_units * self.process_count, MAX_STAGGER_FRACTION * limit.burst
        )
        return self._rng.random() * together

    def _remaining_by_status(
        self, received: _ReceivedStatus, state: _TenantState, limit: RateLimit, now_ms: float
    ) -> float:
        """Goes on from a statement: refilled since, less what was admitted here and, at their rate, elsewhere.

        The clients of a tenant that presses come back at the same moment to all processes, which all hear the same of
        what is left: each takes it that every other admits as much as it does itself.
        """
        passed_s = (now_ms - received.received_ms) / 1000.0
        here = state.admitted_units - received.admitted_units
        elsewhere = received.status.used_per_s * passed_s
        if received.status.is_oversubscribed:
            elsewhere = max(elsewhere, here * self.process_count)
        refilled = min(limit.burst, received.status.level + limit.rate_per_s * passed_s)
        return refilled - max(here, elsewhere)

    def _remaining_isolated(self, state: _TenantState, limit: RateLimit, now_ms: float) -> float:
        part = ISOLATED_FRACTION / max(1, self.process_count)
        if state.local_level_ms < 0.0:
            state.local_level, state.local_level_ms = limit.burst * part, now_ms
        refill = limit.rate_per_s * part * (now_ms - state.local_level_ms) / 1000.0
        state.local_level = min(limit.burst * part, state.local_level + refill)
        state.local_level_ms = now_ms
        return state.local_level

    def usage(self, controller: str, now_ms: float) -> dict[str, float]:
        """What to report to that ledger: the counts of tenants that were active of late."""
        found = {}
        for tenant, state in self._tenants.items():
            if state.last_admitted_ms >= 0.0 and now_ms < state.last_admitted_ms + ACTIVE_TENANT_MS:
                found[tenant] = state.admitted_units
                state.reported_units[controller] = state.admitted_units
        return found

    def receive_statuses(self, controller: str, statuses: dict[str, QuotaStatus], now_ms: float) -> None:
        """A ledger's answer to the last report."""
        for tenant, status in statuses.items():
            state = self._tenants.setdefault(tenant, _TenantState())
            state.received[controller] = _ReceivedStatus(
                status, now_ms, state.reported_units.get(controller, 0.0)
            )
