"""Seeded scenarios of the simulation: a good or bad version, and a disturbance during its roll-out."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum, auto
from random import Random

LARGE_ROUTES = ("digest", "brief", "ask")
SMALL_ROUTES = ("lookup",)


class Disturbance(StrEnum):
    """A disturbance during a roll-out that the version does not cause."""

    NONE = auto()
    TARGET_UPSTREAM_CRASHES = auto()
    OTHER_UPSTREAM_CRASHES = auto()
    ROUTER_WITH_BAD_NETWORK = auto()
    PRIMARY_CHANGES = auto()
    ROUTER_RESTARTS = auto()
    ROUTER_DISCONNECTED = auto()
    COLD_CACHES = auto()
    ORDER_REPEATED = auto()
    CONFLICTING_ORDER = auto()


@dataclass(frozen=True)
class Version:
    """Behaviour of a target version. The defaults describe a good one.

    Attributes:
        failure_share: share of answers that fail.
        slowdown: factor by which durations are longer.
        slow_share: share of answers that are slowed down.
        onset: fraction of the roll-out's duration after which the version turns bad.
        is_bad_only_under_load: whether it is bad only at upstreams that are about as loaded as the others.
        route: the only route on which it is bad; empty for all routes.
    """

    failure_share: float = 0.0
    slowdown: float = 1.0
    slow_share: float = 1.0
    onset: float = 0.0
    is_bad_only_under_load: bool = False
    route: str = ""

    @property
    def is_good(self) -> bool:
        return self.failure_share == 0.0 and self.slowdown == 1.0


@dataclass(frozen=True)
class Scenario:
    """One roll-out of one service.

    Attributes:
        seed: seed of all random numbers.
        duration_s: time from the order to its deadline.
        rate_per_s: requests to the service per second.
        router_count: number of routers.
        upstream_count: number of upstreams of each version.
        routes: routes of the service; each gets the same traffic.
        ready_after_s: time until the target's upstreams are ready.
        version: behaviour of the target version.
        disturbance: the disturbance during the roll-out.
        disturbance_at: start of the disturbance, as a fraction of the duration.
    """

    seed: int
    duration_s: float
    rate_per_s: float
    router_count: int
    upstream_count: int
    routes: tuple[str, ...]
    ready_after_s: float
    version: Version
    disturbance: Disturbance
    disturbance_at: float


def draw_scenario(seed: int, version: Version | None = None) -> Scenario:
    """Draw a random scenario. A given version replaces the random one."""
    rng = Random(seed)
    is_large = rng.random() < 0.5
    routes = LARGE_ROUTES if is_large else SMALL_ROUTES
    drawn = Scenario(
        seed=seed,
        duration_s=rng.choice((12.0, 15.0, 20.0)),
        rate_per_s=rng.choice((125.0, 200.0) if is_large else (31.0, 48.0)),
        router_count=rng.choice((3, 8, 12)),
        upstream_count=rng.choice((30, 70) if is_large else (3, 4)),
        routes=routes,
        ready_after_s=rng.uniform(0.3, 1.5),
        version=_draw_version(rng, routes),
        disturbance=rng.choice(list(Disturbance)),
        disturbance_at=rng.uniform(0.05, 0.9),
    )
    return drawn if version is None else replace(drawn, version=version)


def draw_partly_bad_scenario(seed: int) -> Scenario:
    """Draw a scenario in which about a quarter to a half of the version's answers fail or are eight times slower."""
    drawn, rng = draw_scenario(seed), Random(seed * 31 + 7)
    share = rng.uniform(0.25, 0.55)
    version = Version(failure_share=share) if rng.random() < 0.5 else Version(slowdown=8.0, slow_share=share)
    kind = rng.randrange(4)
    if kind == 1:
        version = replace(version, is_bad_only_under_load=True)
    elif kind == 2:
        version = replace(version, route=rng.choice(drawn.routes))
    elif kind == 3:
        version = replace(version, onset=rng.uniform(0.1, 0.4))
    return replace(drawn, version=version)


def _draw_version(rng: Random, routes: tuple[str, ...]) -> Version:
    """Draw a version that is good in half of the scenarios and otherwise clearly bad in one of many ways."""
    if rng.random() < 0.5:
        return Version()
    onset = rng.choice((0.0, 0.0, rng.uniform(0.1, 0.3)))
    is_bad_only_under_load = rng.random() < 0.25
    route = rng.choice(routes) if rng.random() < 0.25 else ""
    if rng.random() < 0.5:
        return Version(
            failure_share=rng.uniform(0.2, 0.5),
            onset=onset,
            is_bad_only_under_load=is_bad_only_under_load,
            route=route,
        )
    slow_share = rng.choice((1.0, rng.uniform(0.5, 1.0)))
    return Version(
        slowdown=rng.uniform(4.0, 8.0),
        slow_share=slow_share,
        onset=onset,
        is_bad_only_under_load=is_bad_only_under_load,
        route=route,
    )
