"""Connections to a server by a door of its own, which can hold what passes, make it late, or reset it.

Bytes are never lost or put out of order: that is what TCP promises (RFC 9293 section 3.4). A cut holds them, both ways,
until it is over, as one does whose packets are sent again and again.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress

from standins.plans import CUTS, Fault, Kind

LINGER = struct.pack("ii", 1, 0)  # at its end a connection is reset (socket(7))
PIECE = 65_536  # bytes that are read at once


class _Door:
    """One server's; `late_ms` for each piece that passes."""

    def __init__(self, own: tuple[str, int]) -> None:
        self.own = own
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.faults: list[Fault] = []
        self.passes = asyncio.Event()
        self.passes.set()

    def changed(self) -> None:
        if any(fault.kind in CUTS for fault in self.faults):
            self.passes.clear()
        else:
            self.passes.set()

    @property
    def late_ms(self) -> float:
        return sum(fault.ms for fault in self.faults if fault.kind is Kind.DELAY)

    @property
    def resets(self) -> bool:
        return any(fault.kind is Kind.RESET for fault in self.faults)

    def reset(self) -> None:
        for writer in self.writers:
            end: socket.socket = writer.get_extra_info("socket")
            if not writer.transport.is_closing() and end.fileno() >= 0:  # else it has ended by itself
                with suppress(OSError):
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            writer.transport.abort()

    async def came(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        held = {writer}
        self.writers.add(writer)
        try:
            if self.resets:
                self.reset()
                return
            await self.passes.wait()
            far_reader, far = await asyncio.open_connection(*self.own)
            held.add(far)
            self.writers.add(far)
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pass(reader, far))
                both.create_task(self._pass(far_reader, writer))
        except* (OSError, EOFError):
            pass  # either end has reset: the other is closed below
        finally:
            self.tasks.discard(task)
            self.writers -= held
            for each in held:
                each.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Until the one end is closed, which is then told to the other."""
        while data := await reader.read(PIECE):
            if self.late_ms:
                await asyncio.sleep(self.late_ms / 1000.0)
            await self.passes.wait()
            if writer.transport.is_closing():
                return
            writer.write(data)
            await writer.drain()
        await self.passes.wait()
        if not writer.transport.is_closing():
            with suppress(OSError):
                writer.write_eof()


class Streams:
    """A door for each server that joins; a fault is about those that its `who` names."""

    KINDS = (Kind.CUT, Kind.DELAY, Kind.RESET)

    def __init__(self) -> None:
        self._doors: dict[str, _Door] = {}

    async def join(self, name: str, own: tuple[str, int]) -> tuple[str, int]:
        """The address at which others are to reach the server that listens at `own`."""
        door = self._doors[name] = _Door(own)
        door.server = await asyncio.start_server(door.came, "127.0.0.1", 0)
        address: tuple[str, int] = door.server.sockets[0].getsockname()
        return address

    def begin(self, fault: Fault) -> None:
        for name in fault.who:
            door = self._doors[name]
            door.faults.append(fault)
            door.changed()
            if fault.kind is Kind.RESET:
                door.reset()

    def end(self, fault: Fault) -> None:
        for name in fault.who:
            self._doors[name].faults.remove(fault)
            self._doors[name].changed()

    async def stop(self) -> None:
        """No door and no connection is left."""
        for door in self._doors.values():
            if door.server is not None:
                door.server.close()
            door.passes.set()
            while door.tasks:
                door.reset()
                await asyncio.wait(door.tasks, timeout=0.05)  # one may open its far end just now
