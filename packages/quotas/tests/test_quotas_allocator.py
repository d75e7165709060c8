"""Tests of the units that one controller grants from its share."""

from __future__ import annotations

import math
from random import Random

import pytest
from larkweir_quotas.limits import DEBTS_FRACTION, RESTARTS_FRACTION, RateLimit, Tolerance
from larkweir_quotas.quota_allocator import FORGET_AFTER_MS, QuotaAllocator, QuotaOutcome
from larkweir_quotas.share_leases import TOTAL_SHARE

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=500.0)
LATER_MS = 1e9
UNLIMITED = 100_000.0  # units that no limit of these tests grants


def make_allocator(
    share: int = TOTAL_SHARE,
    *,
    controllers: int = 1,
    is_restart: bool = False,
    tolerance: Tolerance | None = None,
) -> QuotaAllocator:
    allocator = QuotaAllocator(tolerance)
    allocator.set_share(share, LATER_MS, 0.0)
    allocator.set_limits(LIMITS, 0.0, controllers=controllers, is_restart=is_restart)
    return allocator


def granted_units(allocator: QuotaAllocator, units: float, now_ms: float) -> float:
    """Return the units granted until the first refusal."""
    total = 0.0
    while allocator.request("t", units, now_ms).outcome is QuotaOutcome.GRANTED:
        total += units
        assert total < UNLIMITED
    return total


def test_units_are_withdrawn_and_a_refusal_names_when_to_retry() -> None:
    allocator = make_allocator()
    assert granted_units(allocator, 10.0, 0.0) == 2_000.0
    refused = allocator.request("t", 10.0, 0.0)
    assert refused.outcome is QuotaOutcome.REFUSED
    assert refused.retry_after_s == pytest.approx(0.1)
    assert granted_units(allocator, 10.0, 500.0) == 500.0


def test_refunded_units_can_be_granted_again_up_to_the_burst() -> None:
    allocator = make_allocator()
    allocator.request("t", 500.0, 0.0)
    allocator.refund("t", 500.0, 0.0)
    allocator.refund("t", 500.0, 0.0)
    assert granted_units(allocator, 10.0, 0.0) == 2_000.0


def test_requests_are_undecided_without_a_share_or_after_the_lease_expires() -> None:
    allocator = QuotaAllocator()
    allocator.set_limits(LIMITS, 0.0, controllers=1, is_restart=False)
    assert allocator.request("t", 1.0, 0.0).outcome is QuotaOutcome.UNDECIDED
    allocator.set_share(TOTAL_SHARE, 2_000.0, 0.0)
    assert allocator.request("t", 1.0, 1_999.0).outcome is QuotaOutcome.GRANTED
    assert allocator.request("t", 1.0, 2_000.0).outcome is QuotaOutcome.UNDECIDED


def test_nothing_accrues_between_two_leases() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    allocator.set_share(TOTAL_SHARE, 1_000.0, 0.0)
    allocator.set_share(TOTAL_SHARE, LATER_MS, 60_000.0)
    assert granted_units(allocator, 10.0, 60_000.0) == 1_000.0


