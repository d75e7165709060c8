"""Admission of tenant requests in one process, which requests the units of each request from a controller.

A state machine without I/O: it takes events (`begin`, `on_decision`, `on_timeout`, `on_controller_lost`) and returns
steps (`Query`, `QuotaCharge`, `QuotaRejection`). Each controller grants units of its own share of a limit, so after a
refusal by one controller the others are queried in turn. If no controller decides, the local reserve of the process
does.
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

MAX_UNANSWERED = 2  # queries without an answer in time, after which no further controller is queried
# Largest random addition to a retry delay, as a fraction, so that clients do not all retry together.
RETRY_SPREAD = 0.5


class AdmissionRule(StrEnum):
    """The rule by which a request was admitted or rejected."""

    UNLIMITED = "unlimited"  # the tenant has no limit, or the request uses no units
    GRANT = "grant"  # controllers granted or refused the units
    RESERVE = "reserve"  # the local reserve of this process decided
    STATUS = "status"  # the reported bucket states of controllers without share leases decided
    BACKOFF = "backoff"  # rejected without a query, because all controllers refused shortly before


@dataclass(frozen=True, slots=True)
class QuotaCharge:
    """An admitted request and the units withdrawn for it, which a refund puts back.

    Attributes:
        tenant: the tenant that sent the request.
        units: withdrawn units; 0 if the tenant has no limit.
        rule: the rule by which the request was admitted.
        controller: the controller that granted the units; None if none did.
    """

    tenant: str
    units: float
    rule: AdmissionRule
    controller: str | None = None


@dataclass(frozen=True, slots=True)
class QuotaRejection:
    """A request that was rejected because it would exceed its tenant's limit. No units were withdrawn.

    Attributes:
        retry_after_s: time after which the client should retry.
        rule: the rule by which the request was rejected.
    """

    retry_after_s: float
    rule: AdmissionRule


@dataclass(frozen=True, slots=True)
class Query:
    """A query to send to a controller. The caller then calls `on_decision` or, without an answer, `on_timeout`."""

    request_id: int
    controller: str
    tenant: str
    units: float


Step = Query | QuotaCharge | QuotaRejection


@dataclass(slots=True)
class _Pending:
    """A request that is waiting for a controller's decision."""

    tenant: str
    units: float
    controllers: list[str]  # controllers still to be queried; the last element is queried next
    queried: str = ""
    unanswered: int = 0
    retry_after_s: float = math.inf  # the shortest of all refusals so far


@dataclass(slots=True)
class _TenantState:
    """The state of one tenant in this process."""

    reserve: LocalReserve
    backoff_until_ms: float = -math.inf
    admitted: dict[AdmissionRule, float] = field(default_factory=dict)  # units by rule


class QuotaRequester:
    """Admits or rejects tenant requests in one process. Times are milliseconds of its monotonic clock.

    Attributes:
        process_count: number of processes that share the limits; 0 while it is not known reliably, and reserves are
            not refilled until it is.
    """

    def __init__(self, tolerance: Tolerance | None = None, rng: Random | None = None) -> None:
        """Create a requester without limits, which admits everything."""
        self._tolerance = tolerance or Tolerance()
        self._rng = rng or Random()
        self.process_count = 0
        self._limits: dict[str, RateLimit] = {}
        self._tenants: dict[str, _TenantState] = {}
        self._granting_controllers: set[str] = set()  # connected controllers that hold a share
        self._isolated_since_ms = -math.inf
        self._pending: dict[int, _Pending] = {}
        self._request_ids = count(1)

    def set_limits(self, limits: dict[str, RateLimit], now_ms: float) -> None:
        """Set the limits by tenant. Tenants that are not in `limits` have no limit."""
        self._refill_all(now_ms)
        self._limits = limits
        for tenant in limits:
            self._state(tenant, now_ms)

    @property
    def limits(self) -> Mapping[str, RateLimit]:
        """The limits by tenant."""
        return self._limits

    @property
    def has_granting_controller(self) -> bool:
        """Whether any connected controller holds a share."""
        return bool(self._granting_controllers)

    def set_granting(self, controller: str, now_ms: float, *, is_granting: bool) -> None:
        """Record whether a controller is connected and holds a share."""
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
        """Admit a request, reject it, or return a query for a controller.

        Args:
            tenant: the tenant that sent the request.
            units: units of the limit that the request uses; finite and not negative.
            now_ms: the current time.

        Raises:
            ValueError: `units` is negative or not finite.
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
        """Handle a controller's answer.

        Returns None if the request no longer waits for this answer. The caller then refunds units that it granted.
        """
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
        """Handle a query that was not answered in time. Returns None if the request no longer waits for it."""
        pending = self._pending.get(request_id)
        if pending is None or pending.queried != controller:
            return None
        del self._pending[request_id]
        pending.unanswered += 1
        return self._query_next(request_id, pending, now_ms)

    def on_controller_lost(self, controller: str, now_ms: float) -> list[tuple[int, Step]]:
        """Handle the loss of a controller. Returns the id and next step of each request that waited for its answer."""
        self.set_granting(controller, now_ms, is_granting=False)
        waiting = [(id_, one) for id_, one in self._pending.items() if one.queried == controller]
        steps = []
        for request_id, pending in waiting:
            del self._pending[request_id]
            steps.append((request_id, self._query_next(request_id, pending, now_ms)))
        return steps

    def refund(self, charge: QuotaCharge, now_ms: float) -> None:
        """Put the units of a request that was never executed back into the reserve, if they were charged to it."""
        if charge.rule is AdmissionRule.RESERVE:
            self._state(charge.tenant, now_ms).reserve.refund(charge.units)

    def charge_again(self, charge: QuotaCharge, now_ms: float) -> str | None:
        """Charge a further execution of a request.

        Returns the controller to which the caller must report the execution. None: the reserve was charged, or the
        request uses no units.
        """
        if charge.units == 0.0:
            return None
        if self._granting_controllers:
            is_granting = charge.controller in self._granting_controllers
            return charge.controller if is_granting else self._rng.choice(sorted(self._granting_controllers))
        self._state(charge.tenant, now_ms).reserve.charge(charge.units)
        return None

    def admitted_units(self) -> dict[str, dict[AdmissionRule, float]]:
        """Return the units admitted since the start of the process, by tenant and rule."""
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
        """Reject a request that all answering controllers refused.

        For a random part of the retry delay, the tenant's requests are rejected without a query, because the units
        cannot be available yet.
        """
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
        """Return a rejection by that rule, with a random addition to the retry delay."""
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return QuotaRejection(min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s * spread)), rule)

    def _state(self, tenant: str, now_ms: float) -> _TenantState:
        """Return the tenant's state, with its reserve refilled."""
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
        """Refill all reserves by the limits and the isolation state that were in force until now."""
        for tenant, state in self._tenants.items():
            self._refill(tenant, state, now_ms)
