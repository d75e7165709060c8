"""From a request to the pools that it may go to: the route, its split, its trial. Reads no clock and sends
nothing."""

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
    """Where one request goes."""

    route: str
    pools: tuple[str, ...]  # the first, and those that it falls back to in turn
    trial: Trials | None = None
    mirror: str = ""  # a pool that gets a copy
    position: int = 0  # in `pools`
    started_ms: float = 0.0
    cls: int = 0
    assigned_pool: str = ""  # the pool of the route that it fell to, whichever zone's
    split_version: int = 0  # of the parts by which it fell there: another whenever they change


@dataclass(slots=True)
class Trials:
    """One route's parts on trial, each beside the rest."""

    route: str
    alpha: float
    by_pool: dict[str, Trial] = field(default_factory=dict)
    ended: dict[str, str] = field(default_factory=dict)  # pools whose part is over, and why
    split_version: int = 0

    def record(
        self, pool: str, main: str, failed: bool, spent_ms: float, cls: int, split_version: int = 0
    ) -> str:
        """A request has had its answer from this pool's part; a line where a part ends with it. One that was sent under
        parts that count no more says nothing."""
        if split_version != self.split_version:
            if split_version < self.split_version:
                return ""
            self.split_version = split_version
            for trial in self.by_pool.values():
                trial.forget()
        if pool == main:  # the control of all
            for name, trial in self.by_pool.items():
                if trial.record(False, failed, spent_ms, cls):
                    return self._end(name, trial)
        elif pool in self.by_pool and self.by_pool[pool].record(True, failed, spent_ms, cls):
            return self._end(pool, self.by_pool[pool])
        return ""

    def _end(self, pool: str, trial: Trial) -> str:
        return self.end(pool, trial.verdict)

    def end(self, pool: str, why: str) -> str:
        """Its part is over; a line that says so."""
        self.ended[pool] = why
        del self.by_pool[pool]
        return f"route {self.route}: {pool} gets nothing any more: {why}"


def match_of(route: Route, classes: Mapping[str, int], tenants: Mapping[str, int]) -> Match:
    """Names to numbers; one that the settings don't have fits no request."""
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
    """One generation of routes. Trials of a route whose parts are as they were go on from the generation before."""

    def __init__(
        self,
        routes: Mapping[str, Route],
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        now_ms: float,
        before: Router | None = None,
    ) -> None:
        self.routes = dict(routes)
        # What a route that is as it was came to is taken over: of thousands, a generation changes a few.
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
        self._keys: dict[str, str] = {}  # by route with parts: the same wherever the file says the same
        self.fleet_steps: dict[str, int] = (
            before.fleet_steps if before is not None else {}
        )  # ramps that a fleet steps
        self._salt = {name: name.encode() for name in routes}
        # Names of headers that any route asks for: others need not be looked at.
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
        """The methods that any route of this host and path takes; None where no route is there at all, empty where one
        takes any.
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
        """The parts of a route's pools as they are now; they come to 1."""
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
        """Where a request of this route goes. `key` is what it is sticky by."""
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
        """Goes up with each step of the ramp, and with each part that is over."""
        step = self.fleet_steps.get(name)
        if step is None:
            step = Ramp(1.0, self.routes[name].ramp_ms).step(now_ms - self._started_ms[name])
        return step * len(self._parts[name]) + len(trials.ended)

    # ------------------------------------------------ for a fleet that does it together

    def on_trial(self) -> dict[str, Trial]:
        """Parts that are watched, each by a key that is the same at all copies whose files say the same."""
        return {
            f"{self._keys[name]}/{at}": trials.by_pool[pool]
            for name, trials in self._trials.items()
            for at, pool in enumerate(self._parts[name])
            if pool in trials.by_pool
        }

    def parts_by_key(self) -> dict[str, tuple[str, str]]:
        """Of all parts that are or were watched: the route and the pool."""
        return {
            f"{self._keys[name]}/{at}": (name, pool)
            for name in self._trials
            for at, pool in enumerate(self._parts[name])
        }

    def end_trial(self, key: str, why: str) -> str:
        """The part of that key gets nothing any more; a line that says so, empty where it is over or not known."""
        for name, trials in self._trials.items():
            for at, pool in enumerate(self._parts[name]):
                if key == f"{self._keys[name]}/{at}" and pool in trials.by_pool:
                    return trials.end(pool, why)
        return ""

    def ramping(self) -> dict[str, tuple[str, float, float]]:
        """By key, routes whose parts grow: name, span in milliseconds, and since when."""
        return {
            self._keys[name]: (name, self.routes[name].ramp_ms, since)
            for name, since in self._started_ms.items()
            if self.routes[name].ramp_ms > 0.0
        }

    def set_step(self, name: str, step: int) -> None:
        """What counts of a route's ramp from now on; no step is taken back."""
        self.fleet_steps[name] = max(step, self.fleet_steps.get(name, 0))

    def states(self, now_ms: float) -> dict[str, str]:
        """By route with parts: how they stand, for staff."""
        found = {}
        for name in self._started_ms:
            parts_ = ",".join(f"{pool}:{value:.3f}" for pool, value in self.weights(name, now_ms).items())
            found[name] = parts_
        return found


def _mirror_bound(part: float) -> float:
    """The least score of a request that is mirrored: -1/log(u) is above it for a part of all u."""
    from math import inf, log

    return -1.0 if part >= 1.0 else inf if part <= 0.0 else -1.0 / log(1.0 - part)


_PARTS: Sequence[str] = ("pool", "split", "sticky", "ramp_ms", "alarm")


def _same_parts(one: Route, other: Route) -> bool:
    return one is other or all(getattr(one, key) == getattr(other, key) for key in _PARTS)


@lru_cache(MEMO)
def _fingerprint(name: str, route: Route) -> str:
    description = repr((name, *(getattr(route, key) for key in _PARTS)))
    return blake2b(description.encode(), digest_size=8).hexdigest()
