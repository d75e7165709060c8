"""FastCGI 1.0 records (section 3.3) and name-value pairs (section 3.4), bytes in and bytes out. Pure logic."""

from __future__ import annotations

from collections.abc import Iterable
from struct import Struct
from typing import NamedTuple

from larkweir.core.message import Fault, FramingError

VERSION = 1
HEADER = Struct(">BBHHBx")
HEADER_SIZE = 8
MOST_CONTENT = 65_535
STEP = 65_528  # the longest content that is a multiple of eight, as the specification advises

BEGIN_REQUEST = 1
ABORT_REQUEST = 2
END_REQUEST = 3
PARAMS = 4
STDIN = 5
STDOUT = 6
STDERR = 7
DATA = 8
GET_VALUES = 9
GET_VALUES_RESULT = 10
UNKNOWN_TYPE = 11
TYPES = range(BEGIN_REQUEST, UNKNOWN_TYPE + 1)

MANAGEMENT = 0  # the request id of records that speak of the application as a whole

RESPONDER = 1
KEEP_CONN = 1

# Protocol status of END_REQUEST (section 5.5).
REQUEST_COMPLETE = 0
CANT_MPX_CONN = 1
OVERLOADED = 2
UNKNOWN_ROLE = 3

BEGIN_BODY = Struct(">HB5x")
END_BODY = Struct(">IB3x")
TYPE_BODY = Struct(">B7x")

MAX_CONNS = b"FCGI_MAX_CONNS"
MAX_REQS = b"FCGI_MAX_REQS"
MPXS_CONNS = b"FCGI_MPXS_CONNS"


class Record(NamedTuple):
    """One whole record, without its padding."""

    type: int
    id: int
    content: bytes


def record(kind: int, request_id: int, content: bytes = b"") -> bytes:
    """One record; `content` holds at most 65,535 bytes."""
    return HEADER.pack(VERSION, kind, request_id, len(content), 0) + content


def stream(kind: int, request_id: int, data: bytes) -> list[bytes]:
    """A stream's data in as many records as it needs, without the empty one that ends it."""
    if len(data) <= MOST_CONTENT:
        return [record(kind, request_id, data)] if data else []
    return [record(kind, request_id, data[at : at + STEP]) for at in range(0, len(data), STEP)]


def begin(request_id: int, role: int = RESPONDER, flags: int = KEEP_CONN) -> bytes:
    """The record that begins a request (section 5.1)."""
    return record(BEGIN_REQUEST, request_id, BEGIN_BODY.pack(role, flags))


def end(request_id: int, protocol_status: int = REQUEST_COMPLETE, app_status: int = 0) -> bytes:
    """The record that ends a request (section 5.5)."""
    return record(END_REQUEST, request_id, END_BODY.pack(app_status, protocol_status))


class Records:
    """Puts records together from bytes split anywhere. Holds at most one unfinished record."""

    def __init__(self) -> None:
        self._part = b""
        self.fault: Fault | None = None  # nothing after it is read

    @property
    def held(self) -> int:
        """Bytes of an unfinished record."""
        return len(self._part)

    @property
    def unfinished(self) -> bytes:
        """What has come of a record that is not complete."""
        return self._part

    def feed(self, data: bytes) -> list[Record]:
        """The records that these bytes complete."""
        if self.fault is not None:
            return []
        data = self._part + data if self._part else data
        found: list[Record] = []
        at, size = 0, len(data)
        unpack = HEADER.unpack_from
        while size - at >= HEADER_SIZE:
            version, kind, request_id, length, padding = unpack(data, at)
            if version != VERSION:
                self.fault = Fault(400, f"FastCGI version {version} is not spoken here")
                self._part = b""
                return found
            start = at + HEADER_SIZE
            if size < start + length + padding:
                break
            found.append(Record(kind, request_id, data[start : start + length]))
            at = start + length + padding
        self._part = data[at:]
        return found


def aborted_ids(data: bytes, start: int) -> tuple[list[int], int]:
    """The requests that complete records from `start` on abort, and where the first record begins that is not complete.
    A record of another version ends the walk: what follows can't be told apart.
    """
    request_ids: list[int] = []
    while len(data) - start >= HEADER_SIZE:
        version, kind, request_id, length, padding = HEADER.unpack_from(data, start)
        end_of_record = start + HEADER_SIZE + length + padding
        if version != VERSION or end_of_record > len(data):
            break
        if kind == ABORT_REQUEST:
            request_ids.append(request_id)
        start = end_of_record
    return request_ids, start


def pair(name: bytes, value: bytes) -> bytes:
    """One name-value pair, each length in one byte or, from 128 on, in four."""
    n, v = len(name), len(value)
    if n < 128 and v < 128:
        return bytes((n, v)) + name + value
    lengths = b"".join(
        size.to_bytes(1, "big") if size < 128 else (size | 0x8000_0000).to_bytes(4, "big") for size in (n, v)
    )
    return lengths + name + value


def pairs(items: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Name-value pairs, one after another (section 3.4)."""
    parts: list[bytes] = []
    for name, value in items:
        n, v = len(name), len(value)
        if n < 128 and v < 128:
            parts += (bytes((n, v)), name, value)
        else:
            parts.append(pair(name, value))
    return b"".join(parts)


def read_pairs(data: bytes, most: int) -> list[tuple[bytes, bytes]]:
    """The pairs of a whole stream, `most` at most; FramingError if it is cut short or holds too many."""
    found: list[tuple[bytes, bytes]] = []
    at, size = 0, len(data)
    while at < size:
        name = data[at]
        at += 1
        if name > 127:
            name, at = _long(data, at)
        if at >= size:
            raise FramingError(400, "a name-value pair is cut short")
        value = data[at]
        at += 1
        if value > 127:
            value, at = _long(data, at)
        middle = at + name
        after = middle + value
        if after > size:
            raise FramingError(400, "a name-value pair is cut short")
        if len(found) >= most:
            raise FramingError(431, "too many name-value pairs")
        found.append((data[at:middle], data[middle:after]))
        at = after
    return found


def _long(data: bytes, at: int) -> tuple[int, int]:
    """A length in four bytes, the first of which was just read, and where it ends."""
    if at + 3 > len(data):
        raise FramingError(400, "a name-value pair is cut short")
    return int.from_bytes(data[at - 1 : at + 3], "big") & 0x7FFF_FFFF, at + 3
