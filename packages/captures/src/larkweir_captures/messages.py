"""Messages between nodes and the coordinator: msgpack arrays behind one byte of version.

A struct's fields are sent by position and its type as a number, so the names here are not part of the format.
"""

from __future__ import annotations

import msgspec

VERSION = 1
MAX_MESSAGE_BYTES = 8192
MAX_TABLE_KEYS = 400  # routes, classes and tenants with a threshold of their own; the rarest share key 0
MAX_REPORTED_KINDS = 200  # in each map of a report, beside key 0
MAX_TRACES_PER_REQUEST = 40
MAX_TRACE_ID_CHARS = 120


class Report(msgspec.Struct, array_like=True, tag=1, forbid_unknown_fields=True):
    """A node's loads and capacity, in thousandths of a record or request a second."""

    term: int  # of the table that the node goes by
    number: int
    capacity: int  # for records of requests that other hops forward
    is_overloaded: bool  # the node captures less than it is asked to
    first_hops: dict[int, int]  # requests that entered the system here, by key
    forwarded: dict[int, int]  # records of forwarded requests by key, if every rate were 1


class ThresholdTable(msgspec.Struct, array_like=True, tag=2, frozen=True, forbid_unknown_fields=True):
    """Sampling thresholds, under the coordinator's term. Nodes go by the highest (term, number) received."""

    term: int
    number: int
    coordinator: str  # the node that reports are sent to
    report_interval_ms: int
    default_threshold: int  # of keys that are not in `thresholds`
    thresholds: dict[int, int]


class TraceRequest(msgspec.Struct, array_like=True, frozen=True):
    """One trace that is to be retained."""

    rv: int  # the hash of its id
    trace_id: str
    importance: int


class RetainRequest(msgspec.Struct, array_like=True, tag=3, frozen=True, forbid_unknown_fields=True):
    """Asks a hop to retain its records of traces, also those that are yet to come."""

    traces: list[TraceRequest]


class RetainResponse(msgspec.Struct, array_like=True, tag=4, frozen=True, forbid_unknown_fields=True):
    """The reply to a `RetainRequest`: for each trace the other hops that it is known to have passed."""

    hops_by_rv: dict[int, list[str]]


Message = Report | ThresholdTable | RetainRequest | RetainResponse
_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Report | ThresholdTable | RetainRequest | RetainResponse] = (
    msgspec.msgpack.Decoder(Message)
)


def encode(message: Message) -> bytes:
    """A message as it is sent."""
    return bytes((VERSION,)) + _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """A message as received; None if it is of another version or unknown type, too long, or malformed."""
    if not 1 < len(data) <= MAX_MESSAGE_BYTES or data[0] != VERSION:
        return None
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None


def reported_loads(loads: dict[int, float], max_kinds: int) -> dict[int, int]:
    """Loads a second as thousandths: the largest by key, the others added up as key 0."""
    known = sorted(((load, key) for key, load in loads.items() if key), reverse=True)
    reported = {key: round(load * 1000.0) for load, key in known[:max_kinds] if load >= 0.0005}
    rest = loads.get(0, 0.0) + sum(load for load, _ in known[max_kinds:])
    if rest >= 0.0005:
        reported[0] = round(rest * 1000.0)
    return reported
