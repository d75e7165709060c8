"""Datagrams between the processes of a scene, by a relay that can be cut.

Each process has one public address, at the relay, under which all others know it: what comes there is sent on to its
own socket, from the public address of whoever has sent it. So a process sees the same names as without a relay.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from standins.transcript import Actor, Inbox, Transcript

Address = tuple[str, int]


class _Port(asyncio.DatagramProtocol):
    """The public address of one process."""

    def __init__(self, relay: Ways, name: str) -> None:
        self._relay, self._name = relay, name

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._relay.came(addr, self._name, data)


class Ways:
    """All public addresses. What comes from a process that has none goes nowhere."""

    def __init__(self) -> None:
        self._names: dict[Address, str] = {}  # by the address that a process sends from
        self._own: dict[str, Address] = {}
        self._ports: dict[str, _Port] = {}

    async def join(self, name: str, own: Address) -> Address:
        """The public address of a process that listens, and sends, at `own`."""
        port = _Port(self, name)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: port, local_addr=("127.0.0.1", 0))
        self._names[own], self._own[name], self._ports[name] = name, own, port
        public: Address = port.transport.get_extra_info("sockname")
        return public

    def came(self, addr: Address, to: str, data: bytes) -> None:
        source = self._names.get(addr)
        if source is not None:
            self.passes(source, to, data)

    def passes(self, source: str, to: str, data: bytes) -> None:
        """A datagram on its way; whoever overrides this may keep it, or send it later."""
        self.send(source, to, data)

    def send(self, source: str, to: str, data: bytes) -> None:
        transport = self._ports[source].transport
        if not transport.is_closing():
            transport.sendto(data, self._own[to])

    def stop(self) -> None:
        for port in self._ports.values():
            port.transport.close()


class Relay(Ways, Actor):
    """`tell` says in words what a datagram holds, None for those that come by the clock and are not told. A datagram
    that is told is taken by a step, in the order of its way (from whom, to whom); all are sent on at once, but those
    over a way that is cut.
    """

    def __init__(self, script: Transcript, tell: Callable[[bytes], str | None]) -> None:
        Ways.__init__(self)
        Actor.__init__(self, script, "relay")
        self._tell = tell
        self._ways: dict[tuple[str, str], Inbox[str]] = {}
        self._cut: set[tuple[str, str]] = set()  # from whom, to whom

    async def join(self, name: str, own: Address) -> Address:
        """The public address of a process, which the transcript calls by its name."""
        public = await super().join(name, own)
        self.script.name(f"{public[0]}:{public[1]}", f"<{name}>")
        return public

    def cut(self, one: str, other: str) -> None:
        self.script.line("relay", "all", f"nothing passes between {one} and {other}")
        self._cut |= {(one, other), (other, one)}

    def cut_one_way(self, source: str, to: str) -> None:
        self.script.line("relay", "all", f"nothing passes from {source} to {to}")
        self._cut.add((source, to))

    def cut_off(self, one: str) -> None:
        """From all others."""
        self.script.line("relay", "all", f"nothing passes to or from {one}")
        self._cut |= {way for other in self._ports if other != one for way in ((one, other), (other, one))}

    def heal(self) -> None:
        self.script.line("relay", "all", "everything passes")
        self._cut.clear()

    def passes(self, source: str, to: str, data: bytes) -> None:
        if (source, to) in self._cut:
            return
        words = self._tell(data)
        if words is not None:
            self._way(source, to).came(words)
        self.send(source, to, data)

    def _way(self, source: str, to: str) -> Inbox[str]:
        return self._ways.setdefault((source, to), Inbox(f"{to} from {source}"))

    async def takes(self, source: str, to: str) -> None:
        """The next datagram on this way that is told."""
        self.script.line(source, to, await self._way(source, to).take())

    def left(self) -> list[tuple[str, str, str]]:
        return [(*way, words) for way, inbox in sorted(self._ways.items()) for words in inbox.items]
