"""What a registry leaves on disk, so that a fleet that was stopped as a whole need not wait for heartbeats.

A hint only: heartbeats go before it, and an upstream that was lost meanwhile is found out by its silence.
"""

from __future__ import annotations

import zlib

import msgspec

from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

_decoder: msgspec.json.Decoder[list[Upstream]] = msgspec.json.Decoder(list[Upstream])


def encode(registry: Registry) -> bytes:
    """All upstreams, with a checksum."""
    body = msgspec.json.encode(list(registry.upstreams.values()))
    return b"%08x %s" % (zlib.crc32(body), body)


def restore(registry: Registry, data: bytes, now_ms: float) -> bool:
    """Notes what was left; False, and nothing is noted, where it is damaged."""
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
