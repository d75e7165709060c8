"""The hint file: the upstreams that a registry knew, so that a fleet that restarts as a whole need not wait for them.

The file is a hint. Heartbeats override it, upstreams that were lost meanwhile time out, and losing it loses nothing.
"""

from __future__ import annotations

import zlib

import msgspec

from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

_decoder: msgspec.json.Decoder[list[Upstream]] = msgspec.json.Decoder(list[Upstream])


def encode(registry: Registry) -> bytes:
    """Return all upstreams of the registry as JSON, behind a CRC-32 of it in eight hexadecimal digits and a space."""
    body = msgspec.json.encode(list(registry.upstreams.values()))
    return b"%08x %s" % (zlib.crc32(body), body)


def restore(registry: Registry, data: bytes, now_ms: float) -> bool:
    """Add the upstreams of a hint file to the registry.

    Returns:
        Whether the file was intact. The registry is left as it is where it was not.
    """
    checksum, _, body = data.partition(b" ")
    if checksum != b"%08x" % zlib.crc32(body):
        return False
    try:
        upstreams = _decoder.decode(body)
    except msgspec.DecodeError:
        return False
    for upstream in upstreams:
        registry.update(upstream, now_ms)
    return True
