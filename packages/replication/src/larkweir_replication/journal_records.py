"""The lines of a replica's file: a CRC-32 as eight hex digits, a serial number, and the record as JSON. No I/O."""

from __future__ import annotations

import re
import zlib

import msgspec

from larkweir_replication.messages import DurableState

_RECORD_START = re.compile(rb"[0-9a-f]{8} [0-9]+ \{")


def encode_record(serial: int, record: DurableState) -> bytes:
    """The line of a record, its newline included."""
    body = b"%d %s" % (serial, msgspec.json.encode(record))
    return b"%08x %s\n" % (zlib.crc32(body), body)


def decode_record(line: bytes, expected_serial: int | None) -> tuple[int, DurableState] | None:
    """Serial number and record of a line without its newline.

    None where the line is torn or damaged, or is not the one with `expected_serial`; None for it accepts any number.
    """
    if line[8:9] != b" ":
        return None
    body = line[9:]
    if line[:8] != b"%08x" % zlib.crc32(body):
        return None
    number, _, text = body.partition(b" ")
    if expected_serial is not None and int(number) != expected_serial:
        return None
    try:
        return int(number), msgspec.json.decode(text, type=DurableState)
    except msgspec.DecodeError:
        return None


def contains_record(rest: bytes) -> bool:
    """Whether an intact record stands anywhere behind the first byte; the start of its line may be lost."""
    for start in _RECORD_START.finditer(rest, 1):
        end = rest.find(b"\n", start.start())
        if end >= 0 and decode_record(rest[start.start() : end], None) is not None:
            return True
    return False
