"""The line format of the journal: a CRC-32 as eight hex digits, a serial number, and the record as JSON. No I/O."""

from __future__ import annotations

import re
import zlib

import msgspec

from larkweir_replication.messages import DurableState

_RECORD_START = re.compile(rb"[0-9a-f]{8} [0-9]+ \{")


def encode_record(serial: int, record: DurableState) -> bytes:
    """Returns the line of a record, including its newline."""
    body = b"%d %s" % (serial, msgspec.json.encode(record))
    return b"%08x %s\n" % (zlib.crc32(body), body)


def decode_record(line: bytes, expected_serial: int | None) -> tuple[int, DurableState] | None:
    """Returns the serial number and the record of a line, which is given without its newline.

    Returns None if the line is torn or damaged, or if it has another serial number than `expected_serial`. If
    `expected_serial` is None, any serial number is valid.
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
    """Whether an intact record starts anywhere after the first byte, even if the bytes before it are damaged."""
    for start in _RECORD_START.finditer(rest, 1):
        end = rest.find(b"\n", start.start())
        if end >= 0 and decode_record(rest[start.start() : end], None) is not None:
            return True
    return False
