"""How many routers a router reckons with."""

from __future__ import annotations

from larkweir.router.router_count import MIN_REPORTING_MS, RETENTION_MS, RouterCount


def test_controllers_that_have_just_started_do_not_make_the_fleet_small() -> None:
    size = RouterCount()
    assert size.report(9, 0.0) == 9
    assert [size.report(n, 5_000.0) for n in (1, 3, 8)] == [9, 9, 9]
    assert size.report(10, 6_000.0) == 10
    assert size.report(6, 6_000.0 + RETENTION_MS) == 6


def test_a_controller_outside_of_a_majority_does_not_make_the_fleet_small() -> None:
    size = RouterCount()
    size.report(9, 0.0)
    assert size.report(3, 2.0 * RETENTION_MS, may_lower=False) == 9
    assert size.report(10, 2.0 * RETENTION_MS, may_lower=False) == 10
    assert size.report(3, 4.0 * RETENTION_MS) == 3


def test_the_first_counts_of_all_are_not_relied_on() -> None:
    size = RouterCount()
    assert not size.is_reliable(1e9)
    size.report(1, 1_000.0)
    size.report(200, 1_500.0)
    assert not size.is_reliable(1_000.0 + MIN_REPORTING_MS - 1.0)
    assert size.is_reliable(1_000.0 + MIN_REPORTING_MS)
    assert size.routers == 200
