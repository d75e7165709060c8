"""Validation of configurations. Fields that are not defined here are allowed, and kept unchanged.

Every field that a router reads is defined here. Otherwise a configuration could be acknowledged that routers can't
decode, and that never comes into force. Every number has a maximum.
"""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from larkweir.cluster.configuration.documents import PATCH_MEMBERS
from larkweir.cluster.configuration.header_values import HEADER_VALUE, NONEMPTY_HEADER_VALUE
from larkweir.cluster.configuration.hosts import is_servable, normalize_host
from larkweir.cluster.configuration.paths import normalize_path

# The largest integer that every JSON parser represents exactly (RFC 8259, section 6).
MAX_GENERATION = 2**53 - 1
MAX_DURATION_MS = 86_400_000.0  # a day
MAX_WEIGHT = 1e9
MAX_ATTEMPTS = 1_000
MAX_CONNECTIONS = 1_000_000
MAX_UNITS = 1e12  # tokens or requests, for rates and bursts
MAX_BYTES = 2**30
MAX_PRIORITY = 1_000  # routers clamp priorities to 0 to 9

DurationMs = Annotated[float, Field(gt=0, le=MAX_DURATION_MS)]
Units = Annotated[float, Field(ge=0, le=MAX_UNITS)]
ApiKey = Annotated[str, Field(pattern=NONEMPTY_HEADER_VALUE)]
Priority = Annotated[int, Field(ge=-MAX_PRIORITY, le=MAX_PRIORITY)]


class _Item(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)


class WeightedBackend(_Item):
    """A service, and its weight in a route's traffic."""

    backend: str
    weight: float = Field(ge=0, le=MAX_WEIGHT)


class Route(_Item):
    """Matches requests by host and path prefix, and sets their services and deadline."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: DurationMs
    target_latency_ms: float = Field(default=1_000.0, ge=0, le=MAX_DURATION_MS)
    priority: Priority = 5
    public: bool = False
    resumable: bool = False
    backend: str | None = None
    traffic_split: list[WeightedBackend] | None = None
    max_attempts: int = Field(default=1, ge=1, le=MAX_ATTEMPTS)

    @property
    def backends(self) -> list[str]:
        """The names of the services that the route names; a `traffic_split` goes before a `backend`."""
        split = [part.backend for part in self.traffic_split or []]
        return split if self.backend is None else [*split, self.backend]

    @field_validator("host")
    @classmethod
    def _check_host(cls, host: str) -> str:
        if not is_servable(host):
            raise ValueError(f"{host!r} can be the host of no request (RFC 9110, 7.2; RFC 5891)")
        return host

    @model_validator(mode="after")
    def _check_backends(self) -> Route:
        if self.traffic_split is not None and sum(part.weight for part in self.traffic_split) <= 0:
            raise ValueError(f"route {self.name}: its weights sum to 0")
        if not self.backends:
            raise ValueError(f"route {self.name}: it names no service")
        return self


class Service(_Item):
    """A group of interchangeable upstreams."""

    name: str
    max_conns: int = Field(default=100, ge=1, le=MAX_CONNECTIONS)
    engine: dict[str, object] | None = None


class Tenant(_Item):
    """A customer, its API keys and its rate limit."""

    name: str = Field(pattern=HEADER_VALUE)
    api_keys: list[ApiKey] = []
    priority: Priority | None = None
    unit: str = "requests"
    plain_tokens: Units = 0.0
    rate_per_s: Units = 0.0
    burst: Units = 0.0


class Limits(_Item):
    """Limits on the size of clients' requests, and timeouts while receiving them."""

    max_header_bytes: int = Field(default=16_384, ge=1, le=MAX_BYTES)
    max_body_bytes: int = Field(default=4_194_304, ge=0, le=MAX_BYTES)
    header_timeout_ms: DurationMs = 3_000.0
    idle_timeout_ms: DurationMs = 15_000.0


class Configuration(_Item):
    """A complete configuration."""

    generation: int = Field(ge=1, le=MAX_GENERATION)
    routes: list[Route]
    services: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] = []

    @model_validator(mode="after")
    def _check_form(self) -> Configuration:
        for key in PATCH_MEMBERS:
            if key in (self.model_extra or {}):
                raise ValueError(f"{key}: belongs to a PATCH, not to a complete configuration")
        return self

    @model_validator(mode="after")
    def _check_names(self) -> Configuration:
        services = _unique([service.name for service in self.services], "service")
        _unique([route.name for route in self.routes], "route")
        _check_hosts_and_prefixes(self.routes)
        for route in self.routes:
            for backend in route.backends:
                if backend not in services:
                    raise ValueError(f"route {route.name}: there is no service {backend}")
        _unique([tenant.name for tenant in self.tenants], "tenant")
        _unique([key for tenant in self.tenants for key in sorted(set(tenant.api_keys))], "key of tenants")
        return self


def _check_hosts_and_prefixes(routes: list[Route]) -> None:
    """Raise ValueError if two routes would match the same requests."""
    seen: dict[tuple[str, str], Route] = {}
    for route in routes:
        first = seen.setdefault((normalize_host(route.host), normalize_path(route.path_prefix)), route)
        if first is not route:
            raise ValueError(
                f"routes {first.name} and {route.name} share host and prefix: "
                f"{first.host} and {route.host}, {route.path_prefix}"
            )


def _unique(names: list[str], what: str) -> set[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"two of one {what}: {name}")
        seen.add(name)
    return seen


def first_problem(document: object) -> str | None:
    """Return the first error in a document, in one line that names the field; None for a valid configuration."""
    try:
        Configuration.model_validate(document)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return f"{place}: {first['msg']}" if place else str(first["msg"])
    return None
