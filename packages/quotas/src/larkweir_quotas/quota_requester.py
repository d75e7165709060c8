"""Admission of tenants' requests at one process: it asks a controller for the units of each request.

A state machine without I/O: events in (`begin`, `on_decision`, `on_timeout`, `on_controller_lost`), steps out (`Query`,
`Admitted`, `Rejected`). Each controller hands out its own share of a limit, so one that refuses says nothing of the
others, which are asked in turn. Where none decides, the process' own reserve does.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import count
from random import Random

from larkweir_quotas.limits import RateLimit, Tolerance, check_units
from larkweir_quotas.local_reserve import LocalReserve
from larkweir_quotas.quota_allocator import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    QuotaDecision,
    QuotaOutcome,
)

MAX_UNANSWERED = 2  # controllers that do not answer in time, after which the reserve decides
RETRY_SPREAD = (
    0.5  # of the time after which a client should return, added at random, so that not all return together
)


class AdmissionRule(StrEnum):
    """By which rule a request was admitted or rejected."""

    UNLIMITED = "unlimited"  # the tenant has no limit, or the request uses no units
    GRANT = "grant"  # by a controller
    RESERVE = "reserve"  # by this process' own
    STATUS = "status"  # by what a usage table of an earlier version tells
    BACKOFF = "backoff"  # rejected without asking, as all controllers refused shortly before


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """An admitted request, and what was withdrawn for it; the receipt for a refund.

    Attributes:
        tenant: whose request it is.
        units: 0 where the tenant has no limit.
        rule: by which it was admitted.
        controller: that granted it; None for none.
    """

    tenant: str
    units: float
    rule: AdmissionRule
    controller: str | None = None


@dataclass(frozen=True, slots=True)
class QuotaRejection:
    """A request that would exceed its tenant's limit. Nothing was withdrawn.

    Attributes:
        retry_after_s: after which its client should retry.
        rule: by which it was rejected.
    """

    retry_after_s: float
    rule: AdmissionRule


@dataclass(frozen=True, slots=True)
class Query:
    """A controller is to be asked; then `on_decision` or, a while later, `on_timeout` is to be called."""

    request_id: int
    controller: str
    tenant: str
    units: float


Step = Query | QuotaCharge | QuotaRejection


@dataclass(slots=True)
class _Pending:
    """A request that waits for a controller's decision."""

    tenant: str
    units: float
    controllers: list[str]  # still to be asked, the next one last
    queried: str = ""
    unanswered: int = 0
    retry_after_s: float = math.inf  # the least of all that refused


@dataclass(slots=True)
class _TenantState:
    """What this process keeps of one tenant."""

    reserve: LocalReserve
    backoff_until_ms: float = -math.inf
    admitted: dict[AdmissionRule, float] = field(default_factory=dict)  # units


