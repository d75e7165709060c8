"""Admission of a request in two steps: `authorize` checks route and API key; `admit` follows the quota decision."""

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
    """An admitted request: its route, service and deadline, and what its tenant was charged."""

    route: Route
    service: str
    deadline_ms: float  # on the event loop's clock
    tenant: Tenant | None  # None: the route is public, or there are no tenants
    charge: QuotaCharge | None  # what `tenant` was charged; refunded if the request is known not to have run

    def routing_headers(
        self, instance: str, remaining_ms: float, last_event_id: bytes | None
    ) -> RoutingHeaders:
        """The headers that the router adds to the request for one attempt.

        Args:
            instance: the upstream that the request is sent to.
            remaining_ms: the time left until the deadline.
            last_event_id: the id after which the attempt resumes a stream; None if it does not resume one.
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
    """A request with a route and a valid API key. The tenant's quota has not been checked yet."""

    route: Route
    tenant: Tenant | None  # None: the route is public, or there are no tenants
    units: float  # the units of the tenant's quota that the request costs
    deadline_ms: float  # on the event loop's clock


@dataclass(frozen=True, slots=True)
class Denial:
    """A request that is rejected with an error response. Nothing was charged for it."""

    kind: ErrorKind
    route: Route | None = None
    retry_after_s: float | None = None  # None: the value in `ERROR_RESPONSES`


def authorize(plane: DataPlane, request: ClientRequest) -> Authorization | Denial:
    """Check a request against the current configuration.

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
        tenant = table.find_tenant(request.header(b"x-api-key"))
        if tenant is None:
            return Denial(ErrorKind.UNKNOWN_KEY, route)
        units = tenant.quota_units(request.metadata.total_tokens)
    timeout_ms = min(route.timeout_ms, request.metadata.deadline_ms or route.timeout_ms)
    return Authorization(route, tenant, units, request.received_ms + timeout_ms)


def admit(
    plane: DataPlane, authorization: Authorization, charge: QuotaCharge | None, now_ms: float
) -> Admission:
    """Admit a request that its tenant's quota allows.

    Draws the service at random by the route's weights, and adds the request to the service's retry budget, which
    grows with the number of requests.

    Args:
        plane: the router's shared state.
        authorization: the authorization of the request.
        charge: what the tenant's quota was charged; None if no quota applies.
        now_ms: the event loop's time.
    """
    route = authorization.route
    service = route.service(plane.rng)
    plane.retry_budgets.budget(service).record_request(now_ms)
    return Admission(route, service, authorization.deadline_ms, authorization.tenant, charge)
