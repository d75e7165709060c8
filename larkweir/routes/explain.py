"""For operators: where the routes of an operator file send a request, and which requests a change of the file
would send elsewhere."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from larkweir.config.options import Operator, Route
from larkweir.config.routing import DEFAULT, header_of, parts
from larkweir.core.message import FramingError
from larkweir.routes.paths import normalize, normalize_host
from larkweir.routes.router import Router
from larkweir.routes.table import Facts


class SampleRequest(NamedTuple):
    """A request as operators write it: `POST /x host=a.example class=publicar tenant=acme x-beta=1`."""

    method: str
    target: str
    host: str = ""
    cls: str = ""
    tenant: str = ""
    headers: tuple[tuple[str, str], ...] = ()

    def __str__(self) -> str:
        more = [f"host={self.host}"] if self.host else []
        more += [f"class={self.cls}"] if self.cls else []
        more += [f"tenant={self.tenant}"] if self.tenant else []
        return " ".join(
            [self.method, self.target, *more, *(f"{name}={value}" for name, value in self.headers)]
        )


def parse(text: str) -> SampleRequest:
    """Parse a request in the form of `SampleRequest`. Raises ValueError with a message for the operator."""
    words = text.split()
    if len(words) < 2 or not re.fullmatch(r"[A-Z]+", words[0]) or not words[1].startswith("/"):
        raise ValueError(
            "write a method and a path, and more as name=value: 'POST /x host=a.example class=publicar'"
        )
    fields: dict[str, str] = {}
    headers = []
    for word in words[2:]:
        name, equals, value = word.partition("=")
        if not equals or not name:
            raise ValueError(f"{word!r:.60} is not of the form name=value")
        if name.lower() in ("host", "class", "tenant"):
            fields[name.lower()] = value
        else:
            headers.append((name.lower(), value))
    return SampleRequest(
        words[0],
        words[1],
        fields.get("host", ""),
        fields.get("class", ""),
        fields.get("tenant", ""),
        tuple(headers),
    )


class Explanation(NamedTuple):
    """Where a request goes, and why."""

    route: str  # empty if there is none
    pools: dict[str, float]  # fraction of the requests by pool
    fallback: tuple[str, ...]
    rejected: tuple[str, ...]  # routes that would come first but do not match, each with the reason
    refusal: str  # status and reason; empty if the request is not refused


class RouteExplainer:
    """Explains the routes of an operator file. Needs no platform file: classes and tenants are those of the routes."""

    def __init__(self, options: Operator) -> None:
        self._classes = _numbers(name for route in options.routes.values() for name in route.classes)
        self._tenants = _numbers(name for route in options.routes.values() for name in route.tenants)
        self.router = Router(options.routes, self._classes, self._tenants, 0.0)

    def explain(self, sample: SampleRequest) -> Explanation:
        try:
            target, name = normalize(sample.target.encode()), normalize_host(sample.host.encode())
        except FramingError as problem:
            return Explanation("", {}, (), (), f"{problem.status}: {problem}")
        headers: dict[bytes, list[bytes]] = {}
        for key, value in sample.headers:
            headers.setdefault(key.encode(), []).append(value.encode())
        facts = Facts(
            name,
            target,
            sample.method.encode(),
            headers,
            self._classes.get(sample.cls, -2),
            self._tenants.get(sample.tenant, -2),
        )
        route, rejected = self.router.table.explain(facts)
        if route is None:
            allowed = self.router.allowed(name, target)
            refusal = "404: no route" if allowed is None else "404: no route whose conditions fit"
            if allowed and sample.method.encode() not in allowed:
                refusal = "405: " + ", ".join(sorted(item.decode() for item in allowed))
            return Explanation("", {}, (), tuple(rejected), refusal)
        own = self.router.routes[route]
        full_shares = parts(own)
        pools = {own.pool: max(0.0, 1.0 - sum(full_shares.values()))} | full_shares
        return Explanation(route, pools, own.fallback, tuple(rejected), "")


def _numbers(names: Iterator[str]) -> Mapping[str, int]:
    return {name: n for n, name in enumerate(dict.fromkeys(names))}


def samples(route: Route) -> Iterator[SampleRequest]:
    """Sample requests for one route: its path, a path below it if it is a prefix, and each of its conditions."""
    path = re.sub(r"\{[^}]*\}", "some", route.path or "/")
    paths = [path[:-2] or "/", path[:-1] + "some"] if path.endswith("/*") else [path]
    name = route.host.replace("*", "some")
    headers = tuple((key, value or "some") for key, value in map(header_of, route.headers))
    for target in paths:
        for method in route.methods or ("GET", "POST"):
            for cls in route.classes or ("",):
                for tenant in route.tenants or ("",):
                    yield SampleRequest(method, target, name, cls, tenant, headers)


class Moved(NamedTuple):
    """A request that goes elsewhere after a change, with both destinations."""

    sample: SampleRequest
    before: str
    after: str


def _destination(answer: Explanation) -> str:
    if not answer.route:
        return answer.refusal
    found = " ".join(
        pool if value >= 1.0 else f"{pool} {value:.3%}".replace(".000", "")
        for pool, value in answer.pools.items()
        if value > 0.0
    )
    return found + (f", then {', '.join(answer.fallback)}" if answer.fallback else "")


def moved(old: Operator, new: Operator) -> list[Moved]:
    """The sample requests of all routes of both files, and `GET /api`, that go elsewhere under the new file."""
    if not old.routes and not new.routes:
        return []
    old_routes = RouteExplainer(old) if old.routes else None
    new_routes = RouteExplainer(new) if new.routes else None
    candidates = dict.fromkeys(
        [
            SampleRequest("GET", "/api"),
            *(item for options in (old, new) for route in options.routes.values() for item in samples(route)),
        ]
    )
    found = []
    for item in candidates:
        before = (
            _destination(old_routes.explain(item))
            if old_routes is not None
            else _destination_without_routes(item)
        )
        after = (
            _destination(new_routes.explain(item))
            if new_routes is not None
            else _destination_without_routes(item)
        )
        if before != after:
            found.append(Moved(item, before, after))
    return found


def _destination_without_routes(sample: SampleRequest) -> str:
    """The destination of a request where the file has no routes."""
    return DEFAULT if sample.target.partition("?")[0] == "/api" else "404: no route"
