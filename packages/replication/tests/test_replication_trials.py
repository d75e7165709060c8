"""Seeded trials of clusters in memory, with faults and replacements while two operators send commands."""

from __future__ import annotations

import os

import pytest
from larkweir_replication import commands
from replication_faults import Trial, run_trial

SEEDS = int(os.environ.get("REPLICATION_SEEDS", "30"))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_three_machines_lose_nothing_acknowledged(seed: int) -> None:
    assert run_trial(Trial(seed)).acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 2))
def test_five_machines_tolerate_two_failures(seed: int) -> None:
    assert run_trial(Trial(seed + 100_000, size=5, tolerance=2)).acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 3))
def test_four_machines_with_a_target_of_three(seed: int) -> None:
    assert run_trial(Trial(seed + 200_000, size=4, initial_member_count=4)).acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 6))
def test_power_lost_while_slow_disks_write(seed: int) -> None:
    kinds = ("kill", "power_loss_all", "kill_all", "flip_bit")
    assert run_trial(
        Trial(seed + 400_000, fault_kinds=kinds, sync_ms=60.0, fault_probability=0.3)
    ).acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 6))
def test_partitions_during_replacements(seed: int) -> None:
    kinds = ("planned_replacement", "split_halves", "long_cut", "replace_crashed")
    assert run_trial(Trial(seed + 500_000, fault_kinds=kinds, fault_probability=0.3)).acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 6))
def test_hundreds_of_changes_with_late_repeats(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(commands, "MAX_APPLIED_COMMANDS", [40, 1_000][seed % 2])
    cluster = run_trial(Trial(seed + 300_000, steps=600, is_dense=True, fault_probability=0.012))
    assert len(cluster.history) > 100
