"""How a process handles unusable messages and batches."""

import msgspec
import pytest
from fleet_owners import Fleet
from larkweir_owners.messages import (
    MAX_MESSAGE_BYTES,
    Accepted,
    Batch,
    ReadRequest,
    Record,
    StateUpdates,
    decode,
    encode,
)
from owners_cases import NEW


def test_oversized_and_unknown_messages_are_dropped_and_counted() -> None:
    assert decode(encode(ReadRequest(1, 1, "x" * MAX_MESSAGE_BYTES))) is None
    assert decode(msgspec.msgpack.encode([99, 1, 2])) is None
    fleet = Fleet(1)
    owners = fleet.processes[fleet.names[4]].owners
    assert owners is not None
    owners.on_message("10.9.9.9:1", b"\xc1", 0.0)
    owners.on_message("10.9.9.9:1", encode(Accepted("d", (1, "p", 9), (1, 1, 1))), 0.0)
    assert owners.status().dropped == 2
    with pytest.raises(ValueError, match="not above"):
        owners.proposer.write("d", (1, 1), NEW, lambda result: None)


def test_batch_acts_like_its_items_and_nested_batches_are_dropped() -> None:
    fleet = Fleet(1)
    process = fleet.processes[fleet.names[4]]
    assert process.owners is not None
    update = encode(StateUpdates((("duty0", Record(7, 70, "x", 1)),)))
    process.owners.on_message(fleet.names[0], encode(Batch((update, b"\xc1"))), 0.0)
    assert process.owners.replicator.version("duty0") == (7, 70) and process.owners.dropped == 1
    nested = encode(Batch((encode(StateUpdates((("duty0", Record(8, 80, "x", 1)),))),)))
    process.owners.on_message(fleet.names[0], encode(Batch((nested,))), 0.0)
    assert process.owners.replicator.version("duty0") == (7, 70) and process.owners.dropped == 2
