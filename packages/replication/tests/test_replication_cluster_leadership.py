"""Clusters in memory: which commands a primary acknowledges or rejects, its reads, and when it is replaced."""

from __future__ import annotations

import pytest
from larkweir_replication import commands
from replication_cluster import changes_in
from replication_scenarios import isolate, primary_of, stable_cluster


def test_a_cluster_without_faults_acknowledges_commands_and_reads_them() -> None:
    cluster = stable_cluster(1)
    primary = primary_of(cluster)
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert list(cluster.acknowledged) == ["0:x"]
    cluster.submit(primary, "0:y")
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.rejected == {"0:y"}
    assert list(cluster.acknowledged) == ["0:x"]
    for name in cluster.machines:
        cluster.read(name)
    cluster.run(50.0)
    assert cluster.reads_done == 3


def test_a_dead_primary_is_replaced_within_two_seconds() -> None:
    for seed in range(20):
        cluster = stable_cluster(seed)
        first = primary_of(cluster)
        cluster.machines[first].stop()
        cluster.run(2_000.0)
        second = cluster.primary()
        assert second not in (None, first)
        cluster.submit(str(second), "0:x")
        cluster.run(50.0)
        assert list(cluster.acknowledged) == ["0:x"]


def test_a_primary_whose_disk_is_full_acknowledges_by_the_others() -> None:
    cluster = stable_cluster(3)
    primary = primary_of(cluster)
    cluster.machines[primary].disk.full = True
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert list(cluster.acknowledged) == ["0:x"]


def test_a_primary_whose_large_state_is_arriving_is_not_replaced() -> None:
    """A large state delays the heartbeats by a second; the receivers report partial messages meanwhile."""
    cluster = stable_cluster(6)
    primary = primary_of(cluster)
    others = sorted(set(cluster.machines) - {primary})
    epoch = cluster.machines[primary].running_replica.promised
    cluster.submit(primary, f"0:{'x' * 4_000_000}")
    for name in others:
        cluster.network.cut(primary, name)
    for _ in range(50):
        cluster.run(20.0)
        for name in others:
            cluster.machines[name].running_replica.on_partial_message(primary, cluster.network.now_ms)
    cluster.network.heal()
    for name in others:
        cluster.machines[primary].running_replica.on_reconnected(name)
    cluster.run(100.0)
    assert cluster.acknowledged, "the first transfer was not enough"
    assert cluster.primary() == primary
    assert cluster.machines[primary].running_replica.promised == epoch
    cluster.run(2_000.0)
    for name in others:
        cluster.network.cut(primary, name)
    cluster.run(3_000.0)
    assert cluster.primary() in others, "a primary that sends nothing must still be replaced"


def test_an_old_command_is_acknowledged_again(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = stable_cluster(7)
    primary = primary_of(cluster)
    for number in range(1_500):
        cluster.submit(primary, f"{number}:x{number}")
        cluster.run(15.0)
    assert len(cluster.acknowledged) == 1_500
    cluster.acknowledged.pop("0:x0")
    cluster.submit(primary, "0:x0")
    cluster.run(50.0)
    assert "0:x0" in cluster.acknowledged


def test_a_command_older_than_the_remembered_ones_has_an_unknown_outcome(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(commands, "MAX_APPLIED_COMMANDS", 10)
    cluster = stable_cluster(8)
    primary = primary_of(cluster)
    for number in range(30):
        cluster.submit(primary, f"{number}:x{number}")
        cluster.run(15.0)
    assert cluster.committed().latest_forgotten_base == 19
    for text in ("3:x3", "3:other"):
        cluster.submit(primary, text)
    cluster.run(50.0)
    assert cluster.unknown_count == 2, "both may have been applied, so neither may be rejected"
    cluster.submit(primary, "25:other")
    cluster.run(50.0)
    assert cluster.rejected == {"25:other"}, "another command was applied to that version"


@pytest.mark.parametrize("seed", range(10))
def test_a_machine_isolated_for_twenty_seconds_confirms_nothing_and_catches_up(seed: int) -> None:
    """Without a majority, the machine must not acknowledge, reject or read; once reconnected, it catches up at once."""
    cluster = stable_cluster(seed)
    away = primary_of(cluster) if seed % 2 else sorted(cluster.machines)[0]
    isolate(cluster, away)
    refused, done = len(cluster.rejected), cluster.reads_done
    for number in range(200):
        for text in (f"{number}:x{number}", f"{number}:y{number}"):
            cluster.submit(away, text)
            cluster.read(away)
        cluster.run(100.0)
        assert (len(cluster.rejected), cluster.reads_done) == (refused, done)
        assert not cluster.acknowledged
    for _ in range(50):
        cluster.assert_serves()
        cluster.run(20.0)
    cluster.network.heal()
    cluster.run(2_000.0)
    assert cluster.machines[away].running_replica.committed == cluster.committed()
    assert len(changes_in(cluster.newest())) >= 50
    cluster.check()
