"""`routes`: a file's routes and pools, and what becomes of a request."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from larkweir.config.options import Operator
from larkweir.config.platform import ConfigError
from larkweir.config.routing import DEFAULT
from larkweir.lifecycle.config_loader import load_options
from larkweir.routes.explain import RouteExplainer, moved, parse

GOOD, NONE, BAD = 0, 1, 2


def _load(path: str) -> Operator | None:
    try:
        return load_options(path)
    except ConfigError as problem:
        print(problem, file=sys.stderr)
        return None


def routes(path: str, tries: Sequence[str]) -> int:
    """Print the routes, or what becomes of each request that is tried. Exit code 1 where one is refused, 2 at a
    fault."""
    options = _load(path)
    if options is None:
        return BAD
    if not options.routes:
        print(f"{path}: no routes; /api goes to {DEFAULT}")
        return GOOD
    book = RouteExplainer(options)
    if not tries:
        for name, route in sorted(options.routes.items()):
            what = [route.host or "any host", route.path or "any path", *route.methods, *route.headers]
            what += [f"class {item}" for item in route.classes] + [f"tenant {item}" for item in route.tenants]
            to = [route.pool, *route.split] + [f"then {item}" for item in route.fallback]
            print(
                f"{name}: {', '.join(what)} -> {', '.join(to)}"
                + (f"; copies to {route.mirror}" if route.mirror else "")
            )
        return GOOD
    worst = GOOD
    for text in tries:
        try:
            asked = parse(text)
        except ValueError as problem:
            print(f"{text}: {problem}", file=sys.stderr)
            return BAD
        answer = book.explain(asked)
        print(str(asked))
        for item in answer.rejected:
            print(f"    not {item}")
        if not answer.route:
            worst = NONE
            print(f"    refused: {answer.refusal}")
            continue
        print(f"    route {answer.route}")
        for pool, value in answer.pools.items():
            if value > 0.0:
                print(f"    pool {pool}" + (f", {value:.3g} of its requests" if value < 1.0 else ""))
        for pool in answer.fallback:
            print(f"    then {pool}, with what never ran")
    return worst


def print_moved(old: Operator, new: Operator) -> None:
    """Which requests a change sends elsewhere, one line each."""
    for item in moved(old, new):
        print(f"{item.sample}: {item.before} -> {item.after}")
