"""Deltas between consecutive states, which are sent instead of the whole state. Pure logic.

A delta applies to one base only, identified by its epoch and sequence: two replicas that accepted a state under the
same epoch and sequence have the same state. A checksum of the result guards against a bug in this module.
"""

from __future__ import annotations

import zlib

from larkweir_replication.errors import DeltaMismatchError
from larkweir_replication.messages import AppliedCommand, Snapshot, SnapshotDelta
from larkweir_replication.text_delta import apply_edits, make_edits


def make_delta(base: Snapshot, target: Snapshot) -> SnapshotDelta | None:
    """Returns the delta between two states, or None if the commands of `target` do not continue those of `base`."""
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
    """Returns the state that results from applying the delta to its base.

    Raises:
        DeltaMismatchError: the delta needs another base, or the result does not match its checksum.
    """
    if base.rank != delta.base_rank:
        raise DeltaMismatchError(f"the delta needs the base {delta.base_rank}, but this state is {base.rank}")
    value = apply_edits(base.value, delta.edits)
    if _checksum(value) != delta.checksum:
        raise DeltaMismatchError("the checksum of the result does not match the delta")
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
    """Returns how many of the oldest commands `after` lacks, or None if it does not continue `before`."""
    for added in range(max_added + 1):
        dropped = len(before) + added - len(after)
        if 0 <= dropped <= len(before) and before[dropped:] == after[: len(before) - dropped]:
            return dropped
    return None


def _checksum(text: str) -> int:
    return zlib.crc32(text.encode())
