"""Rules: records as bytes: framed, checked, versioned. Bytes in, records out; nothing is read or written here.

A file is a header and frames. The header names the format's version, the site (a checksum of what makes a balancer that
one) and the generation. A frame is its length, a checksum (CRC-32) over all behind it, its serial, its kind and its
body (MessagePack). Serials count up by one through a generation, so that a frame that was lost in the middle, or one
left over from an older file in the same place, can't be taken for the next.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from enum import IntEnum
from typing import Any, NamedTuple

import msgspec

MAGIC = b"LWST"
VERSION = 2  # written; read are this one and the one before it
READ = (1, 2)
HEADER = struct.Struct(">4sHH8sQ")
CHECKED = struct.Struct(">I")
FRAME = struct.Struct(">II")
INNER = struct.Struct(">QB")
HEADER_BYTES = HEADER.size + CHECKED.size
MOST_BODY = 1024 * 1024


class Kind(IntEnum):
    """What a record says. Numbers are never given again."""

    LISTED = 1  # an upstream as discovery has it
    GONE = 2  # an upstream that discovery has no more
    DRAIN = 3  # when an upstream was told to drain
    BEGAN = 4  # a request that may not run twice is about to be sent for the first time
    ENDED = 5  # its answer is known
    LEARNED = 6  # means and credit of the decisions
    CLOCK = 7  # the time, and the same by a clock that nobody sets, so that one that jumps shows
    SOURCE = (
        8  # the address of discovery, the generation of its list, when it last spoke, and what came and went
    )
    PROVED = 9  # when an upstream last served, and how that is known


class Record(NamedTuple):
    kind: Kind
    body: Any


class StoreError(ValueError):
    """A file that can't be used, and why."""


_KINDS = {int(kind): kind for kind in Kind}
_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


def header(site: bytes, generation: int, version: int = VERSION) -> bytes:
    """`site`: eight bytes."""
    text = HEADER.pack(MAGIC, version, 0, site, generation)
    return text + CHECKED.pack(zlib.crc32(text))


def read_header(data: bytes) -> tuple[int, bytes, int]:
    """Version, site and generation; StoreError where it is none that can be read."""
    if len(data) < HEADER_BYTES:
        raise StoreError("the file is shorter than its header")
    magic, version, _, site, generation = HEADER.unpack_from(data)
    (checksum,) = CHECKED.unpack_from(data, HEADER.size)
    if magic != MAGIC:
        raise StoreError("this is no file of a store")
    if zlib.crc32(data[: HEADER.size]) != checksum:
        raise StoreError("the header is damaged")
    if version not in READ:
        raise StoreError(f"version {version} is not read here; versions {READ[0]} and {READ[-1]} are")
    return version, site, generation


def frame(serial: int, record: Record) -> bytes:
    body = INNER.pack(serial, record.kind) + _encode(record.body)
    if len(body) > MOST_BODY:
        raise StoreError(f"a record of {len(body)} bytes")
    return FRAME.pack(len(body), zlib.crc32(body)) + body


def frames(data: bytes, serial: int) -> Iterator[tuple[int, Record]]:
    """The records from the header on, each with the place behind it, as long as they are whole and follow each other.

    What comes behind the first that does not fit is not read: it may be of another life of the file. A kind that is not
    known here is of a later version that said it can be read without: it is passed over.
    """
    at = HEADER_BYTES
    while at + FRAME.size <= len(data):
        length, checksum = FRAME.unpack_from(data, at)
        end = at + FRAME.size + length
        if length < INNER.size or length > MOST_BODY or end > len(data):
            return
        body = data[at + FRAME.size : end]
        if zlib.crc32(body) != checksum:
            return
        number, kind = INNER.unpack_from(body)
        if number != serial:
            return
        try:
            said = _decode(body[INNER.size :])
        except (msgspec.DecodeError, RecursionError):
            return
        serial += 1
        at = end
        known = _KINDS.get(kind)
        if known is not None:
            yield at, Record(known, said)
