"""What is known of one upstream, and how two versions of that join."""

from __future__ import annotations

from enum import IntEnum

import msgspec


class UpstreamState(IntEnum):
    """What an upstream said of itself; a higher one is never left for a lower one."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Upstream(msgspec.Struct, frozen=True):
    """One start of an upstream, as its heartbeats describe it. `sequence` counts its heartbeats.

    `timed_out_sequence` is that of the last heartbeat received before the upstream was found to have timed out; -1 for
    never.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int = 1
    sequence: int = 0
    state: UpstreamState = UpstreamState.READY
    timed_out_sequence: int = msgspec.field(default=-1, name="lapsed")

    @property
    def has_timed_out(self) -> bool:
        """Whether its heartbeats have stopped, as far as is known."""
        return self.timed_out_sequence >= self.sequence


class Record(msgspec.Struct, frozen=True, array_like=True):
    """An upstream under the stamp of the registry that noted this version of it."""

    upstream: Upstream
    origin: str
    counter: int


VersionVector = dict[str, int]
"""For each registry (and life of it) the highest counter that has been seen."""


def join(one: Upstream, other: Upstream) -> Upstream:
    """The least that both say: commutative, associative, idempotent. Both must be of the same id."""
    newer = max(one, other, key=lambda upstream: (upstream.sequence, upstream.address, upstream.zone))
    state = max(one.state, other.state)
    timed_out_sequence = max(one.timed_out_sequence, other.timed_out_sequence)
    if newer.state is state and newer.timed_out_sequence == timed_out_sequence:
        return newer
    return msgspec.structs.replace(newer, state=state, timed_out_sequence=timed_out_sequence)
