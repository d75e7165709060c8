"""Selects the pools that a request may go to, by its route and the split of that route, and counts canary trials.
Pure logic: reads no clock and sends nothing."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

from larkweir.config.options import Route
from larkweir.config.routing import MEMO, header_of, parts
from larkweir.routes.paths import Target
from larkweir.routes.split import Ramp, choose, score
from larkweir.routes.table import Facts, Match, Table
from larkweir.routes.trial import Trial


@dataclass(slots=True)
class Choice:
    """The pools selected for one request."""

    route: str
    pools: tuple[str, ...]  # the first choice, then the fallback pools in order
    trial: Trials | None = None
    mirror: str = ""  # the pool that gets a copy; empty: none
    position: int = 0  # index of the current pool in `pools`
    started_ms: float = 0.0
    cls: int = 0
    assigned_pool: str = ""  # the pool drawn from the split, without its zone
    split_version: int = 0  # version of the shares by which it was drawn; rises with each change of them


@dataclass(slots=True)
class Trials:
    """The canary pools of one route that are on trial, each compared with the main pool."""

    route: str
    alpha: float
    by_pool: dict[str, Trial] = field(default_factory=dict)
    ended: dict[str, str] = field(default_factory=dict)  # pools whose trial has ended, with the reason
    split_version: int = 0

    def record(
        self, pool: str, main: str, failed: bool, spent_ms: float, cls: int, split_version: int = 0
    ) -> str:
        """Count the answer to a request that was assigned to `pool`. Ignored if it was sent under an earlier version of
        the split. Returns a log line if a trial ends with it, else an empty string."""
        if split_version != self.split_version:
            if split_version < self.split_version:
                return ""
            self.split_version = split_version
            for trial in self.by_pool.values():
                trial.forget()
        if pool == main:  # the control of all trials
            for name, trial in self.by_pool.items():
                if trial.record(False, failed, spent_ms, cls):
                    return self._end(name, trial)
        elif pool in self.by_pool and self.by_pool[pool].record(True, failed, spent_ms, cls):
            return self._end(pool, self.by_pool[pool])
        return ""

    def _end(self, pool: str, trial: Trial) -> str:
        return self.end(pool, trial.verdict)

    def end(self, pool: str, why: str) -> str:
        """End the trial of a pool. Returns a log line."""
        self.ended[pool] = why
        del self.by_pool[pool]
        return f"route {self.route}: {pool} gets nothing any more: {why}"


def match_of(route: Route, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Match:
    """The conditions of a route with class and tenant names replaced by indices; unknown names match no request."""
    path, prefix = route.path, False
    if path.endswith("/*"):
        path, prefix = path[:-1], True
    headers = []
    for item in route.headers:
        name, value = header_of(item)
        headers.append((name.encode(), None if value is None else value.encode("latin-1", "replace")))
    return Match(
        host=route.host.encode(),
        path=path.encode(),
        prefix=prefix,
        methods=frozenset(item.encode() for item in route.methods),
        headers=tuple(sorted(headers, key=lambda item: item[0])),
        classes=frozenset(classes.get(name, -1) for name in route.classes),
        tenants=frozenset(tenants.get(name, -1) for name in route.tenants),
    )


class Router:
    """The routes of one configuration. If the split of a route is unchanged by a reload, its ramp and trials go on."""

    def __init__(
        self,
        routes: Mapping[str, Route],
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        now_ms: float,
        before: Router | None = None,
    ) -> None:
        self.routes = dict(routes)
        # Compiled conditions of unchanged routes are reused: a reload changes few of possibly thousands.
        known = before if before is not None and before._numbering == (classes, tenants) else None
        self._numbering: tuple[Mapping[str, int], Mapping[str, int]] = (classes, tenants)
        self._matches: dict[str, Match] = {
            name: known._matches[name]
            if known is not None and known.routes.get(name) is route
            else match_of(route, classes, tenants)
            for name, route in routes.items()
        }
        self.table = Table.of(self._matches.items())
        self._started_ms: dict[str, float] = {}
        self._trials: dict[str, Trials] = {}
        self._parts = {name: parts(route) for name, route in routes.items()}
        self._keys: dict[str, str] = {}  # by route with a split; the same at all balancers with the same file
        # The current step of each ramp that the fleet advances together.
        self.fleet_steps: dict[str, int] = before.fleet_steps if before is not None else {}
        self._salt = {name: name.encode() for name in routes}
        # Only headers with these names matter to any route.
        self.headers = frozenset(
            header_of(item)[0].encode() for route in routes.values() for item in route.headers
        )
        self.sticky = {
            name: route.sticky[7:].strip().lower().encode()
            for name, route in routes.items()
            if route.sticky.startswith("header ")
        }
        for name, route in routes.items():
            if not route.split:
                continue
            self._keys[name] = _fingerprint(name, route)
            old = before.routes.get(name) if before is not None else None
            if before is not None and old is not None and _same_parts(old, route):
                self._started_ms[name] = before._started_ms[name]
                if name in before._trials:
                    self._trials[name] = before._trials[name]
                continue
            self._started_ms[name] = now_ms
            self.fleet_steps.pop(name, None)
            if route.alarm > 0.0:
                self._trials[name] = Trials(
                    name,
                    route.alarm,
                    {pool: Trial(route.alarm) for pool, value in self._parts[name].items() if value > 0.0},
                )

    def find(self, facts: Facts) -> str | None:
        return self.table.find(facts)

    def allowed(self, host: bytes, target: Target) -> frozenset[bytes] | None:
        """The methods that the routes of this host and path accept; None if there is no route, empty if one of them
        accepts any method.
        """
        found: set[bytes] = set()
        there = False
        for entry in self.table.candidates(host, target):
            there = True
            if not entry.match.methods:
                return frozenset()
            found |= entry.match.methods
        return frozenset(found) if there else None

    def weights(self, name: str, now_ms: float) -> dict[str, float]:
        """The current shares of a route's pools; they sum to 1."""
        route = self.routes[name]
        trials = self._trials.get(name)
        since = now_ms - self._started_ms.get(name, now_ms)
        found = {}
        for pool, full_share in self._parts[name].items():
            ended = trials is not None and pool in trials.ended
            ramp = Ramp(full_share, route.ramp_ms)
            step = self.fleet_steps.get(name)
            found[pool] = 0.0 if ended else ramp.at(since) if step is None else ramp.after(step)
        return {route.pool: max(0.0, 1.0 - sum(found.values()))} | found

    def choose(self, name: str, key: bytes, trace: bytes, safe: bool, now_ms: float) -> Choice:
        """Select the pools for a request of this route. `key` is the value by which the request is sticky."""
        route = self.routes[name]
        pool, trials = route.pool, None
        if route.split:
            weights = self.weights(name, now_ms)
            pool = choose(self._salt[name], key, weights) if max(weights.values()) > 0.0 else route.pool
            trials = self._trials.get(name)
        mirror = ""
        if route.mirror and safe and score(b"mirror", trace, b"", 1.0) >= _mirror_bound(route.mirror_part):
            mirror = route.mirror
        later = tuple(item for item in route.fallback if item != pool)
        split_version = self._split_version(name, trials, now_ms) if trials is not None else 0
        return Choice(name, (pool, *later), trials, mirror, assigned_pool=pool, split_version=split_version)

    def _split_version(self, name: str, trials: Trials, now_ms: float) -> int:
        """The version of a route's split: rises with each step of the ramp and with each trial that ends."""
        step = self.fleet_steps.get(name)
        if step is None:
            step = Ramp(1.0, self.routes[name].ramp_ms).step(now_ms - self._started_ms[name])
        return step * len(self._parts[name]) + len(trials.ended)

    # ------------------------------------------------ trials and ramps that a fleet runs together

    def on_trial(self) -> dict[str, Trial]:
        """The canaries on trial, by a key that is the same at all balancers with the same file."""
        return {
            f"{self._keys[name]}/{at}": trials.by_pool[pool]
            for name, trials in self._trials.items()
            for at, pool in enumerate(self._parts[name])
            if pool in trials.by_pool
        }

    def parts_by_key(self) -> dict[str, tuple[str, str]]:
        """The route and the pool of each canary whose trial is running or has ended, by its key."""
        return {
            f"{self._keys[name]}/{at}": (name, pool)
            for name in self._trials
            for at, pool in enumerate(self._parts[name])
        }

    def end_trial(self, key: str, why: str) -> str:
        """End the trial with this key. Returns a log line, empty if the trial has ended already or is unknown."""
        for name, trials in self._trials.items():
            for at, pool in enumerate(self._parts[name]):
                if key == f"{self._keys[name]}/{at}" and pool in trials.by_pool:
                    return trials.end(pool, why)
        return ""

    def ramping(self) -> dict[str, tuple[str, float, float]]:
        """The ramps of routes, by key: the route's name, the span in milliseconds, and the start time."""
        return {
            self._keys[name]: (name, self.routes[name].ramp_ms, since)
            for name, since in self._started_ms.items()
            if self.routes[name].ramp_ms > 0.0
        }

    def set_step(self, name: str, step: int) -> None:
        """Set the step of a route's ramp. Steps never decrease."""
        self.fleet_steps[name] = max(step, self.fleet_steps.get(name, 0))

    def states(self, now_ms: float) -> dict[str, str]:
        """The current shares of each route with a split, as text for operators."""
        found = {}
        for name in self._started_ms:
            parts_ = ",".join(f"{pool}:{value:.3f}" for pool, value in self.weights(name, now_ms).items())
            found[name] = parts_
        return found


def _mirror_bound(part: float) -> float:
    """The lowest score of a mirrored request: -1/log(u) with u uniform in (0, 1) reaches it with probability `part`."""
    from math import inf, log

    return -1.0 if part >= 1.0 else inf if part <= 0.0 else -1.0 / log(1.0 - part)


_PARTS: Sequence[str] = ("pool", "split", "sticky", "ramp_ms", "alarm")


def _same_parts(one: Route, other: Route) -> bool:
    return one is other or all(getattr(one, key) == getattr(other, key) for key in _PARTS)


@lru_cache(MEMO)
def _fingerprint(name: str, route: Route) -> str:
    description = repr((name, *(getattr(route, key) for key in _PARTS)))
    return blake2b(description.encode(), digest_size=8).hexdigest()
