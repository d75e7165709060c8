"""The event loop of one process of the world: asyncio's interfaces, on simulated time and simulated kernels.

A turn is what it is in a real loop: what was called soon, what the poll has brought, the timers that are due; either
of the last two may come first. Each call takes a little time, which other processes see.
"""

from __future__ import annotations

import asyncio
import errno
import os
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from heapq import heappop, heappush
from typing import Any

from standins.world.kernel import Datagrams, End, Listening, Machine, Net
from standins.world.sockets import Sock
from standins.world.transport import StreamTransport

CALL_S = 0.000_004  # that a call takes


class SteadyTask(asyncio.Task[Any]):
    """Its place in a set is the same in each run of a seed."""

    serial = 0

    def __hash__(self) -> int:
        return self.serial

    def __eq__(self, other: object) -> bool:
        return self is other


class Server(asyncio.AbstractServer):
    """Of `create_server`."""

    def __init__(self, loop: ProcessLoop, sock: Sock, make: Callable[[], asyncio.BaseProtocol]) -> None:
        self.sockets = [sock]
        self._loop, self._make = loop, make
        loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        sock = self.sockets[0]
        while True:
            try:
                taken, _ = sock.accept()
            except OSError:
                return
            self._loop.seat(taken, self._make())

    def close(self) -> None:
        for sock in self.sockets:
            self._loop.remove_reader(sock)
            sock.close()
        self.sockets = []

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self._loop

    def is_serving(self) -> bool:
        return bool(self.sockets)


