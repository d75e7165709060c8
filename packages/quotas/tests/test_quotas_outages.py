"""Large fleets through losses in any order: the sum of what is admitted, and what is left of a tenant's worth."""

from __future__ import annotations

import os
from dataclasses import replace
from random import Random

import pytest
from larkweir_quotas.limits import RateLimit
from quota_fleet import Fleet
from quota_processes import Site

SEEDS = int(os.environ.get("QUOTA_SEEDS", "1"))
MEDIUM = Site(routers=195, report_ms=390.0)
LARGE = Site(routers=300, report_ms=600.0)
PRESSING_FACTOR = 6.0  # times the limit
HALF = 0.5
RETURN_MS = 1_000.0  # until all routers have reached the controllers again and heard from them
WARM_UP_MS = 2_000.0  # after the first start of all, when controllers know little


def start(site: Site, seed: int, times_limit: float) -> Fleet:
    fleet = Fleet(site, seed)
    fleet.demand_per_s = times_limit * site.limit.rate_per_s
    return fleet


def play_outage(site: Site, seed: int, away_ms: float, limits_after_ms: float | None = None) -> Fleet:
    """A calm tenant becomes hot; all controllers die and return empty."""
    fleet = start(site, seed, HALF)
    fleet.run_until(10_500.0)
    fleet.demand_per_s = PRESSING_FACTOR * site.limit.rate_per_s
    fleet.run_until(11_800.0)
    for controller in range(site.controllers):
        fleet.kill_controller(controller)
    fleet.run_until(11_800.0 + away_ms)
    for controller in range(site.controllers):
        fleet.return_controller(controller, limits_after_ms)
    fleet.run_until(24_000.0)
    return fleet


