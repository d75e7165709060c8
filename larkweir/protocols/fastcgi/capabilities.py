"""What an application says of itself: GET_VALUES and its result (FastCGI 1.0, section 4.1). Pure logic."""

from __future__ import annotations

from typing import NamedTuple

from larkweir.core.message import FramingError
from larkweir.protocols.fastcgi import codec

MAX_VALUES = 64  # names in a GET_VALUES_RESULT record
MAX_IDS = 65_535  # of requests on one connection; 0 is for management records


class Capabilities(NamedTuple):
    """What an application can do, as it says itself or operators say of it."""

    connections: int  # at a time, at most
    requests: int  # at a time, over all connections, at most
    multiplexes: bool  # carries several requests on one connection


UNKNOWN = Capabilities(MAX_IDS, MAX_IDS, False)  # silence, or nonsense


def capabilities_query() -> bytes:
    """The GET_VALUES record that asks for them."""
    names = (codec.MAX_CONNS, codec.MAX_REQS, codec.MPXS_CONNS)
    return codec.record(codec.GET_VALUES, 0, codec.pairs((name, b"") for name in names))


def parse_capabilities(data: bytes) -> Capabilities | None:
    """What all bytes received so far say; None while they say nothing yet. UNKNOWN if they make no sense."""
    records = codec.Records()
    for kind, number, content in records.feed(data):
        if kind != codec.GET_VALUES_RESULT or number != codec.MANAGEMENT:
            return UNKNOWN
        try:
            values = dict(codec.read_pairs(content, MAX_VALUES))
        except FramingError:
            return UNKNOWN

        def count(name: bytes, values: dict[bytes, bytes] = values) -> int:
            text = values.get(name, b"")
            return int(text) if text.isdigit() and len(text) < 10 and int(text) else MAX_IDS

        return Capabilities(
            count(codec.MAX_CONNS), count(codec.MAX_REQS), values.get(codec.MPXS_CONNS) == b"1"
        )
    return UNKNOWN if records.fault is not None else None
