"""Limits, reports and the reserve for disconnected routers."""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import RateLimit

from larkweir.controller.quota_accounting import DISCONNECTED_ROUTER_MS, QuotaAccounting, limits_of


class RecordedUsageTable:
    """A usage table of which the test sees what fraction of routers counts as away."""

    def __init__(self) -> None:
        self.away: list[tuple[float, float]] = []

    def set_unreachable(self, fraction: float, tolerance: float) -> None:
        self.away.append((fraction, tolerance))


@pytest.fixture
def usage_table() -> RecordedUsageTable:
    return RecordedUsageTable()


@pytest.fixture
def quotas(usage_table: RecordedUsageTable) -> QuotaAccounting:
    return QuotaAccounting(usage_table, overuse_fraction=0.05)  # type: ignore[arg-type]


def test_only_tenants_with_a_rate_have_a_limit() -> None:
    tenants = [{"name": "a", "rate_per_s": 5, "burst": 2}, {"name": "b", "rate_per_s": 0}, {"name": "c"}]
    assert limits_of({"tenants": [*tenants, {"name": "d", "rate_per_s": 1}]}) == {
        "a": RateLimit(5.0, 2.0),
        "d": RateLimit(1.0, 0.0),
    }


def test_a_disconnected_router_counts_as_away_for_a_while(
    quotas: QuotaAccounting, usage_table: RecordedUsageTable
) -> None:
    quotas.router_disconnected("r1", 1_000.0)
    quotas.update_reserve({"r2", "r3", "c"}, 2, 1_000.0 + DISCONNECTED_ROUTER_MS - 1.0)
    quotas.update_reserve({"r2", "r3", "c"}, 2, 1_000.0 + DISCONNECTED_ROUTER_MS)
    assert usage_table.away == [(1 / 3, 0.05), (0.0, 0.05)]


def test_a_router_that_is_connected_again_is_not_away(
    quotas: QuotaAccounting, usage_table: RecordedUsageTable
) -> None:
    quotas.router_disconnected("r1", 0.0)
    quotas.connected("r1")
    quotas.update_reserve({"r1"}, 1, 1.0)
    assert usage_table.away == [(0.0, 0.05)]


def test_a_router_with_a_second_connection_is_not_away(
    quotas: QuotaAccounting, usage_table: RecordedUsageTable
) -> None:
    quotas.router_disconnected("r1", 0.0)
    quotas.update_reserve({"r1"}, 1, 1.0)
    assert usage_table.away == [(0.0, 0.05)]


def test_without_any_router_nothing_is_reserved(
    quotas: QuotaAccounting, usage_table: RecordedUsageTable
) -> None:
    quotas.update_reserve(set(), 0, 0.0)
    assert usage_table.away == [(0.0, 0.05)]
