"""Records of a copy's log as bytes, and the name of what all copies began with."""

from __future__ import annotations

from hashlib import blake2b
from typing import Any

import msgspec

from larkweir_edits.schema import Schema, Tables

SNAPSHOT_WRITER = "*"  # stands for a writer where a record holds all that is kept

StatedRow = tuple[
    str, str, dict[str, Any] | None
]  # table, row, its fields; None where the file has it no more


class LogRecord(msgspec.Struct, array_like=True):
    """A record: edits of a writer; with what staff's file says since then, where it is theirs; or a whole state."""

    writer: str
    edits: list[bytes]
    stated: list[StatedRow] = []
    state: bytes = b""


ENCODER = msgspec.msgpack.Encoder()
RECORDS: msgspec.msgpack.Decoder[LogRecord] = msgspec.msgpack.Decoder(LogRecord)


def origin_of(schema: Schema, base: Tables) -> bytes:
    """What all copies began with, in eight bytes."""
    content = [
        (
            table,
            name,
            sorted((sub, repr(value)) for sub, value in schema.parts(table, base[table][name]).items()),
        )
        for table in sorted(schema.rules)
        for name in sorted(base.get(table, {}))
    ]
    return blake2b(ENCODER.encode(content), digest_size=8).digest()
