"""What a replica lacks that has the state before: a delta in place of the whole state. Pure logic.

A delta holds for one base alone, which its epoch and sequence name: two replicas that accepted a state under the same
epoch and sequence have the same state. A checksum of the result guards against a fault of this module.
"""

from __future__ import annotations

import zlib

from larkweir_replication.errors import DeltaMismatchError
from larkweir_replication.messages import AppliedCommand, Snapshot, SnapshotDelta
from larkweir_replication.text_delta import apply_edits, make_edits


def make_delta(base: Snapshot, target: Snapshot) -> SnapshotDelta | None:
    """The delta between two states; None where the later one does not continue the earlier one's commands."""
    added_count = target.sequence - base.sequence
    dropped = _dropped_count(base.applied_commands, target.applied_commands, added_count)
    if dropped is None:
        return None
    return SnapshotDelta(
        epoch=target.epoch,
        sequence=target.sequence,
        base_epoch=base.epoch,
        base_sequence=base.sequence,
        members=target.members,
        previous_members=target.previous_members,
        edits=make_edits(base.value, target.value),
        checksum=_checksum(target.value),
        dropped=dropped,
        added=target.applied_commands[len(base.applied_commands) - dropped :],
        latest_forgotten_base=target.latest_forgotten_base,
    )


def apply_delta(base: Snapshot, delta: SnapshotDelta) -> Snapshot:
    """The state that the delta makes of its base.

    Raises:
        DeltaMismatchError: it needs another base, or does not make the state that it was made for.
    """
    if base.rank != delta.base_rank:
        raise DeltaMismatchError(f"the delta needs {delta.base_rank}, this is {base.rank}")
    value = apply_edits(base.value, delta.edits)
    if _checksum(value) != delta.checksum:
        raise DeltaMismatchError("the result has another checksum")
    return Snapshot(
        epoch=delta.epoch,
        sequence=delta.sequence,
        members=delta.members,
        previous_members=delta.previous_members,
        value=value,
        applied_commands=base.applied_commands[delta.dropped :] + delta.added,
        latest_forgotten_base=delta.latest_forgotten_base,
    )


def _dropped_count(
    before: tuple[AppliedCommand, ...], after: tuple[AppliedCommand, ...], max_added: int
) -> int | None:
    """How many of the oldest commands `after` lacks; None where it is no continuation of `before`."""
    for added in range(max_added + 1):
        dropped = len(before) + added - len(after)
        if 0 <= dropped <= len(before) and before[dropped:] == after[: len(before) - dropped]:
            return dropped
    return None


def _checksum(text: str) -> int:
    return zlib.crc32(text.encode())
