"""Whether a request of a tenant may be admitted here, by what ledgers said and what was admitted since."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_quotas.ledger import ALONE_SHARE, Limit, Statement

FRESH_MS = 900.0  # a statement older than this says nothing
ACTIVE_MS = 10_000.0  # tenants are reported so long after their last request here
MEAN_WEIGHT = 0.05  # of one request in the mean of what a tenant's requests take
STAGGER = 0.5  # of what all processes together admit if each admits one request
STAGGER_MOST = 0.5  # of the burst
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0


@dataclass(slots=True)
class _Heard:
    """One ledger's statement, and what was admitted here since the count it may include."""

    statement: Statement
    at_ms: float
    count: float


@dataclass(slots=True)
class _Tenant:
    count: float = 0.0  # units admitted here in this life
    used_ms: float = -1.0
    heard: dict[str, _Heard] = field(default_factory=dict)  # by ledger
    reported: dict[str, float] = field(default_factory=dict)  # by ledger: the count that it was last told
    level: float = 0.0  # the bucket of a process alone
    level_ms: float = -1.0
    mean_units: float = 0.0  # of one request

    def asked(self, units: float) -> None:
        """Counts one more request into the mean."""
        weight = MEAN_WEIGHT if self.mean_units else 1.0
        self.mean_units += weight * (units - self.mean_units)


class QuotaLimiter:
    """Admits by the lowest of what the ledgers leave; alone, by a small bucket of its own."""

    def __init__(self, rng: Random | None = None) -> None:
        self._rng = rng or Random()
        self.processes = 1  # how many share the limits, as far as is known
        self._limits: dict[str, Limit] = {}
        self._tenants: dict[str, _Tenant] = {}

    def set_limits(self, limits: dict[str, Limit]) -> None:
        """The tenants that have a limit from now on."""
        self._limits = limits

    def admit(self, tenant: str, units: float, now_ms: float) -> float:
        """0 where the request is admitted, and counted; else the seconds after which to come back."""
        limit = self._limits.get(tenant)
        if limit is None:
            return 0.0
        state = self._tenants.setdefault(tenant, _Tenant())
        state.asked(units)
        left = self._left(state, limit, now_ms)
        if left <= 0.0:
            back_s = -left / limit.rate_per_s if limit.rate_per_s > 0.0 else MAX_RETRY_S
            return min(MAX_RETRY_S, max(MIN_RETRY_S, back_s))
        state.count += units
        state.used_ms = now_ms
        state.level -= units
        return 0.0

    def refund(self, tenant: str, units: float) -> None:
        """A request that was admitted here has not run and never will."""
        state = self._tenants.get(tenant)
        if state is not None and tenant in self._limits:
            state.count -= units
            state.level += units

    def _left(self, state: _Tenant, limit: Limit, now_ms: float) -> float:
        known = [
            self._by_ledger(heard, state, limit, now_ms)
            for heard in state.heard.values()
            if now_ms < heard.at_ms + FRESH_MS
        ]
        if known:
            state.level, state.level_ms = min(known) / max(1, self.processes), now_ms
            return min(known) - self._stagger(state, limit)
        return self._alone(state, limit, now_ms)

    def _stagger(self, state: _Tenant, limit: Limit) -> float:
        """How much must be left here for one more request of a tenant that presses; drawn anew for each.

        All processes hear at nearly the same time that something is left again. If each of many admitted one request
        then, they would pass the limit together. The mean request decides, so that large ones are not put behind.
        """
        if not any(heard.statement.pressed for heard in state.heard.values()):
            return 0.0
        together = min(STAGGER * state.mean_units * self.processes, STAGGER_MOST * limit.burst)
        return self._rng.random() * together

    def _by_ledger(self, heard: _Heard, state: _Tenant, limit: Limit, now_ms: float) -> float:
        """Goes on from a statement: refilled since, less what was admitted here and, at their rate, elsewhere.

        The clients of a tenant that presses come back at the same moment to all processes, which all hear the same of
        what is left: each takes it that every other admits as much as it does itself.
        """
        passed_s = (now_ms - heard.at_ms) / 1000.0
        here = state.count - heard.count
        elsewhere = heard.statement.used_per_s * passed_s
        if heard.statement.pressed:
            elsewhere = max(elsewhere, here * self.processes)
        refilled = min(limit.burst, heard.statement.level + limit.rate_per_s * passed_s)
        return refilled - max(here, elsewhere)

    def _alone(self, state: _Tenant, limit: Limit, now_ms: float) -> float:
        part = ALONE_SHARE / max(1, self.processes)
        if state.level_ms < 0.0:
            state.level, state.level_ms = limit.burst * part, now_ms
        refill = limit.rate_per_s * part * (now_ms - state.level_ms) / 1000.0
        state.level = min(limit.burst * part, state.level + refill)
        state.level_ms = now_ms
        return state.level

    def counts(self, ledger: str, now_ms: float) -> dict[str, float]:
        """What to report to that ledger: the counts of tenants that were active of late."""
        found = {}
        for tenant, state in self._tenants.items():
            if state.used_ms >= 0.0 and now_ms < state.used_ms + ACTIVE_MS:
                found[tenant] = state.count
                state.reported[ledger] = state.count
        return found

    def heard(self, ledger: str, statements: dict[str, Statement], now_ms: float) -> None:
        """A ledger's answer to the last report."""
        for tenant, statement in statements.items():
            state = self._tenants.setdefault(tenant, _Tenant())
            state.heard[ledger] = _Heard(statement, now_ms, state.reported.get(ledger, 0.0))
