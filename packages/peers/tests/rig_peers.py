"""Creates up to four protocol instances, whose datagrams and time a test controls step by step."""

from __future__ import annotations

from random import Random

from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig

A, B, C, D = (f"127.0.0.1:{7001 + n}" for n in range(4))


NAMES = (A, B, C, D)


KEY = b"sixteen letters!"


def new_process(
    me: str,
    keys: tuple[bytes, ...] = (KEY,),
    process_start_ms: int = 1_000,
    config: ProtocolConfig | None = None,
) -> PeerProtocol:
    return PeerProtocol(me, NAMES, Random(me), 0.0, process_start_ms, keys, config)


def take_sent(process: PeerProtocol, to: str) -> list[bytes]:
    """Remove all queued datagrams, and return those to `to`."""
    found = [item.data for item in process.datagrams if item.to == to]
    process.datagrams.clear()
    return found


def introduce(*processes: PeerProtocol, now: float = 0.0) -> None:
    """Exchange pings so that each process knows the incarnations of the others."""
    for sender_process in processes:
        for other in processes:
            if sender_process is not other:
                sender_process.sender.ping(other.address, now)
                for data in take_sent(sender_process, other.address):
                    other.on_datagram(sender_process.address, data, now)
                other.datagrams.clear()
