"""Shared steps for scenarios with clusters in memory."""

from __future__ import annotations

from collections.abc import Callable

from replication_cluster import TICK_MS, Cluster


def isolate(cluster: Cluster, name: str, *, inwards: bool = True, outwards: bool = True) -> None:
    """Partitions one machine from all others."""
    for other in cluster.machines:
        if other != name:
            if outwards:
                cluster.network.cut(name, other, both=False)
            if inwards:
                cluster.network.cut(other, name, both=False)


def run_until(cluster: Cluster, when: Callable[[Cluster], bool], within_ms: float = 5_000.0) -> None:
    """Advances time until the condition holds."""
    end_ms = cluster.network.now_ms + within_ms
    while not when(cluster):
        assert cluster.network.now_ms < end_ms, "the condition did not hold in time"
        cluster.run(TICK_MS)


def primary_of(cluster: Cluster) -> str:
    name = cluster.primary()
    assert name is not None
    return name


def roles_of(cluster: Cluster) -> tuple[str, str, str]:
    """Returns the primary and the two backups of a cluster of three."""
    primary = primary_of(cluster)
    backup, third = sorted(set(cluster.machines) - {primary})
    return primary, backup, third


def stable_cluster(seed: int, size: int = 3, tolerance: int = 1, initial_member_count: int = 3) -> Cluster:
    """Returns a cluster that has had time to elect its primary."""
    cluster = Cluster(seed, size, tolerance, initial_member_count)
    cluster.run(3_000.0)
    return cluster
