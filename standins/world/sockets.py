"""Sockets as a program's own calls see them, on the world's kernels: made where `socket.socket` would be."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from typing import TYPE_CHECKING, Any, cast

from larkweir.core.net import RESET_AT_CLOSE
from standins.world.kernel import Address, Datagrams, End, Listening

if TYPE_CHECKING:
    from standins.world.loop import ProcessLoop


def running() -> ProcessLoop:
    """The loop of the process that runs now."""
    return cast("ProcessLoop", asyncio.get_running_loop())


class Sock:
    """What the program does with a socket by hand, and no more: what is missing raises."""

    def __init__(
        self,
        family: int = socket.AF_INET,
        type: int = socket.SOCK_STREAM,
        end: End | None = None,
        listening: Listening | None = None,
    ) -> None:
        if family != socket.AF_INET:
            raise OSError(errno.EAFNOSUPPORT, os.strerror(errno.EAFNOSUPPORT))
        self.family, self.type = socket.AF_INET, type
        self.loop = running()
        self.end = end
        self.listening = listening
        self.datagrams: Datagrams | None = None
        self._address: Address = ("0.0.0.0", 0)
        self._shared = False
        self._closed = False
        self._number = self.loop.number(self)

    @property
    def what(self) -> End | Listening | Datagrams | None:
        return self.end or self.listening or self.datagrams

    def fileno(self) -> int:
        return -1 if self._closed else self._number

    def setblocking(self, flag: bool) -> None:
        assert not flag

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        if (level, option) == (socket.SOL_SOCKET, socket.SO_REUSEPORT):
            self._shared = bool(value)
        if (level, option, value) == (socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE):
            assert self.end is not None
            self.end.resets_at_close = True

    def bind(self, address: Address) -> None:
        machine = self.loop.machine
        self._address = (machine.ip, address[1] or machine.free_port())
        if self.type & socket.SOCK_DGRAM:
            self.datagrams = Datagrams(machine, self.loop, self._address)
            self.loop.opens(self.datagrams)

    def listen(self, backlog: int = 128) -> None:
        self.listening = Listening(self.loop.machine, self.loop, self._address, backlog, self._shared)
        self.loop.opens(self.listening)

    def accept(self) -> tuple[Sock, Address]:
        assert self.listening is not None
        end = self.listening.accept(self.loop)
        return Sock(end=end), end.remote

    def getsockname(self) -> Address:
        if self.end is not None:
            return self.end.local
        return self.listening.address if self.listening is not None else self._address

    def getpeername(self) -> Address:
        assert self.end is not None
        return self.end.remote

    def recvfrom(self, most: int) -> tuple[bytes, Address]:
        assert self.datagrams is not None
        data, source = self.datagrams.receive()
        return data[:most], source

    def sendto(self, data: bytes, address: Address) -> int:
        assert self.datagrams is not None
        return self.datagrams.send(bytes(data), address)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self.loop.numbered.pop(self._number, None)
            if isinstance(self.what, Listening):
                self.what.close(self.loop)
            elif self.what is not None:
                self.what.close()


class SocketModule:
    """Stands where a module of the program has `socket`."""

    socket = Sock

    def __getattr__(self, name: str) -> Any:
        return getattr(socket, name)
