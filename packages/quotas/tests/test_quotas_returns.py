"""A fleet must admit neither too much nor too little when controllers or routers are cut off, paused or restarted."""

from __future__ import annotations

import os

import pytest
from larkweir_quotas.limits import RateLimit
from larkweir_quotas.share_leases import TOTAL_SHARE
from quota_faults import FaultInjector
from quota_fleet import Fleet
from quota_processes import FleetConfig

SEEDS = int(os.environ.get("QUOTA_SEEDS", "10"))
CONVERGENCE_MS = 1_000.0  # after a fault, while requests may still be rejected
SMALL = FleetConfig(
    routers=9,
    controllers=3,
    limit=RateLimit(1_000.0, 1_600.0),
    report_ms=110.0,
    min_tokens=20.0,
    max_tokens=20.0,
    slack=2_600.0,  # same ratio to the limit as in deployments
)
LARGE = FleetConfig(
    routers=63,
    controllers=5,
    limit=RateLimit(2_000.0, 3_200.0),
    report_ms=130.0,
    min_tokens=40.0,
    max_tokens=40.0,
    slack=2_600.0,
)
BELOW_LIMIT_PER_S = 800.0


def advance(fleet: Fleet, duration_ms: float, per_s: float) -> None:
    fleet.demand_per_s = per_s
    fleet.run_until(fleet.now_ms + duration_ms)


@pytest.mark.parametrize("outage_ms", [1_500.0, 8_000.0, 20_000.0])
def test_a_reconnected_controller_rejects_no_tenant_below_its_limit(outage_ms: float) -> None:
    fleet = Fleet(SMALL, seed=1)
    advance(fleet, 3_000.0, BELOW_LIMIT_PER_S)
    fleet.cut_links = {(router, 0) for router in range(SMALL.routers)}
    advance(fleet, outage_ms, BELOW_LIMIT_PER_S)
    fleet.cut_links = set()
    reconnected_ms = fleet.now_ms
    advance(fleet, 10_000.0, BELOW_LIMIT_PER_S)
    assert fleet.rejected_within(reconnected_ms, fleet.now_ms) == 0.0


def test_a_paused_controller_rejects_no_tenant_below_its_limit() -> None:
    fleet = Fleet(SMALL, seed=1)
    advance(fleet, 3_000.0, BELOW_LIMIT_PER_S)
    fleet.freeze_controller(0, 10_000.0)
    advance(fleet, 10_000.0, BELOW_LIMIT_PER_S)
    unfrozen_ms = fleet.now_ms
    advance(fleet, 10_000.0, BELOW_LIMIT_PER_S)
    assert fleet.rejected_within(unfrozen_ms, fleet.now_ms) == 0.0


def test_an_oversubscribed_tenant_stays_within_its_limit_after_a_controller_reconnects() -> None:
    fleet = Fleet(SMALL, seed=2)
    advance(fleet, 5_000.0, 6_000.0)
    fleet.cut_links = {(router, 0) for router in range(SMALL.routers)}
    advance(fleet, 8_000.0, 6_000.0)
    fleet.cut_links = {(router, number) for router in range(SMALL.routers) for number in (1, 2)}
    advance(fleet, 8_000.0, 6_000.0)
    assert fleet.max_admitted_in_window() <= SMALL.allowed


@pytest.mark.parametrize("config", [SMALL, LARGE], ids=["9 routers", "63 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_admissions_stay_within_the_limit_during_every_fault(config: FleetConfig, seed: int) -> None:
    fleet = Fleet(config, seed)
    injector = FaultInjector(fleet)
    overload_per_s = 6.0 * config.limit.rate_per_s
    for _ in range(4):
        advance(fleet, fleet.rng.uniform(200.0, 6_000.0), overload_per_s)
        duration_ms = injector.inject()
        advance(fleet, duration_ms, overload_per_s)
        injector.clear()
    advance(fleet, 10_000.0, overload_per_s)
    assert fleet.max_admitted_in_window() <= config.allowed
    assert fleet.max_total_share <= TOTAL_SHARE


@pytest.mark.parametrize("seed", range(SEEDS))
def test_below_the_limit_nobody_is_rejected_a_second_after_a_fault(seed: int) -> None:
    fleet = Fleet(SMALL, seed)
    injector = FaultInjector(fleet)
    for _ in range(4):
        advance(fleet, 3_000.0, BELOW_LIMIT_PER_S)
        duration_ms = injector.inject()
        advance(fleet, duration_ms, BELOW_LIMIT_PER_S)
        injector.clear()
        restored_ms = fleet.now_ms
        advance(fleet, 6_000.0, BELOW_LIMIT_PER_S)
        assert fleet.rejected_within(restored_ms + CONVERGENCE_MS, fleet.now_ms) == 0.0
