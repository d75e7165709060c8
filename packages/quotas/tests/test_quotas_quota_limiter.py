"""Admission at one process."""

from __future__ import annotations

import math

import pytest
from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.quota_limiter import STATUS_VALID_MS, QuotaCharge, QuotaLimiter, QuotaRejection

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}


def test_a_rejection_names_when_to_retry_and_a_refund_counts() -> None:
    limiter = QuotaLimiter()
    limiter.set_limits(LIMITS)
    limiter.receive_statuses("l", {"t": QuotaStatus(-500.0, 0.0)}, 0.0)
    rejected = limiter.admit("t", 10.0, 0.0)
    assert isinstance(rejected, QuotaRejection)
    assert rejected.retry_after_s == pytest.approx(0.5)
    limiter.receive_statuses("l", {"t": QuotaStatus(5.0, 0.0)}, 0.0)
    charge = limiter.admit("t", 10.0, 0.0)
    assert charge == QuotaCharge("t", 10.0)
    rejected = limiter.admit("t", 10.0, 0.0)
    assert isinstance(rejected, QuotaRejection)
    assert rejected.retry_after_s > 0.0
    limiter.refund(charge)
    assert limiter.admit("t", 10.0, 0.0) == QuotaCharge("t", 10.0)


def test_a_tenant_without_a_limit_is_always_admitted() -> None:
    limiter = QuotaLimiter()
    assert limiter.admit("other", 1e9, 0.0) == QuotaCharge("other", 0.0)


def test_what_was_admitted_without_a_limit_is_not_refunded_under_a_later_one() -> None:
    limiter = QuotaLimiter()
    charge = limiter.admit("t", 1_500.0, 0.0)
    assert isinstance(charge, QuotaCharge)
    limiter.set_limits(LIMITS)
    limiter.admit("t", 10.0, 0.0)
    limiter.refund(charge)
    assert limiter.usage("l", 0.0) == {"t": 10.0}


@pytest.mark.parametrize("units", [-1.0, -900_000.0, math.inf, math.nan])
def test_no_admission_lowers_the_usage(units: float) -> None:
    limiter = QuotaLimiter()
    limiter.set_limits(LIMITS)
    with pytest.raises(ValueError, match="units"):
        limiter.admit("t", units, 0.0)
    assert limiter.usage("l", 0.0) == {}


def test_statuses_that_are_too_old_are_ignored() -> None:
    limiter = QuotaLimiter()
    limiter.set_limits(LIMITS)
    limiter.process_count = 10
    limiter.receive_statuses("l", {"t": QuotaStatus(1e9, 0.0)}, 0.0)
    admitted = 0
    while isinstance(limiter.admit("t", 10.0, STATUS_VALID_MS), QuotaCharge):
        admitted += 1
    assert admitted * 10.0 <= 2_000.0 / 10 + 10.0
