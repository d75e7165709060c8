"""Admission of a request: configuration, route and API key; then, apart, its tenant's quota."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir_quotas.quota_requester import QuotaCharge

from larkweir.router.answers import ErrorKind
from larkweir.router.client_request import ClientRequest, RoutingHeaders
from larkweir.router.configuration import Route, Tenant
from larkweir.router.data_plane import DataPlane

MAX_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request: where it goes, until when, and what was charged for it."""

    route: Route
    service: str
    deadline_ms: float  # on the event loop's clock
    tenant: Tenant | None  # None: the route is public, or there are no tenants
    charge: QuotaCharge | None  # to `tenant`; to be refunded if the request is known not to have run

    def routing_headers(
        self, instance: str, remaining_ms: float, last_event_id: bytes | None
    ) -> RoutingHeaders:
        """What an attempt adds to the request.

        Args:
            instance: the upstream that it is sent to.
            remaining_ms: of the deadline.
            last_event_id: of the stream that the attempt resumes; None: it resumes none.
        """
        priority = self.route.priority
        if self.tenant is not None and self.tenant.priority is not None:
            priority = self.tenant.priority
        return RoutingHeaders(
            deadline_ms=int(remaining_ms),
            instance=instance,
            tenant=self.tenant.name if self.tenant is not None else None,
            priority=max(0, min(MAX_PRIORITY, priority)),
            last_event_id=last_event_id,
        )


@dataclass(frozen=True, slots=True)
class Authorization:
    """A request that its route and key allow. Its tenant's quota was not asked yet."""

    route: Route
    tenant: Tenant | None  # None: the route is public, or there are no tenants
    units: float  # of the tenant's quota
    deadline_ms: float  # on the event loop's clock


@dataclass(frozen=True, slots=True)
class Denial:
    """A request that is answered with an error at once. Nothing was charged for it."""

    kind: ErrorKind
    route: Route | None = None
    retry_after_s: float | None = None  # None: as `ERROR_RESPONSES` has it


def authorize(plane: DataPlane, request: ClientRequest) -> Authorization | Denial:
    """Check a request against the configuration in force.

    Args:
        plane: the router's shared state.
        request: the complete request.
    """
    table = plane.configuration.table
    if table is None:
        return Denial(ErrorKind.NO_CONFIGURATION)
    route = table.find_route(request.host, request.path)
    if route is None:
        return Denial(ErrorKind.NO_ROUTE)
    tenant: Tenant | None = None
    units = 0.0
    if table.has_tenants and not route.public:
        tenant = table.find_tenant(request.header(b"x-api-key").decode("latin-1"))
        if tenant is None:
            return Denial(ErrorKind.UNKNOWN_KEY, route)
        units = tenant.quota_units(request.metadata.total_tokens)
    timeout_ms = min(route.timeout_ms, request.metadata.deadline_ms or route.timeout_ms)
    return Authorization(route, tenant, units, request.received_ms + timeout_ms)


def admit(
    plane: DataPlane, authorization: Authorization, charge: QuotaCharge | None, now_ms: float
) -> Admission:
    """Admit a request that its tenant's quota allows.

    Draws the service by the route's weights and earns the service's retry budget.

    Args:
        plane: the router's shared state.
        authorization: of the request.
        charge: to the tenant's quota.
        now_ms: the event loop's time.
    """
    route = authorization.route
    service = route.service(plane.rng)
    plane.retry_budgets.budget(service).record_request(now_ms)
    return Admission(route, service, authorization.deadline_ms, authorization.tenant, charge)
