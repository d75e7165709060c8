"""What routes and pools may not say, alone and beside one another and the platform's settings.

Imported only where there is a pool or a route.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import fields
from functools import lru_cache

from larkweir_balancing.interface import Effect

from larkweir.config.options import Operator, Pool, Route
from larkweir.config.platform import Config, ConfigError, parse_address
from larkweir.config.policies import Objection

DEFAULT = "default"
METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
_WORD = r"[A-Za-z0-9._~!$&'()*+,;=:@%-]+"
_PATH = re.compile(rf"/|(?:/(?:\{{[A-Za-z_][A-Za-z0-9_]*\}}|{_WORD}))*(?:/\*?)?")
_HOST = re.compile(r"(?:\*\.)?[a-z0-9_-]+(?:\.[a-z0-9_-]+)*|\[[0-9a-f:.]+\]")
_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
MOST_WORDS = 64
MEMO = 4096  # routes that are remembered as they were looked at


def part(text: str) -> float | None:
    """`5%` or `0.05`; None where it is neither."""
    number = text[:-1] if text.endswith("%") else text
    if not re.fullmatch(r"[0-9]+(?:\.[0-9]+)?", number) or len(number) > 20:
        return None
    value = float(number) / (100.0 if text.endswith("%") else 1.0)
    return value if value <= 1.0 else None


@lru_cache(MEMO)
def parts(route: Route) -> dict[str, float]:
    """The other pools of a split, by name; those that can't be read are left out. Not to be changed: it is kept."""
    found: dict[str, float] = {}
    for item in route.split:
        name, _, text = item.strip().rpartition(" ")
        value = part(text)
        if name and value is not None:
            found[name.strip()] = value
    return found


def header_of(text: str) -> tuple[str, str | None]:
    """The name in lower case, and the value that is asked for."""
    name, colon, value = text.partition(":")
    return name.strip().lower(), value.strip() if colon else None


def route_faults(route: Route) -> dict[str, str]:
    """By key: what is wrong with one route, whatever else there is."""
    found: dict[str, str] = {}
    if route.host and not _HOST.fullmatch(route.host):
        found["host"] = (
            f'{route.host!r:.100} is no host; write "registry.example" or "*.example", in lower case'
        )
    if route.path:
        if not _PATH.fullmatch(route.path) or "/*/" in route.path:
            found["path"] = (
                f'{route.path!r:.100} is no path; write "/a/b", "/a/{{name}}" or "/a/*" (all below it); a *'
                " stands at the end alone"
            )
        elif re.search(r"/\.{1,2}(?:/|$)", route.path):
            found["path"] = (
                f"{route.path!r:.100} has dots for a part; requests come without: write the path itself"
            )
        elif route.path.count("/") > MOST_WORDS:
            found["path"] = f"{route.path!r:.100} has more than {MOST_WORDS} parts"
        elif "%" in route.path and not re.fullmatch(r"(?:[^%]|%[0-9A-F]{2})*", route.path):
            found["path"] = f"{route.path!r:.100}: a percent sign is followed by two hex digits in capitals"
    for item in route.methods:
        if item not in METHODS:
            found["methods"] = f"{item!r:.40} is no method that is served; there are {', '.join(METHODS)}"
    names = [header_of(item)[0] for item in route.headers]
    for name in names:
        if not _NAME.fullmatch(name):
            found["headers"] = f'{name!r:.60} is no name of a header; write "Name" or "Name: value"'
        elif names.count(name) > 1:
            found["headers"] = (
                f"{name!r:.60} is there twice: a request whose header comes twice fits no route"
            )
    seen: list[str] = []
    for item in route.split:
        name, _, text = item.strip().rpartition(" ")
        if not name or part(text) is None:
            found["split"] = f'{item!r:.60} does not do; write a pool and its part, "canary 5%"'
        elif name.strip() in (*seen, route.pool):
            found["split"] = f"{name.strip()!r:.60} is there twice"
        seen.append(name.strip())
    if sum(parts(route).values()) > 1.0 + 1e-9:
        found["split"] = f"the parts come to {sum(parts(route).values()):.0%}; 100% at the most"
    if route.sticky not in ("tenant", "object", "request") and not (
        route.sticky.startswith("header ") and _NAME.fullmatch(route.sticky[7:])
    ):
        found["sticky"] = (
            f'{route.sticky!r:.60} does not do; write "tenant", "object", "request" or "header NAME"'
        )
    chain = [route.pool, *route.fallback]
    if len(set(chain)) < len(chain):
        twice = next(name for name in chain if chain.count(name) > 1)
        found["fallback"] = f"{twice!r:.60} is there twice: what it refuses would come back to it"
    return found


