"""The world in place of the system, in those modules of the program that go to the system by hand.

`installed()` puts it there, and takes it away again at its end. Whatever the program asks is answered for the process
whose loop runs just then: its machine's clock and disk, its descriptors, its random numbers, its standard error.
"""

from __future__ import annotations

import errno
import gc
import os
import select
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager
from importlib import import_module
from random import Random
from types import SimpleNamespace
from typing import Any

from standins.world.balancers import Successor
from standins.world.disk import Drive, Folder
from standins.world.kernel import End, Listening
from standins.world.sockets import Sock, SocketModule, running

START_S = 1_790_000_000.0  # of the Unix clock, at the world's beginning
DISK_S = 0.002  # a flush, on the mean


def monotonic() -> float:
    loop = running()
    return loop.clock.now_s + loop.machine.up_s


def unix() -> float:
    loop = running()
    return START_S + loop.clock.now_s + loop.machine.wrong_s


def drawn() -> Random:
    """A generator of this process."""
    return Random(running().clock.rng.getrandbits(64))


def randbits(bits: int) -> int:
    return running().clock.rng.getrandbits(bits)


class Close:
    """`larkweir.core.net.Watch` on the other side's close."""

    def __init__(self, sock: Sock) -> None:
        self._sock = sock

    def poll(self, timeout_ms: float, /) -> list[tuple[int, int]]:
        end = self._sock.end
        if end is None or not (end.ended or end.error is not None):
            return []
        return [(self._sock.fileno(), select.POLLRDHUP)]


class Unread:
    """`larkweir.core.net.Watch` on an end."""

    def __init__(self, sock: Sock) -> None:
        self._sock = sock

    def poll(self, timeout_ms: float, /) -> list[tuple[int, int]]:
        end = self._sock.end
        if end is None or not end.readable:
            return []
        over = end.ended or end.error is not None
        return [(self._sock.fileno(), select.POLLIN | (select.POLLRDHUP if over else 0))]


def watch(descriptor: int) -> Unread:
    return Unread(running().numbered[descriptor])


def watch_close(descriptor: int) -> Close:
    return Close(running().numbered[descriptor])


def is_readable(descriptor: int) -> bool:
    what = running().numbered[descriptor].what
    return isinstance(what, End | Listening) and what.readable


def shutdown_sending(descriptor: int) -> None:
    end = running().numbered[descriptor].end
    if end is not None:
        end.shut_writing()


def unacknowledged_bytes(descriptor: int) -> int:
    end = running().numbered[descriptor].end
    if end is None:
        raise OSError(errno.ENOTSOCK, os.strerror(errno.ENOTSOCK))
    return end.unacknowledged


class Pool:
    """`ThreadPoolExecutor` of one thread: things in order, each after what a disk takes. It stands with its process."""

    def __init__(self, workers: int = 1, name: str = "") -> None:
        self._loop = running()
        self._free_s = 0.0

    def submit(self, call: Callable[..., Any], *args: Any) -> Future[Any]:
        future: Future[Any] = Future()

        def work() -> None:
            try:
                found = call(*args)
            except Exception as problem:
                future.set_exception(problem)
            else:
                future.set_result(found)

        loop = self._loop
        self._free_s = max(self._free_s, loop.time()) + DISK_S * (0.2 + loop.clock.rng.expovariate(1.0))
        loop.call_at(self._free_s, work)
        return future

    def shutdown(self, wait: bool = True) -> None:
        pass


class Thread:
    """`threading.Thread`: its work in one piece, in a while."""

    def __init__(self, target: Callable[[], None], name: str = "", daemon: bool = False) -> None:
        self._target, self._alive = target, False

    def start(self) -> None:
        self._alive = True
        running().call_later(0.1, self._run)

    def _run(self) -> None:
        self._alive = False
        self._target()

    def is_alive(self) -> bool:
        return self._alive


