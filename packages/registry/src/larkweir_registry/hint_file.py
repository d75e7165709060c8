"""The hint file stores the upstreams that a registry knows.

With it, a fleet in which all processes restart can use its upstreams before their first heartbeats, and remembers which
ones have left. Of upstreams that are ready the contents are only a hint: heartbeats override them, and upstreams that
have disappeared time out. An upstream that has announced its departure may never say so again, so an acknowledged
departure must be in the files of a majority of the registries.
"""

from __future__ import annotations

import zlib

import msgspec

from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

_decoder: msgspec.json.Decoder[list[Upstream]] = msgspec.json.Decoder(list[Upstream])


def encode(registry: Registry) -> bytes:
    """Return the CRC-32 of the body as eight hexadecimal digits, a space, and the body: all upstreams as JSON."""
    body = msgspec.json.encode(list(registry.upstreams.values()))
    return b"%08x %s" % (zlib.crc32(body), body)


def restore(registry: Registry, data: bytes, now_ms: float) -> bool:
    """Add the upstreams of a hint file to the registry.

    Returns:
        Whether the file was intact. If it was not, the registry is unchanged.
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
