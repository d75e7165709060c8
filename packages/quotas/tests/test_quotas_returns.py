"""Usage tables that were cut off, paused or restarted: neither too much is admitted nor too little."""

from __future__ import annotations

import os

import pytest
from larkweir_quotas.limits import RateLimit
from quota_fleet import Deployment, FaultInjector, Fleet

SEEDS = int(os.environ.get("QUOTA_SEEDS", "10"))
CONVERGENCE_MS = 1_000.0  # after a fault, in which a request may still be rejected
SMALL = Deployment()
LARGE = Deployment(
    routers=63, tables=5, report_ms=130.0, request_units=40.0, limit=RateLimit(2_000.0, 3_200.0)
)


@pytest.mark.parametrize("away_ms", [1_500.0, 8_000.0, 20_000.0])
def test_a_returning_table_rejects_nobody_within_the_limit(away_ms: float) -> None:
    fleet = Fleet(SMALL, seed=1)
    fleet.advance(3_000.0, per_s=800.0)
    fleet.cut = {(router, 0) for router in range(SMALL.routers)}
    fleet.advance(away_ms, per_s=800.0)
    fleet.cut = set()
    returned_ms = fleet.now_ms
    fleet.advance(10_000.0, per_s=800.0)
    assert fleet.rejected_since(returned_ms) == 0


def test_a_paused_table_rejects_nobody_within_the_limit() -> None:
    fleet = Fleet(SMALL, seed=1)
    fleet.advance(3_000.0, per_s=800.0)
    fleet.freeze_table(0)
    fleet.advance(10_000.0, per_s=800.0)
    fleet.thaw_tables()
    thawed_ms = fleet.now_ms
    fleet.advance(10_000.0, per_s=800.0)
    assert fleet.rejected_since(thawed_ms) == 0


def test_a_returning_table_still_knows_of_an_oversubscribed_tenant() -> None:
    fleet = Fleet(SMALL, seed=2)
    fleet.advance(5_000.0, per_s=6_000.0)
    fleet.cut = {(router, 0) for router in range(SMALL.routers)}
    fleet.advance(8_000.0, per_s=6_000.0)
    fleet.cut = {(router, table) for router in range(SMALL.routers) for table in (1, 2)}
    fleet.advance(8_000.0, per_s=6_000.0)
    assert fleet.most_in_a_window() <= SMALL.allowed


@pytest.mark.parametrize("deployment", [SMALL, LARGE], ids=["9 routers", "63 routers"])
@pytest.mark.parametrize("seed", range(SEEDS))
def test_the_sum_stays_under_the_limit_during_every_fault(deployment: Deployment, seed: int) -> None:
    fleet = Fleet(deployment, seed)
    injector = FaultInjector(fleet)
    rate = deployment.limit.rate_per_s
    for _ in range(4):
        fleet.advance(fleet.rng.uniform(200.0, 6_000.0), per_s=6.0 * rate)
        for_ms = injector.inject()
        fleet.advance(for_ms, per_s=6.0 * rate)
        injector.clear()
    fleet.advance(10_000.0, per_s=6.0 * rate)
    assert fleet.most_in_a_window() <= deployment.allowed


@pytest.mark.parametrize("seed", range(SEEDS))
def test_below_the_limit_nobody_is_rejected_a_second_after_a_fault(seed: int) -> None:
    fleet = Fleet(SMALL, seed)
    injector = FaultInjector(fleet)
    for _ in range(4):
        fleet.advance(3_000.0, per_s=800.0)
        for_ms = injector.inject()
        fleet.advance(for_ms, per_s=800.0)
        injector.clear()
        restored_ms = fleet.now_ms
        fleet.advance(6_000.0, per_s=800.0)
        assert fleet.rejected_since(restored_ms + CONVERGENCE_MS) == 0
