"""The reports that balancers send to the owner of a duty, and their encoding (MessagePack). Pure logic.

Reports are cumulative under one term: a lost, duplicated or late one does no harm, since the next repeats everything,
and an older one is recognised by its number.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

import msgspec

MAX_BALANCERS = 4096
MAX_ROWS = 16  # in one report

Item = TypeVar("Item")


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """What one balancer has seen of one canary since the term began. `logs`: the bets' logarithms in thousandths,
    rounded down, by kind of bad end and factor. `counts`: requests, bad ends and slow ends, each the control's and the
    canary's.
    """

    key: str
    alpha: float
    logs: tuple[int, ...]
    counts: tuple[int, ...]


class RampRow(msgspec.Struct, frozen=True, array_like=True):
    """A ramp in this balancer's operator file, and this balancer's step of it."""

    key: str
    span_ms: float
    step: int


class EvidenceReport(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """One balancer's evidence on canaries."""

    incarnation: int  # of the balancer: higher after each restart
    term: int  # under which it is counted
    number: int  # counts the reports of this incarnation
    rows: tuple[Evidence, ...]


class RampReport(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """One balancer's ramps."""

    incarnation: int
    rows: tuple[RampRow, ...]


class Sighting(msgspec.Struct, frozen=True, array_like=True):
    """What this balancer itself knows of a server. `is_ejected`: by this balancer. `finding`: 0 nothing yet, 1 failing,
    2 healthy by a probe, 3 healthy by a call, `age_ms` before this was sent.
    """

    key: bytes
    is_ejected: bool
    finding: int
    age_ms: int


class SightingReport(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """What one balancer knows of ejected servers."""

    incarnation: int
    number: int
    rows: tuple[Sighting, ...]


class CaptureReport(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What one balancer sees of each kind of request, as `larkweir_captures.messages` packs it."""

    incarnation: int
    item: bytes


Report = EvidenceReport | RampReport | SightingReport | CaptureReport
encode_report = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Report] = msgspec.msgpack.Decoder(Report)


def decode_report(data: bytes) -> Report | None:
    """Decode a report; None for anything else."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError:
        return None


def batches(rows: Sequence[Item]) -> Iterator[tuple[Item, ...]]:
    """The rows in order, as many at a time as one report holds."""
    for at in range(0, len(rows), MAX_ROWS):
        yield tuple(rows[at : at + MAX_ROWS])
