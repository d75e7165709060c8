"""The example in the README works as written."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from random import Random
from typing import Any

from larkweir_peers.ports import Clock
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.transport import Channel, ItemHandler, PeerTransport
from test_peers_transport import LoopClock, free_names, until

README = Path(__file__).parent.parent / "README.md"


def test_the_example_sends_an_item_to_a_peer() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    transports: list[PeerTransport] = []

    class Transport(PeerTransport):
        def start(self) -> None:
            transports.append(self)
            super().start()

    names: dict[str, Any] = {
        "Channel": Channel,
        "Clock": Clock,
        "ItemHandler": ItemHandler,
        "PeerProtocol": PeerProtocol,
        "PeerTransport": Transport,
        "Random": Random,
    }
    exec(compile(code, str(README), "exec"), names)

    async def run() -> None:
        first, second = free_names(2)
        received: list[tuple[str, bytes]] = []
        clock = LoopClock()
        try:
            names["start"](
                second, [first], clock, lambda source, item, now_ms: received.append((source, item))
            )
            channel = names["start"](first, [second], clock, lambda source, item, now_ms: None)
            await until(lambda: channel.post(second, b"an item"), "the first contact")
            await until(lambda: received, "the item")
            assert received == [(first, b"an item")]
        finally:
            for transport in transports:
                transport.close()

    asyncio.run(run())
