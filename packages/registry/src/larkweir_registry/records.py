"""The record of one upstream, and the join of two versions of it.

The records are a state-based CRDT: `join` is the least upper bound, so replicas converge whatever the order in which
versions reach them (Shapiro, Preguiça, Baquero, Zawirski: Conflict-free Replicated Data Types, 2011).
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec

MAX_COUNTER = (
    2**53 - 1
)  # the largest whole number that every reader of JSON keeps exact (RFC 8259, section 6)
MAX_SLOTS = 1_000_000

Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


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
        reported_version: that of its software; unset where it reports none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: Slots = 1
    sequence: Counter = 0
    state: UpstreamState = UpstreamState.READY
    timed_out_sequence: Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNTER)] = msgspec.field(
        default=-1, name="lapsed"
    )
    reported_version: str | msgspec.UnsetType = msgspec.field(default=msgspec.UNSET, name="version")

    @property
    def version(self) -> str:
        """The version of its software; empty where it reports none."""
        return self.reported_version if isinstance(self.reported_version, str) else ""

    @property
    def has_timed_out(self) -> bool:
        """Whether no heartbeat has arrived since it was last found to have timed out."""
        return self.timed_out_sequence >= self.sequence


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One version of an upstream: the `counter`-th that the registry `origin` made."""

    upstream: Upstream
    origin: str
    counter: Counter


VersionVector = dict[str, Counter]
"""For each origin, one incarnation of a registry, the highest counter that has been seen."""


def join(one: Upstream, other: Upstream) -> Upstream:
    """Return the least upper bound of two versions of the same upstream.

    The join is commutative, associative and idempotent. The higher sequence decides the description; the state and the
    time-out are the higher of both.
    """
    newer = max(one, other, key=_recency)
    state = max(one.state, other.state)
    timed_out_sequence = max(one.timed_out_sequence, other.timed_out_sequence)
    if newer.state is state and newer.timed_out_sequence == timed_out_sequence:
        return newer
    return msgspec.structs.replace(newer, state=state, timed_out_sequence=timed_out_sequence)


def _recency(upstream: Upstream) -> tuple[int, str, str, str]:
    """The version decides last: one that a process of an earlier release passed on has none."""
    return (upstream.sequence, upstream.address, upstream.zone, upstream.version)
