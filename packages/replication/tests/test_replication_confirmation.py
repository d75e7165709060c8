"""Results are held back until the round that confirms them, and returned in order."""

from __future__ import annotations

from larkweir_replication.confirmation import ConfirmationQueue
from larkweir_replication.effects import CommandFinished, CommandOutcome, ReadFinished
from replication_factories import snapshot

REJECTED = CommandFinished(7, CommandOutcome.REJECTED, "why")


def queue() -> ConfirmationQueue:
    confirmations = ConfirmationQueue()
    confirmations.add_read(3, 6)
    confirmations.add_rejection(4, REJECTED)
    return confirmations


def test_a_round_confirms_earlier_requests() -> None:
    confirmations = queue()
    assert confirmations.confirm(2, snapshot(1)) == []
    assert confirmations.confirm(3, snapshot(2)) == [ReadFinished(6, snapshot(2))]
    assert confirmations.confirm(9, snapshot(3)) == [REJECTED]
    assert confirmations.confirm(9, snapshot(3)) == []


def test_abandoned_answers_have_an_unknown_outcome() -> None:
    assert queue().abandon() == [ReadFinished(6, None), CommandFinished(7, CommandOutcome.UNKNOWN)]