def draw_loss(fleet: Fleet, rng: Random, at_ms: float) -> None:
    """Draw a loss at that time, and its end; losses may overlap."""
    site, for_ms = fleet.site, rng.uniform(300.0, 5_000.0)
    controllers = rng.sample(range(site.controllers), rng.choice([1, 2, site.controllers, site.controllers]))
    routers = rng.sample(range(site.routers), site.routers // rng.choice([2, 3, 10]))

    def kill() -> None:
        for controller in controllers:
            fleet.kill_controller(controller)
            fleet.at(
                fleet.now_ms + for_ms * rng.uniform(0.5, 1.5),
                lambda controller=controller: fleet.return_controller(controller),
            )

    def cut() -> None:
        pairs = {(router, controller) for router in routers for controller in controllers}
        fleet.cut |= pairs
        fleet.at(fleet.now_ms + for_ms, lambda: fleet.cut.difference_update(pairs))

    def lose_answers() -> None:
        pairs = {(router, controller) for router in routers for controller in controllers}
        fleet.deaf |= pairs
        fleet.at(fleet.now_ms + for_ms, lambda: fleet.deaf.difference_update(pairs))

    def split() -> None:
        fleet.split = set(controllers[: site.controllers // 2])
        fleet.at(fleet.now_ms + for_ms, fleet.split.clear)

    def restart() -> None:
        for router in routers:
            fleet.restart_router(router)

    fleet.at(at_ms, rng.choice([kill, kill, cut, lose_answers, split, restart]))


def play_losses(site: Site, seed: int) -> Fleet:
    """Losses in any order under a tenant that presses all the time."""
    fleet, rng = start(site, seed, HALF), Random(seed)
    hot_ms = rng.uniform(2_000.0, 9_000.0)
    for _ in range(rng.randrange(1, 5)):
        draw_loss(fleet, rng, rng.uniform(hot_ms, 16_000.0))
    fleet.run_until(hot_ms)
    fleet.demand_per_s = PRESSING_FACTOR * site.limit.rate_per_s
    fleet.run_until(26_000.0)
    return fleet


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_controllers_that_die_and_return_empty_do_not_hand_out_a_burst_twice(site: Site, seed: int) -> None:
    away_ms = Random(seed).uniform(1_600.0, 5_000.0)
    assert play_outage(site, seed, away_ms, limits_after_ms=0.0).most_in_a_window() <= site.allowed


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_controllers_that_answer_before_they_know_the_limits_hand_out_nothing(site: Site, seed: int) -> None:
    away_ms = Random(seed).uniform(1_600.0, 5_000.0)
    assert play_outage(site, seed, away_ms).most_in_a_window() <= site.allowed


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_losses_in_any_order_never_pass_the_limit(site: Site, seed: int) -> None:
    assert play_losses(site, seed).most_in_a_window() <= site.allowed


def test_returning_controllers_know_nothing_of_use_just_before() -> None:
    busy_before_all_controllers_die = (
        18  # seed: by 0.3 s; the routers reconnect before they count as isolated
    )
    assert play_losses(MEDIUM, busy_before_all_controllers_die).most_in_a_window() <= MEDIUM.allowed


def test_routers_that_only_then_use_a_tenant_know_what_they_admitted_before() -> None:
    used_before_all_controllers_die = (
        41  # seed: many routers' first request in isolation comes long after the loss
    )
    assert play_losses(LARGE, used_before_all_controllers_die).most_in_a_window() <= LARGE.allowed


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_limit_that_is_lowered_in_the_middle_binds_a_window_later(seed: int) -> None:
    fleet = start(MEDIUM, seed, PRESSING_FACTOR)
    fleet.run_until(8_000.0)
    lower = RateLimit(MEDIUM.limit.rate_per_s / 4.0, MEDIUM.limit.burst / 4.0)
    fleet.set_limit(lower)
    fleet.run_until(9_000.0)
    for controller in range(MEDIUM.controllers):
        fleet.kill_controller(controller)
        fleet.return_controller(controller)
    fleet.run_until(26_000.0)
    allowed = Site(routers=MEDIUM.routers, limit=lower).allowed
    assert fleet.most_in_a_window(since_ms=8_000.0 + 2.0 * MEDIUM.window_ms) <= allowed


def test_clients_are_still_spread_when_a_long_debt_is_paid() -> None:
    deep_debt = 17  # seed: paid 13 s after its last charge
    test_a_limit_that_is_lowered_in_the_middle_binds_a_window_later(deep_debt)


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
def test_a_tenant_that_presses_gets_its_limit_while_connected(site: Site) -> None:
    fleet = start(site, 0, PRESSING_FACTOR)
    fleet.run_until(20_000.0)
    within = fleet.admitted_within(6_000.0, 20_000.0) / (14.0 * site.limit.rate_per_s)
    assert within >= 0.8
    assert fleet.most_in_a_window() <= site.allowed


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
def test_a_tenant_at_half_its_limit_hardly_notices_that_all_controllers_returned_empty(site: Site) -> None:
    fleet = start(site, 0, HALF)
    fleet.run_until(10_000.0)
    assert fleet.rejected_within(WARM_UP_MS, 10_000.0) == 0.0
    for controller in range(site.controllers):
        fleet.kill_controller(controller)
    fleet.run_until(12_500.0)
    for controller in range(site.controllers):
        fleet.return_controller(controller)
    fleet.run_until(20_000.0)
    after_a_second = fleet.rejected_within(12_500.0 + RETURN_MS, 20_000.0)
    assert after_a_second <= 0.02 * HALF * site.limit.rate_per_s * (7.5 - RETURN_MS / 1_000.0)


@pytest.mark.parametrize("site", [MEDIUM, LARGE], ids=["195 routers", "300 routers"])
@pytest.mark.parametrize("times_limit", [12.0, 30.0])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_tenant_that_becomes_hot_while_controllers_are_slow(
    site: Site, times_limit: float, seed: int
) -> None:
    """Controllers have no processor time left: they answer pulls every 800 ms, and some requests too late."""
    fleet = start(replace(site, report_ms=800.0), seed, HALF)
    fleet.max_latency_ms = 90.0
    fleet.run_until(12_000.0)
    fleet.demand_per_s = times_limit * site.limit.rate_per_s
    fleet.run_until(24_000.0)
    assert fleet.most_in_a_window() <= site.allowed
