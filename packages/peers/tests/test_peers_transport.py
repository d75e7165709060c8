"""Transports on loopback: items, membership, foreign datagrams, and handing an address over to a successor process."""

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
FAST_CONFIG = ProtocolConfig(
    probe_interval_ms=50.0, ack_timeout_ms=20.0, datagrams_per_s=2_000.0, burst_datagrams=500.0
)
PROCESS_STARTS = count(1)


class LoopClock:
    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def at(self, due_ms: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        return self._loop.call_at(due_ms / 1000.0, call)


def free_names(number: int) -> list[str]:
    """Return loopback addresses that were free a moment ago."""
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(number)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    names = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return names


class Process:
    """The protocol and transport of a process, with its recorded log, events and items."""

    def __init__(self, name: str, names: list[str], listen: str = "") -> None:
        self.log: list[str] = []
        self.events: list[MemberEvent] = []
        self.received: list[tuple[str, bytes]] = []
        clock = LoopClock()
        process_start_ms = int(clock.now_ms()) + next(PROCESS_STARTS)
        self.protocol = PeerProtocol(
            name, names, Random(name), clock.now_ms(), process_start_ms, KEYS, FAST_CONFIG
        )
        self.transport = PeerTransport(
            self.protocol, listen or name, clock, self.log.append, self.events.append
        )
        self.channel: Channel = self.transport.open_channel(
            1, lambda source, item, now_ms: self.received.append((source, item))
        )
        self.transport.start()

    def state(self, name: str) -> MemberState:
        return self.protocol.membership.members[name].state


@asynccontextmanager
async def running(names: list[str], number: int) -> AsyncIterator[list[Process]]:
    processes = [Process(name, names) for name in names[:number]]
    try:
        yield processes
    finally:
        for process in processes:
            process.transport.close()


async def until(condition: Callable[[], object], awaited: str) -> None:
    """Wait up to 20 s for a condition."""
    try:
        async with asyncio.timeout(20.0):
            while not condition():
                await asyncio.sleep(0.005)
    except TimeoutError:
        raise AssertionError(f"timed out: {awaited}") from None


def have_contact(processes: list[Process]) -> Callable[[], bool]:
    names = [process.protocol.address for process in processes]
    return lambda: all(
        process.state(name) is MemberState.ALIVE
        for process in processes
        for name in names
        if name != process.protocol.address
    )


def test_three_processes_have_contact_and_exchange_items() -> None:
    async def run() -> None:
        names = free_names(3)
        async with running(names, 3) as processes:
            await until(have_contact(processes), "all three know each other")
            items = [b"", b"x" * 8_192, bytes(range(256)) * 20]
            for item in items:
                assert processes[0].channel.post(names[1], item) and processes[1].channel.post(names[2], item)
            await until(lambda: len(processes[1].received) == len(processes[2].received) == 3, "each item")
            assert processes[1].received == [(names[0], item) for item in items]
            assert set(processes[0].channel.alive()) == {names[1], names[2]}
            status = processes[0].transport.status_fields()
            assert status["peers"] == "2/2" and status["peers_dropped"] == "0"
            assert any("are there" in line for line in processes[0].log)

    asyncio.run(run())


def test_a_foreign_datagram_is_counted_and_the_transport_continues() -> None:
    async def run() -> None:
        names = free_names(3)
        foreign_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with running(names, 2) as processes:
            await until(have_contact(processes), "both know each other")
            host, _, port = names[0].rpartition(":")
            for data in (b"", b"x", b"x" * 256, b"x" * 9_000):
                foreign_socket.sendto(data, (host, int(port)))
            dropped = processes[0].protocol.dropped
            await until(lambda: dropped["stranger"] + dropped["too_long"] == 4, "all four counted")
            assert "stranger:3" in str(processes[0].transport.status_fields()["peers_dropped"])
            processes[0].transport._handlers[1] = lambda source, item, now_ms: 1 / 0  # a handler that raises
            processes[1].channel.post(names[0], b"bad")
            await until(lambda: processes[0].transport.handler_errors == 1, "the handler has raised")
            processes[0].channel.post(names[1], b"good")
            await until(lambda: processes[1].received == [(names[0], b"good")], "the transport continues")
            processes[0].transport.post(names[1], 9, b"for no part")
            await until(
                lambda: processes[1].protocol.dropped["no_part"] == 1,
                "an item without a handler",
            )
            assert not processes[1].channel.post(names[2], b"nobody there yet")
        foreign_socket.close()

    asyncio.run(run())


def test_a_leaving_process_announces_it_and_a_crashed_one_is_detected() -> None:
    async def run() -> None:
        names = free_names(3)
        async with running(names, 3) as processes:
            await until(have_contact(processes), "all three know each other")
            processes[0].transport.close()
            await until(lambda: processes[2].state(names[0]) is MemberState.LEFT, "its announcement")
            processes[1].transport.set_suspended(True)  # its socket is closed without an announcement
            await until(lambda: processes[2].state(names[1]) is MemberState.DEAD, "its failure")
            assert [event.state for event in processes[2].events if event.name == names[1]][-2:] == [
                MemberState.SUSPECT,
                MemberState.DEAD,
            ]
            processes[1].transport.set_suspended(False)
            await until(lambda: processes[2].state(names[1]) is MemberState.ALIVE, "it is alive again")

    asyncio.run(run())


def test_a_successor_waits_for_the_address_and_has_a_later_incarnation() -> None:
    async def run() -> None:
        names = free_names(2)
        async with running(names, 2) as processes:
            await until(have_contact(processes), "both know each other")
            before = processes[1].protocol.membership.members[names[0]].incarnation
            after = Process(names[0], names)
            assert (
                not after.transport.is_open
                and processes[0].transport.is_open
                and "until it is free" in after.log[0]
            )
            assert not after.channel.post(names[1], b"x")
            processes[0].transport.set_suspended(True)
            await until(
                lambda: after.channel.post(names[1], b"of the new life"),
                "the address and the peer's incarnation",
            )
            await until(lambda: processes[1].received, "its item")
            assert processes[1].received == [(names[0], b"of the new life")]
            assert processes[1].protocol.membership.members[names[0]].incarnation > before
            processes[0].transport.close()  # without an announcement, as the address belongs to the successor
            assert processes[1].state(names[0]) is MemberState.ALIVE
            after.transport.close()

    asyncio.run(run())


def test_a_channel_has_one_handler() -> None:
    async def run() -> None:
        names = free_names(2)
        async with running(names, 1) as (process,):
            with pytest.raises(ValueError, match="channel 1"):
                process.transport.open_channel(1, lambda source, item, now_ms: None)

    asyncio.run(run())
