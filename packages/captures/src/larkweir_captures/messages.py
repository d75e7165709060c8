"""What nodes and the coordinator tell each other, as msgpack behind a byte of version."""

from __future__ import annotations

import msgspec

VERSION = 1
MAX_MESSAGE_BYTES = 8192  # bytes that a peer takes
MAX_TABLE_KEYS = 400  # of route, class and tenant that are told apart; the rarest share key 0
MAX_REPORTED_KINDS = 200  # kinds in a report, each way, and the rest as one
MAX_TRACES_PER_REQUEST = 40  # traces in one item
MAX_TRACE_ID_CHARS = 120  # characters of a trace's id that travel


class Report(msgspec.Struct, array_like=True, tag=1, forbid_unknown_fields=True):
    """What a node sees, as thousandths a second."""

    term: int  # of the table that it goes by
    number: int
    capacity: int  # records that it can take for requests that came from other hops
    is_overloaded: bool  # it captures less than asked: it is past its bound
    first_hops: dict[int, int]  # requests by key that began here
    forwarded: dict[int, int]  # records by key that would come from above, were every rate 1


class ThresholdTable(msgspec.Struct, array_like=True, tag=2, frozen=True, forbid_unknown_fields=True):
    """Thresholds, under the coordinator's term. A copy goes by the highest (term, number) that it has seen."""

    term: int
    number: int
    coordinator: str  # who is told what nodes see
    report_interval_ms: int  # how often
    default_threshold: int  # threshold of keys that are not named
    thresholds: dict[int, int]


class TraceRequest(msgspec.Struct, array_like=True, frozen=True):
    """Keep what you have of a trace."""

    rv: int
    trace_id: str
    importance: int


class RetainRequest(msgspec.Struct, array_like=True, tag=3, frozen=True, forbid_unknown_fields=True):
    traces: list[TraceRequest]


class RetainResponse(msgspec.Struct, array_like=True, tag=4, frozen=True, forbid_unknown_fields=True):
    """An answer to Keep: by trace, the hops that it is known to have been at."""

    hops_by_rv: dict[int, list[str]]


Item = Report | ThresholdTable | RetainRequest | RetainResponse
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Report | ThresholdTable | RetainRequest | RetainResponse] = (
    msgspec.msgpack.Decoder(Item)
)


def encode(item: Item) -> bytes:
    return bytes((VERSION,)) + _encoder.encode(item)


def decode(data: bytes) -> Item | None:
    """None for what can't be read: another version, another kind, too long, or broken."""
    if not 1 < len(data) <= MAX_MESSAGE_BYTES or data[0] != VERSION:
        return None
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def most(loads: dict[int, float], keys: int) -> dict[int, int]:
    """Loads a second as thousandths, the largest of them by key and the others together as key 0."""
    known = sorted(((load, key) for key, load in loads.items() if key), reverse=True)
    told = {key: round(load * 1000.0) for load, key in known[:keys] if load >= 0.0005}
    rest = loads.get(0, 0.0) + sum(load for load, _ in known[keys:])
    if rest >= 0.0005:
        told[0] = round(rest * 1000.0)
    return told
