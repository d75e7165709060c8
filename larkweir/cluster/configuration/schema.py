"""Validation of configurations. Fields that are not named here are allowed, and not changed."""

from __future__ import annotations

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator


class _Item(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)


class WeightedBackend(_Item):
    """A service, and its weight in a route's traffic."""

    backend: str
    weight: float = Field(ge=0)


class Route(_Item):
    """Which requests are sent to which service, and their deadline."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float = Field(gt=0)
    backend: str | None = None
    traffic_split: list[WeightedBackend] | None = None
    max_attempts: int = Field(default=1, ge=1)

    @property
    def backends(self) -> list[str]:
        """The names of its services."""
        if self.traffic_split is not None:
            return [part.backend for part in self.traffic_split]
        return [] if self.backend is None else [self.backend]

    @model_validator(mode="after")
    def _goes_somewhere(self) -> Route:
        if self.traffic_split is not None and sum(part.weight for part in self.traffic_split) <= 0:
            raise ValueError(f"route {self.name}: its weights sum to 0")
        if not self.backends:
            raise ValueError(f"route {self.name}: it names no service")
        return self


class Service(_Item):
    """A group of interchangeable upstreams."""

    name: str
    max_conns: int = Field(default=100, ge=1)


class Tenant(_Item):
    """A customer, its API keys and its rate limit."""

    name: str
    api_keys: list[str] = []
    rate_per_s: float = Field(default=0, ge=0)
    burst: float = Field(default=0, ge=0)


class Limits(_Item):
    """Limits on what a client sends, and time-outs while it does."""

    max_header_bytes: int = Field(default=16_384, ge=1)
    max_body_bytes: int = Field(default=4_194_304, ge=0)
    header_timeout_ms: float = Field(default=3_000, gt=0)
    idle_timeout_ms: float = Field(default=15_000, gt=0)


class Configuration(_Item):
    """A complete configuration."""

    generation: int = Field(ge=1)
    routes: list[Route]
    services: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] = []

    @model_validator(mode="after")
    def _fits_together(self) -> Configuration:
        services = _unique([service.name for service in self.services], "service")
        _unique([route.name for route in self.routes], "route")
        _unique([f"{route.host} {route.path_prefix}" for route in self.routes], "host and prefix")
        for route in self.routes:
            for backend in route.backends:
                if backend not in services:
                    raise ValueError(f"route {route.name}: there is no service {backend}")
        _unique([tenant.name for tenant in self.tenants], "tenant")
        _unique([key for tenant in self.tenants for key in sorted(set(tenant.api_keys))], "key of tenants")
        return self


def _unique(names: list[str], what: str) -> set[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"two of one {what}: {name}")
        seen.add(name)
    return seen


def first_problem(document: object) -> str | None:
    """Return the first fault of a document, as a line that names the field; None where it is a valid configuration."""
    try:
        Configuration.model_validate(document)
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return f"{place}: {first['msg']}" if place else str(first["msg"])
    return None
