"""The address where operators call."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import cast

from larkweir.control.rules import Line, Order, Seats, answer
from larkweir.core import net
from larkweir.core.clock import Clock

Handle = Callable[[Order], tuple[bool, str]]


class _Caller(asyncio.Protocol):
    def __init__(self, server: ControlServer) -> None:
        self._server = server
        self._line = Line()
        self._done = False
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        if self._done:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._done:
            return  # read and dropped, so that closing does not reset the answer away
        asked = self._line.feed(data)
        if isinstance(asked, Order):
            self.say(*self._server.handle(asked))
        elif asked is not None:
            self.say(False, asked)

    def eof_received(self) -> bool:
        if not self._done:
            self.say(False, "the connection ended before the line did")
        return True  # the answer goes out all the same

    def connection_lost(self, exc: Exception | None) -> None:
        self._done = True
        self._transport = None
        self._server.seats.left(self)

    def say(self, done: bool, text: str) -> None:
        self._done = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(answer(done, text))
            self._transport.write_eof()
            self._server.seats.answered(self, self._server.clock.now_ms())

    @property
    def pending(self) -> bool:
        """Whether a close would lose an order that lies unread, or an answer that its caller's system does not have."""
        transport = self._transport
        if transport is None:
            return True  # it is coming up
        if transport.is_closing():
            return False
        descriptor = transport.get_extra_info("socket").fileno()
        if not self._done:
            return net.is_readable(descriptor)
        return transport.get_write_buffer_size() > 0 or net.unacknowledged_bytes(descriptor) > 0

    def abort(self) -> None:
        self._done = True
        if self._transport is not None:
            self._transport.abort()


class ControlServer:
    """Listens, seats callers, and hands their orders on. An order is answered in the turn of the loop that reads it."""

    BACKLOG = 64
    BATCH = 16
    SWEEP_MS = 250.0
    PAUSE_S = 0.05
    PENDING_PAUSE_S = 0.005  # for the orders that have come to be read and answered

    def __init__(self, clock: Clock, handle: Handle, log: Callable[[str], None]) -> None:
        """`handle` carries an order out, as far as accepting it goes, and says whether it could and why not."""
        self.clock = clock
        self.seats = Seats()
        self._handle = handle
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, sock: socket.socket) -> None:
        """Accept on a socket that listens already."""
        sock.setblocking(False)
        self._socket = sock
        self._loop.add_reader(sock, self._accept)
        self._sweep()

    @classmethod
    def bind(cls, address: tuple[str, int]) -> socket.socket:
        """OSError where the address is not to be had."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
            sock.listen(cls.BACKLOG)
        except OSError:
            sock.close()
            raise
        return sock

    def handle(self, order: Order) -> tuple[bool, str]:
        try:
            return self._handle(order)
        except Exception as problem:  # an order that fails, however oddly, is answered
            self._log(f"control: {order.value}: {problem!r}")
            return False, f"{type(problem).__name__}"

    def _accept(self) -> None:
        for _ in range(self.BATCH):
            if self._socket is None:
                return
            next_to_leave = cast(_Caller | None, self.seats.next_to_leave())
            if next_to_leave is not None and next_to_leave.pending:
                # Guards orders that came at once: newcomers wait in the system until a seat can be given up.
                self._pause(self.PENDING_PAUSE_S)
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    self._pause(self.PAUSE_S)  # guards against spinning on an accept that fails
                    return
                continue
            sock.setblocking(False)
            caller = _Caller(self)
            gives_way = self.seats.enter(caller, self.clock.now_ms())
            if gives_way is not None:
                cast(_Caller, gives_way).abort()
            task = self._loop.create_task(self._take(sock, caller))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause(self, pause_s: float) -> None:
        assert self._socket is not None
        self._loop.remove_reader(self._socket)
        self._loop.call_later(pause_s, self._again)

    def _again(self) -> None:
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._accept)

    async def _take(self, sock: socket.socket, caller: _Caller) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: caller, sock)
        except OSError:
            self.seats.left(caller)
            sock.close()

    def _sweep(self) -> None:
        if self._socket is None:
            return
        late, unread = self.seats.overdue(self.clock.now_ms())
        for caller in late:
            cast(_Caller, caller).say(False, "no whole line came in time")
        for caller in unread:
            cast(_Caller, caller).abort()
            self.seats.left(caller)
        self.clock.after(self.SWEEP_MS, self._sweep)

    def close(self) -> None:
        sock, self._socket = self._socket, None
        if sock is not None:
            self._loop.remove_reader(sock)
            sock.close()
