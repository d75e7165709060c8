"""Total admissions of nine routers and three controllers, without faults and during common faults.

The bounds are the same as in `test_quotas_reports`, which tested the usage reports that share leases have replaced.
"""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import RateLimit
from larkweir_quotas.local_reserve import ISOLATED_FRACTION
from quota_fleet import Fleet
from quota_processes import FleetConfig

SITE = FleetConfig(
    routers=9,
    controllers=3,
    limit=RateLimit(1_000.0, 2_000.0),
    report_ms=150.0,
    min_tokens=20.0,
    max_tokens=20.0,
    over=0.1,
    slack=1_000.0,
)
ALLOWED = 1_000.0 * SITE.window_ms / 1_000.0 + 2_000.0
OVERLOAD_PER_S = 6_000.0


def simulate(fleet: Fleet, per_s: float, until_ms: float) -> None:
    fleet.demand_per_s = per_s
    fleet.run_until(until_ms)


@pytest.mark.parametrize("seed", range(10))
def test_overload_is_admitted_up_to_about_the_limit(seed: int) -> None:
    fleet = Fleet(SITE, seed)
    simulate(fleet, OVERLOAD_PER_S, 30_000.0)
    assert fleet.max_admitted_in_window() <= 1.1 * ALLOWED + 1_000.0
    assert fleet.max_admitted_in_window() >= 0.9 * 1_000.0 * SITE.window_ms / 1_000.0


@pytest.mark.parametrize("seed", range(10))
def test_below_the_limit_nearly_everything_is_admitted(seed: int) -> None:
    fleet = Fleet(SITE, seed)
    simulate(fleet, 750.0, 30_000.0)
    rejected, admitted = fleet.rejected_within(0.0, 30_000.0), fleet.admitted_within(0.0, 30_000.0)
    assert admitted / (admitted + rejected) > 0.98


@pytest.mark.parametrize("cut", [1, 3])
def test_isolated_processes_admit_only_a_small_part_of_the_limit(cut: int) -> None:
    fleet = Fleet(SITE, 1)
    simulate(fleet, OVERLOAD_PER_S, 10_000.0)
    fleet.cut_links = {
        (router, controller) for router in range(cut) for controller in range(SITE.controllers)
    }
    simulate(fleet, OVERLOAD_PER_S, 40_000.0)
    extra = ALLOWED * ISOLATED_FRACTION * cut / 9
    assert fleet.max_admitted_in_window() <= 1.1 * ALLOWED + extra + 1_000.0


def test_a_restarted_controller_does_not_exceed_the_limit() -> None:
    fleet = Fleet(SITE, 1)
    simulate(fleet, OVERLOAD_PER_S, 10_000.0)
    fleet.kill_controller(0)
    fleet.start_controller(0, limits_after_ms=0.0)
    simulate(fleet, OVERLOAD_PER_S, 25_000.0)
    assert fleet.max_admitted_in_window() <= 1.1 * ALLOWED + 1_000.0


def test_controllers_that_learn_the_limits_late_grant_no_extra_burst() -> None:
    fleet = Fleet(SITE, 2)
    simulate(fleet, OVERLOAD_PER_S, 10_000.0)
    for controller in range(SITE.controllers):
        fleet.kill_controller(controller)
        fleet.start_controller(controller, limits_after_ms=700.0)
    simulate(fleet, OVERLOAD_PER_S, 25_000.0)
    assert fleet.max_admitted_in_window() <= 1.1 * ALLOWED + 1_000.0
