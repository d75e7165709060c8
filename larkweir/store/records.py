"""The encoding of records: framed, with checksums, versioned. Pure logic: bytes in, records out.

A file is a header and frames. The header has the format's version, the site (a hash of what identifies a balancer) and
the generation. A frame is its length, a checksum (CRC-32) of all that follows, its serial number, its kind and its body
(MessagePack). Serial numbers increase by one through a generation, so that neither a frame after a lost one, nor one
left over from an older file in the same position, is accepted as the next.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

MAGIC = b"LWST"
VERSION = 2  # of the files that are written
READABLE_VERSIONS = (1, 2)
HEADER = struct.Struct(">4sHH8sQ")
CHECKED = struct.Struct(">I")
FRAME = struct.Struct(">II")
INNER = struct.Struct(">QB")
HEADER_BYTES = HEADER.size + CHECKED.size
MAX_BODY_BYTES = 1024 * 1024


class RecordKind(IntEnum):
    """What a record states. Numbers are never reused."""

    LISTED = 1  # an upstream in discovery's form
    DELISTED = 2  # an upstream that discovery no longer lists
    DRAIN = 3  # since when an upstream drains
    BEGAN = 4  # a request that must not run twice is about to be sent for the first time
    ENDED = 5  # its answer is known
    LEARNED = 6  # latency means and credit of the decisions
    CLOCK = 7  # the time, and the time since boot, which shows whether the clock was set
    SOURCE = 8  # discovery's address, the version of its list, when it last answered, and the list's churn
    SERVED = 9  # when an upstream last served, and how that is known


class Record(NamedTuple):
    """One record; `body` has the form that `larkweir.store.state` reads for its kind."""

    kind: RecordKind
    body: Any


class StoreError(ValueError):
    """A file or a record that can't be used, and why."""


_KINDS = {int(kind): kind for kind in RecordKind}
_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


def header(site: bytes, generation: int, version: int = VERSION) -> bytes:
    """A file's header. `site`: eight bytes."""
    text = HEADER.pack(MAGIC, version, 0, site, generation)
    return text + CHECKED.pack(zlib.crc32(text))


def read_header(data: bytes) -> tuple[int, bytes, int]:
    """Version, site and generation of a file. Raises StoreError where its header is damaged or of another version."""
    if len(data) < HEADER_BYTES:
        raise StoreError("the file is shorter than its header")
    magic, version, _, site, generation = HEADER.unpack_from(data)
    (checksum,) = CHECKED.unpack_from(data, HEADER.size)
    if magic != MAGIC:
        raise StoreError("this is no file of a store")
    if zlib.crc32(data[: HEADER.size]) != checksum:
        raise StoreError("the header is damaged")
    if version not in READABLE_VERSIONS:
        raise StoreError(
            f"version {version} is not read here; versions {READABLE_VERSIONS[0]} and {READABLE_VERSIONS[-1]} are"
        )
    return version, site, generation


def frame(serial: int, record: Record) -> bytes:
    """One record's bytes. Raises StoreError where they are more than `MAX_BODY_BYTES`."""
    body = INNER.pack(serial, record.kind) + _encode(record.body)
    if len(body) > MAX_BODY_BYTES:
        raise StoreError(f"a record of {len(body)} bytes")
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def frames(data: bytes, serial: int) -> Iterator[tuple[int, Record]]:
    """The records after the header, each with the offset of its end, for as long as they are complete and in sequence.

    Nothing is read after the first that is not: it may be left over from an earlier use of the file. A kind that is
    not known is skipped: it is of a later version whose files can be read without it.
    """
    offset = HEADER_BYTES
    while offset + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, offset)
        end = offset + FRAME.size + length
        if length < INNER.size or length > MAX_BODY_BYTES or end > len(data):
            return
        body = data[offset + FRAME.size : end]
        if zlib.crc32(body) != checksum:
            return
        found_serial, kind = INNER.unpack_from(body)
        if found_serial != serial:
            return
        try:
            content = _decode(body[INNER.size :])
        except (msgspec.DecodeError, RecursionError):
            return
        serial += 1
        offset = end
        known = _KINDS.get(kind)
        if known is not None:
            yield offset, Record(known, content)
