"""Large fleets during controller outages combined with other disturbances must not admit more than the limit."""

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
from test_quotas_outages import HALF, LARGE, MEDIUM, OVERLOAD_FACTOR

SEEDS = int(os.environ.get("QUOTA_SEEDS", "1"))
FIRST_SEED = int(os.environ.get("QUOTA_FIRST_SEED", "0"))
CONFIGS = [MEDIUM, LARGE]  # for even and odd seeds
CONFIG_DELAY_MS = 3_000.0  # within which a connected router applies a changed configuration
LOWERED_FRACTION = 0.25  # of the limit
END_MS = 28_000.0
Disturbance = Callable[[Fleet, Random, float], None]


def schedule_outage(fleet: Fleet, at_ms: float, outage_ms: float) -> None:
    """Crash all controllers and start them again without state after `outage_ms`."""
    for controller in range(fleet.config.controllers):
        fleet.at(at_ms, lambda controller=controller: fleet.kill_controller(controller))
        fleet.at(at_ms + outage_ms, lambda controller=controller: fleet.start_controller(controller))


def sample_routers(fleet: Fleet, rng: Random) -> list[int]:
    return rng.sample(range(fleet.config.routers), fleet.config.routers // rng.choice([2, 3, 10]))


def controllers_crash_twice(fleet: Fleet, rng: Random, at_ms: float) -> None:
    outage_ms = rng.uniform(300.0, 3_000.0)
    schedule_outage(fleet, at_ms, outage_ms)
    schedule_outage(fleet, at_ms + outage_ms + rng.uniform(100.0, 4_000.0), rng.uniform(300.0, 3_000.0))


def routers_reach_one_side_only(fleet: Fleet, rng: Random, at_ms: float) -> None:
    routers, minority = set(sample_routers(fleet, rng)), {0, 1}
    pairs = {
        (router, controller)
        for router in range(fleet.config.routers)
        for controller in range(fleet.config.controllers)
        if (controller in minority) != (router in routers)
    }
    fleet.at(at_ms, lambda: fleet.cut_links.update(pairs))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), lambda: fleet.cut_links.difference_update(pairs))
    if rng.random() < HALF:
        schedule_outage(fleet, at_ms + rng.uniform(0.0, 4_000.0), rng.uniform(300.0, 3_000.0))


def fleet_is_partitioned(fleet: Fleet, rng: Random, at_ms: float) -> None:
    """Separate two controllers and some routers from all the others."""
    routers_reach_one_side_only(fleet, rng, at_ms)
    fleet.at(at_ms, lambda: fleet.split_controllers.update({0, 1}))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), fleet.split_controllers.clear)


def routers_reach_no_controller(fleet: Fleet, rng: Random, at_ms: float) -> None:
    pairs = {
        (router, controller)
        for router in range(fleet.config.routers)
        for controller in range(fleet.config.controllers)
    }
    fleet.at(at_ms, lambda: fleet.cut_links.update(pairs))
    fleet.at(at_ms + rng.uniform(500.0, 8_000.0), lambda: fleet.cut_links.difference_update(pairs))


def routers_are_added(fleet: Fleet, rng: Random, at_ms: float) -> None:
    outage_ms = rng.uniform(300.0, 5_000.0)
    schedule_outage(fleet, at_ms, outage_ms)
    added = fleet.config.routers // rng.choice([2, 3, 10])
    fleet.at(at_ms + rng.uniform(0.0, 1.5) * outage_ms, lambda: fleet.add_routers(added))


def routers_restart_in_turn(fleet: Fleet, rng: Random, at_ms: float) -> None:
    schedule_outage(fleet, at_ms + rng.uniform(0.0, 4_000.0), rng.uniform(300.0, 3_000.0))
    pause_ms = rng.uniform(20.0, 200.0)
    for position, router in enumerate(sample_routers(fleet, rng)):
        fleet.at(at_ms + position * pause_ms, lambda router=router: fleet.restart_router(router))


def routers_crash_together(fleet: Fleet, rng: Random, at_ms: float) -> None:
    outage_ms = rng.uniform(300.0, 3_000.0)
    schedule_outage(fleet, at_ms, outage_ms)
    for router in sample_routers(fleet, rng):
        fleet.at(
            at_ms + rng.uniform(0.5, 1.5) * outage_ms, lambda router=router: fleet.restart_router(router)
        )


def routers_freeze(fleet: Fleet, rng: Random, at_ms: float) -> None:
    if rng.random() < HALF:
        schedule_outage(fleet, at_ms + rng.uniform(0.0, 2_000.0), rng.uniform(300.0, 3_000.0))
    duration_ms = rng.uniform(300.0, 5_000.0)
    for router in sample_routers(fleet, rng):
        fleet.at(
            at_ms, lambda router=router: fleet.freeze_router(router, duration_ms * rng.uniform(0.9, 1.1))
        )


DISTURBANCES: list[Disturbance] = [
    controllers_crash_twice,
    routers_reach_no_controller,
    routers_are_added,
    routers_restart_in_turn,
    routers_crash_together,
    routers_freeze,
]


