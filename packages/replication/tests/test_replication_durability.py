"""Which records count as durable after completed and failed writes."""

from __future__ import annotations

from larkweir_replication.durability import Durability
from larkweir_replication.messages import NO_EPOCH, DurableState
from replication_factories import EPOCH, snapshot


def record(sequence: int) -> DurableState:
    return DurableState(EPOCH, snapshot(sequence))


def test_a_completed_write_covers_the_earlier_ones() -> None:
    durability = Durability()
    first, second = (durability.begin_write(record(number)) for number in (1, 2))
    assert durability.durable == DurableState(NO_EPOCH, None)
    assert durability.complete_write(second.token) == record(2)
    assert not durability.has_pending_writes
    assert durability.complete_write(first.token) is None
    assert durability.durable == record(2)


def test_a_refused_write_is_neither_durable_nor_pending() -> None:
    durability = Durability(record(1))
    refused = durability.begin_write(record(2))
    later = durability.begin_write(record(3))
    assert durability.is_durable_or_pending(snapshot(2))
    durability.fail_write(refused.token)
    assert not durability.is_durable_or_pending(snapshot(2))
    assert durability.is_durable_or_pending(snapshot(1))
    assert durability.is_durable_or_pending(snapshot(3))
    assert durability.complete_write(later.token) == record(3)
