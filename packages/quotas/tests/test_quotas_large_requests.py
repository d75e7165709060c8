"""Requests that are far larger than a tenant's burst, at several controllers with equal shares of its limit."""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaOutcome
from larkweir_quotas.share_leases import TOTAL_SHARE

LIMIT = RateLimit(5_000.0, 8_000.0)
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=190_000.0)
ALLOWED = LIMIT.rate_per_s * TOLERANCE.window_s + LIMIT.burst + TOLERANCE.units(LIMIT)
DURATION_S = 40
FOREVER_MS = 1e9


def granted_by_second(controllers: int, units: float) -> list[float]:
    """Return the units granted in each second to a tenant that asks every controller once a second."""
    allocators = [QuotaAllocator(TOLERANCE) for _ in range(controllers)]
    for allocator in allocators:
        allocator.set_share(TOTAL_SHARE // controllers, FOREVER_MS, 0.0)
        allocator.set_limits({"t": LIMIT}, 0.0, controllers=controllers, is_restart=False)
    return [
        sum(
            units
            for allocator in allocators
            if allocator.request("t", units, 1_000.0 * second).outcome is QuotaOutcome.GRANTED
        )
        for second in range(DURATION_S)
    ]


@pytest.mark.parametrize("controllers", [1, 3, 5])
@pytest.mark.parametrize("units", [1_000.0, 8_000.0, 20_000.0, 90_000.0, 240_000.0])
def test_large_requests_stay_within_what_the_limit_tolerates(units: float, controllers: int) -> None:
    # Guards against a debt at each controller that the limit tolerates only once (issue 82, part 3).
    granted = granted_by_second(controllers, units)
    window = int(TOLERANCE.window_s)
    fullest = max(sum(granted[start : start + window]) for start in range(DURATION_S - window + 1))
    assert fullest <= ALLOWED
