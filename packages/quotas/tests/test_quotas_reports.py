"""Quotas over many processes whose reports lag, with tables that are lost and processes that are isolated."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import ISOLATED_FRACTION, RateLimit
from larkweir_quotas.quota_limiter import QuotaCharge, QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}
WINDOW_MS = 8_000.0


class Fleet:
    """Routers that report to usage tables every `lag_ms`, on a clock of the test's."""

    def __init__(self, routers: int, tables: int, lag_ms: float) -> None:
        self.now_ms = 0.0
        self.lag_ms = lag_ms
        self.routers = [QuotaLimiter() for _ in range(routers)]
        self.tables = {f"l{n}": UsageTable() for n in range(tables)}
        self.cut: set[int] = set()
        self.admitted: list[tuple[float, float]] = []
        for router in self.routers:
            router.set_limits(LIMITS)
            router.process_count = routers
        for table in self.tables.values():
            table.set_limits(LIMITS, 0.0)
        self._next_ms = 0.0

    def advance(self, by_ms: float) -> None:
        self.now_ms += by_ms
        if self.now_ms >= self._next_ms:
            self._next_ms = self.now_ms + self.lag_ms
            for number, router in enumerate(self.routers):
                if number not in self.cut:
                    self._exchange(number, router)

    def _exchange(self, number: int, router: QuotaLimiter) -> None:
        for name, table in self.tables.items():
            counts = router.usage(name, self.now_ms)
            table.record_report(f"r{number}", counts, self.now_ms, self.now_ms)
            router.receive_statuses(name, table.statuses(list(counts), self.now_ms), self.now_ms)

    def request(self, number: int, units: float) -> bool:
        admitted = isinstance(self.routers[number].admit("t", units, self.now_ms), QuotaCharge)
        if admitted:
            self.admitted.append((self.now_ms, units))
        return admitted

    def most_in_a_window(self) -> float:
        most = window = 0.0
        start = 0
        for when_ms, units in self.admitted:
            window += units
            while self.admitted[start][0] < when_ms - WINDOW_MS:
                window -= self.admitted[start][1]
                start += 1
            most = max(most, window)
        return most


def play(fleet: Fleet, seed: int, times_limit: float, for_ms: float) -> float:
    """Request `times_limit` times the limit; return the fraction that was admitted."""
    rng = Random(seed)
    requested = admitted = 0
    while fleet.now_ms < for_ms:
        fleet.advance(rng.expovariate(1.0) * 20.0 * 1_000.0 / (1_000.0 * times_limit))
        requested += 1
        admitted += fleet.request(rng.randrange(len(fleet.routers)), 20.0)
    return admitted / requested


ALLOWED = 1_000.0 * WINDOW_MS / 1_000.0 + 2_000.0


@pytest.mark.parametrize("seed", range(10))
def test_far_above_the_limit_the_sum_stays_near_it(seed: int) -> None:
    fleet = Fleet(routers=9, tables=3, lag_ms=150.0)
    play(fleet, seed, times_limit=6.0, for_ms=30_000.0)
    assert fleet.most_in_a_window() <= 1.1 * ALLOWED + 1_000.0
    assert fleet.most_in_a_window() >= 0.9 * 1_000.0 * WINDOW_MS / 1_000.0


@pytest.mark.parametrize("seed", range(10))
def test_below_the_limit_all_is_admitted_but_for_the_start(seed: int) -> None:
    fleet = Fleet(routers=9, tables=3, lag_ms=150.0)
    assert play(fleet, seed, times_limit=0.75, for_ms=30_000.0) > 0.98


@pytest.mark.parametrize("cut", [1, 3])
def test_isolated_processes_fall_back_to_a_small_part(cut: int) -> None:
    fleet = Fleet(routers=9, tables=3, lag_ms=150.0)
    play(fleet, 1, times_limit=6.0, for_ms=10_000.0)
    fleet.cut = set(range(cut))
    play(fleet, 2, times_limit=6.0, for_ms=40_000.0)
    extra = ALLOWED * ISOLATED_FRACTION * cut / 9
    assert fleet.most_in_a_window() <= 1.1 * ALLOWED + extra + 1_000.0


def test_a_new_table_that_knows_little_does_no_harm() -> None:
    fleet = Fleet(routers=9, tables=3, lag_ms=150.0)
    play(fleet, 1, times_limit=6.0, for_ms=10_000.0)
    fleet.tables["l0"] = UsageTable()
    fleet.tables["l0"].set_limits(LIMITS, fleet.now_ms)
    play(fleet, 2, times_limit=6.0, for_ms=25_000.0)
    assert fleet.most_in_a_window() <= 1.1 * ALLOWED + 1_000.0
