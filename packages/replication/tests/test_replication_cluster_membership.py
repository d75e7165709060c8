"""Clusters in memory whose members are replaced, leave and rejoin."""

from __future__ import annotations

import pytest
from larkweir_replication.status import ReplicaStatus
from replication_cluster import changes_in
from replication_scenarios import isolate, primary_of, roles_of, run_until, stable_cluster


def test_a_machine_that_replaces_a_lost_one_becomes_a_member() -> None:
    cluster = stable_cluster(4)
    cluster.remove_machine("m1")
    cluster.add_machine().start()
    cluster.run(6_000.0)
    assert cluster.committed().members == ("m0", "m2", "m3")


@pytest.mark.parametrize("seed", range(20))
def test_another_machine_may_stop_right_after_a_planned_replacement(seed: int) -> None:
    """A newcomer starts, an old machine receives SIGTERM, and once it has exited another one stops immediately."""
    cluster = stable_cluster(seed)
    cluster.submit(primary_of(cluster), "0:x")
    newcomer = cluster.add_machine()
    newcomer.start()
    cluster.run(1_000.0)
    leaving = cluster.rng.choice(["m0", "m1", "m2"])
    cluster.machines[leaving].leave()
    run_until(cluster, lambda one: one.machines[leaving].replica is None, within_ms=2_000.0)
    cluster.machines[cluster.rng.choice(sorted({"m0", "m1", "m2"} - {leaving}))].stop()
    cluster.assert_serves()
    assert newcomer.name in cluster.committed().members
    assert len(cluster.committed().members) == 3


@pytest.mark.parametrize("seed", range(10))
def test_a_leaving_machine_may_have_one_of_two_replicas_of_a_change(seed: int) -> None:
    """A change is on two of three disks; one of these machines leaves, then the other loses its disk."""
    cluster = stable_cluster(seed)
    primary, backup, third = roles_of(cluster)
    cluster.add_machine().start()
    cluster.run(1_000.0)
    cluster.machines[third].disk.stalled = True
    cluster.submit(primary, "0:x")
    cluster.run(60.0)
    assert list(cluster.acknowledged) == ["0:x"]
    cluster.machines[backup].leave()
    run_until(cluster, lambda one: one.machines[backup].replica is None, within_ms=2_000.0)
    cluster.remove_machine(backup)
    cluster.machines[third].disk.end_stall()
    cluster.run(4_000.0)
    cluster.machines[primary].stop()
    cluster.machines[primary].disk.wipe()
    cluster.run(1_000.0)
    cluster.machines[primary].start()
    cluster.run(4_000.0)
    cluster.assert_serves()
    cluster.check()


@pytest.mark.parametrize("seed", range(5))
def test_a_primary_and_a_newcomer_do_not_decide_without_the_old_group(seed: int) -> None:
    """A partition isolates the primary and a newcomer just before a stopped member may be replaced."""
    cluster = stable_cluster(seed)
    primary, other, lost = roles_of(cluster)
    newcomer = cluster.add_machine()
    newcomer.start()
    cluster.run(1_000.0)
    cluster.machines[lost].stop()
    cluster.run(1_350.0)
    cluster.network.split([[primary, newcomer.name], [other, lost]])
    cluster.machines[lost].start()
    cluster.run(600.0)  # nothing is under way when the other one counts as lost
    for _ in range(30):
        for name in sorted(cluster.machines):
            base = len(changes_in(cluster.machines[name].published_value))
            cluster.submit(name, f"{base}:{name}{cluster.network.now_ms:.0f}")
        cluster.run(100.0)
    cluster.network.heal()
    cluster.run(6_000.0)
    cluster.assert_serves()
    cluster.check()


def test_all_members_are_replaced_one_after_another() -> None:
    for seed in range(10):
        cluster = stable_cluster(seed)
        for leaving in ("m0", "m1", "m2"):
            cluster.add_machine().start()
            cluster.run(1_000.0)
            cluster.machines[leaving].leave()
            cluster.run(1_600.0)
            cluster.remove_machine(leaving)
        cluster.assert_serves()
        assert cluster.committed().members == ("m3", "m4", "m5")


