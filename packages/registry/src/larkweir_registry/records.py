"""The record of one upstream, and the join of two versions of it.

The records are a state-based CRDT: `join` is the least upper bound, so replicas converge whatever the order in which
versions reach them (Shapiro, Preguiça, Baquero, Zawirski: Conflict-free Replicated Data Types, 2011).
"""

from __future__ import annotations

from enum import IntEnum

import msgspec


class UpstreamState(IntEnum):
    """The state that an upstream reports of itself. It only ever rises."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Upstream(msgspec.Struct, frozen=True):
    """One incarnation of an upstream, as its heartbeats describe it.

    Attributes:
        id: unique to this incarnation.
        service: the service that it belongs to.
        address: `IP:PORT` on which it takes requests.
        zone: its failure domain.
        slots: requests that it serves at once.
        sequence: counts its heartbeats.
        state: what its heartbeats, or its departure, reported.
        timed_out_sequence: `sequence` of its last heartbeat when it was last found to have timed out; -1 for never.
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
        """Whether no heartbeat has arrived since it was last found to have timed out."""
        return self.timed_out_sequence >= self.sequence


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One version of an upstream: the `counter`-th that the registry `origin` made."""

    upstream: Upstream
    origin: str
    counter: int


VersionVector = dict[str, int]
"""For each origin, one incarnation of a registry, the highest counter that has been seen."""


def join(one: Upstream, other: Upstream) -> Upstream:
    """Return the least upper bound of two versions of the same upstream.

    The join is commutative, associative and idempotent. The higher sequence decides the description; the state and the
    time-out are the higher of both.
    """
    newer = max(one, other, key=lambda upstream: (upstream.sequence, upstream.address, upstream.zone))
    state = max(one.state, other.state)
    timed_out_sequence = max(one.timed_out_sequence, other.timed_out_sequence)
    if newer.state is state and newer.timed_out_sequence == timed_out_sequence:
        return newer
    return msgspec.structs.replace(newer, state=state, timed_out_sequence=timed_out_sequence)
