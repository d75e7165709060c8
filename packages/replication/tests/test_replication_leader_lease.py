"""When a primary may rely on its lease."""

from __future__ import annotations

import pytest
from larkweir_replication.leader_lease import MAX_OPEN_ROUNDS, LeaderLease
from larkweir_replication.messages import Snapshot
from larkweir_replication.timing import Timing
from replication_factories import EPOCH, snapshot

TIMING = Timing(lease_duration_ms=300.0, lease_margin_ms=50.0, heartbeat_interval_ms=100.0)


@pytest.fixture
def lease() -> LeaderLease:
    """The lease of a term that began at 1,000 ms and sent its first round at once."""
    lease = LeaderLease(TIMING, 1_000.0)
    lease.acknowledge("a", lease.begin_round(1_000.0))
    return lease


def test_a_majority_renews_the_lease_from_the_time_the_round_was_sent(lease: LeaderLease) -> None:
    assert lease.renew(snapshot()) is None
    assert not lease.is_valid(1_000.0)
    lease.acknowledge("b", 1)
    assert lease.renew(snapshot()) == 1
    assert lease.is_valid(1_249.0)
    assert not lease.is_valid(1_250.0)


def test_a_majority_of_the_previous_members_is_needed_too(lease: LeaderLease) -> None:
    changing = Snapshot(EPOCH, 1, ("a", "b", "d"), ("a", "c", "e"))
    lease.acknowledge("b", 1)
    assert lease.renew(changing) is None
    lease.acknowledge("c", 1)
    assert lease.renew(changing) == 1


def test_a_late_acknowledgement_of_an_old_round_does_not_shorten_the_lease(lease: LeaderLease) -> None:
    lease.acknowledge("a", lease.begin_round(1_100.0))
    lease.acknowledge("b", 2)
    lease.acknowledge("b", 1)
    assert lease.renew(snapshot()) == 2
    assert lease.is_valid(1_349.0)


def test_a_round_whose_time_was_dropped_renews_nothing(lease: LeaderLease) -> None:
    for _ in range(MAX_OPEN_ROUNDS + 1):
        lease.begin_round(1_000.0)
    lease.acknowledge("b", 1)
    assert lease.renew(snapshot()) == 1
    assert not lease.is_valid(1_000.0)


def test_heartbeats_are_due_at_their_interval(lease: LeaderLease) -> None:
    assert not lease.is_heartbeat_due(1_099.0)
    assert lease.is_heartbeat_due(1_100.0)
