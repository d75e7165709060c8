"""The relay of datagrams between the processes of a scene."""

from __future__ import annotations

import asyncio
import socket

from standins.peers import PATIENCE_S
from standins.relay import Relay
from standins.transcript import Transcript


def test_a_relay_keeps_names_tells_by_way_and_can_be_cut() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        script = Transcript()
        relay = Relay(script, lambda data: None if data == b"beat" else data.decode())
        socks, public = {}, {}
        for name in ("b1", "b2"):
            sock = socks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", 0))
            public[name] = await relay.join(name, sock.getsockname())

        async def pass_on(source: str, to: str, data: bytes) -> None:
            socks[source].sendto(data, public[to])
            # It comes from the public address of whoever has sent it.
            assert await loop.sock_recvfrom(socks[to], 99) == (data, public[source])

        await pass_on("b1", "b2", b"beat")
        await pass_on("b1", "b2", b"suspect b3")
        await pass_on("b2", "b1", b"alive b3")
        await relay.takes("b2", "b1")
        await relay.takes("b1", "b2")
        relay.cut("b2", "b1")
        socks["b1"].sendto(b"lost", public["b2"])
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        stranger.sendto(b"forged", public["b2"])
        # What is behind them in the same socket has come: so have they.
        third = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        third.bind(("127.0.0.1", 0))
        public3 = await relay.join("b3", third.getsockname())
        third.sendto(b"last of all", public["b2"])
        assert (await loop.sock_recvfrom(socks["b2"], 99))[0] == b"last of all"
        relay.heal()
        await pass_on("b1", "b2", b"again")
        relay.cut_one_way("b1", "b2")
        relay.cut_off("b3")
        for source, to in (("b1", "b2"), ("b1", "b3"), ("b2", "b3")):
            (socks | {"b3": third})[source].sendto(b"lost", (public | {"b3": public3})[to])
        third.sendto(b"lost", public["b2"])
        await pass_on("b2", "b1", b"the other way")
        relay.stop()
        for sock in (*socks.values(), stranger, third):
            sock.close()
        assert script.text() == (
            "b2 -> b1: alive b3\nb1 -> b2: suspect b3\n"
            "relay -> all: nothing passes between b2 and b1\nrelay -> all: everything passes\n"
            "relay -> all: nothing passes from b1 to b2\nrelay -> all: nothing passes to or from b3\n"
            "\n# Not taken by any step\nb1 -> b2: again\nb2 -> b1: the other way\nb3 -> b2: last of all\n"
        )

    asyncio.run(asyncio.wait_for(work(), PATIENCE_S))
