"""Hands: the listening sockets, and which of their connections give way, whatever they speak."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
from collections.abc import Callable
from itertools import islice
from typing import Protocol, cast

from larkweir.core.engine import Engine
from larkweir.core.ports import Address
from larkweir.core.requests import Requests


def waits(descriptor: int) -> bool:
    """Whether bytes, an end, or a connection to accept, wait in the system."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Connection(Protocol):
    """A caller's connection as the listener sees it, whatever it speaks. Must be an `asyncio.Protocol`."""

    ending: bool  # nothing more is taken
    fresh: bool  # no request has come whole

    @property
    def idle(self) -> bool: ...

    @property
    def begun(self) -> bool: ...

    @property
    def busy(self) -> bool: ...

    def quiet(self) -> bool: ...

    def check(self, now_ms: float) -> None: ...

    def end(self) -> None: ...

    def abort(self) -> None: ...


class Listener:
    """The listening sockets and the connections that came by them."""

    ACCEPT_PAUSE_S = 0.05
    BATCH = 16  # accepts in a row: guards those just accepted, whose requests are to be read, against a flood
    LOOK = 32  # connections looked at to make room for one
    SWEEP_MS = 250.0
    BACKLOG = 1024

    def __init__(
        self, engine: Engine, requests: Requests, make: Callable[[Listener], Connection], budget: int
    ) -> None:
        """`make` makes a connection that has just been accepted; `budget` bounds them."""
        self.engine = engine
        self.requests = requests
        self.budget = budget
        self.closing = False  # every answer is the last of its connection
        self._make = make
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._connections: dict[Connection, None] = {}  # by their accept
        self._fresh: dict[Connection, None] = {}  # of these, without a whole request so far
        self._idle: dict[Connection, None] = {}  # between requests, the one idle for longest first
        self._leaving: dict[Connection, None] = {}  # their last answer is given
        self._paused = False
        self._holding = False  # another life accepts
        self._arriving: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        return bool(self._sockets) and not self.closing and self.engine.ready

    @property
    def taking(self) -> int:
        """Connections that hold a request, whole or in part, or an answer not yet read."""
        return len(self._arriving) + sum(c.busy for c in self._connections)

    @staticmethod
    def bind(address: Address) -> socket.socket:
        """A new listening socket; OSError where the system gives none."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(Listener.BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    def start(self, *sockets: socket.socket) -> None:
        """Accept on sockets that listen already."""
        for sock in sockets:
            sock.setblocking(False)
            self._sockets.append(sock)
            self._loop.add_reader(sock, self._accept, sock)
        self.engine.clock.after(self.SWEEP_MS, self._sweep)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        return tuple(self._sockets)

    @property
    def port(self) -> int:
        return int(self._sockets[0].getsockname()[1])

    def _accept(self, listening: socket.socket) -> bool:
        """Take what has come, a few at a time; whether there may be more. Done by hand: the loop's own server
        is lost for good on a failed accept.
        """
        for _ in range(self.BATCH):
            if listening not in self._sockets:
                return False
            if len(self._connections) >= self.budget:
                if not waits(listening.fileno()):
                    return False
                if not self._make_room():
                    self._pause()
                    return False
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    if not self._make_room():
                        self._pause()
                    return False
                continue  # the caller has left again
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = self._make(self)
            self._connections[connection] = None
            self._fresh[connection] = None
            task = self._loop.create_task(self._take(sock, connection))
            self._arriving.add(task)
            task.add_done_callback(self._arriving.discard)
        return True

    def _pause(self) -> None:
        """Every place is in use by a request: newcomers wait in the system until one is left. Guards the
        upstreams' part of the descriptors, and against spinning on a failing accept.
        """
        if not self._paused:
            self._paused = True
            self._watch(False)
            self._loop.call_later(self.ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            if not self._holding:
                self._watch(True)

    def _watch(self, accepting: bool) -> None:
        for sock in self._sockets:
            if accepting:
                self._loop.add_reader(sock, self._accept, sock)
            else:
                self._loop.remove_reader(sock)

    def hold(self, holding: bool) -> None:
        """Leave new connections to another process that listens on the same sockets, or take them again."""
        if holding is not self._holding:
            self._holding = holding
            if not self._paused:
                self._watch(not holding)

    async def _take(self, sock: socket.socket, connection: Connection) -> None:
        try:
            protocol = cast(asyncio.Protocol, connection)
            await self._loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            self.left(connection)
            sock.close()

    def place(self, connection: Connection) -> None:
        """Note what a connection is now: one that may be closed to make room, or one in use."""
        if connection.ending:
            self._idle.pop(connection, None)
            self._fresh.pop(connection, None)
            if connection in self._connections:
                self._leaving[connection] = None
        elif not connection.fresh:
            self._fresh.pop(connection, None)
            self._idle.pop(connection, None)
            if connection.idle and connection in self._connections:
                self._idle[connection] = None

    def left(self, connection: Connection) -> None:
        for table in (self._connections, self._fresh, self._leaving, self._idle):
            table.pop(connection, None)
        if self._paused:
            self._resume()

    def _make_room(self) -> bool:
        """Close a connection that has never sent a whole request, the oldest first, else one that has had its
        last answer, else the one idle for longest. Guards good callers against those that connect and say
        nothing. One with bytes unread is left alone: closing it would cut a request off.
        """
        for table in (self._fresh, self._leaving, self._idle):
            for connection in list(islice(table, self.LOOK)):
                if connection.ending or connection.quiet():
                    connection.abort()
                    self.left(connection)  # now, not when the loop tells: the place is taken at once
                    return True
        return False

    def _sweep(self) -> None:
        now = self.engine.clock.now_ms()
        for connection in list(self._connections):
            connection.check(now)
        self.engine.clock.after(self.SWEEP_MS, self._sweep)

    def stop_accepting(self) -> None:
        """Close the listening sockets. What the system has already accepted is taken, unless another process
        listens on the same and has been left to take it.
        """
        for sock in self._sockets:
            if not self._holding:
                while self._accept(sock):
                    pass
            self._loop.remove_reader(sock)
            sock.close()
        self._sockets.clear()

    def end_idle(self) -> None:
        for connection in list(self._connections):
            if connection.quiet() and not connection.begun:
                connection.end()