class Log:
    """A poll that says yes, for the log on standard error."""

    def register(self, descriptor: int, what: int) -> None: ...

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        return [(2, select.POLLOUT)]


def _no_pipe(descriptor: int) -> os.stat_result:
    raise OSError(errno.EBADF, os.strerror(errno.EBADF))


def _write(descriptor: int, data: bytes) -> int:
    running().on_line(data.decode("utf-8", "replace").rstrip("\n"))
    return len(data)


def _folder(path: str) -> Folder:
    loop = running()
    drive = loop.machine.drive
    assert isinstance(drive, Drive)
    return Folder(drive, loop)


def _platform_file(env: object) -> str:
    """The text of the running process's platform file."""
    return str(running().memory["balancer"].read_again())


def _operator_file(path: object) -> Any:
    return running().memory["balancer"].options()


def _no_meeting_place(env: object, name: str, listen: object) -> None:
    """Unix sockets are not simulated: a process that somebody else has started finds no predecessor."""


CLOCK = SimpleNamespace(monotonic=monotonic, time=unix, sleep=lambda s: None, monotonic_ns=time.monotonic_ns)
PLACES: tuple[tuple[str, str, Any], ...] = (
    ("larkweir.core.clock", "time", CLOCK),
    ("larkweir.core.stderr_log", "time", CLOCK),
    ("larkweir.core.stderr_log", "os", SimpleNamespace(fstat=_no_pipe, write=_write, close=os.close)),
    ("larkweir.core.stderr_log", "select", SimpleNamespace(poll=Log, POLLOUT=select.POLLOUT)),
    ("larkweir.core.net", "watch", watch),
    ("larkweir.core.net", "watch_close", watch_close),
    ("larkweir.core.net", "is_readable", is_readable),
    ("larkweir.core.net", "shutdown_sending", shutdown_sending),
    ("larkweir.core.net", "unacknowledged_bytes", unacknowledged_bytes),
    ("larkweir.protocols.listener", "socket", SocketModule()),
    ("larkweir.protocols.unix_sockets", "socket", SocketModule()),
    ("larkweir.control.server", "socket", SocketModule()),
    ("larkweir.lifecycle.listening_sockets", "socket", SocketModule()),
    ("larkweir.lifecycle.config_reloader", "threading", SimpleNamespace(Thread=Thread)),
    (
        "larkweir.lifecycle.daemon",
        "gc",
        SimpleNamespace(collect=int, freeze=int, set_threshold=lambda *a: None),
    ),
    ("larkweir.lifecycle.config_loader", "time", CLOCK),
    ("larkweir.lifecycle.config_loader", "read_file", _platform_file),
    ("larkweir.lifecycle.config_loader", "load_options", _operator_file),
    ("larkweir.lifecycle.handover", "Successor", Successor),
    ("larkweir.lifecycle.upgrade", "socket_path", _no_meeting_place),
    ("larkweir_peers.transport", "socket", SocketModule()),
    ("larkweir.coordination.part", "Random", drawn),
    ("larkweir.coordination.owners", "Random", drawn),
    ("larkweir.coordination.owners", "randbits", randbits),
    ("larkweir.coordination.disk_thread", "ThreadPoolExecutor", Pool),
    ("larkweir.coordination.owners", "LockedFolder", _folder),
)


@contextmanager
def installed(extra: tuple[tuple[str, str, Any], ...] = ()) -> Iterator[None]:
    """`extra`: places of a planted fault."""
    saved = []
    collecting = gc.isenabled()
    try:
        for module, name, value in (*PLACES, *extra):
            holder = import_module(module)
            for step in name.split(".")[:-1]:
                holder = getattr(holder, step)
            last = name.split(".")[-1]
            saved.append((holder, last, holder.__dict__[last]))
            setattr(holder, last, value)
        gc.disable()  # where a collection falls is not the seed's; each day collects at its end
        yield
    finally:
        for holder, name, value in reversed(saved):
            setattr(holder, name, value)
        if collecting:
            gc.enable()
