"""Clusters in memory under seeded faults: cuts, freezes, kills, lost disks, slow and full disks, two operators."""

from __future__ import annotations

import os
from random import Random

import pytest
from replication_cluster import Cluster

SEEDS = int(os.environ.get("REPLICATION_SEEDS", "40"))


class Trouble:
    """Draws faults so that no more machines than `tolerance` are lost at once, disks included."""

    CATCH_UP_MS = 4_000.0

    def __init__(self, cluster: Cluster, tolerance: int) -> None:
        self.cluster = cluster
        self.rng: Random = cluster.rng
        self.tolerance = tolerance
        self.lost: dict[str, float] = {}  # until when a machine counts as lost

    def strike(self) -> None:
        now_ms = self.cluster.network.now_ms
        self.lost = {name: until for name, until in self.lost.items() if until > now_ms}
        up = [name for name in self.cluster.machines if name not in self.lost]
        if len(self.lost) >= self.tolerance or not up:
            return
        aim = self.cluster.primary()
        name = aim if aim in up and self.rng.random() < 0.5 else self.rng.choice(sorted(up))
        for_ms = self.rng.uniform(50.0, 3_000.0)
        kind = self.rng.choice(["kill", "wipe", "freeze", "cut", "one_way", "slow", "full", "kill_all"])
        self.lost[name] = now_ms + for_ms + self.CATCH_UP_MS
        getattr(self, f"_{kind}")(name, for_ms)

    def _kill(self, name: str, for_ms: float) -> None:
        machine = self.cluster.machines[name]
        machine.stop()
        self.cluster.network.after(for_ms, machine.start, name)

    def _wipe(self, name: str, for_ms: float) -> None:
        machine = self.cluster.machines[name]
        machine.stop()
        machine.disk.durable = None
        self.cluster.network.after(for_ms, machine.start, name)

    def _kill_all(self, _: str, for_ms: float) -> None:
        for machine in self.cluster.machines.values():
            if machine.replica is not None:
                machine.stop()
                self.cluster.network.after(self.rng.uniform(0.2, 1.0) * for_ms, machine.start, machine.name)

    def _freeze(self, name: str, for_ms: float) -> None:
        if self.cluster.machines[name].replica is None:
            return
        self.cluster.network.stop(name)
        self.cluster.frozen.add(name)
        self.cluster.network.after(for_ms, lambda: self._thaw(name))

    def _thaw(self, name: str) -> None:
        self.cluster.network.go_on(name)
        self.cluster.frozen.discard(name)

    def _cut(self, name: str, for_ms: float) -> None:
        for other in self.cluster.machines:
            if other != name:
                self.cluster.network.cut(name, other)
        self.cluster.network.after(for_ms, self.cluster.network.heal)

    def _one_way(self, name: str, for_ms: float) -> None:
        for other in self.cluster.machines:
            if other != name:
                self.cluster.network.cut(name, other, both=False)
        self.cluster.network.after(for_ms, self.cluster.network.heal)

    def _slow(self, name: str, for_ms: float) -> None:
        disk = self.cluster.machines[name].disk
        disk.sync_ms = self.rng.choice([60.0, 600.0, 3_000.0])
        self.cluster.network.after(for_ms, lambda: setattr(disk, "sync_ms", 2.0))

    def _full(self, name: str, for_ms: float) -> None:
        disk = self.cluster.machines[name].disk
        disk.full = True
        self.cluster.network.after(for_ms, lambda: setattr(disk, "full", False))


