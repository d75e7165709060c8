"""Two to four processes that a test drives by hand."""

from __future__ import annotations

from random import Random

from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig

A, B, C, D = (f"127.0.0.1:{7001 + n}" for n in range(4))


NAMES = (A, B, C, D)


KEY = b"sixteen letters!"


def one(
    me: str, keys: tuple[bytes, ...] = (KEY,), life: int = 1_000, config: ProtocolConfig | None = None
) -> PeerProtocol:
    return PeerProtocol(me, NAMES, Random(me), 0.0, life, keys, config)


def sent(peers: PeerProtocol, to: str) -> list[bytes]:
    """What has gone out to one since it was last asked."""
    found = [item.data for item in peers.datagrams if item.to == to]
    peers.datagrams.clear()
    return found


def met(*both: PeerProtocol, now: float = 0.0) -> None:
    """Each has heard of the others' lives."""
    for one_ in both:
        for other in both:
            if one_ is not other:
                one_.sender.ping(other.address, now)
                for data in sent(one_, other.address):
                    other.on_datagram(one_.address, data, now)
                other.datagrams.clear()
