"""An oversubscribed tenant whose rejected clients retry at all processes at the same time."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.quota_requester import Query, QuotaRejection, QuotaRequester, Step
from larkweir_quotas.share_leases import TOTAL_SHARE

LIMIT = RateLimit(860_000.0, 860_000.0)  # tokens; the limit in force when the fault was seen
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=190_000.0)
WINDOW_MS = 8_000.0
CONTROLLERS = 5
STEP_MS = 10.0
DURATION_MS = 16_000.0
MEAN_TOKENS = 8_000.0
OVERSUBSCRIPTION_FACTOR = 3.0  # times the limit


def make_controllers() -> dict[str, QuotaAllocator]:
    allocators = {}
    for number in range(CONTROLLERS):
        allocator = allocators[f"c{number}"] = QuotaAllocator(TOLERANCE)
        allocator.set_share(TOTAL_SHARE // CONTROLLERS, 10.0 * DURATION_MS, 0.0)
        allocator.set_limits({"t": LIMIT}, 0.0, controllers=CONTROLLERS, is_restart=False)
    return allocators


def simulate_admissions(processes: int, rng: Random) -> list[tuple[float, float]]:
    """Return the time and tokens of each admission. Rejected clients retry exactly after the delay they were given."""
    allocators = make_controllers()
    requesters = [QuotaRequester(TOLERANCE, rng) for _ in range(processes)]
    for requester in requesters:
        requester.process_count = processes
        requester.set_limits({"t": LIMIT}, 0.0)
        for name in allocators:
            requester.set_granting(name, 0.0, is_granting=True)

    def decide(number: int, units: float, now_ms: float) -> Step:
        step = requesters[number].begin("t", units, now_ms)
        while isinstance(step, Query):
            decision = allocators[step.controller].request("t", units, now_ms)
            following = requesters[number].on_decision(step.request_id, step.controller, decision, now_ms)
            assert following is not None
            step = following
        return step

    retries: list[tuple[float, int, float]] = []
    admissions: list[tuple[float, float]] = []
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += STEP_MS
        new = round(OVERSUBSCRIPTION_FACTOR * LIMIT.rate_per_s / MEAN_TOKENS * STEP_MS / 1_000.0)
        requested = [
            (now_ms, rng.randrange(processes), rng.expovariate(1.0 / MEAN_TOKENS)) for _ in range(new)
        ]
        requested += [one for one in retries if one[0] <= now_ms]
        retries = [one for one in retries if one[0] > now_ms]
        for _, number, units in requested:
            decided = decide(number, units, now_ms)
            if isinstance(decided, QuotaRejection):
                retries.append((now_ms + 1_000.0 * decided.retry_after_s, rng.randrange(processes), units))
            else:
                admissions.append((now_ms, units))
    return admissions


@pytest.mark.parametrize("processes", [89])
@pytest.mark.parametrize("seed", range(3))
def test_clients_that_retry_together_do_not_exceed_the_limit(processes: int, seed: int) -> None:
    allowed = LIMIT.rate_per_s * WINDOW_MS / 1_000.0 + LIMIT.burst + TOLERANCE.units(LIMIT)
    admissions = simulate_admissions(processes, Random(seed))
    starts = [step * 100.0 for step in range(int((DURATION_MS - WINDOW_MS) / 100.0))]
    windows = [
        sum(units for at_ms, units in admissions if start <= at_ms < start + WINDOW_MS) for start in starts
    ]
    assert max(windows) <= allowed
    assert min(windows) >= 0.8 * LIMIT.rate_per_s * WINDOW_MS / 1_000.0, "the tenant gets most of its limit"