def inherited(name: str, pools: Mapping[str, Pool]) -> Pool:
    """A pool with all that its parents say; ConfigError where they go round in a circle."""
    if name == DEFAULT and name not in pools:
        return Pool()
    held, seen = dict(vars(pools[name])), [name]
    parent = pools[name].parent
    while parent:
        if parent in seen:
            raise ConfigError(f"pool.{name}.parent: {' > '.join([*seen, parent])} goes round in a circle")
        seen.append(parent)
        above = pools.get(parent) or Pool()
        for item in fields(Pool):
            if held[item.name] is None:
                held[item.name] = getattr(above, item.name)
        parent = above.parent
    return Pool(**held)


def fixed_of(text: str) -> tuple[tuple[str, int], str]:
    """Address and zone of a line of `fixed`; ConfigError where it is none."""
    address, _, zone = text.strip().partition(" ")
    return parse_address(address, "fixed"), zone.strip()


@lru_cache(MEMO)
def _place(route: Route) -> tuple[str, str]:
    path = re.sub(r"\{[^}]*\}", "{}", route.path or "/*")
    return route.host, (path[:-1].rstrip("/") + "/*" if path.endswith("/*") else path)


def _covers(one: Route, other: Route) -> bool:
    """Whether every request that the other fits fits this one as well; both are of one place."""
    mine = [header_of(item) for item in one.headers]
    theirs = dict(header_of(item) for item in other.headers)
    return (
        all(name in theirs and (value is None or theirs[name] == value) for name, value in mine)
        and (not one.methods or (bool(other.methods) and set(other.methods) <= set(one.methods)))
        and (not one.classes or (bool(other.classes) and set(other.classes) <= set(one.classes)))
        and (not one.tenants or (bool(other.tenants) and set(other.tenants) <= set(one.tenants)))
    )


def _order(name: str, route: Route) -> tuple[int, bool, bool, bool, str]:
    return -len(route.headers), not route.methods, not route.classes, not route.tenants, name


MATCHED = ("host", "path", "methods", "headers", "classes", "tenants")  # what a route matches
# Of the faults of one route: what each rests on beside its own key.
_BESIDE = {"split": ("split", "pool"), "fallback": ("fallback", "pool")}


def rests_of(name: str, key: str) -> tuple[tuple[str, str, str], ...]:
    """All that a fault of one route (`route_faults`) rests on."""
    return tuple(("route", name, item) for item in ("", *_BESIDE.get(key, (key,))))


def _line(name: str, pools: Mapping[str, Pool]) -> list[str]:
    """A pool and its parents up to one that is not there, each once."""
    found: list[str] = []
    while name and name not in found:
        found.append(name)
        name = pools[name].parent if name in pools else ""
    return found


def _rests(names: list[str], *fields_: str) -> tuple[tuple[str, str, str], ...]:
    return tuple(("pool", name, item) for name in names for item in ("", "parent", *fields_))


