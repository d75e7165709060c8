"""What one controller hands out of its share."""

from __future__ import annotations

import math
from random import Random

import pytest
from larkweir_quotas.limits import DEBTS_FRACTION, RESTARTS_FRACTION, RateLimit, Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaOutcome
from larkweir_quotas.share_leases import TOTAL_SHARE

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=500.0)
LATER_MS = 1e9


def allocator(
    share: int = TOTAL_SHARE,
    *,
    controllers: int = 1,
    is_restart: bool = False,
    tolerance: Tolerance | None = None,
) -> QuotaAllocator:
    made = QuotaAllocator(tolerance)
    made.set_share(share, LATER_MS, 0.0)
    made.set_limits(LIMITS, 0.0, controllers=controllers, is_restart=is_restart)
    return made


def granted(made: QuotaAllocator, units: float, now_ms: float) -> float:
    """How much is handed out until the first refusal."""
    total = 0.0
    while made.request("t", units, now_ms).outcome is QuotaOutcome.GRANTED:
        total += units
    return total


def test_units_are_withdrawn_and_a_refusal_names_when_to_retry() -> None:
    made = allocator()
    assert granted(made, 10.0, 0.0) == 2_000.0
    refused = made.request("t", 10.0, 0.0)
    assert refused.outcome is QuotaOutcome.REFUSED
    assert refused.retry_after_s == pytest.approx(0.1)
    assert granted(made, 10.0, 500.0) == 500.0


def test_what_was_not_used_can_be_granted_again_but_never_more_than_a_burst() -> None:
    made = allocator()
    made.request("t", 500.0, 0.0)
    made.refund("t", 500.0, 0.0)
    made.refund("t", 500.0, 0.0)
    assert granted(made, 10.0, 0.0) == 2_000.0


def test_without_a_share_or_behind_its_lease_nothing_is_decided() -> None:
    made = QuotaAllocator()
    made.set_limits(LIMITS, 0.0, controllers=1, is_restart=False)
    assert made.request("t", 1.0, 0.0).outcome is QuotaOutcome.UNDECIDED
    made.set_share(TOTAL_SHARE, 2_000.0, 0.0)
    assert made.request("t", 1.0, 1_999.0).outcome is QuotaOutcome.GRANTED
    assert made.request("t", 1.0, 2_000.0).outcome is QuotaOutcome.UNDECIDED


def test_nothing_accrues_between_two_leases() -> None:
    made = allocator()
    granted(made, 10.0, 0.0)
    made.set_share(TOTAL_SHARE, 1_000.0, 0.0)
    made.set_share(TOTAL_SHARE, LATER_MS, 60_000.0)
    assert granted(made, 10.0, 60_000.0) == 1_000.0


def test_a_share_that_grows_hands_out_no_more_at_once() -> None:
    made = allocator(TOTAL_SHARE // 4, controllers=4)
    granted(made, 10.0, 0.0)
    made.set_share(TOTAL_SHARE, LATER_MS, 0.0)
    assert granted(made, 10.0, 0.0) == 0.0
    assert granted(made, 10.0, 1_000.0) == 1_000.0


def test_a_share_that_shrinks_hands_out_no_more_than_its_burst() -> None:
    made = allocator()
    made.set_share(TOTAL_SHARE // 4, LATER_MS, 0.0)
    assert granted(made, 10.0, 0.0) == 500.0


def test_a_controller_without_memory_hands_out_at_first_what_a_limit_tolerates() -> None:
    made = allocator(is_restart=True, tolerance=TOLERANCE)
    tolerated = TOLERANCE.units(LIMITS["t"])
    assert granted(made, 10.0, 0.0) <= (RESTARTS_FRACTION + DEBTS_FRACTION) * tolerated
    strict = allocator(is_restart=True)
    assert granted(strict, 10.0, 0.0) == 0.0


def test_a_new_tenant_may_use_a_burst_once() -> None:
    made = allocator()
    granted(made, 10.0, 0.0)
    made.set_limits({**LIMITS, "new": RateLimit(1.0, 50.0)}, 0.0, controllers=1, is_restart=False)
    assert made.request("new", 50.0, 0.0).outcome is QuotaOutcome.GRANTED
    assert made.request("t", 10.0, 0.0).outcome is QuotaOutcome.REFUSED


def test_the_size_of_a_request_gives_it_no_advantage() -> None:
    made, rng = allocator(), Random(1)
    refused = {20.0: 0, 200.0: 0}
    requested = dict.fromkeys(refused, 0)
    for step in range(20_000):
        units = rng.choice([20.0, 200.0])
        requested[units] += 1
        if made.request("t", units, step * 20.0).outcome is QuotaOutcome.REFUSED:
            refused[units] += 1
    small, large = (refused[units] / requested[units] for units in (20.0, 200.0))
    assert small > 0.5
    assert abs(small - large) < 0.02


@pytest.mark.parametrize("units", [150.0, 1_900.0, 5_000.0])
def test_debts_stay_within_what_is_tolerated(units: float) -> None:
    made = allocator(TOTAL_SHARE // 4, controllers=4, tolerance=TOLERANCE)
    burst = LIMITS["t"].burst / 4.0
    debt = granted(made, units, 0.0) - burst
    largest_debt = max(DEBTS_FRACTION * TOLERANCE.units(LIMITS["t"]) / 4.0, units - burst / 2.0)
    assert debt <= largest_debt


def test_a_use_without_a_request_is_paid_off_first() -> None:
    made = allocator()
    granted(made, 10.0, 0.0)
    made.charge("t", 300.0, 0.0)
    assert made.request("t", 10.0, 300.0).outcome is QuotaOutcome.REFUSED
    assert granted(made, 10.0, 400.0) == 100.0


def test_a_tenant_without_a_limit_is_always_granted() -> None:
    assert allocator().request("other", 1e9, 0.0).outcome is QuotaOutcome.GRANTED


@pytest.mark.parametrize("units", [-1.0, -900_000.0, math.inf, math.nan])
def test_no_request_raises_a_level(units: float) -> None:
    made = allocator()
    with pytest.raises(ValueError, match="units"):
        made.request("t", units, 0.0)
    assert granted(made, 10.0, 0.0) == 2_000.0


def test_a_fraction_of_the_rate_is_reserved_for_isolated_processes() -> None:
    made = allocator()
    granted(made, 10.0, 0.0)
    made.set_rate_fraction(0.5, 0.0)
    assert granted(made, 10.0, 1_000.0) == 500.0
