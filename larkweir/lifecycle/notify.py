"""The notify protocol of service managers (sd_notify(3)): datagrams to the socket that NOTIFY_SOCKET names."""

from __future__ import annotations

import os
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping

from larkweir.core.clock import Clock

MAX_QUEUED = 16  # datagrams, while the manager's socket is full; the oldest give way
RETRY_INTERVAL_MS = 100.0


def socket_address(path: str) -> str | None:
    """The address to send to: a path, or an abstract name, written with `@`. None if it is neither."""
    if path.startswith("@") and len(path) > 1:
        return "\0" + path[1:]
    return path if path.startswith("/") else None


def watchdog_ms(env: Mapping[str, str], pid: int) -> float:
    """The milliseconds between two signs of life for the watchdog, half of WATCHDOG_USEC; 0 where it does not watch
    this process.
    """
    text = env.get("WATCHDOG_USEC", "")
    if env.get("WATCHDOG_PID", str(pid)) != str(pid) or not text.isdigit() or len(text) > 15:
        return 0.0
    return int(text) / 2000.0


class Notifier:
    """Sends the service manager datagrams. A socket that is full, missing or gone costs datagrams, never more: the
    queue is bounded, and an error is one line in the log for as long as it lasts.
    """

    def __init__(self, env: Mapping[str, str], clock: Clock, log: Callable[[str], None]) -> None:
        self._clock = clock
        self._log = log
        self._queue: deque[bytes] = deque(maxlen=MAX_QUEUED)
        self._faulty = False
        self._retry_set = False
        self._socket: socket.socket | None = None
        path = env.get("NOTIFY_SOCKET", "")
        self._address = socket_address(path) if path else None
        if path and self._address is None:
            log(f"notify: NOTIFY_SOCKET {path!r:.200} is neither a path nor an abstract name; nobody is told")
        if self._address is not None:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)

    def send(self, *lines: str) -> None:
        """Send lines in one datagram, as soon as the socket takes it."""
        if self._socket is None:
            return
        if any(line.startswith(("READY=", "STOPPING=", "RELOADING=")) for line in lines):
            # A newer state makes older states and signs of life of no use.
            self._queue.clear()
        self._queue.append("\n".join(lines).encode())
        self._flush()

    def send_state(self, lines: tuple[str, ...], successor: int = 0) -> None:
        """Send the lines of a state, with the placeholders filled in; `successor` is its process id."""
        self.send(*filled(lines, successor))

    def _flush(self) -> None:
        while self._queue and self._socket is not None and self._address is not None:
            try:
                self._socket.sendto(self._queue[0], self._address)
            except BlockingIOError:  # full: the manager is busy
                self._retry_later()
                return
            except OSError as problem:
                if not self._faulty:
                    self._faulty = True
                    self._log(f"notify: {self._address!r}: {problem}; told again when that is over")
                self._retry_later()
                return
            self._faulty = False
            self._queue.popleft()

    def _retry_later(self) -> None:
        if not self._retry_set:
            self._retry_set = True
            self._clock.after(RETRY_INTERVAL_MS, self._retry)

    def _retry(self) -> None:
        self._retry_set = False
        self._flush()

    def watch(self, interval_ms: float) -> None:
        """Send signs of life from the event loop that serves requests, so that the watchdog sees one that hangs."""
        if interval_ms > 0.0 and self._socket is not None:
            self.send("WATCHDOG=1")
            self._clock.after(interval_ms, lambda: self.watch(interval_ms))

    def close(self) -> None:
        """Send what the socket takes at once, and nothing more."""
        if self._socket is not None:
            self._flush()
            self._socket.close()
            self._socket = None


def filled(lines: tuple[str, ...], successor: int = 0) -> tuple[str, ...]:
    """Lines with their placeholders filled in: `{pid}`, `{successor}` (process ids) and `{usec}`, the monotonic clock's
    time in microseconds.
    """
    values = {"pid": os.getpid(), "successor": successor, "usec": time.monotonic_ns() // 1000}
    return tuple(line.format(**values) for line in lines)
