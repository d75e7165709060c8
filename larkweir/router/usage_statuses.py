"""Quota admission by the statuses of usage tables, for controllers whose version has no share leases.

Such a controller sums the usage that all routers report, and answers with the level of each tenant's token bucket. Each
router may use an equal part of that level.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from larkweir_quotas.limits import QuotaStatus, RateLimit

STATUS_VALID_MS = 900.0  # after this, a status is no longer extrapolated
ACTIVE_TENANT_MS = 10_000.0  # how long a tenant's usage is reported after its last request at this router
ASSUMED_BURST_FRACTION = 1.0 / 3.0  # of the burst; controllers report tenants below this level unasked


@dataclass(frozen=True, slots=True)
class _ReceivedStatus:
    level: float
    received_ms: float
    admitted_units: float  # units admitted by this router when it sent the report that this status answers


@dataclass(slots=True)
class _UsageTable:
    """The usage reported to one controller, and its last answers."""

    answered_ms: float = float("-inf")
    reported_units: dict[str, float] = field(default_factory=dict)  # by tenant
    statuses: dict[str, _ReceivedStatus] = field(default_factory=dict)  # by tenant


class UsageStatuses:
    """Owns the counts of admitted units, and the last statuses by controller. Times are on the event loop's clock."""

    def __init__(self) -> None:
        """Start with no admitted units and no statuses."""
        self._admitted: dict[str, float] = defaultdict(float)  # units since the start, by tenant
        self._admitted_ms: dict[str, float] = {}
        self._tables: dict[str, _UsageTable] = {}

    def record_admitted(self, tenant: str, units: float, now_ms: float) -> None:
        """Count an admitted request."""
        self._admitted[tenant] += units
        self._admitted_ms[tenant] = now_ms

    def record_refund(self, tenant: str, units: float) -> None:
        """Subtract the units of a counted request that was never executed."""
        self._admitted[tenant] -= units

    def report(self, controller: str, now_ms: float) -> dict[str, float]:
        """Return the units admitted since the start, by recently active tenant, to report to a controller.

        Empty unless the controller keeps a usage table.
        """
        table = self._tables.get(controller)
        if table is None:
            return {}
        active = (
            tenant for tenant, last_ms in self._admitted_ms.items() if now_ms < last_ms + ACTIVE_TENANT_MS
        )
        report = {tenant: self._admitted[tenant] for tenant in active}
        table.reported_units.update(report)
        return report

    def receive(self, controller: str, statuses: dict[str, QuotaStatus] | None, now_ms: float) -> None:
        """Store the answer of a controller without share leases. `statuses` is None if it has no limits yet."""
        table = self._tables.setdefault(controller, _UsageTable())
        if statuses is None:
            return
        table.answered_ms = now_ms
        for tenant, status in statuses.items():
            reported = table.reported_units.get(tenant, 0.0)
            table.statuses[tenant] = _ReceivedStatus(status.level, now_ms, reported)

    def remove(self, controller: str) -> None:
        """Forget a controller that has disconnected, or whose version has share leases now."""
        self._tables.pop(controller, None)

    def level(self, tenant: str, limit: RateLimit, processes: int, now_ms: float) -> float | None:
        """Return what is left of this router's equal part of the tenant's level, multiplied by `processes`.

        The lowest result of all usage tables that have answered within `STATUS_VALID_MS` counts. Returns None if there
        is no such table.
        """
        levels = [
            self._level_from(table, tenant, limit, processes, now_ms)
            for table in self._tables.values()
            if now_ms < table.answered_ms + STATUS_VALID_MS
        ]
        return min(levels, default=None)

    def _level_from(
        self, table: _UsageTable, tenant: str, limit: RateLimit, processes: int, now_ms: float
    ) -> float:
        status = table.statuses.get(tenant)
        if status is None:
            reported = table.reported_units.setdefault(tenant, self._admitted[tenant])
            status = _ReceivedStatus(limit.burst * ASSUMED_BURST_FRACTION, table.answered_ms, reported)
            table.statuses[tenant] = status
        refilled = status.level + limit.rate_per_s * (now_ms - status.received_ms) / 1000.0
        admitted_since = self._admitted[tenant] - status.admitted_units
        return min(limit.burst, refilled) - admitted_since * processes
