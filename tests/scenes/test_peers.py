"""Scenes of peers: a former life's word, one that stood still, a way that is cut one way, a key that is changed."""

from __future__ import annotations

import asyncio
import signal
import socket

from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.messages import (
    REFUTATION_BITS,
    Ack,
    Fragment,
    Message,
    Ping,
    PingRequest,
    decode,
    encode,
    short_process_start,
)

from standins.peers import PATIENCE_S
from standins.relay import Relay
from tests.scenes.fleet import Fleet, Member
from tests.scenes.stage import Scene, scene

KEY = b"a key for this scene alone"


class East:
    """A scripted peer with the right key."""

    def __init__(self, s: Scene, sock: socket.socket, to: Member) -> None:
        self._s, self._sock, self._to = s, sock, to
        self.name = f"127.0.0.1:{sock.getsockname()[1]}"
        self._seal = DatagramAuthenticator([KEY])
        self._me, self._it = pack_address(self.name), pack_address(to.address)
        host, _, port = to.address.rpartition(":")
        self._address = host, int(port)
        self.number = 0

    def says(self, what: str, frame: Message) -> None:
        self._s.script.line("east", self._to.name, what)
        self._sock.sendto(self._seal.sign(self._it, encode(frame)), self._address)

    def ping(self, life: int, number: int = 0) -> Ping:
        self.number = number or self.number + 1
        return Ping(self._me, life << REFUTATION_BITS, 0, self.number, [])

    def item(self, life: int, to: int) -> Fragment:
        """Of one piece, on a channel that no part listens on, for a life of the receiver."""
        self.number += 1
        return Fragment(
            self._me, life << REFUTATION_BITS, short_process_start(to), self.number, [], 77, 1, 0, 1, b"x"
        )

    async def hears(self, what: str, kind: type[Message], telling: int = 0) -> Message:
        """The next datagram of this kind, and with this life of its own told; what else comes goes by the clock."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(PATIENCE_S):
            while True:
                data = self._seal.verify(self._me, await loop.sock_recv(self._sock, 512))
                assert data is not None, "a datagram that is not signed for east"
                frame = decode(data)
                told = {
                    news.incarnation >> REFUTATION_BITS for news in frame.updates if news.member == self._me
                }
                if isinstance(frame, kind) and (not telling or telling in told):
                    self._s.script.line(self._to.name, "east", what)
                    return frame


@scene()
async def test_former_life(s: Scene) -> None:
    """A peer's second life is known; what its first life still says comes late: it is dropped, and the peer is told
    which life is known. A datagram that comes twice counts once, and what is meant for a former life of the receiver,
    or for a part that is off there, goes no further.
    """
    u0 = await s.upstream("u0")
    key = s.folder / "peers.key"
    key.write_bytes(KEY + b"\n")
    key.chmod(0o600)
    fleet = Fleet(s)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        third = f"127.0.0.1:{sock.getsockname()[1]}"
        rows = {"key_file": str(key), "probe_ms": 60_000.0, "ack_ms": 30_000.0}
        await fleet.start(u0, names=("north",), more=(third,), peers=rows)
        (north,) = fleet.members
        east = East(s, sock, north)
        await north.shows(peers="0/1")
        east.says("a ping of its life 2, number 1", east.ping(2))
        answer = await east.hears("an answer", Ack)
        await north.shows(peers="1/1")

        s.script.part("What is late, and what comes twice")
        east.says("a ping of its life 1, number 7", east.ping(1, 7))
        await east.hears("a ping: life 2 of east is known", Ping, telling=2)
        await north.shows(peers="1/1", drop_former_life="1")
        east.says("a ping of its life 2, number 1 once more", east.ping(2, 1))
        await north.shows(drop_again="1")

        s.script.part("Items")
        east.says(
            "an item for another life of north", east.item(2, answer.incarnation - (9 << REFUTATION_BITS))
        )
        await north.shows(drop_not_this_life="1")
        east.says("an item for a part that is off", east.item(2, answer.incarnation))
        await north.shows(drop_no_part="1")

        s.script.part("A third life")
        east.says("a ping of its life 3, number 1", east.ping(3, 1))
        await east.hears("an answer", Ack)
        await north.shows(peers="1/1", drop_former_life="1", drop_again="1")


@scene()
async def test_stands_still_and_refutes(s: Scene) -> None:
    """One of three stands still until the others hold it to be lost. It wakes up, hears what is said of it, refutes
    that in the same life, and is there again for both; it holds nobody to be lost for its own standstill.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    names = ("north", "south", "west")
    with s.script.untold("manager", "all", "north, south and west start"):
        await fleet.start(u0, names=names, peers={"probe_ms": 200.0, "ack_ms": 100.0})
    north, south, west = fleet.members
    for it in fleet.members:
        await it.shows(peers="2/2")
    west.gets(signal.SIGSTOP)
    await north.shows(peers="1/2", peers_dead="1")
    await south.shows(peers="1/2", peers_dead="1")

    s.script.part("West wakes up")
    west.gets(signal.SIGCONT)
    for it in fleet.members:
        await it.shows(peers="2/2", peers_dead="0")
    ann = s.client("ann", west)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()


@scene()
async def test_cut_one_way(s: Scene) -> None:
    """Nothing passes from west to north any more. North asks south to probe west, and south does; its word is enough:
    west is still there for all. Then nothing passes to west at all: both others hold it to be lost, and all three are
    there again when the ways are open.
    """
    u0 = await s.upstream("u0")
    asked, told, cut = (
        set[int](),
        set[str](),
        list[bytes](),
    )  # who is cut off from whom, and through whom it asks

    def tell(data: bytes) -> str | None:
        """The first request to probe that the cut is cause of, and the first answer to such a one: how often they come
        goes by the clock.
        """
        frame, words = decode(data), ""
        if isinstance(frame, PingRequest) and [frame.sender, frame.target] == cut[:2]:
            asked.add(frame.sequence_number)
            words = "probe <west> for me"
        elif isinstance(frame, Ack) and [frame.sender] == cut[2:] and frame.request_number in asked:
            words = "<west> has answered"
        if not words or words in told:
            return None
        told.add(words)
        return words

    relay = Relay(s.script, tell)
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "north, south and west start"):
        rows = {"probe_ms": 200.0, "ack_ms": 100.0}
        await fleet.start(u0, names=("north", "south", "west"), relay=relay, peers=rows)
    north, south, west = fleet.members
    for it in fleet.members:
        await it.shows(peers="2/2")
    cut += [pack_address(it.address) for it in (north, west, south)]
    relay.cut_one_way("west", "north")
    await relay.takes("north", "south")
    await relay.takes("south", "north")
    for it in fleet.members:
        await it.shows(peers="2/2", peers_dead="0")

    s.script.part("Nothing passes to west")
    relay.cut_one_way("north", "west")
    relay.cut_one_way("south", "west")
    for it in (north, south):
        await it.shows(peers="1/2", peers_dead="1")

    s.script.part("All ways are open")
    relay.heal()
    for it in fleet.members:
        await it.shows(peers="2/2", peers_dead="0")
