"""Quotas by statuses of usage tables: what controllers of versions without share leases tell this router.

Each of them sums what all routers report and tells the level of each tenant; this router takes an equal part of it.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from larkweir_quotas.limits import QuotaStatus, RateLimit

STATUS_VALID_MS = 900.0  # a status is not extrapolated for longer
ACTIVE_TENANT_MS = 10_000.0  # a tenant's usage is reported for so long after its last request here
ASSUMED_BURST_FRACTION = 1.0 / 3.0  # of a burst: a table tells unasked of tenants of which less is left


@dataclass(frozen=True, slots=True)
class _ReceivedStatus:
    level: float
    received_ms: float
    admitted_units: float  # here, when the report was sent that it answers


@dataclass(slots=True)
class _UsageTable:
    """What one controller was told, and what it answered last."""

    answered_ms: float = float("-inf")
    reported_units: dict[str, float] = field(default_factory=dict)  # by tenant
    statuses: dict[str, _ReceivedStatus] = field(default_factory=dict)  # by tenant


class UsageStatuses:
    """Owns the counts of admitted units, and the statuses by controller. Times are of the event loop's clock."""

    def __init__(self) -> None:
        """Nothing was admitted yet."""
        self._admitted: dict[str, float] = defaultdict(float)  # units since the start, by tenant
        self._admitted_ms: dict[str, float] = {}
        self._tables: dict[str, _UsageTable] = {}

    def record_admitted(self, tenant: str, units: float, now_ms: float) -> None:
        """Count an admitted request."""
        self._admitted[tenant] += units
        self._admitted_ms[tenant] = now_ms

    def record_refund(self, tenant: str, units: float) -> None:
        """A request that was counted was never executed."""
        self._admitted[tenant] -= units

    def report(self, controller: str, now_ms: float) -> dict[str, float]:
        """Units admitted since the start, by recently active tenant, for a controller that keeps a usage table."""
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
        """A controller without share leases answered. `statuses`: None where it has no limits yet."""
        table = self._tables.setdefault(controller, _UsageTable())
        if statuses is None:
            return
        table.answered_ms = now_ms
        for tenant, status in statuses.items():
            reported = table.reported_units.get(tenant, 0.0)
            table.statuses[tenant] = _ReceivedStatus(status.level, now_ms, reported)

    def remove(self, controller: str) -> None:
        """A controller was lost, or its version has share leases now."""
        self._tables.pop(controller, None)

    def level(self, tenant: str, limit: RateLimit, processes: int, now_ms: float) -> float | None:
        """Units that this router's part leaves, times `processes`; None where no usage table is in reach."""
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
