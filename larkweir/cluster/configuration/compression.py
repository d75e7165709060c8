"""Large configuration updates, compressed for routers on slow links: routes resemble each other, and shrink tenfold."""

from __future__ import annotations

import zlib

import msgspec

from larkweir.cluster.errors import LarkweirError
from larkweir.cluster.messages import MAX_LINE_BYTES, CompressedConfigUpdate, ConfigUpdate

DEFLATE = "deflate"  # zlib's format (RFC 1950), as the name stands for in HTTP
LEVEL = zlib.Z_BEST_SPEED  # the event loop waits for it, and a list of routes shrinks hardly less


class CompressionError(LarkweirError, ValueError):
    """A compressed update can't be decompressed."""


def compress(update: ConfigUpdate) -> CompressedConfigUpdate:
    """Return an update with its body compressed."""
    body = zlib.compress(bytes(update.body), LEVEL)
    return CompressedConfigUpdate(update.sequence, update.base_sequence, body)


def decompress(update: CompressedConfigUpdate) -> ConfigUpdate:
    """Return the update that was compressed.

    Raises:
        CompressionError: its body is damaged, incomplete, or larger than a message may be.
    """
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(update.body, MAX_LINE_BYTES)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not stream.eof:
        raise CompressionError("the body is incomplete or too large")
    return ConfigUpdate(update.sequence, update.base_sequence, msgspec.Raw(body))
