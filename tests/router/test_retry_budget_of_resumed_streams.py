"""Resumed streams whose next upstream answers with an error draw on the retry budget like all repeats."""

from __future__ import annotations

import pytest
from larkweir_quotas.retry_budget import SLACK_FRACTION

from larkweir.cluster.settings import Bounds
from larkweir.router.retry_budgets import RetryBudgets
from tests.router.router_model import RouterHarness, RouterModel, answer_of

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in range(1, 6))


@pytest.mark.parametrize("status", [500, 404])
@pytest.mark.parametrize(("budgeted_retries", "attempts"), [(0, 1), (1, 2), (2, 3), (5, 3)])
def test_each_repeat_of_a_resumed_stream_is_budgeted(
    status: int, budgeted_retries: int, attempts: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against repeats without the budget where a resumed stream gets an error (BUDGET, the second review).
    monkeypatch.setattr(RouterModel, "ADDRESSES", ADDRESSES)
    harness = RouterHarness()
    bounds = Bounds(retry_budget_ratio=0.0, retry_budget_slack=budgeted_retries / SLACK_FRACTION)
    harness.model.plane.retry_budgets = RetryBudgets(bounds)
    sent = harness.request(harness.client(), "resumable")
    upstream = harness.waiting()[0]
    assert upstream.run is not None
    upstream.begin(answer_of(upstream.run))
    harness.do(lambda: upstream.send(len(upstream.unsent) - 30))
    harness.do(lambda: upstream.close(in_order=False))
    while waiting := harness.waiting():
        harness.answer(waiting[0], status=status)
    assert len(harness.model.runs[sent.id]) == attempts
    assert not sent.complete
    harness.close()
