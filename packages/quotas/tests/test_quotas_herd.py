"""An oversubscribed tenant whose rejected clients retry at all processes at the same moment."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import RateLimit
from larkweir_quotas.quota_limiter import QuotaLimiter, QuotaRejection
from larkweir_quotas.usage_table import UsageTable

LIMIT = RateLimit(860_000.0, 860_000.0)  # tokens, as on the day on which the fault was seen
TOLERANCE_FACTOR = 1.1
SLACK = 190_000.0
WINDOW_MS = 8_000.0
REPORT_MS = 180.0
STEP_MS = 10.0
FOR_MS = 16_000.0
MEAN_TOKENS = 8_000.0
OVERSUBSCRIPTION_FACTOR = 3.0  # times the limit


def admitted(processes: int, rng: Random) -> list[tuple[float, float]]:
    """Return when how many tokens were admitted; clients that are rejected retry exactly when they should."""
    table = UsageTable()
    table.set_limits({"t": LIMIT}, 0.0)
    limiters = [QuotaLimiter(rng) for _ in range(processes)]
    next_ms = [rng.random() * REPORT_MS for _ in limiters]
    for limiter in limiters:
        limiter.set_limits({"t": LIMIT})
        limiter.process_count = processes
    retries: list[tuple[float, int, float]] = []
    found: list[tuple[float, float]] = []
    now_ms = 0.0
    while now_ms < FOR_MS:
        now_ms += STEP_MS
        for number, limiter in enumerate(limiters):
            if now_ms >= next_ms[number]:
                next_ms[number] = now_ms + REPORT_MS
                counts = limiter.usage("l", now_ms)
                table.record_report(f"r{number}", counts, now_ms, now_ms)
                limiter.receive_statuses("l", table.statuses(list(counts), now_ms), now_ms)
        new = round(OVERSUBSCRIPTION_FACTOR * LIMIT.rate_per_s / MEAN_TOKENS * STEP_MS / 1_000.0)
        requested = [
            (now_ms, rng.randrange(processes), rng.expovariate(1.0 / MEAN_TOKENS)) for _ in range(new)
        ]
        requested += [one for one in retries if one[0] <= now_ms]
        retries = [one for one in retries if one[0] > now_ms]
        for _, number, units in requested:
            verdict = limiters[number].admit("t", units, now_ms)
            if isinstance(verdict, QuotaRejection):
                retries.append((now_ms + 1_000.0 * verdict.retry_after_s, rng.randrange(processes), units))
            else:
                found.append((now_ms, units))
    return found


@pytest.mark.parametrize("processes", [89])
@pytest.mark.parametrize("seed", range(3))
def test_clients_that_retry_together_do_not_exceed_the_limit(processes: int, seed: int) -> None:
    allowed = (LIMIT.rate_per_s * WINDOW_MS / 1_000.0 + LIMIT.burst) * TOLERANCE_FACTOR + SLACK
    found = admitted(processes, Random(seed))
    starts = [step * 100.0 for step in range(int((FOR_MS - WINDOW_MS) / 100.0))]
    windows = [sum(units for at_ms, units in found if start <= at_ms < start + WINDOW_MS) for start in starts]
    assert max(windows) <= allowed
    assert min(windows) >= 0.8 * LIMIT.rate_per_s * WINDOW_MS / 1_000.0, "nor does it get much less"
