"""Tests of the number of routers by which a router divides limits."""

from __future__ import annotations

from larkweir.router.router_count import MIN_REPORTING_MS, RETENTION_MS, RouterCount


def test_low_counts_of_restarted_controllers_are_ignored_for_a_while() -> None:
    count = RouterCount()
    assert count.report(9, 0.0) == 9
    assert [count.report(n, 5_000.0) for n in (1, 3, 8)] == [9, 9, 9]
    assert count.report(10, 6_000.0) == 10
    assert count.report(6, 6_000.0 + RETENTION_MS) == 6


def test_a_controller_without_a_majority_cannot_lower_the_count() -> None:
    count = RouterCount()
    count.report(9, 0.0)
    assert count.report(3, 2.0 * RETENTION_MS, may_lower=False) == 9
    assert count.report(10, 2.0 * RETENTION_MS, may_lower=False) == 10
    assert count.report(3, 4.0 * RETENTION_MS) == 3


def test_the_count_is_unreliable_shortly_after_the_first_report() -> None:
    count = RouterCount()
    assert not count.is_reliable(1e9)
    count.report(1, 1_000.0)
    count.report(200, 1_500.0)
    assert not count.is_reliable(1_000.0 + MIN_REPORTING_MS - 1.0)
    assert count.is_reliable(1_000.0 + MIN_REPORTING_MS)
    assert count.routers == 200