class ProcessLoop(asyncio.AbstractEventLoop):
    """One process: its loop, its descriptors, its signals. `slow`: how many times slower than others it runs."""

    def __init__(
        self,
        net: Net,
        machine: Machine,
        name: str,
        descriptors: int = 100_000,
        slow: float = 1.0,
        life: int = 0,
    ) -> None:
        self.net, self.machine, self.name, self.life = net, machine, name, life
        self.clock = net.clock
        self.descriptors: dict[object, None] = {}
        self.most = descriptors
        self.transports: dict[End, StreamTransport] = {}
        self.numbered: dict[int, Sock] = {}
        self.dead = self.stopped = False
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.memory: dict[str, Any] = {}  # of the stand-in that runs in it
        self.on_line: Callable[[str], None] = lambda line: None  # of its standard error
        self._slow = slow
        self._serial = 0
        self._numbers = 2
        self._ready: deque[asyncio.Handle] = deque()
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._readers: dict[object, asyncio.Handle] = {}
        self._dirty: dict[object, None] = {}
        self._signals: dict[int, asyncio.Handle] = {}
        self._pending: deque[int] = deque()
        self._handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], object] | None = None
        self._wake_s = float("inf")
        self._running = False
        self._busy_until_s = 0.0

    # ------------------------------------------------ the process

    def begin(self, main: Coroutine[Any, Any, Any]) -> None:
        self.call_soon(self.create_task, main)

    def opens(self, what: object) -> None:
        if len(self.descriptors) >= self.most:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        self.descriptors[what] = None

    def closes(self, what: object) -> None:
        self.descriptors.pop(what, None)

    def number(self, sock: Sock) -> int:
        found = self._numbers = self._numbers + 1
        self.numbered[found] = sock
        return found

    def news(self, what: object) -> None:
        if not self.dead:
            self._dirty[what] = None
            self._wake(self.clock.now_s)

    def takes(self, most: int) -> int:
        """How much of what is there one read takes: now and then only a little."""
        rng = self.clock.rng
        return most if rng.random() < 0.9 else rng.randint(1, 64)

    def signal(self, number: int) -> None:
        """One that has a handler; without, it is as SIGKILL."""
        self._pending.append(number)
        self._wake(self.clock.now_s)

    def stop_here(self) -> None:
        """SIGSTOP."""
        self.stopped = True

    def go_on(self) -> None:
        self.stopped = False
        self._wake(self.clock.now_s)

    def kill(self, silently: bool = False) -> None:
        """SIGKILL, or, where `silently`, the machine is gone with it. No code of it runs any more."""
        if self.dead:
            return
        self.dead = True
        for what in list(self.descriptors):
            if isinstance(what, End) and silently:
                what.vanish()
            elif isinstance(what, Listening):
                what.close(self)
            elif isinstance(what, End | Datagrams):
                what.close()
        self.descriptors.clear()
        self._ready.clear()
        self._timers.clear()
        self._dirty.clear()
        self._readers.clear()
        self.transports.clear()
        for task in self.tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]

    # ------------------------------------------------ turns

    def _wake(self, when_s: float) -> None:
        if self.dead or self.stopped or self._running:
            return
        when_s = max(when_s, self._busy_until_s)
        if when_s < self._wake_s:
            self._wake_s = when_s
            self.clock.at(when_s, self._turn, when_s)

    def _turn(self, due_s: float) -> None:
        if due_s != self._wake_s or self.dead or self.stopped:
            if due_s == self._wake_s:
                self._wake_s = float("inf")
            return
        self._wake_s = float("inf")
        self._running = True
        clock = self.clock
        cost_s = CALL_S * self._slow
        events._set_running_loop(self)
        try:
            handles = list(self._ready)
            self._ready.clear()
            polled, due = self._poll(), self._due()
            handles += polled + due if clock.rng.random() < 0.5 else due + polled
            for handle in handles:
                if not handle.cancelled() and not self.dead:
                    handle._run()
                    clock.ahead_s += cost_s
        finally:
            events._set_running_loop(None)
            self._running = False
        self._busy_until_s = clock.now_s
        if self.dead:
            return
        if self._ready or self._pending or any(self._is_ready(what) for what in list(self._dirty)):
            self._wake(clock.now_s)
        elif self._timers:
            self._wake(self._timers[0][0])

    def _is_ready(self, what: object) -> bool:
        if isinstance(what, End):
            transport = self.transports.get(what)
            if transport is not None:
                if transport.wants:
                    return True
            elif what.connecting or what not in self.descriptors:
                pass
            elif what.readable:
                return False  # it is looked at once it has its transport
            self._dirty.pop(what, None)
            return False
        if isinstance(what, Listening | Datagrams) and what.readable and what in self._readers:
            return True
        self._dirty.pop(what, None)
        return False

    def _poll(self) -> list[asyncio.Handle]:
        found: list[asyncio.Handle] = []
        while self._pending:
            handle = self._signals.get(self._pending.popleft())
            if handle is not None:
                found.append(handle)
        there = [what for what in list(self._dirty) if self._is_ready(what)]
        if len(there) > 1:
            self.clock.rng.shuffle(there)
        for what in there:
            transport = self.transports.get(what) if isinstance(what, End) else None
            if transport is not None:
                found.append(asyncio.Handle(transport.ready, (), self))
            elif what in self._readers:
                found.append(self._readers[what])
        return found

    def _due(self) -> list[asyncio.Handle]:
        found: list[asyncio.Handle] = []
        now_s = self.clock.now_s
        while self._timers and self._timers[0][0] <= now_s + 1e-9:
            found.append(heappop(self._timers)[2])
        return found

    # ------------------------------------------------ asyncio's interfaces

    def time(self) -> float:
        return self.clock.now_s

    def get_debug(self) -> bool:
        return False

    def set_debug(self, enabled: bool) -> None:
        pass

    def is_running(self) -> bool:
        return self._running

    def is_closed(self) -> bool:
        return self.dead

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self._ready.append(handle)
            self._wake(self.clock.now_s)
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        if self.dead:
            raise RuntimeError("Event loop is closed")
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        if not self.dead:
            self._serial += 1
            heappush(self._timers, (when, self._serial, handle))
            self._wake(when)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        pass  # it is passed over when it is due

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: str | None = None, context: Context | None = None
    ) -> asyncio.Task[Any]:
        self._serial += 1
        SteadyTask.serial = self._serial  # while it is made it is put into a set already
        task = SteadyTask(coro, loop=self, name=name or f"{self.name}-{self._serial}", context=context)
        task.serial = self._serial
        self.tasks[task] = None
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def set_exception_handler(self, handler: Any) -> None:
        self._handler = handler

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.on_line(f"unhandled: {context.get('message')} {context.get('exception')!r}")

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if self._handler is not None:
            self._handler(self, context)
        else:
            self.default_exception_handler(context)

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        self._signals[int(sig)] = asyncio.Handle(callback, args, self)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(int(sig), None) is not None

    def add_reader(self, fd: Any, callback: Callable[..., Any], *args: Any) -> None:
        assert isinstance(fd, Sock)
        self._readers[fd.what] = asyncio.Handle(callback, args, self)
        self.news(fd.what)

    def remove_reader(self, fd: Any) -> bool:
        return self._readers.pop(fd.what, None) is not None

    def seat(self, sock: Sock, protocol: asyncio.BaseProtocol) -> StreamTransport:
        assert sock.end is not None
        transport = StreamTransport(self, sock.end, protocol, sock)
        protocol.connection_made(transport)
        self.news(sock.end)
        return transport

    async def connect_accepted_socket(self, protocol_factory: Any, sock: Any, **more: Any) -> Any:
        await asyncio.sleep(0)
        protocol = protocol_factory()
        return self.seat(sock, protocol), protocol

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any
    ) -> Any:
        came = self.create_future()

        def up() -> None:
            self.call_soon(lambda: None if came.done() else came.set_result(None))

        end = self.net.connect(self.machine, self, (host, port), up)
        try:
            await came
        except BaseException:
            end.close()
            raise
        if end.error is not None:
            end.close()
            raise end.error
        protocol = protocol_factory()
        return self.seat(Sock(end=end), protocol), protocol

    async def create_unix_connection(
        self, protocol_factory: Any, path: Any = None, *, sock: Any = None, **more: Any
    ) -> Any:
        """On a socket that is up already, as one of a pair is."""
        assert isinstance(sock, Sock) and path is None
        protocol = protocol_factory()
        return self.seat(sock, protocol), protocol

    async def create_server(
        self, protocol_factory: Any, host: Any = None, port: Any = None, *, backlog: int = 100, **more: Any
    ) -> Any:
        sock = Sock()
        sock.bind((host, port))
        sock.listen(backlog)
        return Server(self, sock, protocol_factory)

    async def shutdown_asyncgens(self) -> None:
        pass