class QuotaRequester:
    """Owns the requests that wait for units, and this process' reserves. Times are of its monotonic clock.

    Attributes:
        process_count: how many processes share the limits; 0: not known reliably yet, so that reserves stay empty.
    """

    def __init__(self, tolerance: Tolerance | None = None, rng: Random | None = None) -> None:
        """Create a requester without limits, which admits everything."""
        self._tolerance = tolerance or Tolerance()
        self._rng = rng or Random()
        self.process_count = 0
        self._limits: dict[str, RateLimit] = {}
        self._tenants: dict[str, _TenantState] = {}
        self._granting_controllers: set[str] = set()  # controllers in reach that hold a share
        self._isolated_since_ms = -math.inf
        self._pending: dict[int, _Pending] = {}
        self._request_ids = count(1)

    def set_limits(self, limits: dict[str, RateLimit], now_ms: float) -> None:
        """Set the limits of all tenants that have one."""
        self._refill_all(now_ms)
        self._limits = limits
        for tenant in limits:
            self._state(tenant, now_ms)

    @property
    def limits(self) -> Mapping[str, RateLimit]:
        """By tenant."""
        return self._limits

    @property
    def has_granting_controller(self) -> bool:
        """Whether any controller in reach holds a share."""
        return bool(self._granting_controllers)

    def set_granting(self, controller: str, now_ms: float, *, is_granting: bool) -> None:
        """A controller in reach says whether it holds a share, or it was lost."""
        if is_granting:
            if not self._granting_controllers:
                self._refill_all(now_ms)
            self._granting_controllers.add(controller)
            self._isolated_since_ms = math.inf
        elif controller in self._granting_controllers:
            self._granting_controllers.discard(controller)
            if not self._granting_controllers:
                self._isolated_since_ms = now_ms

    def begin(self, tenant: str, units: float, now_ms: float) -> Step:
        """Admit a request, reject it, or tell whom to query.

        Args:
            tenant: whose request it is.
            units: what it uses of the limit; finite and not negative.
            now_ms: the present time.

        Raises:
            ValueError: `units` is no such number.
        """
        check_units(units)
        if units == 0.0 or tenant not in self._limits:
            return QuotaCharge(tenant, 0.0, AdmissionRule.UNLIMITED)
        state = self._state(tenant, now_ms)
        if now_ms < state.backoff_until_ms:
            return self.rejection((state.backoff_until_ms - now_ms) / 1000.0, AdmissionRule.BACKOFF)
        controllers = sorted(self._granting_controllers)
        self._rng.shuffle(controllers)
        return self._query_next(next(self._request_ids), _Pending(tenant, units, controllers), now_ms)

    def on_decision(
        self, request_id: int, controller: str, decision: QuotaDecision, now_ms: float
    ) -> Step | None:
        """A controller answered. None: nobody waits for that, and units that it granted are to be given back."""
        pending = self._pending.get(request_id)
        if pending is None or pending.queried != controller:
            return None
        del self._pending[request_id]
        if decision.outcome is QuotaOutcome.GRANTED:
            return self._admit(QuotaCharge(pending.tenant, pending.units, AdmissionRule.GRANT, controller))
        if decision.outcome is QuotaOutcome.REFUSED:
            pending.retry_after_s = min(pending.retry_after_s, decision.retry_after_s)
        return self._query_next(request_id, pending, now_ms)

    def on_timeout(self, request_id: int, controller: str, now_ms: float) -> Step | None:
        """A controller has not answered in time. None: it is no longer waited for."""
        pending = self._pending.get(request_id)
        if pending is None or pending.queried != controller:
            return None
        del self._pending[request_id]
        pending.unanswered += 1
        return self._query_next(request_id, pending, now_ms)

    def on_controller_lost(self, controller: str, now_ms: float) -> list[tuple[int, Step]]:
        """The connection to a controller has ended: the next steps of all requests that it was asked for, by id."""
        self.set_granting(controller, now_ms, is_granting=False)
        waiting = [(id_, one) for id_, one in self._pending.items() if one.queried == controller]
        steps = []
        for request_id, pending in waiting:
            del self._pending[request_id]
            steps.append((request_id, self._query_next(request_id, pending, now_ms)))
        return steps

    def refund(self, charge: QuotaCharge, now_ms: float) -> None:
        """Return the units of a request that was never executed to the reserve, if they are from there."""
        if charge.rule is AdmissionRule.RESERVE:
            self._state(charge.tenant, now_ms).reserve.refund(charge.units)

    def charge_again(self, charge: QuotaCharge, now_ms: float) -> str | None:
        """A request is executed once more. Returns the controller to be told of that; None: the reserve was charged."""
        if charge.units == 0.0:
            return None
        if self._granting_controllers:
            is_granting = charge.controller in self._granting_controllers
            return charge.controller if is_granting else self._rng.choice(sorted(self._granting_controllers))
        self._state(charge.tenant, now_ms).reserve.charge(charge.units)
        return None

    def admitted_units(self) -> dict[str, dict[AdmissionRule, float]]:
        """Units admitted since the start, by tenant and rule."""
        return {tenant: dict(state.admitted) for tenant, state in self._tenants.items() if state.admitted}

    def _query_next(self, request_id: int, pending: _Pending, now_ms: float) -> Step:
        while pending.controllers and pending.unanswered < MAX_UNANSWERED:
            controller = pending.controllers.pop()
            if controller in self._granting_controllers:
                pending.queried = controller
                self._pending[request_id] = pending
                return Query(request_id, controller, pending.tenant, pending.units)
        if pending.retry_after_s < math.inf:
            return self._back_off(pending, now_ms)
        return self._decide_locally(pending, now_ms)

    def _back_off(self, pending: _Pending, now_ms: float) -> QuotaRejection:
        """All that answered refused: ask none again before the units can be there."""
        backoff_ms = 1000.0 * pending.retry_after_s * self._rng.random()
        state = self._state(pending.tenant, now_ms)
        state.backoff_until_ms = max(state.backoff_until_ms, now_ms + backoff_ms)
        return self.rejection(pending.retry_after_s, AdmissionRule.GRANT)

    def _decide_locally(self, pending: _Pending, now_ms: float) -> Step:
        limit = self._limits.get(pending.tenant)
        if limit is None:
            return QuotaCharge(pending.tenant, 0.0, AdmissionRule.UNLIMITED)
        reserve = self._state(pending.tenant, now_ms).reserve
        if not reserve.admits(pending.units):
            missing = max(-reserve.level, reserve.missing(pending.units))
            per_s = limit.rate_per_s / max(1, self.process_count)
            return self.rejection(
                missing / per_s if per_s > 0.0 else MAX_RETRY_AFTER_S, AdmissionRule.RESERVE
            )
        reserve.charge(pending.units)
        return self._admit(QuotaCharge(pending.tenant, pending.units, AdmissionRule.RESERVE))

    def _admit(self, charge: QuotaCharge) -> QuotaCharge:
        admitted = self._tenants[charge.tenant].admitted
        admitted[charge.rule] = admitted.get(charge.rule, 0.0) + charge.units
        return charge

    def rejection(self, retry_after_s: float, rule: AdmissionRule) -> QuotaRejection:
        """Reject by that rule; clients are told to return after that time or a little later."""
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return QuotaRejection(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s * spread)), rule)

    def _state(self, tenant: str, now_ms: float) -> _TenantState:
        """The tenant's state, with its reserve refilled."""
        state = self._tenants.get(tenant)
        if state is None:
            state = self._tenants[tenant] = _TenantState(LocalReserve(self._rng, now_ms))
        self._refill(tenant, state, now_ms)
        return state

    def _refill(self, tenant: str, state: _TenantState, now_ms: float) -> None:
        limit = self._limits.get(tenant)
        if limit is not None and self.process_count:
            reserve = state.reserve
            reserve.refill(limit, self._tolerance, self.process_count, self._isolated_since_ms, now_ms)
        else:
            state.reserve.updated_ms = now_ms

    def _refill_all(self, now_ms: float) -> None:
        """Isolation ends: what accrued until now is the reserves'."""
        for tenant, state in self._tenants.items():
            self._refill(tenant, state, now_ms)
