"""Quotas and retry budgets over many processes, with reports that lag, ledgers that die and processes cut off."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_quotas.limits import ISOLATED_FRACTION, QuotaStatus, RateLimit
from larkweir_quotas.quota_limiter import STATUS_VALID_MS, QuotaLimiter
from larkweir_quotas.retry_budget import RetryBudget
from larkweir_quotas.usage_table import INITIAL_FILL_FRACTION, UsageTable

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}
WINDOW_MS = 8_000.0


class Fleet:
    """Routers that report to ledgers every `lag_ms`, on a clock of the test's."""

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
        admitted = self.routers[number].admit("t", units, self.now_ms) == 0.0
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
    """Asks for so many times the limit; the part that was admitted."""
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


def test_the_first_report_of_an_incarnation_only_sets_the_base() -> None:
    table = UsageTable()
    table.set_limits(LIMITS, 0.0)
    assert table.statuses(["t"], 0.0)["t"].level == 2_000.0 * INITIAL_FILL_FRACTION
    table.record_report("r", {"t": 1_900.0}, 1_000.0, 1_000.0)
    assert table.statuses(["t"], 1_000.0)["t"].level == 2_000.0
    assert table.record_report("r", {"t": 3_500.0}, 1_000.0, 1_000.0) == ["t"]
    assert table.statuses(["t"], 1_000.0)["t"].level == 400.0


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


def test_a_single_process_can_retry_at_once_but_not_for_ever() -> None:
    budget = RetryBudget(0.2, 10.0, 10.0)
    assert sum(budget.try_consume(0.0) for _ in range(100)) == 7
    assert budget.try_consume(10_001.0)
