"""The use of quotas: limits of the configuration, requests of routers, and a reserve for disconnected ones."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.local_reserve import ISOLATED_FRACTION
from larkweir_quotas.quota_allocator import UNDECIDED, QuotaAllocator
from larkweir_quotas.share_leases import TOTAL_SHARE

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.messages import Pull, QuotaRefund, QuotaRequest, QuotaResponse

DISCONNECTED_ROUTER_MS = 600_000.0  # for so long one may be partitioned from here and still serve requests
MAX_TRACKED_INCARNATIONS = 4_096  # of routers that report their usage; the oldest are dropped first


class QuotaAccounting:
    """Feeds the allocator of this controller and reads it. Times are milliseconds that only rise."""

    def __init__(self, allocator: QuotaAllocator) -> None:
        """Know no configuration yet. `allocator`: of this controller's share."""
        self._allocator = allocator
        self.is_first_start = False  # of the group; set before the first configuration
        self._sequence: int | None = None  # of the newest configuration
        self._started_ms = 0.0  # when the first configuration was in force
        self._expected_routers = 0  # the most that any router has told
        self._disconnected_ms: dict[str, float] = {}  # by router: when its connection was lost
        self._leaving: set[str] = set()  # routers that will end soon
        self._reported_units: dict[
            str, dict[str, float]
        ] = {}  # by incarnation of a router without share leases

    def set_limits(self, document: Document, sequence: int, controllers: int, now_ms: float) -> None:
        """A new configuration is in force.

        Tenants that it adds may use a burst at once. Those of the first one that this process knows may have used
        theirs before it started.

        Args:
            document: the configuration.
            sequence: under which it was committed.
            controllers: that may hold shares.
            now_ms: the present.
        """
        is_new = self._sequence is not None or self.is_first_start
        if self._sequence is None:
            self._started_ms = now_ms
        self._sequence = sequence
        limits = limits_of(document)
        self._allocator.set_limits(limits, now_ms, controllers=controllers, is_restart=not is_new)

    def answer(self, request: QuotaRequest, now_ms: float) -> QuotaResponse | None:
        """Withdraw what a router asks for, if it is there; None where the request needs no answer."""
        if request.is_executed_again:
            self._allocator.charge(request.tenant, request.units, now_ms)
            return None
        decision = UNDECIDED
        if self._sequence is not None and self._sequence >= request.config_sequence:
            decision = self._allocator.request(request.tenant, request.units, now_ms)
        return QuotaResponse(request.request_id, decision.outcome, decision.retry_after_s)

    def refund(self, refund: QuotaRefund, now_ms: float) -> None:
        """A router has not used what it was granted on the same connection."""
        self._allocator.refund(refund.tenant, refund.units, now_ms)

    def report(self, node: str, incarnation: str, pull: Pull, now_ms: float) -> None:
        """Take in what a router tells of itself.

        Charge the usage of a router that asks nobody, as it knows no share leases; it reports to all controllers.

        Its first report only sets the base: that use may have been reported to another process.
        """
        if pull.quota_snapshot is not None:
            self._expected_routers = max(self._expected_routers, pull.quota_snapshot.process_count)
        if pull.is_leaving:
            self._leaving.add(node)
        if not pull.usage:
            return
        is_first = incarnation not in self._reported_units
        known = self._reported_units.setdefault(incarnation, {})
        for tenant, units in pull.usage.items():
            used = units - known.get(tenant, 0.0)
            known[tenant] = units
            if used > 0.0 and not is_first:
                self._allocator.charge(tenant, self._allocator.share_of(used, now_ms), now_ms)
        if len(self._reported_units) > MAX_TRACKED_INCARNATIONS:
            del self._reported_units[next(iter(self._reported_units))]

    def is_granting(self, now_ms: float) -> bool:
        """Whether routers may ask this controller for units."""
        return self._sequence is not None and self._allocator.has_share(now_ms)

    def share_fraction(self, now_ms: float) -> float:
        """The fraction of all quotas that this controller hands out."""
        return self._allocator.share(now_ms) / TOTAL_SHARE

    def granted_units(self) -> Mapping[str, float]:
        """By tenant, since the start."""
        return self._allocator.granted_units

    def refused_units(self) -> Mapping[str, float]:
        """By tenant, since the start; one that asked several controllers is refused by each."""
        return self._allocator.refused_units

    def statuses(self, pull: Pull, now_ms: float) -> dict[str, QuotaStatus]:
        """What is left for each tenant of which the pull reports usage."""
        return self._allocator.statuses(pull.usage, now_ms)

    def connected(self, node: str) -> None:
        """A process has introduced itself: nothing is reserved for it any more."""
        self._disconnected_ms.pop(node, None)
        self._leaving.discard(node)

    def router_disconnected(self, node: str, now_ms: float) -> None:
        """It may be partitioned from here and go on by its own reserve, unless it said that it would end."""
        if node in self._leaving:
            self._leaving.discard(node)
        else:
            self._disconnected_ms[node] = now_ms

    def update_reserve(self, connected: Collection[str], routers: int, now_ms: float) -> None:
        """Reserve a part of each quota for routers that may be isolated; to be called several times a second.

        Args:
            connected: nodes.
            routers: how many of them are routers.
            now_ms: the present.
        """
        for node, lost_ms in list(self._disconnected_ms.items()):
            if node in connected or now_ms >= lost_ms + DISCONNECTED_ROUTER_MS:
                del self._disconnected_ms[node]
        lost = len(self._disconnected_ms)
        if now_ms < self._started_ms + DISCONNECTED_ROUTER_MS:  # else those that were lost before the start
            lost = max(lost, self._expected_routers - routers)
        reserved = ISOLATED_FRACTION * lost / max(1, lost + routers)
        self._allocator.set_rate_fraction(1.0 - reserved, now_ms)


def limits_of(document: Document) -> dict[str, RateLimit]:
    """The tenants that have a limit."""
    return {
        tenant["name"]: RateLimit(float(tenant["rate_per_s"]), float(tenant.get("burst", 0)))
        for tenant in document.get("tenants", [])
        if tenant.get("rate_per_s", 0) > 0
    }
