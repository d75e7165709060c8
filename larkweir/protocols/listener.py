"""The listening sockets: accepting connections, whatever they speak, and which are evicted where there are too many."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from itertools import islice
from typing import cast

from larkweir.core import net
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.ports import Address
from larkweir.core.request_handler import RequestHandler
from larkweir.protocols.connection import Connection
from larkweir.protocols.unix_sockets import UnixSocketFiles

# The system has no descriptor or memory left for another connection (accept(2)).
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Listener:
    """The listening sockets and the connections that were accepted on them."""

    ACCEPT_PAUSE_S = 0.05  # where there is no place for another connection
    RATE_PAUSE_S = 0.005  # where none may be accepted just now
    MAX_ACCEPTS = 16  # in a row: guards those just accepted, whose requests are to be read, against a flood
    MAX_CANDIDATES = 32  # connections looked at to evict one
    SWEEP_MS = 250.0  # from check to check of all connections
    BACKLOG = 1024  # of listen(2)

    def __init__(
        self,
        dispatcher: Dispatcher,
        request_handler: RequestHandler,
        make: Callable[[Listener], Connection],
        budget: int,
    ) -> None:
        """`make` makes the protocol of a connection that was just accepted; at most `budget` are open at a time."""
        self.dispatcher = dispatcher
        self.request_handler = request_handler
        self.budget = budget
        self.closing = False  # whether every answer is the last of its connection
        self._make = make  # where a socket has none of its own
        self._makes: dict[socket.socket, Callable[[Listener], Connection]] = {}
        self._unix_files = UnixSocketFiles()
        self._loop = asyncio.get_running_loop()
        self._sockets: list[socket.socket] = []
        self._connections: dict[Connection, None] = {}  # in the order of their accepts
        self._fresh: dict[Connection, None] = {}  # of these, without a complete request so far
        self._idle: dict[Connection, None] = {}  # between requests, the one idle for longest first
        self._leaving: dict[Connection, None] = {}  # they have had their last answer
        self._sweeping = False
        self.can_accept: Callable[[], bool] | None = None  # whether another connection may be accepted now
        self._paused = False
        self._handed_over = False  # another process accepts on the same sockets
        self._arriving: set[asyncio.Task[None]] = set()

    @property
    def ready(self) -> bool:
        """Whether requests are accepted and can be served."""
        return bool(self._sockets) and not self.closing and self.dispatcher.ready

    @property
    def count(self) -> int:
        """Connections that are open."""
        return len(self._connections)

    @property
    def unfinished(self) -> int:
        """Connections that hold a request, complete or in part, or an answer not yet read; and those that still take
        one, which may lie unread in the system.
        """
        return len(self._arriving) + sum(c.busy or not c.ending for c in self._connections)

    @staticmethod
    def bind(address: Address, shared: bool = False) -> socket.socket:
        """A new listening socket; OSError where the system gives none. `shared`: other processes of this balancer
        may listen at the address beside it (SO_REUSEPORT, socket(7)).
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
            sock.listen(Listener.BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    def bind_unix(self, path: str) -> socket.socket:
        """A new listening Unix socket; see `UnixSocketFiles.bind`."""
        return self._unix_files.bind(path, self.BACKLOG)

    def start(self, *sockets: socket.socket, make: Callable[[Listener], Connection] | None = None) -> None:
        """Accept on sockets that listen already. `make`: of their connections' protocol, where that is another."""
        for sock in sockets:
            sock.setblocking(False)
            if make is not None:
                self._makes[sock] = make
            self._sockets.append(sock)
            self._loop.add_reader(sock, self._accept, sock)
        if not self._sweeping:
            self._sweeping = True
            self.dispatcher.clock.after(self.SWEEP_MS, self._sweep)

    @property
    def sockets(self) -> tuple[socket.socket, ...]:
        """The listening sockets."""
        return tuple(self._sockets)

    @property
    def port(self) -> int:
        """The TCP port of the first listening socket."""
        return int(self._sockets[0].getsockname()[1])

    def _accept(self, listening: socket.socket, last: bool = False) -> bool:
        """Accept what is pending, a few at a time; whether there may be more. `last`: at any rate, since what is not
        accepted now is reset. The loop's own server is not used: it is lost for good on a failed accept.
        """
        for _ in range(self.MAX_ACCEPTS):
            if listening not in self._sockets:
                return False
            if len(self._connections) >= self.budget:
                if not net.is_readable(listening.fileno()):
                    return False
                if not self._evict():
                    self._pause()
                    return False
            if self.can_accept is not None and not last and not self.can_accept():
                self._pause(self.RATE_PAUSE_S)
                return False
            try:
                sock, _ = listening.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except OSError as problem:
                if problem.errno in OUT_OF_RESOURCES:
                    if not self._evict():
                        self._pause()
                    return False
                continue  # the caller has left again
            self._open(sock, self._makes.get(listening, self._make)(self))
        return True

    def _open(self, sock: socket.socket, connection: Connection) -> None:
        """Begin to serve a socket that was just accepted."""
        sock.setblocking(False)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[connection] = None
        self._fresh[connection] = None
        task = self._loop.create_task(self._connect(sock, connection))
        self._arriving.add(task)
        task.add_done_callback(self._arriving.discard)

    def _pause(self, pause_s: float = ACCEPT_PAUSE_S) -> None:
        """Every place is in use by a request: new connections wait in the system until one is free. Guards the
        upstreams' share of the descriptors, and against spinning on a failing accept.
        """
        if not self._paused:
            self._paused = True
            self._watch(False)
            self._loop.call_later(pause_s, self._resume)

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            if not self._handed_over:
                self._watch(True)

    def _watch(self, accepting: bool) -> None:
        for sock in self._sockets:
            if accepting:
                self._loop.add_reader(sock, self._accept, sock)
            else:
                self._loop.remove_reader(sock)

    def hand_over(self, handed_over: bool) -> None:
        """Leave new connections to another process that listens on the same sockets, or accept them again."""
        if handed_over is not self._handed_over:
            self._handed_over = handed_over
            if not self._paused:
                self._watch(not handed_over)

    async def _connect(self, sock: socket.socket, connection: Connection) -> None:
        try:
            protocol = cast(asyncio.Protocol, connection)
            await self._loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            self.remove(connection)
            sock.close()

    def update(self, connection: Connection) -> None:
        """Note what state a connection has now: one that may be evicted, or one in use."""
        if connection.ending:
            self._idle.pop(connection, None)
            self._fresh.pop(connection, None)
            if connection in self._connections:
                self._leaving[connection] = None
        elif not connection.fresh:
            self._fresh.pop(connection, None)
            self._idle.pop(connection, None)
            if connection.awaits_request and connection in self._connections:
                self._idle[connection] = None

    def remove(self, connection: Connection) -> None:
        """A connection is closed."""
        for table in (self._connections, self._fresh, self._leaving, self._idle):
            table.pop(connection, None)
        if self._paused:
            self._resume()

    def _evict(self) -> bool:
        """Close a connection that has never sent a complete request, the oldest first, else one that has had its last
        answer, else the one idle for longest; whether there was one. Guards good callers against those that connect
        and send nothing. One with bytes unread, or with an answer that its caller's system does not have yet, is left
        alone: closing it would truncate a request or an answer.
        """
        for table in (self._fresh, self._leaving, self._idle):
            for connection in list(islice(table, self.MAX_CANDIDATES)):
                if (connection.ending or connection.is_idle()) and not connection.unsent:
                    connection.abort()
                    self.remove(connection)  # now, not when the loop reports it: the place is taken at once
                    return True
        return False

    def _sweep(self) -> None:
        now = self.dispatcher.clock.now_ms()
        for connection in list(self._connections):
            connection.check(now)
        self.dispatcher.clock.after(self.SWEEP_MS, self._sweep)

    def stop_accepting(self) -> None:
        """Close the listening sockets. What is pending is accepted first, unless it is left to another process that
        listens on the same.
        """
        for sock in self._sockets:
            if not self._handed_over:
                while self._accept(sock, last=True):
                    pass
            self._loop.remove_reader(sock)
            if not self._handed_over:
                self._unix_files.remove(sock)
            sock.close()
        self._sockets.clear()

    def end_idle(self) -> None:
        """Drain all connections, and end those between requests."""
        for connection in list(self._connections):
            connection.set_draining()
            if connection.is_idle() and not connection.has_partial_request:
                connection.begin_lingering_close()

    def log_truncations(self, why: str) -> None:
        """Whatever is still open ends now: log which answers are truncated by it."""
        for connection in self._connections:
            connection.log_truncation(why)

    def end_draining(self) -> None:
        """The drain was called off: the connections that are left take requests again."""
        for connection in list(self._connections):
            connection.set_draining(False)

    def adopt_unix_file(self, sock: socket.socket) -> None:
        """The file of a Unix socket that was inherited is this process's to remove."""
        self._unix_files.adopt(sock)
