"""Sockets on loopback: items and beliefs between them, what is not for them, an address that goes to a successor."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count
from random import Random

import pytest
from larkweir_peers.membership import MemberEvent
from larkweir_peers.messages import MemberState
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.transport import Channel, PeerTransport

KEYS = (b"sixteen letters!",)
QUICK = ProtocolConfig(
    probe_interval_ms=50.0, ack_timeout_ms=20.0, datagrams_per_s=2_000.0, burst_datagrams=500.0
)
LIVES = count(1)


class LoopClock:
    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def at(self, due_ms: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        return self._loop.call_at(due_ms / 1000.0, call)


def free_names(number: int) -> list[str]:
    """Loopback addresses that the system has just given."""
    held = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(number)]
    for sock in held:
        sock.bind(("127.0.0.1", 0))
    names = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in held]
    for sock in held:
        sock.close()
    return names


class Life:
    """A process's socket, and all that it told."""

    def __init__(self, name: str, names: list[str], listen: str = "") -> None:
        self.log: list[str] = []
        self.events: list[MemberEvent] = []
        self.came: list[tuple[str, bytes]] = []
        clock = LoopClock()
        life = int(clock.now_ms()) + next(LIVES)
        self.peers = PeerProtocol(name, names, Random(name), clock.now_ms(), life, KEYS, QUICK)
        self.socket = PeerTransport(self.peers, listen or name, clock, self.log.append, self.events.append)
        self.mail: Channel = self.socket.open_channel(
            1, lambda source, item, now_ms: self.came.append((source, item))
        )
        self.socket.start()

    def state(self, name: str) -> MemberState:
        return self.peers.membership.members[name].state


@asynccontextmanager
async def lives(names: list[str], number: int) -> AsyncIterator[list[Life]]:
    made = [Life(name, names) for name in names[:number]]
    try:
        yield made
    finally:
        for life in made:
            life.socket.close()


async def until(true: Callable[[], object], what: str) -> None:
    """Wait for what must become true."""
    try:
        async with asyncio.timeout(20.0):
            while not true():
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"never came: {what}") from None


def meet(made: list[Life]) -> Callable[[], bool]:
    names = [life.peers.address for life in made]
    return lambda: all(
        life.state(name) is MemberState.ALIVE for life in made for name in names if name != life.peers.address
    )


def test_three_meet_and_items_pass_between_them() -> None:
    async def play() -> None:
        names = free_names(3)
        async with lives(names, 3) as made:
            await until(meet(made), "all three know each other")
            items = [b"", b"x" * 8_192, bytes(range(256)) * 20]
            for item in items:
                assert made[0].mail.post(names[1], item) and made[1].mail.post(names[2], item)
            await until(lambda: len(made[1].came) == len(made[2].came) == 3, "each item")
            assert made[1].came == [(names[0], item) for item in items]
            assert set(made[0].mail.alive()) == {names[1], names[2]}
            facts = made[0].socket.status_fields()
            assert facts["peers"] == "2/2" and facts["peers_dropped"] == "0"
            assert any("are there" in line for line in made[0].log)

    asyncio.run(play())


def test_what_is_no_peers_datagram_is_counted_and_the_rest_goes_on() -> None:
    async def play() -> None:
        names = free_names(3)
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with lives(names, 2) as made:
            await until(meet(made), "both know each other")
            host, _, port = names[0].rpartition(":")
            for data in (b"", b"x", b"x" * 256, b"x" * 9_000):
                stranger.sendto(data, (host, int(port)))
            dropped = made[0].peers.dropped
            await until(lambda: dropped["stranger"] + dropped["too_long"] == 4, "all four counted")
            assert "stranger:3" in str(made[0].socket.status_fields()["peers_dropped"])
            made[0].socket._handlers[1] = lambda source, item, now_ms: 1 / 0  # a part that fails
            made[1].mail.post(names[0], b"bad")
            await until(lambda: made[0].socket.handler_errors == 1, "the part has failed")
            made[0].mail.post(names[1], b"good")
            await until(lambda: made[1].came == [(names[0], b"good")], "and the socket goes on")
            made[0].socket.post(names[1], 9, b"for no part")
            await until(lambda: made[1].peers.dropped["no_part"] == 1, "an item on a channel without a part")
            assert not made[1].mail.post(names[2], b"nobody there yet")
        stranger.close()

    asyncio.run(play())


def test_one_that_leaves_says_so_and_one_that_is_gone_is_found_out() -> None:
    async def play() -> None:
        names = free_names(3)
        async with lives(names, 3) as made:
            await until(meet(made), "all three know each other")
            made[0].socket.close()
            await until(lambda: made[2].state(names[0]) is MemberState.LEFT, "the word that it leaves")
            made[1].socket.set_suspended(True)  # its socket is gone, and it says nothing
            await until(lambda: made[2].state(names[1]) is MemberState.DEAD, "that it is lost")
            assert [event.state for event in made[2].events if event.name == names[1]][-2:] == [
                MemberState.SUSPECT,
                MemberState.DEAD,
            ]
            made[1].socket.set_suspended(False)
            await until(lambda: made[2].state(names[1]) is MemberState.ALIVE, "that it is back")

    asyncio.run(play())


def test_a_successor_waits_for_the_address_and_is_a_later_life() -> None:
    async def play() -> None:
        names = free_names(2)
        async with lives(names, 2) as made:
            await until(meet(made), "both know each other")
            before = made[1].peers.membership.members[names[0]].incarnation
            after = Life(names[0], names)
            assert not after.socket.is_open and made[0].socket.is_open and "until it is free" in after.log[0]
            assert not after.mail.post(names[1], b"x")
            made[0].socket.set_suspended(True)
            await until(
                lambda: after.mail.post(names[1], b"of the new life"), "the address, and the other's life"
            )
            await until(lambda: made[1].came, "its item")
            assert made[1].came == [(names[0], b"of the new life")]
            assert made[1].peers.membership.members[names[0]].incarnation > before
            made[0].socket.close()  # says nothing: the name is the successor's
            assert made[1].state(names[0]) is MemberState.ALIVE
            after.socket.close()

    asyncio.run(play())


def test_a_channel_has_one_part() -> None:
    async def play() -> None:
        names = free_names(2)
        async with lives(names, 1) as (life,):
            with pytest.raises(ValueError, match="channel 1"):
                life.socket.open_channel(1, lambda source, item, now_ms: None)

    asyncio.run(play())
