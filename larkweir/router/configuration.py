"""The configuration as a router uses it: routes by host and path, tenants by key, services, limits.

The structs' fields have the names of the operators' document. Fields that a router does not use are ignored.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple

import msgspec
from larkweir_quotas.limits import RateLimit
from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY, Document, PatchError, parse_patch
from larkweir.cluster.configuration.header_values import encode_header_value, encode_latin_1
from larkweir.cluster.configuration.hosts import normalize_host
from larkweir.cluster.configuration.paths import normalize_path
from larkweir.cluster.errors import LarkweirError
from larkweir.cluster.messages import ConfigUpdate

NON_IDEMPOTENT = "non_idempotent"
IDEMPOTENT = "idempotent"
STREAMING = "streaming"
TOKEN_COUNT = "token_count"

MANY_ROUTES = 16  # with more, a single route has too few answers to judge a version by


class WeightedBackend(msgspec.Struct, frozen=True):
    """A service and its weight in a route's traffic split."""

    backend: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Which requests go to which service, and how."""

    name: str
    host: str
    path_prefix: str
    kind: str = NON_IDEMPOTENT
    timeout_ms: float = 10_000.0
    target_latency_ms: float = 1_000.0
    priority: int = 5  # 0 to 9, forwarded to upstreams
    backend: str | None = None
    traffic_split: tuple[WeightedBackend, ...] | None = None
    max_attempts: int = 1
    public: bool = False  # no API key is required
    resumable: bool = False  # a broken stream can be resumed after the id of its last event

    @property
    def is_streaming(self) -> bool:
        """Whether responses are streams of events."""
        return self.kind == STREAMING

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind == IDEMPOTENT or (self.is_streaming and self.resumable)

    def service(self, rng: Random) -> str:
        """Draw the service for one request, by the weights of the traffic split if there is one."""
        if not self.traffic_split:
            return self.backend or ""
        backends = self.traffic_split
        return rng.choices(backends, [backend.weight for backend in backends])[0].backend


class Service(msgspec.Struct, frozen=True):
    """A group of interchangeable upstreams. `engine` is present if they are model engines."""

    name: str
    max_conns: int = 100
    engine: dict[str, object] | None = None


class Tenant(msgspec.Struct, frozen=True):
    """A customer, its API keys and its rate limit."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "requests"
    plain_tokens: float = 0.0  # charged for a request that does not declare its tokens
    rate_per_s: float = 0.0  # in `unit`; 0: no limit
    burst: float = 0.0

    def quota_units(self, tokens: float | None) -> float:
        """Return the units charged for one request. `tokens` is the number that it declares, if any."""
        if self.unit != TOKEN_COUNT:
            return 1.0
        return self.plain_tokens if tokens is None else tokens


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size of clients' requests, and on the time that clients take to send them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration document."""

    generation: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    tenants: tuple[Tenant, ...] = ()
    rollouts: tuple[Rollout, ...] = msgspec.field(default=(), name=ROLLOUTS_KEY)


class _IndexedRoute(NamedTuple):
    """A route of one host."""

    prefix: str  # normalized
    is_normalized: bool  # host and prefix are written in their normalized form
    route: Route

    def precedence(self) -> tuple[int, bool]:
        """Return the sort key among the routes of one host."""
        return -len(self.prefix), not self.is_normalized


class RoutingTable:
    """One configuration version, indexed for lookups. Immutable: each version gets a new table."""

    def __init__(self, configuration: Configuration) -> None:
        """Index a configuration that a controller has validated.

        Controllers of earlier releases accepted routes whose hosts or prefixes differ in case or escapes alone. The one
        that is written in the normalized form serves, as it did before; else the first of them.
        """
        self.version = configuration.generation
        self.limits = configuration.limits
        self.services = {service.name: service for service in configuration.services}
        self.rollouts = {rollout.service: rollout for rollout in configuration.rollouts}
        self.has_many_routes = len(configuration.routes) > MANY_ROUTES
        self.has_tenants = bool(configuration.tenants)
        self._tenants = _tenants_by_key(configuration.tenants)
        self.quotas = {
            tenant.name: RateLimit(tenant.rate_per_s, tenant.burst)
            for tenant in configuration.tenants
            if tenant.rate_per_s > 0.0
        }
        self._routes: dict[str, list[_IndexedRoute]] = {}
        for route in configuration.routes:
            host, prefix = normalize_host(route.host), normalize_path(route.path_prefix)
            is_normalized = (host, prefix) == (route.host, route.path_prefix)
            self._routes.setdefault(host, []).append(_IndexedRoute(prefix, is_normalized, route))
        for routes in self._routes.values():
            routes.sort(key=_IndexedRoute.precedence)

    def sample_name(self, route: Route) -> str:
        """Return the name under which a route's answers are counted for roll-outs.

        If there are many routes, those with the same kind and latency target share a name.
        """
        if not self.has_many_routes:
            return route.name
        return f"{route.kind} within {route.target_latency_ms:g} ms"

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix; None if no route matches.

        Args:
            host: the normalized host of the request.
            path: the normalized path of the request.
        """
        for indexed in self._routes.get(host, ()):
            if path.startswith(indexed.prefix):
                return indexed.route
        return None

    def find_tenant(self, key: bytes) -> Tenant | None:
        """Return the tenant with that API key, as a client sends it; None if there is none."""
        return self._tenants.get(key)


def _tenants_by_key(tenants: tuple[Tenant, ...]) -> dict[bytes, Tenant]:
    """Index tenants by the bytes of their keys in a request: in UTF-8, or else in ISO-8859-1.

    An empty key, which earlier releases accepted, is left out: requests without a key would be that tenant's.
    """
    keys = [(key, tenant) for tenant in tenants for key in tenant.api_keys if key]
    found = {encode_header_value(key): tenant for key, tenant in keys}
    for key, tenant in keys:
        latin_1 = encode_latin_1(key)
        if latin_1 is not None:
            found.setdefault(latin_1, tenant)
    return found


class UnusableUpdateError(LarkweirError, ValueError):
    """An update can't be applied; the configuration in force stays as it is."""


class ConfigurationStore:
    """Owns the configuration in force in this process. Its sequence only increases."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.sequence = -1
        self.table: RoutingTable | None = None
        self._document: Document = {}

    def apply(self, update: ConfigUpdate) -> bool:
        """Apply an update and return whether it was applied.

        An update that is not newer, or that is a patch to another version than the one in force, is ignored.

        Raises:
            UnusableUpdateError: the patch does not fit the configuration in force, or the document is invalid.
        """
        if update.sequence <= self.sequence:
            return False
        if update.base_sequence >= 0 and update.base_sequence != self.sequence:
            return False
        try:
            document = self._updated_document(update)
            table = RoutingTable(msgspec.convert(document, Configuration))
        except (msgspec.MsgspecError, PatchError, RecursionError) as error:
            raise UnusableUpdateError(str(error)) from error
        self.table, self._document, self.sequence = table, document, update.sequence
        return True

    def _updated_document(self, update: ConfigUpdate) -> Document:
        body: Document = msgspec.json.decode(update.body, type=dict[str, object])
        if update.base_sequence < 0:
            return body
        patched = parse_patch(body).apply_to(self._document)
        return {key: value for key, value in patched.items() if value is not None}  # null removes the key
