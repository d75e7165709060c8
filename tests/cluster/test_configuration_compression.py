"""Compressed configuration updates, intact and damaged."""

from __future__ import annotations

import zlib

import msgspec
import pytest

from larkweir.cluster.configuration.compression import CompressionError, compress, decompress
from larkweir.cluster.messages import MAX_LINE_BYTES, CompressedConfigUpdate, ConfigUpdate

BODY = msgspec.json.encode({"upsert": {"routes": [{"name": f"r{n}", "backend": "s"} for n in range(500)]}})
UPDATE = ConfigUpdate(7, 5, msgspec.Raw(BODY))


def test_decompression_restores_the_update() -> None:
    compressed = compress(UPDATE)
    assert len(compressed.body) < len(BODY) / 4
    back = decompress(compressed)
    assert (back.sequence, back.base_sequence, bytes(back.body)) == (7, 5, BODY)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no zlib",
        compress(UPDATE).body[:-1],
        compress(UPDATE).body[:-4] + b"\0\0\0\0",
        zlib.compress(bytes(MAX_LINE_BYTES + 1)),
    ],
    ids=["empty", "other bytes", "cut short", "wrong checksum", "too large"],
)
def test_a_damaged_body_is_rejected(body: bytes) -> None:
    with pytest.raises(CompressionError):
        decompress(CompressedConfigUpdate(7, 5, body))
