"""The record of one upstream, and the join of two versions of it.

The records are a state-based CRDT: `join` is the least upper bound, so replicas converge in whatever order they receive
the versions (Shapiro, Preguiça, Baquero, Zawirski: Conflict-free Replicated Data Types, 2011).
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import IntEnum
from typing import Annotated, NamedTuple

import msgspec

MAX_COUNTER = 2**53 - 1  # the largest integer that every JSON parser keeps exact (RFC 8259, section 6)
MAX_SLOTS = 1_000_000

Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]


class UpstreamState(IntEnum):
    """The state that an upstream reports about itself. It only ever increases."""

    READY = 0
    DRAINING = 1
    GONE = 2


class Upstream(msgspec.Struct, frozen=True):
    """One incarnation of an upstream, as its heartbeats describe it.

    Attributes:
        id: the identifier, unique to this incarnation.
        service: the service that the upstream belongs to.
        address: the `IP:PORT` on which it accepts requests.
        zone: its failure domain.
        slots: the number of requests that it serves concurrently.
        sequence: the number of its latest heartbeat.
        state: the state that its heartbeats or its departure message reported.
        timed_out_sequence: the sequence of its last heartbeat when it last timed out; -1 if it never did.
        reported_version: the version of its software; unset if it reports none.
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
        """The version of the upstream's software; empty if it reports none."""
        return self.reported_version if isinstance(self.reported_version, str) else ""

    @property
    def has_timed_out(self) -> bool:
        """Whether the upstream timed out and no heartbeat has arrived since."""
        return self.timed_out_sequence >= self.sequence


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One version of an upstream: the `counter`-th version that the registry `origin` created."""

    upstream: Upstream
    origin: str
    counter: Counter


VersionVector = dict[str, Counter]
"""The highest counter seen from each origin, where an origin is one incarnation of a registry."""


class Version(NamedTuple):
    """Identifies one version of a record: the `counter`-th version that the registry `origin` created."""

    origin: str
    counter: int

    def is_seen_by(self, vector: Mapping[str, int]) -> bool:
        """Return whether a replica with the vector `vector` has this version, or a later one of the same record."""
        return vector.get(self.origin, 0) >= self.counter


def join(one: Upstream, other: Upstream) -> Upstream:
    """Return the least upper bound of two versions of the same upstream.

    The join is commutative, associative and idempotent. The description (all fields except state and time-out) is
    that of the version with the higher sequence. The state and the time-out are the higher of both.
    """
    newer = max(one, other, key=_recency)
    state = max(one.state, other.state)
    timed_out_sequence = max(one.timed_out_sequence, other.timed_out_sequence)
    if newer.state is state and newer.timed_out_sequence == timed_out_sequence:
        return newer
    return msgspec.structs.replace(newer, state=state, timed_out_sequence=timed_out_sequence)


def _recency(upstream: Upstream) -> tuple[int, str, str, str]:
    """Return the sort key of a description.

    The software version comes last because processes of earlier releases pass records on without it.
    """
    return (upstream.sequence, upstream.address, upstream.zone, upstream.version)
