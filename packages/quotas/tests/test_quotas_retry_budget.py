"""Retry budgets of one process and of several processes."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.retry_budget import RetryBudget


def test_retries_of_all_processes_stay_within_the_budget() -> None:
    rng = Random(1)
    budgets = [RetryBudget(0.2, 58.0, 10.0) for _ in range(9)]
    requests: list[float] = []
    retries: list[float] = []
    now_ms = 0.0
    for budget in budgets:
        budget.process_count = 9
    while now_ms < 60_000.0:
        now_ms += rng.expovariate(0.05)
        budget = rng.choice(budgets)
        budget.record_request(now_ms)
        requests.append(now_ms)
        if budget.try_consume(now_ms):
            retries.append(now_ms)
    for end in range(10_000, 60_000, 250):
        inside = [when for when in requests if end - 10_000 < when <= end]
        again = [when for when in retries if end - 10_000 < when <= end]
        assert len(again) <= 0.2 * len(inside) + 58.0


def test_a_single_process_may_retry_at_once_up_to_its_allowance() -> None:
    budget = RetryBudget(0.2, 10.0, 10.0)
    assert sum(budget.try_consume(0.0) for _ in range(100)) == 7
    assert budget.try_consume(10_001.0)


@pytest.mark.parametrize("processes", [30, 195, 301, 500])
@pytest.mark.parametrize("slack", [20.0, 430.0])
def test_many_processes_that_all_want_retries_share_the_slack(processes: int, slack: float) -> None:
    rng = Random(processes)
    budgets = [RetryBudget(0.2, slack, 10.0, Random(rng.random())) for _ in range(processes)]
    retries: list[float] = []
    retried: set[int] = set()
    for budget in budgets:
        budget.process_count = processes
    for now_ms in range(0, 120_000, 500):
        for number in rng.sample(range(processes), processes):
            if budgets[number].try_consume(now_ms + 0.0):
                retries.append(now_ms)
                retried.add(number)
    for end in range(10_000, 120_000, 500):
        assert sum(1 for when in retries if end - 10_000 < when <= end) <= slack
    if slack == 430.0:
        assert (
            len(retried) >= 0.95 * processes
        ), "nearly every process that needs a retry gets one at some time"
