"""Admission at one process."""

from __future__ import annotations

import pytest
from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.quota_limiter import STATUS_VALID_MS, QuotaLimiter

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}


def test_a_rejection_names_when_to_retry_and_a_refund_counts() -> None:
    limiter = QuotaLimiter()
    limiter.set_limits(LIMITS)
    limiter.receive_statuses("l", {"t": QuotaStatus(-500.0, 0.0)}, 0.0)
    assert limiter.admit("t", 10.0, 0.0) == pytest.approx(0.5)
    limiter.receive_statuses("l", {"t": QuotaStatus(5.0, 0.0)}, 0.0)
    assert limiter.admit("t", 10.0, 0.0) == 0.0
    assert limiter.admit("t", 10.0, 0.0) > 0.0
    limiter.refund("t", 10.0)
    assert limiter.admit("t", 10.0, 0.0) == 0.0


def test_a_tenant_without_a_limit_is_always_admitted() -> None:
    limiter = QuotaLimiter()
    assert limiter.admit("other", 1e9, 0.0) == 0.0


def test_statuses_that_are_too_old_are_ignored() -> None:
    limiter = QuotaLimiter()
    limiter.set_limits(LIMITS)
    limiter.process_count = 10
    limiter.receive_statuses("l", {"t": QuotaStatus(1e9, 0.0)}, 0.0)
    admitted = 0
    while limiter.admit("t", 10.0, STATUS_VALID_MS) == 0.0:
        admitted += 1
    assert admitted * 10.0 <= 2_000.0 / 10 + 10.0
