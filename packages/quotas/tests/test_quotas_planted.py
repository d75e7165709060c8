"""Faults planted in usage tables and limiters: the runs of `test_quotas_returns` must find each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import test_quotas_disturbances as disturbances
import test_quotas_herd as herd
import test_quotas_isolation as isolation
import test_quotas_returns as plays
from larkweir_quotas import quota_limiter, token_bucket, usage_table
from larkweir_quotas.local_bucket import LocalBucket
from larkweir_quotas.quota_limiter import QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

MAX_SEEDS = 60
Patch = Callable[[pytest.MonkeyPatch], None]
Find = Callable[[int], None]


def late_reports_are_charged_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(usage_table, "LATE_REPORT_MS", float("inf"))


def late_reports_are_dropped(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(token_bucket.TokenBucket, "charge_late", lambda self, amount, over_ms, now_ms: None)
    patch.setattr(usage_table, "LATE_REPORT_MS", 100.0)


def nothing_is_reserved_for_the_unreachable(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UsageTable, "set_unreachable", lambda self, part, over: None)
    patch.setattr(quota_limiter, "ISOLATED_FRACTION", 3.0)


def other_processes_count_as_idle(patch: pytest.MonkeyPatch) -> None:
    def by_status(self: QuotaLimiter, received: Any, state: Any, limit: Any, now_ms: float) -> float:
        passed_s = (now_ms - received.received_ms) / 1000.0
        refilled = min(limit.burst, received.status.level + limit.rate_per_s * passed_s)
        return float(
            refilled
            - max(state.admitted_units - received.admitted_units, received.status.used_per_s * passed_s)
        )

    patch.setattr(QuotaLimiter, "_remaining_by_status", by_status)


def all_processes_admit_at_once(patch: pytest.MonkeyPatch) -> None:
    other_processes_count_as_idle(patch)  # each of the two is enough in these runs
    patch.setattr(QuotaLimiter, "_stagger", lambda self, state, limit: 0.0)


def a_new_table_starts_empty(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(usage_table, "INITIAL_FILL_FRACTION", -1.0)


def old_statuses_count(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_limiter, "STATUS_VALID_MS", 30_000.0)

    def by_status(self: QuotaLimiter, received: Any, state: Any, limit: Any, now_ms: float) -> float:
        return float(
            limit.burst
            + limit.rate_per_s * (now_ms - received.received_ms) / 1000.0
            - state.admitted_units
            + received.admitted_units
        )

    patch.setattr(QuotaLimiter, "_remaining_by_status", by_status)


def isolated_processes_admit_while_anything_is_left(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalBucket, "missing", lambda self, units: 0.0)


def a_returning_table_hands_out_half_a_burst(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(UsageTable, "_rebuild", lambda self, snapshot, now_ms: None)


def find_too_much(seed: int) -> None:
    plays.test_the_sum_stays_under_the_limit_during_every_fault(plays.LARGE, seed)


def find_too_much_in_a_herd(seed: int) -> None:
    herd.test_clients_that_retry_together_do_not_exceed_the_limit(89, seed)


def find_too_much_of_isolated_processes(seed: int) -> None:
    isolation.test_isolated_routers_do_not_each_go_into_debt_by_one_request(195, seed)


def find_too_much_after_two_outages(seed: int) -> None:
    disturbances.test_no_disturbance_passes_the_limit(disturbances.tables_die_twice, seed)


def find_too_little(seed: int) -> None:
    plays.test_below_the_limit_nobody_is_rejected_a_second_after_a_fault(seed)


# With the first seed to play: where one before it does not find the fault, that was seen, and takes a second a play.
FAULTS: list[tuple[Patch, Find, int]] = [
    (late_reports_are_charged_at_once, find_too_little, 0),
    (late_reports_are_dropped, find_too_much, 0),
    (nothing_is_reserved_for_the_unreachable, find_too_much, 0),
    (all_processes_admit_at_once, find_too_much_in_a_herd, 0),
    (other_processes_count_as_idle, find_too_much_in_a_herd, 0),
    (a_new_table_starts_empty, find_too_little, 0),
    (old_statuses_count, find_too_much, 0),
    (isolated_processes_admit_while_anything_is_left, find_too_much_of_isolated_processes, 0),
    (a_returning_table_hands_out_half_a_burst, find_too_much_after_two_outages, 1),
]


@pytest.mark.parametrize(("plant", "find", "first"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_the_plays_find_it(plant: Patch, find: Find, first: int, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(first, first + MAX_SEEDS):
        try:
            find(seed)
        except AssertionError:
            print(f"{plant.__name__}: found by seed {seed}")
            return
    pytest.fail(f"{MAX_SEEDS} plays did not find it")