def test_a_restarted_machine_remains_a_member() -> None:
    cluster = stable_cluster(5)
    for name in ("m0", "m1", "m2"):
        cluster.machines[name].leave()
        cluster.run(2_500.0)
        assert cluster.machines[name].replica is None
        cluster.machines[name].start()
        cluster.run(1_000.0)
        cluster.assert_serves()
    assert cluster.committed().members == ("m0", "m1", "m2")


def test_machines_that_are_all_stopped_serve_until_they_exit() -> None:
    for seed in range(10):
        cluster = stable_cluster(seed)
        for machine in cluster.machines.values():
            machine.leave()
        cluster.assert_serves(within_ms=1_400.0)


def test_a_member_that_was_replaced_while_cut_off_stands_by_afterwards() -> None:
    cluster = stable_cluster(6)
    _, cut_off, _ = roles_of(cluster)
    isolate(cluster, cut_off)
    newcomer = cluster.add_machine()
    newcomer.start()
    cluster.run(4_000.0)
    assert newcomer.name in cluster.committed().members
    cluster.network.heal()
    cluster.run(4_000.0)
    members = cluster.committed().members
    assert len(members) == 3
    assert cut_off not in members
    replica = cluster.machines[cut_off].running_replica
    assert replica.status is ReplicaStatus.FOLLOWER
    cluster.assert_serves()
    cluster.run(300.0)
    assert replica.committed == cluster.committed(), "a standby must have the newest state, and forward calls"
    cluster.machines[newcomer.name].stop()
    cluster.run(3_000.0)
    assert cut_off in cluster.committed().members


def test_a_replaced_member_finds_a_primary_that_it_does_not_know() -> None:
    """The replaced member reconnects after its successor became primary and another old member left for good."""
    cluster = stable_cluster(6)
    first, cut_off, leaving = roles_of(cluster)
    isolate(cluster, cut_off)
    newcomer = cluster.add_machine()
    newcomer.start()
    cluster.run(4_000.0)
    assert newcomer.name in cluster.committed().members
    cluster.machines[leaving].leave()
    cluster.run(2_000.0)
    cluster.remove_machine(leaving)
    cluster.machines[first].stop()
    cluster.run(500.0)
    cluster.machines[first].start()
    run_until(cluster, lambda one: one.primary() is not None)
    while cluster.primary() != newcomer.name:
        cluster.machines[primary_of(cluster)].running_replica.resign(cluster.network.now_ms)
        cluster.run(1_000.0)
    cluster.network.heal()
    cluster.run(4_000.0)
    assert cut_off in cluster.committed().members


@pytest.mark.parametrize("tolerance", [1, 2, 3])
@pytest.mark.parametrize("seed", range(5))
def test_losses_after_a_newcomer_took_the_place_of_a_partitioned_member(seed: int, tolerance: int) -> None:
    """A member leaves without a standby; then the group permanently loses as many machines as it tolerates."""
    size = 2 * tolerance + 1
    cluster = stable_cluster(seed, size, tolerance, initial_member_count=size)
    names = sorted(cluster.machines)
    leaving, partitioned, *others = cluster.rng.sample(names, size)
    isolate(cluster, partitioned)
    newcomer = cluster.add_machine()
    newcomer.start()
    run_until(cluster, lambda one: one.primary() is not None and newcomer.name in one.committed().members)
    cluster.machines[leaving].leave()
    cluster.run(2_500.0)
    assert (
        cluster.machines[leaving].replica is not None
    ), "the next loss would leave the group without a majority"
    cluster.network.heal()
    run_until(cluster, lambda one: one.machines[leaving].replica is None, within_ms=6_000.0)
    for lost in [newcomer.name, *others][:tolerance]:
        cluster.remove_machine(lost)
    cluster.assert_serves()
    assert partitioned in cluster.committed().members
    cluster.check()