def simulate(disturbance: Disturbance, seed: int, tenants: int = 1) -> Fleet:
    """Simulate the disturbance. Shortly before or after its start all tenants begin to exceed their limits."""
    config = replace(CONFIGS[seed % len(CONFIGS)], tenants=tenants)
    fleet, rng = Fleet(config, seed), Random(seed)
    fleet.demand_per_s = HALF * config.limit.rate_per_s
    at_ms = rng.uniform(6_000.0, 12_000.0)
    spike_ms = at_ms + rng.uniform(-3_000.0, 1_000.0)
    disturbance(fleet, rng, at_ms)
    fleet.run_until(spike_ms)
    fleet.demand_per_s = OVERLOAD_FACTOR * config.limit.rate_per_s
    fleet.run_until(END_MS)
    return fleet


seeds = pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEEDS))


@pytest.mark.parametrize("disturbance", DISTURBANCES, ids=lambda one: one.__name__)
@seeds
def test_no_disturbance_exceeds_the_limit(disturbance: Disturbance, seed: int) -> None:
    fleet = simulate(disturbance, seed)
    assert fleet.max_admitted_in_window() <= fleet.config.allowed


@seeds
def test_a_partitioned_fleet_does_not_admit_the_limit_twice(seed: int) -> None:
    fleet = simulate(fleet_is_partitioned, seed)
    assert fleet.max_admitted_in_window() <= fleet.config.allowed
    assert fleet.max_total_share <= TOTAL_SHARE


@pytest.mark.parametrize("spike_ms", [26_000.0, 45_000.0])
@seeds
def test_a_demand_spike_in_a_long_partition_stays_within_the_limit(seed: int, spike_ms: float) -> None:
    config = CONFIGS[seed % len(CONFIGS)]
    fleet, rng = Fleet(config, seed), Random(seed)
    fleet.demand_per_s = HALF * config.limit.rate_per_s
    fleet.run_until(8_000.0)
    separated_routers, minority = set(sample_routers(fleet, rng)), {0, 1}
    fleet.split_controllers.update(minority)
    fleet.cut_links.update(
        (router, controller)
        for router in range(config.routers)
        for controller in range(config.controllers)
        if (controller in minority) != (router in separated_routers)
    )
    fleet.run_until(spike_ms)
    fleet.demand_per_s = OVERLOAD_FACTOR * config.limit.rate_per_s
    fleet.run_until(spike_ms + 2.0 * config.window_ms)
    assert fleet.max_admitted_in_window() <= config.allowed


@seeds
def test_routers_that_reach_only_some_controllers_do_not_exceed_the_limit(seed: int) -> None:
    fleet = simulate(routers_reach_one_side_only, seed)
    assert fleet.max_admitted_in_window() <= fleet.config.allowed


def test_unfrozen_routers_do_not_exceed_the_limit_because_of_stale_answers() -> None:
    fleet = simulate(routers_freeze, seed=0, tenants=4)
    assert fleet.max_admitted_in_window() <= fleet.config.allowed


@seeds
def test_several_overloading_tenants_stay_within_their_limits(seed: int) -> None:
    fleet = simulate(Random(seed).choice(DISTURBANCES), seed, tenants=4)
    assert fleet.max_admitted_in_window() <= fleet.config.allowed


@seeds
def test_a_limit_lowered_during_an_outage_takes_effect(seed: int) -> None:
    """Lower the limit while some controllers are down and others keep the old limit, or after all have restarted."""
    config = CONFIGS[seed % len(CONFIGS)]
    fleet, rng = Fleet(config, seed), Random(seed)
    fleet.demand_per_s = OVERLOAD_FACTOR * config.limit.rate_per_s
    at_ms, outage_ms = rng.uniform(6_000.0, 9_000.0), rng.uniform(300.0, 3_000.0)
    lower = RateLimit(config.limit.rate_per_s * LOWERED_FRACTION, config.limit.burst * LOWERED_FRACTION)
    if rng.random() < HALF:
        for controller in rng.sample(range(config.controllers), 2):
            fleet.at(at_ms, lambda controller=controller: fleet.kill_controller(controller))
            fleet.at(at_ms + outage_ms, lambda controller=controller: fleet.start_controller(controller))
        lowered_ms = at_ms + rng.uniform(0.0, outage_ms)
        behind = frozenset(rng.sample(range(config.controllers), rng.choice([1, 2])))
    else:
        schedule_outage(fleet, at_ms, outage_ms)
        lowered_ms, behind = at_ms + outage_ms + rng.uniform(100.0, 4_000.0), frozenset()
    fleet.at(lowered_ms, lambda: fleet.set_limit(lower, behind, late_ms=CONFIG_DELAY_MS))
    fleet.at(lowered_ms + rng.uniform(1_000.0, 10_000.0), fleet.catch_up)
    fleet.run_until(END_MS)
    reconnected_ms = max(lowered_ms, at_ms + outage_ms + MAX_RECONNECT_MS) + CONFIG_DELAY_MS
    assert fleet.max_admitted_in_window() <= config.allowed
    assert (
        fleet.max_admitted_in_window(reconnected_ms + config.window_ms)
        <= replace(config, limit=lower).allowed
    )
