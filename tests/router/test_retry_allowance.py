"""The limits on the attempts of one request."""

from __future__ import annotations

from larkweir_quotas.retry_budget import SLACK_FRACTION, RetryBudget

from larkweir.router.retry_allowance import MAX_FAILED_CONNECTS, RetryAllowance


def budget(retries: int) -> RetryBudget:
    return RetryBudget(0.0, retries / SLACK_FRACTION, 10.0)


def test_the_route_limits_the_attempts_whatever_the_budget_has() -> None:
    allowance = RetryAllowance(2, budget(1_000))
    allowance.record_sent()
    assert allowance.take_retry(0.0)
    allowance.record_sent()
    assert allowance.is_exhausted
    assert not allowance.take_retry(0.0)


def test_the_budget_limits_the_attempts_of_all_requests() -> None:
    shared = budget(1)
    first, second = RetryAllowance(3, shared), RetryAllowance(3, shared)
    first.record_sent()
    second.record_sent()
    taken = [allowance.take_retry(0.0) for allowance in (first, second)]
    assert taken == [True, False]


def test_an_exhausted_request_takes_nothing_from_the_budget() -> None:
    shared = budget(1)
    exhausted = RetryAllowance(1, shared)
    exhausted.record_sent()
    assert not exhausted.take_retry(0.0)
    assert RetryAllowance(2, shared).take_retry(0.0)


def test_failed_connects_cost_no_attempt_but_are_limited() -> None:
    allowance = RetryAllowance(1, budget(0))
    allowed = [allowance.record_failed_connect() for _ in range(MAX_FAILED_CONNECTS)]
    assert allowed == [True] * (MAX_FAILED_CONNECTS - 1) + [False]
    assert allowance.sent == 0
