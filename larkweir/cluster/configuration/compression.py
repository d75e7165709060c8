"""Compression of large configuration updates for routers on slow links. Similar routes compress about tenfold."""

from __future__ import annotations

import zlib

import msgspec

from larkweir.cluster.errors import LarkweirError
from larkweir.cluster.messages import MAX_LINE_BYTES, CompressedConfigUpdate, ConfigUpdate

DEFLATE = "deflate"  # the zlib format (RFC 1950), which has this name in HTTP
# Compression blocks the event loop, and higher levels hardly make a list of routes any smaller.
LEVEL = zlib.Z_BEST_SPEED


class CompressionError(LarkweirError, ValueError):
    """A compressed update can't be decompressed."""


def compress(update: ConfigUpdate) -> CompressedConfigUpdate:
    """Return the update with its body compressed."""
    body = zlib.compress(bytes(update.body), LEVEL)
    return CompressedConfigUpdate(update.sequence, update.base_sequence, body)


def decompress(update: CompressedConfigUpdate) -> ConfigUpdate:
    """Return the update with its body decompressed.

    Raises:
        CompressionError: the body is corrupt, incomplete, or larger than a message may be.
    """
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(update.body, MAX_LINE_BYTES)
    except zlib.error as error:
        raise CompressionError(str(error)) from error
    if not stream.eof:
        raise CompressionError("the body is incomplete or too large")
    return ConfigUpdate(update.sequence, update.base_sequence, msgspec.Raw(body))
