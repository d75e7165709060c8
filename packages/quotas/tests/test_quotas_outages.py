"""Large fleets during random faults must not admit more than the limit, and little less when they are healthy."""

from __future__ import annotations

import os
from dataclasses import replace
from random import Random

import pytest
from larkweir_quotas.limits import RateLimit
from quota_fleet import Fleet
from quota_processes import FleetConfig

SEEDS = int(os.environ.get("QUOTA_SEEDS", "1"))
MEDIUM = FleetConfig(routers=195, report_ms=390.0)
LARGE = FleetConfig(routers=300, report_ms=600.0)
OVERLOAD_FACTOR = 6.0  # times the limit
HALF = 0.5
RECONNECT_MS = 1_000.0  # until all routers have reconnected to the controllers and received their state
WARM_UP_MS = 2_000.0  # after the first start, while shares and router counts are not settled


def start(config: FleetConfig, seed: int, demand_factor: float) -> Fleet:
    fleet = Fleet(config, seed)
    fleet.demand_per_s = demand_factor * config.limit.rate_per_s
    return fleet


def simulate_outage(
    config: FleetConfig, seed: int, outage_ms: float, limits_after_ms: float | None = None
) -> Fleet:
    """Raise a tenant's demand above its limit, then crash all controllers and start them again without state."""
    fleet = start(config, seed, HALF)
    fleet.run_until(10_500.0)
    fleet.demand_per_s = OVERLOAD_FACTOR * config.limit.rate_per_s
    fleet.run_until(11_800.0)
    for controller in range(config.controllers):
        fleet.kill_controller(controller)
    fleet.run_until(11_800.0 + outage_ms)
    for controller in range(config.controllers):
        fleet.start_controller(controller, limits_after_ms)
    fleet.run_until(24_000.0)
    return fleet


