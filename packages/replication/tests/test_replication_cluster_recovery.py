"""Clusters in memory whose machines lost their disks, failed to write, or were unreachable."""

from __future__ import annotations

import pytest
from replication_scenarios import isolate, primary_of, roles_of, stable_cluster


def test_nothing_is_confirmed_before_it_is_durable() -> None:
    """Promises and acceptances must wait for the disk, however slow it is."""
    cluster = stable_cluster(7)
    primary, backup, third = roles_of(cluster)
    cluster.machines[backup].disk.stalled = True
    replica = cluster.machines[backup].running_replica
    epoch_before = replica.promised
    cluster.machines[third].stop()
    cluster.submit(primary, "0:x")
    cluster.run(100.0)
    assert not cluster.acknowledged, "the second copy is not durable yet"
    cluster.machines[primary].stop()
    cluster.machines[third].start()
    cluster.run(1_500.0)
    assert replica.promised > epoch_before, "the backup has not received a request for a promise"
    assert cluster.primary() is None, "the promise is not durable yet"
    cluster.machines[backup].disk.end_stall()
    cluster.assert_serves()


def test_a_wiped_machine_has_no_vote_before_it_has_recovered() -> None:
    cluster = stable_cluster(5)
    primary, backup, third = roles_of(cluster)
    cluster.network.cut(primary, third)
    cluster.network.cut(backup, third)
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert list(cluster.acknowledged) == ["0:x"]
    cluster.machines[primary].stop()
    cluster.machines[backup].stop()
    cluster.machines[backup].disk.wipe()
    cluster.network.heal()
    cluster.machines[backup].start()
    cluster.run(6_000.0)
    assert cluster.primary() is None, "two machines without the change formed a majority"
    cluster.machines[primary].start()
    cluster.run(4_000.0)
    cluster.check()


@pytest.mark.parametrize("seed", range(10))
def test_a_damaged_file_gives_its_machine_no_vote(seed: int) -> None:
    """Two of three machines have the changes; one of them is damaged, the other stopped: no primary may be elected."""
    cluster = stable_cluster(seed)
    primary, backup, third = roles_of(cluster)
    isolate(cluster, third)
    for number in range(6):
        cluster.submit(primary, f"{number}:x{number}")
        cluster.run(50.0)
    assert len(cluster.acknowledged) == 6
    cluster.machines[primary].stop()
    cluster.machines[backup].stop()
    assert cluster.machines[backup].disk.flip_bit()
    cluster.network.heal()
    cluster.machines[backup].start()
    cluster.run(6_000.0)
    assert cluster.primary() is None
    cluster.machines[primary].start()
    cluster.run(4_000.0)
    cluster.check()
    cluster.assert_serves()


def test_a_state_that_a_full_disk_refused_is_made_durable_when_it_is_sent_again() -> None:
    cluster = stable_cluster(6)
    primary, backup, third = roles_of(cluster)
    cluster.machines[backup].disk.full = True
    cluster.machines[third].stop()
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert not cluster.acknowledged
    cluster.machines[backup].disk.full = False
    cluster.run(700.0)
    assert list(cluster.acknowledged) == ["0:x"]


def test_a_primary_whose_own_disk_was_full_writes_again() -> None:
    """One of three machines is removed, so the primary's own write is needed for a majority, but its disk was full."""
    cluster = stable_cluster(6)
    primary, backup, third = roles_of(cluster)
    cluster.remove_machine(third)
    cluster.machines[primary].disk.full = True
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert not cluster.acknowledged
    cluster.machines[primary].disk.full = False
    cluster.run(50.0)
    assert list(cluster.acknowledged) == ["0:x"]


@pytest.mark.parametrize("kind", ["cut", "wiped", "damaged", "killed"])
def test_a_member_hundreds_of_changes_behind_catches_up_and_can_lead(kind: str) -> None:
    cluster = stable_cluster(9)
    _, late, _ = roles_of(cluster)
    machine = cluster.machines[late]
    machine.stop()
    for number in range(300):
        cluster.submit(primary_of(cluster), f"{number}:x{number}")
        cluster.run(15.0)
    assert len(cluster.acknowledged) == 300
    if kind == "wiped":
        machine.disk.wipe()
    if kind == "damaged":
        assert machine.disk.flip_bit()
    machine.start()
    cluster.run(2_000.0)
    assert machine.running_replica.committed == cluster.committed()
    for name in cluster.machines:
        if name != late and name == primary_of(cluster):
            cluster.machines[name].stop()
            break
    cluster.assert_serves()
    cluster.check()
