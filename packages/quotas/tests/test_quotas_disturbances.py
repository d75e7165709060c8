"""Large fleets through outages beside other disturbances, a family each: the sum of what is admitted."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from larkweir_quotas.limits import RateLimit
from larkweir_quotas.share_leases import TOTAL_SHARE
from quota_fleet import Fleet
from quota_processes import MAX_RECONNECT_MS
from test_quotas_outages import HALF, LARGE, MEDIUM, PRESSING_FACTOR

SEEDS = int(os.environ.get("QUOTA_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("QUOTA_FIRST_SEED", "0"))
SIZES = [MEDIUM, LARGE]  # even and odd seeds
CONFIG_MS = 3_000.0  # within which a router in touch follows a change of the configuration
LOWERED = 0.25  # of the limit
END_MS = 28_000.0
Disturb = Callable[[Fleet, Random, float], None]


def outage(fleet: Fleet, at_ms: float, away_ms: float) -> None:
    """All controllers die, and return empty."""
    for controller in range(fleet.site.controllers):
        fleet.at(at_ms, lambda controller=controller: fleet.kill_controller(controller))
        fleet.at(at_ms + away_ms, lambda controller=controller: fleet.return_controller(controller))


def some_routers(fleet: Fleet, rng: Random) -> list[int]:
    return rng.sample(range(fleet.site.routers), fleet.site.routers // rng.choice([2, 3, 10]))


def controllers_die_twice(fleet: Fleet, rng: Random, at_ms: float) -> None:
    away_ms = rng.uniform(300.0, 3_000.0)
    outage(fleet, at_ms, away_ms)
    outage(fleet, at_ms + away_ms + rng.uniform(100.0, 4_000.0), rng.uniform(300.0, 3_000.0))


def routers_reach_one_side_only(fleet: Fleet, rng: Random, at_ms: float) -> None:
    routers, minority = set(some_routers(fleet, rng)), {0, 1}
    pairs = {
        (router, controller)
        for router in range(fleet.site.routers)
        for controller in range(fleet.site.controllers)
        if (controller in minority) != (router in routers)
    }
    fleet.at(at_ms, lambda: fleet.cut.update(pairs))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), lambda: fleet.cut.difference_update(pairs))
    if rng.random() < HALF:
        outage(fleet, at_ms + rng.uniform(0.0, 4_000.0), rng.uniform(300.0, 3_000.0))


def the_fleet_is_divided(fleet: Fleet, rng: Random, at_ms: float) -> None:
    """Two controllers and some routers reach each other only, and the rest each other only."""
    routers_reach_one_side_only(fleet, rng, at_ms)
    fleet.at(at_ms, lambda: fleet.split.update({0, 1}))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), fleet.split.clear)


def routers_reach_nobody(fleet: Fleet, rng: Random, at_ms: float) -> None:
    pairs = {
        (router, controller)
        for router in range(fleet.site.routers)
        for controller in range(fleet.site.controllers)
    }
    fleet.at(at_ms, lambda: fleet.cut.update(pairs))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), lambda: fleet.cut.difference_update(pairs))


def routers_are_added(fleet: Fleet, rng: Random, at_ms: float) -> None:
    away_ms = rng.uniform(300.0, 5_000.0)
    outage(fleet, at_ms, away_ms)
    added = fleet.site.routers // rng.choice([2, 3, 10])
    fleet.at(at_ms + rng.uniform(0.0, 1.5) * away_ms, lambda: fleet.add_routers(added))


def routers_restart_in_turn(fleet: Fleet, rng: Random, at_ms: float) -> None:
    outage(fleet, at_ms + rng.uniform(0.0, 4_000.0), rng.uniform(300.0, 3_000.0))
    pause_ms = rng.uniform(20.0, 200.0)
    for position, router in enumerate(some_routers(fleet, rng)):
        fleet.at(at_ms + position * pause_ms, lambda router=router: fleet.restart_router(router))


def routers_die_together(fleet: Fleet, rng: Random, at_ms: float) -> None:
    away_ms = rng.uniform(300.0, 3_000.0)
    outage(fleet, at_ms, away_ms)
    for router in some_routers(fleet, rng):
        fleet.at(at_ms + rng.uniform(0.5, 1.5) * away_ms, lambda router=router: fleet.restart_router(router))


def routers_freeze(fleet: Fleet, rng: Random, at_ms: float) -> None:
    if rng.random() < HALF:
        outage(fleet, at_ms + rng.uniform(0.0, 2_000.0), rng.uniform(300.0, 3_000.0))
    for_ms = rng.uniform(300.0, 5_000.0)
    for router in some_routers(fleet, rng):
        fleet.at(at_ms, lambda router=router: fleet.freeze_router(router, for_ms * rng.uniform(0.9, 1.1)))


FAMILIES: list[Disturb] = [
    controllers_die_twice,
    routers_reach_nobody,
    routers_are_added,
    routers_restart_in_turn,
    routers_die_together,
    routers_freeze,
]


def play(family: Disturb, seed: int, tenants: int = 1) -> Fleet:
    """Tenants become hot at some time around the disturbance, which all of them press through."""
    site = replace(SIZES[seed % len(SIZES)], tenants=tenants)
    fleet, rng = Fleet(site, seed), Random(seed)
    fleet.demand_per_s = HALF * site.limit.rate_per_s
    at_ms = rng.uniform(6_000.0, 12_000.0)
    hot_ms = at_ms + rng.uniform(-3_000.0, 1_000.0)
    family(fleet, rng, at_ms)
    fleet.run_until(hot_ms)
    fleet.demand_per_s = PRESSING_FACTOR * site.limit.rate_per_s
    fleet.run_until(END_MS)
    return fleet


seeds = pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))


@pytest.mark.parametrize("family", FAMILIES, ids=lambda one: one.__name__)
@seeds
def test_no_disturbance_passes_the_limit(family: Disturb, seed: int) -> None:
    fleet = play(family, seed)
    assert fleet.most_in_a_window() <= fleet.site.allowed


@seeds
def test_a_fleet_divided_in_two_does_not_admit_the_limit_twice(seed: int) -> None:
    fleet = play(the_fleet_is_divided, seed)
    assert fleet.most_in_a_window() <= fleet.site.allowed
    assert fleet.most_shares <= TOTAL_SHARE


@pytest.mark.parametrize("hot_ms", [26_000.0, 45_000.0])
@seeds
def test_a_tenant_that_becomes_hot_in_a_fleet_divided_for_long(seed: int, hot_ms: float) -> None:
    site = SIZES[seed % len(SIZES)]
    fleet, rng = Fleet(site, seed), Random(seed)
    fleet.demand_per_s = HALF * site.limit.rate_per_s
    fleet.run_until(8_000.0)
    apart, minority = set(some_routers(fleet, rng)), {0, 1}
    fleet.split.update(minority)
    fleet.cut.update(
        (router, controller)
        for router in range(site.routers)
        for controller in range(site.controllers)
        if (controller in minority) != (router in apart)
    )
    fleet.run_until(hot_ms)
    fleet.demand_per_s = PRESSING_FACTOR * site.limit.rate_per_s
    fleet.run_until(hot_ms + 2.0 * site.window_ms)
    assert fleet.most_in_a_window() <= site.allowed


@seeds
def test_each_half_of_a_divided_fleet_does_not_admit_the_limit(seed: int) -> None:
    fleet = play(routers_reach_one_side_only, seed)
    assert fleet.most_in_a_window() <= fleet.site.allowed


def test_routers_that_wake_do_not_believe_answers_from_before() -> None:
    fleet = play(routers_freeze, seed=0, tenants=4)
    assert fleet.most_in_a_window() <= fleet.site.allowed


@seeds
def test_several_hot_tenants_stay_within_their_limits(seed: int) -> None:
    fleet = play(Random(seed).choice(FAMILIES), seed, tenants=4)
    assert fleet.most_in_a_window() <= fleet.site.allowed


@seeds
def test_a_limit_that_is_lowered_beside_an_outage_binds(seed: int) -> None:
    """Some controllers die and some are behind, with the old limit; or all die, and it falls after their return."""
    site = SIZES[seed % len(SIZES)]
    fleet, rng = Fleet(site, seed), Random(seed)
    fleet.demand_per_s = PRESSING_FACTOR * site.limit.rate_per_s
    at_ms, away_ms = rng.uniform(6_000.0, 9_000.0), rng.uniform(300.0, 3_000.0)
    lower = RateLimit(site.limit.rate_per_s * LOWERED, site.limit.burst * LOWERED)
    if rng.random() < HALF:
        for controller in rng.sample(range(site.controllers), 2):
            fleet.at(at_ms, lambda controller=controller: fleet.kill_controller(controller))
            fleet.at(at_ms + away_ms, lambda controller=controller: fleet.return_controller(controller))
        lowered_ms = at_ms + rng.uniform(0.0, away_ms)
        behind = frozenset(rng.sample(range(site.controllers), rng.choice([1, 2])))
    else:
        outage(fleet, at_ms, away_ms)
        lowered_ms, behind = at_ms + away_ms + rng.uniform(100.0, 4_000.0), frozenset()
    fleet.at(lowered_ms, lambda: fleet.set_limit(lower, behind, late_ms=CONFIG_MS))
    fleet.at(lowered_ms + rng.uniform(1_000.0, 10_000.0), fleet.catch_up)
    fleet.run_until(END_MS)
    in_touch_ms = max(lowered_ms, at_ms + away_ms + MAX_RECONNECT_MS) + CONFIG_MS
    assert fleet.most_in_a_window() <= site.allowed
    assert fleet.most_in_a_window(in_touch_ms + site.window_ms) <= replace(site, limit=lower).allowed