def routing_objections(options: Operator, config: Config | None = None) -> Iterator[Objection]:
    """What routes and pools may not say beside one another, and beside the platform's file where it is given. Each
    names all of the tables that it rests on."""
    pools = options.pools
    known = {DEFAULT, *pools}
    there = "there are " + ", ".join(sorted(known))
    for name, pool in pools.items():
        key = f"pool.{name}"
        if pool.parent and pool.parent not in known:
            rests = (*_rests([name]), ("pool", pool.parent, ""))
            yield Objection(f"{key}.parent", "LW511", f"there is no pool {pool.parent!r}", there, rests=rests)
            continue
        line_ = _line(name, pools)
        try:
            whole = inherited(name, pools)
        except ConfigError as problem:
            yield Objection(
                f"{key}.parent",
                "LW512",
                str(problem).partition(": ")[2],
                "leave one of them out",
                rests=_rests(line_),
            )
            continue
        for line in whole.fixed or ():
            try:
                _, zone = fixed_of(line)
            except ConfigError as problem:
                yield Objection(
                    f"{key}.fixed",
                    "LW517",
                    str(problem).partition(": ")[2],
                    "write 10.0.0.1:8080",
                    rests=_rests(line_, "fixed"),
                )
                continue
            if config is not None and zone and zone not in config.zones:
                yield Objection(
                    f"{key}.fixed",
                    "LW517",
                    f"the platform has no zone {zone!r}",
                    f"there are {', '.join(config.zones)}",
                    rests=_rests(line_, "fixed"),
                    platform=True,
                )
        if whole.fixed and (whole.kinds or whole.cells):
            yield Objection(
                f"{key}.fixed",
                "LW518",
                "a fixed list is all of the pool: kinds and cells choose of discovery's",
                "leave one out",
                rests=_rests(line_, "fixed", "kinds", "cells"),
            )
        for item in whole.cells or ():
            if not item.isascii() or not item.isdigit():
                yield Objection(
                    f"{key}.cells",
                    "LW517",
                    f"{item!r:.40} is no cell",
                    'write a number, "3"',
                    rests=_rests(line_, "cells"),
                )
        if config is not None:
            for field_, values, names in (
                ("zones", whole.zones, config.zones),
                ("evacuated", whole.evacuated, config.zones),
                ("kinds", whole.kinds, config.kinds),
            ):
                for value in values or ():
                    if value not in names:
                        what = "machine type" if field_ == "kinds" else "zone"
                        yield Objection(
                            f"{key}.{field_}",
                            "LW517",
                            f"the platform has no {what} {value!r}",
                            f"there are {', '.join(names)}",
                            rests=_rests(line_, field_),
                            platform=True,
                        )
    if pools and not options.routes:
        yield Objection(
            f"pool.{next(iter(pools))}",
            "LW712",
            "there are pools and no route: nothing goes there",
            "write a route",
            grave=False,
        )
    if options.routes and options.storms.on:
        yield Objection(
            "storms.on",
            "LW519",
            "the storms part knows one pool, and there are routes",
            "write on = false for one of them",
        )
    used: set[str] = set()
    places: dict[tuple[str, str], list[tuple[str, Route]]] = {}
    for name, route in options.routes.items():
        places.setdefault(_place(route), []).append((name, route))
    for name, route in options.routes.items():
        key = f"route.{name}"
        for field_, targets in (
            ("pool", (route.pool,)),
            ("split", tuple(parts(route))),
            ("fallback", route.fallback),
            ("mirror", (route.mirror,) if route.mirror else ()),
        ):
            for target in targets:
                used.add(target)
                if target not in known:
                    rests = (("route", name, ""), ("route", name, field_), ("pool", target, ""))
                    yield Objection(
                        f"{key}.{field_}", "LW511", f"there is no pool {target!r}", there, rests=rests
                    )
        if config is not None:
            yield from _beside_platform(name, route, config)
        for other, before in places[_place(route)]:
            if other == name:
                continue
            if _order(other, before) < _order(name, route) and _covers(before, route):
                yield Objection(
                    key,
                    "LW513",
                    f"no request ever comes here: route {other} has them all",
                    "say what differs, or leave it out",
                    rests=tuple(("route", one, item) for one in (other, name) for item in ("", *MATCHED)),
                )
                break
    for name in pools:
        heirs = {pool.parent for pool in pools.values()}
        if options.routes and name not in used and name not in heirs:
            yield Objection(f"pool.{name}", "LW711", "no route names it", "leave it out", grave=False)


def _beside_platform(name: str, route: Route, config: Config) -> Iterator[Objection]:
    key = f"route.{name}"
    classes = {cls.name: cls for cls in config.settings.classes}
    tenants = {tenant.name for tenant in config.settings.tenants}
    for value in route.classes:
        if value not in classes:
            yield Objection(
                f"{key}.classes",
                "LW501",
                f"the platform has no class {value!r}",
                f"there are {', '.join(sorted(classes))}",
                rests=rests_of(name, "classes"),
                platform=True,
            )
        elif route.mirror and classes[value].effect is not Effect.SAFE:
            yield Objection(
                f"{key}.mirror",
                "LW515",
                f"{value} takes effect, and its copy would take it once more (rule 2)",
                "mirror a route of safe classes alone",
                rests=(*rests_of(name, "classes"), ("route", name, "mirror")),
                platform=True,
            )
    for value in route.tenants:
        if value not in tenants:
            yield Objection(
                f"{key}.tenants",
                "LW502",
                f"the platform has no tenant {value!r}",
                f"there are {', '.join(sorted(tenants))}",
                rests=rests_of(name, "tenants"),
                platform=True,
            )


def checked(options: Operator, config: Config) -> None:
    """ConfigError, one line, where routes and pools can't stand."""
    for item in routing_objections(options, config):
        if item.grave:
            raise ConfigError(f"operator file: {item.key}: {item.text}; {item.mend}")
