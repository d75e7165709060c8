"""The use of quotas: limits of the configuration, reports of routers, and a reserve for disconnected ones."""

from __future__ import annotations

from collections.abc import Collection

from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.usage_table import UsageTable

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.messages import Pull

DISCONNECTED_ROUTER_MS = 30_000.0  # for so long one may be partitioned from here and still serve requests


class QuotaAccounting:
    """Feeds the usage table of this controller and reads it. Times are milliseconds that only rise."""

    def __init__(self, usage_table: UsageTable, *, overuse_fraction: float = 0.0) -> None:
        """`overuse_fraction`: the fraction of a quota by which it may be exceeded."""
        self._usage_table = usage_table
        self._overuse_fraction = overuse_fraction
        self._disconnected_ms: dict[str, float] = {}  # by router: when its connection was lost

    def set_limits(self, document: Document, now_ms: float) -> None:
        """A new configuration is in force."""
        self._usage_table.set_limits(limits_of(document), now_ms)

    def report(self, incarnation: str, pull: Pull, now_ms: float) -> bool:
        """Adds a process' usage. Returns whether other processes should be informed soon."""
        urgent = self._usage_table.record_report(
            incarnation, pull.usage, pull.sent_ms, now_ms, pull.quota_snapshot
        )
        return bool(urgent)

    @property
    def has_limits(self) -> bool:
        """Whether a configuration was in force here: until then `statuses` says nothing of any tenant."""
        return self._usage_table.has_limits

    def statuses(self, pull: Pull, now_ms: float) -> dict[str, QuotaStatus]:
        """What is left for each tenant of which the pull reports usage, or of which every router should know."""
        tenants = dict.fromkeys([*pull.usage, *self._usage_table.scarce_tenants(now_ms)])
        return self._usage_table.statuses(list(tenants), now_ms)

    def connected(self, node: str) -> None:
        """A process has introduced itself: nothing is reserved for it any more."""
        self._disconnected_ms.pop(node, None)

    def router_disconnected(self, node: str, now_ms: float) -> None:
        """It may be partitioned from here and go on by its own share."""
        self._disconnected_ms[node] = now_ms

    def update_reserve(self, connected: Collection[str], routers: int, now_ms: float) -> None:
        """Reserves a part of each quota for routers that were lost recently; to be called several times a second.

        `connected`: nodes. `routers`: how many of them are routers.
        """
        for node, lost_ms in list(self._disconnected_ms.items()):
            if node in connected or now_ms >= lost_ms + DISCONNECTED_ROUTER_MS:
                del self._disconnected_ms[node]
        lost = len(self._disconnected_ms)
        self._usage_table.set_unreachable(lost / max(1, lost + routers), self._overuse_fraction)


def limits_of(document: Document) -> dict[str, RateLimit]:
    """The tenants that have a limit."""
    return {
        tenant["name"]: RateLimit(float(tenant["rate_per_s"]), float(tenant.get("burst", 0)))
        for tenant in document.get("tenants", [])
        if tenant.get("rate_per_s", 0) > 0
    }