class Operator:
    """Sends a change built on what it believes is there, to any machine, again until it has an outcome."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.count = 0
        self.open: str | None = None

    def act(self) -> None:
        if self.open in self.cluster.acknowledged or self.open in self.cluster.rejected:
            self.open = None
        if self.open is None:
            self.count += 1
            newest = max(self.cluster.history, default=-1)
            value = self.cluster.history.get(newest, "")
            self.open = f"{len(value.split(',')) if value else 0}:{self.name}{self.count}"
        for name in self.cluster.machines:  # as the one that forwards finds the primary
            if self.cluster.submit(name, self.open) is not None and self.cluster.rng.random() < 0.7:
                break
        self.cluster.read(self.cluster.rng.choice(sorted(self.cluster.machines)))


def play(seed: int, size: int, tolerance: int) -> Cluster:
    cluster = Cluster(seed, size, tolerance)
    cluster.network.lost = cluster.rng.choice([0.0, 0.0, 0.02, 0.1])
    trouble = Trouble(cluster, tolerance)
    operators = [Operator(cluster, name) for name in ("a", "b")]
    cluster.run(3_000.0)
    for _ in range(60):
        cluster.run(cluster.rng.uniform(20.0, 300.0))
        if cluster.rng.random() < 0.25:
            trouble.strike()
        for operator in operators:
            operator.act()
    cluster.network.lost = 0.0
    cluster.run(9_000.0)
    cluster.check()
    return cluster


@pytest.mark.parametrize("seed", range(SEEDS))
def test_three_machines_keep_what_they_acknowledged(seed: int) -> None:
    cluster = play(seed, size=3, tolerance=1)
    assert cluster.acknowledged


@pytest.mark.parametrize("seed", range(SEEDS // 2))
def test_five_machines_that_bear_two(seed: int) -> None:
    cluster = play(seed + 100_000, size=5, tolerance=2)
    assert cluster.acknowledged
    assert len(cluster.machines["m0"].replica.accepted.members) >= 5  # type: ignore[union-attr]


def test_a_calm_cluster_acknowledges_and_reads_back() -> None:
    cluster = Cluster(1)
    cluster.run(3_000.0)
    primary = cluster.primary()
    assert primary is not None
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.acknowledged == ["0:x"]
    cluster.submit(primary, "0:y")
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.rejected == ["0:y"]
    assert cluster.acknowledged == ["0:x"]
    cluster.read(primary)
    cluster.run(50.0)
    assert cluster.reads_done == 1


def test_a_dead_primary_is_replaced_within_two_seconds() -> None:
    for seed in range(20):
        cluster = Cluster(seed)
        cluster.run(3_000.0)
        first = cluster.primary()
        assert first is not None
        cluster.machines[first].stop()
        cluster.run(2_000.0)
        second = cluster.primary()
        assert second not in (None, first)
        cluster.submit(str(second), "0:x")
        cluster.run(50.0)
        assert cluster.acknowledged == ["0:x"]


def test_a_primary_whose_disk_is_full_acknowledges_by_the_others() -> None:
    cluster = Cluster(3)
    cluster.run(3_000.0)
    primary = cluster.primary()
    assert primary is not None
    cluster.machines[primary].disk.full = True
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.acknowledged == ["0:x"]


def test_a_machine_that_replaces_a_lost_one_becomes_a_member() -> None:
    cluster = Cluster(4)
    cluster.run(3_000.0)
    from replication_cluster import Machine

    cluster.machines["m1"].stop()
    machine = cluster.machines["m9"] = Machine(cluster, "m9", bootstrap=False)
    machine.start()
    cluster.run(6_000.0)
    primary = cluster.primary()
    assert primary is not None
    replica = cluster.machines[primary].replica
    assert replica is not None
    assert replica.committed is not None
    assert replica.committed.members == ("m0", "m2", "m9")
    del cluster.machines["m1"]


def test_a_wiped_machine_has_no_vote_before_it_has_heard_the_others() -> None:
    cluster = Cluster(5)
    cluster.run(3_000.0)
    primary = cluster.primary()
    assert primary is not None
    backup, third = sorted(set(cluster.machines) - {primary})
    cluster.network.cut(primary, third)
    cluster.network.cut(backup, third)
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.acknowledged == ["0:x"]
    cluster.machines[primary].stop()
    cluster.machines[backup].stop()
    cluster.machines[backup].disk.durable = None
    cluster.network.heal()
    cluster.machines[backup].start()
    cluster.run(6_000.0)
    assert cluster.primary() is None, "two machines without the change formed a majority"
    cluster.machines[primary].start()
    cluster.run(4_000.0)
    cluster.check()


def test_a_state_that_a_full_disk_refused_is_made_durable_when_it_is_sent_again() -> None:
    cluster = Cluster(6)
    cluster.run(3_000.0)
    primary = cluster.primary()
    assert primary is not None
    backup, third = sorted(set(cluster.machines) - {primary})
    cluster.machines[backup].disk.full = True
    cluster.machines[third].stop()
    cluster.submit(primary, "0:x")
    cluster.run(50.0)
    assert cluster.acknowledged == []
    replica = cluster.machines[backup].replica
    assert replica is not None
    replica._writes[0] = replica._writes.get(0, next(iter(replica._writes.values()), replica._durable))
    replica.persist_failed(10**9)
    assert replica._writes == {}
    cluster.machines[backup].disk.full = False
    cluster.run(700.0)
    assert cluster.acknowledged == ["0:x"]