def schedule_random_fault(fleet: Fleet, rng: Random, at_ms: float) -> None:
    """Schedule a random fault at that time, and its end. Faults may overlap."""
    config, duration_ms = fleet.config, rng.uniform(300.0, 5_000.0)
    controllers = rng.sample(
        range(config.controllers), rng.choice([1, 2, config.controllers, config.controllers])
    )
    routers = rng.sample(range(config.routers), config.routers // rng.choice([2, 3, 10]))

    def kill() -> None:
        for controller in controllers:
            fleet.kill_controller(controller)
            fleet.at(
                fleet.now_ms + duration_ms * rng.uniform(0.5, 1.5),
                lambda controller=controller: fleet.start_controller(controller),
            )

    def cut() -> None:
        pairs = {(router, controller) for router in routers for controller in controllers}
        fleet.cut_links |= pairs
        fleet.at(fleet.now_ms + duration_ms, lambda: fleet.cut_links.difference_update(pairs))

    def lose_answers() -> None:
        pairs = {(router, controller) for router in routers for controller in controllers}
        fleet.one_way_links |= pairs
        fleet.at(fleet.now_ms + duration_ms, lambda: fleet.one_way_links.difference_update(pairs))

    def split() -> None:
        fleet.split_controllers = set(controllers[: config.controllers // 2])
        fleet.at(fleet.now_ms + duration_ms, fleet.split_controllers.clear)

    def restart() -> None:
        for router in routers:
            fleet.restart_router(router)

    fleet.at(at_ms, rng.choice([kill, kill, cut, lose_answers, split, restart]))


def simulate_random_faults(config: FleetConfig, seed: int) -> Fleet:
    """Simulate random faults after a tenant's demand has risen above its limit."""
    fleet, rng = start(config, seed, HALF), Random(seed)
    spike_ms = rng.uniform(2_000.0, 9_000.0)
    for _ in range(rng.randrange(1, 5)):
        schedule_random_fault(fleet, rng, rng.uniform(spike_ms, 16_000.0))
    fleet.run_until(spike_ms)
    fleet.demand_per_s = OVERLOAD_FACTOR * config.limit.rate_per_s
    fleet.run_until(26_000.0)
    return fleet


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_restarted_controllers_do_not_grant_a_burst_twice(config: FleetConfig, seed: int) -> None:
    outage_ms = Random(seed).uniform(1_600.0, 5_000.0)
    assert (
        simulate_outage(config, seed, outage_ms, limits_after_ms=0.0).max_admitted_in_window()
        <= config.allowed
    )


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_controllers_that_answer_before_they_know_the_limits_grant_nothing(
    config: FleetConfig, seed: int
) -> None:
    outage_ms = Random(seed).uniform(1_600.0, 5_000.0)
    assert simulate_outage(config, seed, outage_ms).max_admitted_in_window() <= config.allowed


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_faults_never_exceed_the_limit(config: FleetConfig, seed: int) -> None:
    assert simulate_random_faults(config, seed).max_admitted_in_window() <= config.allowed


def test_heavy_usage_just_before_all_controllers_crash_stays_within_the_limit() -> None:
    busy_before_all_controllers_die = (
        18  # seed; the demand rises 0.3 s before, and routers reconnect before they count as isolated
    )
    assert (
        simulate_random_faults(MEDIUM, busy_before_all_controllers_die).max_admitted_in_window()
        <= MEDIUM.allowed
    )


def test_first_requests_long_after_isolation_began_stay_within_the_limit() -> None:
    used_before_all_controllers_die = (
        41  # seed; many routers get their first request in isolation long after the crash
    )
    assert (
        simulate_random_faults(LARGE, used_before_all_controllers_die).max_admitted_in_window()
        <= LARGE.allowed
    )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_lowered_limit_applies_within_two_windows(seed: int) -> None:
    fleet = start(MEDIUM, seed, OVERLOAD_FACTOR)
    fleet.run_until(8_000.0)
    lower = RateLimit(MEDIUM.limit.rate_per_s / 4.0, MEDIUM.limit.burst / 4.0)
    fleet.set_limit(lower)
    fleet.run_until(9_000.0)
    for controller in range(MEDIUM.controllers):
        fleet.kill_controller(controller)
        fleet.start_controller(controller)
    fleet.run_until(26_000.0)
    allowed = FleetConfig(routers=MEDIUM.routers, limit=lower).allowed
    assert fleet.max_admitted_in_window(since_ms=8_000.0 + 2.0 * MEDIUM.window_ms) <= allowed


def test_retries_are_still_spread_when_a_long_debt_is_paid() -> None:
    deep_debt = 17  # seed; the debt is paid 13 s after its last charge
    test_a_lowered_limit_applies_within_two_windows(deep_debt)


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
def test_an_overloading_tenant_gets_most_of_its_limit(config: FleetConfig) -> None:
    fleet = start(config, 0, OVERLOAD_FACTOR)
    fleet.run_until(20_000.0)
    admitted_fraction = fleet.admitted_within(6_000.0, 20_000.0) / (14.0 * config.limit.rate_per_s)
    assert admitted_fraction >= 0.8
    assert fleet.max_admitted_in_window() <= config.allowed


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
def test_a_tenant_at_half_its_limit_is_rarely_rejected_after_all_controllers_restart(
    config: FleetConfig,
) -> None:
    fleet = start(config, 0, HALF)
    fleet.run_until(10_000.0)
    assert fleet.rejected_within(WARM_UP_MS, 10_000.0) == 0.0
    for controller in range(config.controllers):
        fleet.kill_controller(controller)
    fleet.run_until(12_500.0)
    for controller in range(config.controllers):
        fleet.start_controller(controller)
    fleet.run_until(20_000.0)
    after_a_second = fleet.rejected_within(12_500.0 + RECONNECT_MS, 20_000.0)
    assert after_a_second <= 0.02 * HALF * config.limit.rate_per_s * (7.5 - RECONNECT_MS / 1_000.0)


@pytest.mark.parametrize("config", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("demand_factor", [12.0, 30.0])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_demand_spike_while_controllers_are_slow_stays_within_the_limit(
    config: FleetConfig, demand_factor: float, seed: int
) -> None:
    """The controllers' processors are saturated: they answer pulls every 800 ms, and some requests too late."""
    fleet = start(replace(config, report_ms=800.0), seed, HALF)
    fleet.max_latency_ms = 90.0
    fleet.run_until(12_000.0)
    fleet.demand_per_s = demand_factor * config.limit.rate_per_s
    fleet.run_until(24_000.0)
    assert fleet.max_admitted_in_window() <= config.allowed
