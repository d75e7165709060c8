"""Quota accounting: applies configured limits, answers routers' requests, and keeps a reserve for lost routers."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.local_reserve import ISOLATED_FRACTION
from larkweir_quotas.quota_allocator import UNDECIDED, QuotaAllocator
from larkweir_quotas.share_leases import TOTAL_SHARE

from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.messages import Pull, QuotaRefund, QuotaRequest, QuotaResponse

DISCONNECTED_ROUTER_MS = 600_000.0  # a router may serve requests for this long while partitioned from here
MAX_TRACKED_INCARNATIONS = 4_096  # of routers that report their usage; the oldest is dropped first


class QuotaAccounting:
    """Updates and queries the allocator of this controller. Times are in milliseconds of a monotonic clock."""

    def __init__(self, allocator: QuotaAllocator) -> None:
        """Starts without a configuration. `allocator`: allocates this controller's share of the quotas."""
        self._allocator = allocator
        self.is_first_start = False  # of the controller group; set before the first configuration
        self._sequence: int | None = None  # of the newest configuration
        self._started_ms = 0.0  # when the first configuration came into force
        self._expected_routers = 0  # the highest router count that any router has reported
        self._disconnected_ms: dict[str, float] = {}  # by router, when its connection was lost
        self._leaving: set[str] = set()  # routers that have announced their shutdown
        # By incarnation of a router that does not support share leases, then by tenant.
        self._reported_units: dict[str, dict[str, float]] = {}

    def set_limits(self, document: Document, sequence: int, controllers: int, now_ms: float) -> None:
        """Applies the limits of a new configuration.

        A tenant that is added by a configuration change may use its burst at once. The tenants of the first
        configuration that this process applies may have used theirs before its start, so they get a small part of it,
        except at the first start of the controller group, before which nothing can have been used.

        Args:
            document: the configuration.
            sequence: the sequence number under which it was committed.
            controllers: the number of controllers that may hold shares.
            now_ms: the current time.
        """
        is_new = self._sequence is not None or self.is_first_start
        if self._sequence is None:
            self._started_ms = now_ms
        self._sequence = sequence
        limits = limits_of(document)
        self._allocator.set_limits(limits, now_ms, controllers=controllers, is_restart=not is_new)

    def answer(self, request: QuotaRequest, now_ms: float) -> QuotaResponse | None:
        """Grants or refuses the units that a router requests; returns None if the request needs no answer."""
        if request.is_executed_again:
            self._allocator.charge(request.tenant, request.units, now_ms)
            return None
        decision = UNDECIDED
        if self._sequence is not None and self._sequence >= request.config_sequence:
            decision = self._allocator.request(request.tenant, request.units, now_ms)
        return QuotaResponse(request.request_id, decision.outcome, decision.retry_after_s)

    def refund(self, refund: QuotaRefund, now_ms: float) -> None:
        """Returns units that a router was granted on the same connection but has not used."""
        self._allocator.refund(refund.tenant, refund.units, now_ms)

    def report(self, node: str, incarnation: str, pull: Pull, now_ms: float) -> None:
        """Processes a router's report: its fleet size, its shutdown notice, and its usage.

        Only routers that do not support share leases report usage. They request no units, but report the same usage to
        all controllers, and each controller charges its share of it. The first report of an incarnation only sets the
        baseline, because that usage may have been reported to another process before.
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
        """Returns whether routers may request units from this controller."""
        return self._sequence is not None and self._allocator.has_share(now_ms)

    def share_fraction(self, now_ms: float) -> float:
        """Returns the fraction of all quotas that this controller may grant."""
        return self._allocator.share(now_ms) / TOTAL_SHARE

    def granted_units(self) -> Mapping[str, float]:
        """Returns the units granted since the start, by tenant."""
        return self._allocator.granted_units

    def refused_units(self) -> Mapping[str, float]:
        """Returns the units refused since the start, by tenant.

        A request that was sent to several controllers is counted by each that refused it.
        """
        return self._allocator.refused_units

    def statuses(self, pull: Pull, now_ms: float) -> dict[str, QuotaStatus]:
        """Returns the remaining quota of each tenant for which the pull reports usage."""
        return self._allocator.statuses(pull.usage, now_ms)

    def connected(self, node: str) -> None:
        """Ends the reserve for a process that has connected."""
        self._disconnected_ms.pop(node, None)
        self._leaving.discard(node)

    def router_disconnected(self, node: str, now_ms: float) -> None:
        """Starts a reserve for a router whose connection was lost, unless it had announced its shutdown.

        The router may be partitioned from this controller and still admit requests from its local reserve.
        """
        if node in self._leaving:
            self._leaving.discard(node)
        else:
            self._disconnected_ms[node] = now_ms

    def update_reserve(self, connected: Collection[str], routers: int, now_ms: float) -> None:
        """Reserves a part of each quota for routers that may be isolated. Must be called several times a second.

        Args:
            connected: the connected nodes.
            routers: the number of routers among them.
            now_ms: the current time.
        """
        for node, lost_ms in list(self._disconnected_ms.items()):
            if node in connected or now_ms >= lost_ms + DISCONNECTED_ROUTER_MS:
                del self._disconnected_ms[node]
        lost = len(self._disconnected_ms)
        if now_ms < self._started_ms + DISCONNECTED_ROUTER_MS:  # some may have been lost before the start
            lost = max(lost, self._expected_routers - routers)
        reserved = ISOLATED_FRACTION * lost / max(1, lost + routers)
        self._allocator.set_rate_fraction(1.0 - reserved, now_ms)


def limits_of(document: Document) -> dict[str, RateLimit]:
    """Returns the limits of all tenants that have one."""
    return {
        tenant["name"]: RateLimit(float(tenant["rate_per_s"]), float(tenant.get("burst", 0)))
        for tenant in document.get("tenants", [])
        if tenant.get("rate_per_s", 0) > 0
    }
