"""Tests of the part of a tenant's quota that a router may use by the statuses of usage tables."""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import QuotaStatus, RateLimit

from larkweir.router.usage_statuses import ACTIVE_TENANT_MS, STATUS_VALID_MS, UsageStatuses

LIMIT = RateLimit(100.0, 300.0)


def test_routers_share_the_lowest_level_equally() -> None:
    statuses = UsageStatuses()
    statuses.receive("a", {"t": QuotaStatus(200.0, 0.0)}, 0.0)
    statuses.receive("b", {"t": QuotaStatus(90.0, 0.0)}, 0.0)
    assert statuses.level("t", LIMIT, 3, 0.0) == 90.0
    statuses.record_admitted("t", 30.0, 0.0)
    assert statuses.level("t", LIMIT, 3, 0.0) == 0.0
    assert statuses.level("t", LIMIT, 3, 500.0) == 50.0


def test_a_status_includes_the_usage_that_was_reported_before_it() -> None:
    statuses = UsageStatuses()
    statuses.receive("a", {}, 0.0)
    statuses.record_admitted("t", 30.0, 0.0)
    assert statuses.report("a", 0.0) == {"t": 30.0}
    statuses.record_admitted("t", 20.0, 0.0)
    statuses.receive("a", {"t": QuotaStatus(100.0, 0.0)}, 0.0)
    assert statuses.level("t", LIMIT, 1, 0.0) == 80.0


def test_a_tenant_without_a_status_has_a_third_of_its_burst() -> None:
    statuses = UsageStatuses()
    statuses.receive("a", {}, 0.0)
    assert statuses.level("t", LIMIT, 2, 0.0) == pytest.approx(100.0)
    statuses.record_admitted("t", 50.0, 0.0)
    assert statuses.level("t", LIMIT, 2, 0.0) == pytest.approx(0.0)


def test_old_statuses_lost_controllers_and_those_without_limits_are_ignored() -> None:
    statuses = UsageStatuses()
    statuses.receive("a", None, 0.0)
    assert statuses.level("t", LIMIT, 1, 0.0) is None
    statuses.receive("a", {"t": QuotaStatus(100.0, 0.0)}, 0.0)
    assert statuses.level("t", LIMIT, 1, STATUS_VALID_MS) is None
    statuses.receive("a", {"t": QuotaStatus(100.0, 0.0)}, 0.0)
    statuses.remove("a")
    assert statuses.level("t", LIMIT, 1, 0.0) is None


def test_only_recently_active_tenants_are_reported() -> None:
    statuses = UsageStatuses()
    statuses.receive("a", {}, 0.0)
    statuses.record_admitted("t", 30.0, 0.0)
    statuses.record_refund("t", 10.0)
    assert statuses.report("a", 0.0) == {"t": 20.0}
    assert statuses.report("a", ACTIVE_TENANT_MS) == {}
    assert statuses.report("other", 0.0) == {}
