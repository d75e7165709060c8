"""Limits, requests, usage reports, and the reserve for disconnected routers."""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import QuotaSnapshot, RateLimit
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaOutcome
from larkweir_quotas.share_leases import TOTAL_SHARE

from larkweir.cluster.messages import Pull, QuotaRefund, QuotaRequest
from larkweir.controller.quota_accounting import (
    DISCONNECTED_ROUTER_MS,
    QuotaAccounting,
    limits_of,
)

DOCUMENT = {"tenants": [{"name": "t", "rate_per_s": 10, "burst": 100}]}


class RecordingAllocator(QuotaAllocator):
    """An allocator that records the rate fractions that are set."""

    def __init__(self) -> None:
        super().__init__()
        self.fractions: list[float] = []

    def set_rate_fraction(self, fraction: float, now_ms: float) -> None:
        self.fractions.append(fraction)
        super().set_rate_fraction(fraction, now_ms)


@pytest.fixture
def allocator() -> RecordingAllocator:
    made = RecordingAllocator()
    made.set_share(TOTAL_SHARE, 1e9, 0.0)
    return made


@pytest.fixture
def quotas(allocator: RecordingAllocator) -> QuotaAccounting:
    return QuotaAccounting(allocator)


def test_only_tenants_with_a_rate_have_a_limit() -> None:
    tenants = [{"name": "a", "rate_per_s": 5, "burst": 2}, {"name": "b", "rate_per_s": 0}, {"name": "c"}]
    assert limits_of({"tenants": [*tenants, {"name": "d", "rate_per_s": 1}]}) == {
        "a": RateLimit(5.0, 2.0),
        "d": RateLimit(1.0, 0.0),
    }


def test_units_are_reserved_for_a_disconnected_router_for_a_while(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.router_disconnected("r1", 1_000.0)
    quotas.update_reserve({"r2", "r3", "c"}, 2, 1_000.0 + DISCONNECTED_ROUTER_MS - 1.0)
    quotas.update_reserve({"r2", "r3", "c"}, 2, 1_000.0 + DISCONNECTED_ROUTER_MS)
    assert allocator.fractions == [pytest.approx(1.0 - 0.5 / 3), 1.0]


def test_nothing_is_reserved_for_a_reconnected_router(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.router_disconnected("r1", 0.0)
    quotas.connected("r1")
    quotas.update_reserve({"r1"}, 1, 1.0)
    assert allocator.fractions == [1.0]


def test_nothing_is_reserved_for_a_router_with_a_second_connection(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.router_disconnected("r1", 0.0)
    quotas.update_reserve({"r1"}, 1, 1.0)
    assert allocator.fractions == [1.0]


def test_without_any_router_nothing_is_reserved(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.update_reserve(set(), 0, 0.0)
    assert allocator.fractions == [1.0]


def test_units_are_reserved_for_routers_that_are_missing_after_a_start(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.set_limits(DOCUMENT, 1, 1, 0.0)
    quotas.report("r1", "r1/a", Pull(quota_snapshot=QuotaSnapshot(process_count=4)), 0.0)
    quotas.update_reserve({"r1"}, 1, DISCONNECTED_ROUTER_MS - 1.0)
    quotas.update_reserve({"r1"}, 1, DISCONNECTED_ROUTER_MS)
    assert allocator.fractions == [pytest.approx(1.0 - 0.5 * 3 / 4), 1.0]


def outcome(quotas: QuotaAccounting, units: float, config_sequence: int = 1) -> QuotaOutcome:
    response = quotas.answer(QuotaRequest(7, "t", units, config_sequence), 0.0)
    assert response is not None
    assert response.request_id == 7
    return response.outcome


def test_a_router_with_a_newer_configuration_is_not_served_by_an_older_limit(quotas: QuotaAccounting) -> None:
    assert outcome(quotas, 1.0) is QuotaOutcome.UNDECIDED, "no configuration yet"
    quotas.is_first_start = True
    quotas.set_limits(DOCUMENT, 1, 1, 0.0)
    assert outcome(quotas, 1.0, config_sequence=2) is QuotaOutcome.UNDECIDED
    assert outcome(quotas, 1.0) is QuotaOutcome.GRANTED


def test_a_restarted_controller_grants_no_burst(quotas: QuotaAccounting) -> None:
    quotas.set_limits(DOCUMENT, 5, 1, 0.0)
    assert outcome(quotas, 1.0) is QuotaOutcome.REFUSED


def test_units_of_a_repeated_execution_are_charged_and_not_answered(quotas: QuotaAccounting) -> None:
    quotas.is_first_start = True
    quotas.set_limits(DOCUMENT, 1, 1, 0.0)
    assert quotas.answer(QuotaRequest(0, "t", 100.0, is_executed_again=True), 0.0) is None
    assert outcome(quotas, 1.0) is QuotaOutcome.REFUSED


def test_refunded_units_can_be_granted_again(quotas: QuotaAccounting) -> None:
    quotas.is_first_start = True
    quotas.set_limits(DOCUMENT, 1, 1, 0.0)
    assert outcome(quotas, 100.0) is QuotaOutcome.GRANTED
    assert outcome(quotas, 100.0) is QuotaOutcome.REFUSED
    quotas.refund(QuotaRefund("t", 100.0), 0.0)
    assert outcome(quotas, 100.0) is QuotaOutcome.GRANTED


def test_the_usage_of_routers_without_share_leases_is_charged_from_their_second_report_on(
    quotas: QuotaAccounting,
) -> None:
    quotas.is_first_start = True
    quotas.set_limits(DOCUMENT, 1, 1, 0.0)
    quotas.report("r", "r/1", Pull(usage={"t": 90.0}), 0.0)
    assert quotas.statuses(Pull(usage={"t": 90.0}), 0.0)["t"].level == 100.0
    quotas.report("r", "r/1", Pull(usage={"t": 130.0}), 0.0)
    assert quotas.statuses(Pull(usage={"t": 130.0}), 0.0)["t"].level == 60.0


def test_nothing_is_reserved_for_a_leaving_router(
    quotas: QuotaAccounting, allocator: RecordingAllocator
) -> None:
    quotas.report("r1", "r1/a", Pull(is_leaving=True), 0.0)
    quotas.router_disconnected("r1", 0.0)
    quotas.update_reserve({"r2"}, 1, 1.0)
    quotas.connected("r1")
    quotas.router_disconnected("r1", 2.0)
    quotas.update_reserve({"r2"}, 1, 3.0)
    assert allocator.fractions == [1.0, 0.75], "its next process has not announced a shutdown"
