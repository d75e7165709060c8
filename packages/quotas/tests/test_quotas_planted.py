"""Faults planted in ledgers and limiters: the plays of `test_quotas_returns` must find each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import test_quotas_herd as herd
import test_quotas_returns as plays
from larkweir_quotas import quota_limiter, token_bucket, usage_table
from larkweir_quotas.quota_limiter import QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

SEEDS_MOST = 60
Patch = Callable[[pytest.MonkeyPatch], None]
Find = Callable[[int], None]


def late_use_is_charged_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(usage_table, "LATE_REPORT_MS", float("inf"))


def late_use_is_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(token_bucket.TokenBucket, "charge_late", lambda self, amount, over_ms, now_ms: None)
    patch.setattr(usage_table, "LATE_REPORT_MS", 100.0)


def nothing_is_kept_back_for_the_lost(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UsageTable, "set_unreachable", lambda self, part, over: None)
    patch.setattr(quota_limiter, "ISOLATED_FRACTION", 3.0)


def others_count_as_idle(patch: pytest.MonkeyPatch) -> None:
    def by_ledger(self: QuotaLimiter, received: Any, state: Any, limit: Any, now_ms: float) -> float:
        passed_s = (now_ms - received.received_ms) / 1000.0
        refilled = min(limit.burst, received.status.level + limit.rate_per_s * passed_s)
        return float(
            refilled
            - max(state.admitted_units - received.admitted_units, received.status.used_per_s * passed_s)
        )

    patch.setattr(QuotaLimiter, "_remaining_by_status", by_ledger)


def all_admit_at_once(patch: pytest.MonkeyPatch) -> None:
    others_count_as_idle(patch)  # each of the two is enough in these plays
    patch.setattr(QuotaLimiter, "_stagger", lambda self, state, limit: 0.0)


def a_fresh_ledger_gives_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(usage_table, "INITIAL_FILL_FRACTION", -1.0)


def old_statements_count(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_limiter, "STATUS_VALID_MS", 30_000.0)

    def by_ledger(self: QuotaLimiter, received: Any, state: Any, limit: Any, now_ms: float) -> float:
        return float(
            limit.burst
            + limit.rate_per_s * (now_ms - received.received_ms) / 1000.0
            - state.admitted_units
            + received.admitted_units
        )

    patch.setattr(QuotaLimiter, "_remaining_by_status", by_ledger)


def never_too_much(seed: int) -> None:
    plays.test_the_sum_stays_under_the_limit_whoever_is_away(plays.LARGE, seed)


def never_too_much_in_a_herd(seed: int) -> None:
    herd.test_clients_that_come_back_together_do_not_pass_the_limit(89, seed)


def never_too_little(seed: int) -> None:
    plays.test_below_the_limit_nobody_is_refused_once_contact_is_back_for_a_second(seed)


# With the first seed to play: where one before it does not find the fault, that was seen, and takes a second a play.
FAULTS: list[tuple[Patch, Find, int]] = [
    (late_use_is_charged_at_once, never_too_little, 0),
    (late_use_is_forgotten, never_too_much, 0),
    (nothing_is_kept_back_for_the_lost, never_too_much, 0),
    (all_admit_at_once, never_too_much, 43),
    (others_count_as_idle, never_too_much_in_a_herd, 0),
    (a_fresh_ledger_gives_nothing, never_too_little, 0),
    (old_statements_count, never_too_much, 0),
]


@pytest.mark.parametrize(("plant", "find", "first"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_the_plays_find_it(plant: Patch, find: Find, first: int, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(first, first + SEEDS_MOST):
        try:
            find(seed)
        except AssertionError:
            print(f"{plant.__name__}: found by seed {seed}")
            return
    pytest.fail(f"{SEEDS_MOST} plays did not find it")