def test_a_larger_share_does_not_add_units_at_once() -> None:
    allocator = make_allocator(TOTAL_SHARE // 4, controllers=4)
    granted_units(allocator, 10.0, 0.0)
    allocator.set_share(TOTAL_SHARE, LATER_MS, 0.0)
    assert granted_units(allocator, 10.0, 0.0) == 0.0
    assert granted_units(allocator, 10.0, 1_000.0) == 1_000.0


def test_a_smaller_share_grants_at_most_its_burst() -> None:
    allocator = make_allocator()
    allocator.set_share(TOTAL_SHARE // 4, LATER_MS, 0.0)
    assert granted_units(allocator, 10.0, 0.0) == 500.0


def test_a_restarted_controller_starts_with_at_most_the_tolerated_excess() -> None:
    allocator = make_allocator(is_restart=True, tolerance=TOLERANCE)
    tolerated = TOLERANCE.units(LIMITS["t"])
    assert granted_units(allocator, 10.0, 0.0) <= (RESTARTS_FRACTION + DEBTS_FRACTION) * tolerated
    strict = make_allocator(is_restart=True)
    assert granted_units(strict, 10.0, 0.0) == 0.0


def test_a_new_tenant_may_use_a_burst_once() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    allocator.set_limits({**LIMITS, "new": RateLimit(1.0, 50.0)}, 0.0, controllers=1, is_restart=False)
    assert allocator.request("new", 50.0, 0.0).outcome is QuotaOutcome.GRANTED
    assert allocator.request("t", 10.0, 0.0).outcome is QuotaOutcome.REFUSED


def test_the_size_of_a_request_gives_it_no_advantage() -> None:
    allocator, rng = make_allocator(), Random(1)
    refused = {20.0: 0, 200.0: 0}
    requested = dict.fromkeys(refused, 0)
    for step in range(20_000):
        units = rng.choice([20.0, 200.0])
        requested[units] += 1
        if allocator.request("t", units, step * 20.0).outcome is QuotaOutcome.REFUSED:
            refused[units] += 1
    small, large = (refused[units] / requested[units] for units in (20.0, 200.0))
    assert small > 0.5
    assert abs(small - large) < 0.02


@pytest.mark.parametrize("units", [150.0, 1_900.0, 5_000.0])
def test_debts_stay_within_what_is_tolerated(units: float) -> None:
    allocator = make_allocator(TOTAL_SHARE // 4, controllers=4, tolerance=TOLERANCE)
    burst = LIMITS["t"].burst / 4.0
    debt = granted_units(allocator, units, 0.0) - burst
    largest_debt = max(DEBTS_FRACTION * TOLERANCE.units(LIMITS["t"]) / 4.0, units - burst / 2.0)
    assert debt <= largest_debt


def test_usage_charged_without_a_request_creates_debt() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    allocator.charge("t", 300.0, 0.0)
    assert allocator.request("t", 10.0, 300.0).outcome is QuotaOutcome.REFUSED
    assert granted_units(allocator, 10.0, 400.0) == 100.0


def test_a_tenant_without_a_limit_is_always_granted() -> None:
    assert make_allocator().request("other", 1e9, 0.0).outcome is QuotaOutcome.GRANTED


@pytest.mark.parametrize("units", [-1.0, -900_000.0, math.inf, math.nan])
def test_invalid_units_are_rejected_and_leave_the_level_unchanged(units: float) -> None:
    allocator = make_allocator()
    with pytest.raises(ValueError, match="units"):
        allocator.request("t", units, 0.0)
    assert granted_units(allocator, 10.0, 0.0) == 2_000.0


def test_a_fraction_of_the_rate_is_reserved_for_isolated_processes() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    allocator.set_rate_fraction(0.5, 0.0)
    assert granted_units(allocator, 10.0, 1_000.0) == 500.0


def test_a_tenant_that_is_removed_and_added_again_gets_no_second_burst() -> None:
    # Guards against operators' changes that give a tenant its whole burst anew each time (QUOTA).
    allocator = make_allocator()
    total, window_ms = 0.0, 1_000.0 * TOLERANCE.window_s
    changes = 10
    for change in range(changes):
        now_ms = change * window_ms / changes
        total += granted_units(allocator, 10.0, now_ms)
        allocator.set_limits({}, now_ms, controllers=1, is_restart=False)
        allocator.set_limits(LIMITS, now_ms, controllers=1, is_restart=False)
    limit = LIMITS["t"]
    assert total <= limit.burst + limit.rate_per_s * TOLERANCE.window_s


def test_a_tenant_that_is_added_again_with_another_limit_continues_at_its_level() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    allocator.set_limits({}, 0.0, controllers=1, is_restart=False)
    allocator.set_limits({"t": RateLimit(100.0, 90_000.0)}, 500.0, controllers=1, is_restart=False)
    assert granted_units(allocator, 10.0, 500.0) == 500.0
    assert granted_units(allocator, 10.0, 1_500.0) == 100.0


def test_the_limit_of_a_removed_tenant_binds_routers_that_have_not_removed_it() -> None:
    # Guards against unlimited grants between the removal at a controller and at the routers (QUOTA).
    allocator = make_allocator()
    allocator.set_limits({}, 0.0, controllers=1, is_restart=False)
    assert granted_units(allocator, 10.0, 0.0) == 2_000.0
    assert granted_units(allocator, 10.0, 500.0) == 500.0
    allocator.refund("t", 100.0, 500.0)
    assert granted_units(allocator, 10.0, 500.0) == 100.0


def test_removed_tenants_are_forgotten_once_they_would_have_their_burst_anyway() -> None:
    allocator = make_allocator()
    granted_units(allocator, 10.0, 0.0)
    for now_ms in (0.0, FORGET_AFTER_MS - 1.0, FORGET_AFTER_MS):
        allocator.set_limits({}, now_ms, controllers=1, is_restart=False)
        assert allocator.tenants == ({"t"} if now_ms < FORGET_AFTER_MS else set())
    allocator.set_limits(LIMITS, FORGET_AFTER_MS, controllers=1, is_restart=False)
    assert granted_units(allocator, 10.0, FORGET_AFTER_MS) == 2_000.0


def test_a_removed_tenant_whose_bucket_fills_slowly_is_not_forgotten_before() -> None:
    slow = {"t": RateLimit(0.001, 2_000.0)}
    allocator = QuotaAllocator()
    allocator.set_share(TOTAL_SHARE, LATER_MS, 0.0)
    allocator.set_limits(slow, 0.0, controllers=1, is_restart=False)
    granted_units(allocator, 10.0, 0.0)
    allocator.set_limits({}, 0.0, controllers=1, is_restart=False)
    allocator.set_limits({}, FORGET_AFTER_MS, controllers=1, is_restart=False)
    allocator.set_limits(slow, FORGET_AFTER_MS, controllers=1, is_restart=False)
    assert granted_units(allocator, 0.5, FORGET_AFTER_MS) <= 0.001 * FORGET_AFTER_MS / 1_000.0
