"""Processes that no usage table reaches: what they admit together, by parts that are smaller than a request."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import ISOLATED_FRACTION, RateLimit
from larkweir_quotas.quota_limiter import QuotaCharge, QuotaLimiter

LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens, as on the day on which the fault was seen
WINDOW_MS = 8_000.0
TRY_MS = 50.0
LARGE_REQUEST_TOKENS = 17_020.0
INTENDED = ISOLATED_FRACTION * (LIMIT.rate_per_s * WINDOW_MS / 1_000.0 + LIMIT.burst)


def isolated_limiters(processes: int, seed: int) -> list[QuotaLimiter]:
    rng = Random(seed)
    limiters = [QuotaLimiter(Random(rng.random())) for _ in range(processes)]
    for limiter in limiters:
        limiter.set_limits({"t": LIMIT})
        limiter.process_count = processes
    return limiters


def admitted_together(limiters: list[QuotaLimiter], from_ms: float, until_ms: float) -> float:
    """Offer each limiter a large request every `TRY_MS`; return the tokens admitted."""
    admitted, now_ms = 0.0, from_ms
    while now_ms < until_ms:
        for limiter in limiters:
            if isinstance(limiter.admit("t", LARGE_REQUEST_TOKENS, now_ms), QuotaCharge):
                admitted += LARGE_REQUEST_TOKENS
        now_ms += TRY_MS
    return admitted


@pytest.mark.parametrize("processes", [9, 30, 89, 195, 300])
@pytest.mark.parametrize("seed", range(2))
def test_isolated_routers_do_not_each_go_into_debt_by_one_request(processes: int, seed: int) -> None:
    admitted = admitted_together(isolated_limiters(processes, seed), 0.0, WINDOW_MS)
    assert admitted <= 1.4 * INTENDED
    assert admitted >= 0.6 * INTENDED, "nor do parts that are smaller than a request lie idle"
