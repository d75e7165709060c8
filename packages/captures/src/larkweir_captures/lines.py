"""The lines that captures are written as: one JSON object each."""

from __future__ import annotations

import msgspec

from larkweir_captures.propagation import to_hex
from larkweir_captures.records import PendingRecord

MAX_TRACE_CHARS = 200  # of a trace's id
_ENVELOPE_BYTES = 330  # of a line beside the trace's id and the record, at most
_MAX_CHAR_BYTES = 6  # of a character of the id, escaped


def max_line_bytes(trace_id: str, body: bytes) -> int:
    """An upper bound of a line's size."""
    return len(body) + _ENVELOPE_BYTES + _MAX_CHAR_BYTES * len(trace_id)


def encode_line(hop: str, record: PendingRecord, weight: float, now_ms: float) -> bytes:
    """A record's line: by which hop, table and threshold it was captured, and how many requests it stands for
    (`weight`, 0 if it was retained after the fact).
    """
    line = {
        "v": 1,
        "trace": record.trace_id,
        "hop": hop,
        "mono_ms": round(now_ms, 1),
        "why": record.reason,
        "rv": f"{record.rv:014x}",
        "th": to_hex(record.threshold),
        "weight": weight,
        "table": f"{record.table_version[0]}.{record.table_version[1]}",
        "record": msgspec.Raw(record.body),
    }
    return msgspec.json.encode(line) + b"\n"
