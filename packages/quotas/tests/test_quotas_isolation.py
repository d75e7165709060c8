"""Isolated processes must together admit about their reserves, even if each reserve is smaller than one request."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import RESERVES_FRACTION, RateLimit, Tolerance
from larkweir_quotas.local_reserve import ISOLATED_FRACTION, ISOLATION_NOTICE_MS
from larkweir_quotas.quota_requester import QuotaCharge, QuotaRequester

LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens; the limit in force when the fault was seen
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=190_000.0)
WINDOW_MS = 8_000.0
FULL_MS = 60_000.0  # time by which a reserve is full
TRY_INTERVAL_MS = 50.0
LARGE_REQUEST_TOKENS = 17_020.0
RATE_WINDOW_S = (WINDOW_MS - ISOLATION_NOTICE_MS) / 1_000.0
EXPECTED_UNITS = (
    RESERVES_FRACTION * TOLERANCE.units(LIMIT) + ISOLATED_FRACTION * LIMIT.rate_per_s * RATE_WINDOW_S
)


def isolated_requesters(processes: int, seed: int) -> list[QuotaRequester]:
    """Return requesters that lose their only controller at `FULL_MS`, after a long connection."""
    rng = Random(seed)
    requesters = [QuotaRequester(TOLERANCE, Random(rng.random())) for _ in range(processes)]
    for requester in requesters:
        requester.process_count = processes
        requester.set_limits({"t": LIMIT}, 0.0)
        requester.set_granting("c", 0.0, is_granting=True)
        requester.on_controller_lost("c", FULL_MS)
    return requesters


def admitted_together(requesters: list[QuotaRequester], from_ms: float, until_ms: float) -> float:
    """Offer each process a large request every `TRY_INTERVAL_MS`; return the tokens admitted."""
    admitted, now_ms = 0.0, from_ms
    while now_ms < until_ms:
        for requester in requesters:
            if isinstance(requester.begin("t", LARGE_REQUEST_TOKENS, now_ms), QuotaCharge):
                admitted += LARGE_REQUEST_TOKENS
        now_ms += TRY_INTERVAL_MS
    return admitted


@pytest.mark.parametrize("processes", [9, 30, 89, 195, 300])
@pytest.mark.parametrize("seed", range(2))
def test_isolated_processes_do_not_each_go_into_debt_by_one_request(processes: int, seed: int) -> None:
    admitted = admitted_together(isolated_requesters(processes, seed), FULL_MS, FULL_MS + WINDOW_MS)
    assert admitted <= 1.4 * EXPECTED_UNITS
    assert admitted >= 0.6 * EXPECTED_UNITS, "reserves smaller than a request are also used"


@pytest.mark.parametrize("processes", [9, 89, 300])
def test_a_repeatedly_isolated_fleet_admits_little_more_than_its_reserves(processes: int) -> None:
    requesters, admitted = isolated_requesters(processes, 0), 0.0
    for number in range(20):
        begun_ms = FULL_MS + number * WINDOW_MS / 20.0
        for requester in requesters:
            requester.set_granting("c", begun_ms, is_granting=True)
            requester.on_controller_lost("c", begun_ms)
        admitted += admitted_together(requesters, begun_ms, begun_ms + WINDOW_MS / 20.0)
    assert admitted <= 2.0 * RESERVES_FRACTION * TOLERANCE.units(LIMIT)
