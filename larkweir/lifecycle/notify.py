"""Hands: the notify protocol of service managers (sd_notify(3)): datagrams to the socket that NOTIFY_SOCKET names."""

from __future__ import annotations

import os
import socket
import time
from collections import deque
from collections.abc import Callable, Mapping

from larkweir.core.clock import Clock

MOST_WAITING = 16  # words kept while the manager's socket is full; the oldest give way
RETRY_MS = 100.0


def socket_address(path: str) -> str | None:
    """The address to send to: a path, or an abstract name, written with `@`. None if it is neither."""
    if path.startswith("@") and len(path) > 1:
        return "\0" + path[1:]
    return path if path.startswith("/") else None


def watchdog_ms(env: Mapping[str, str], pid: int) -> float:
    """How often the watchdog is to be fed, half of WATCHDOG_USEC; 0 where there is none for this process."""
    text = env.get("WATCHDOG_USEC", "")
    if env.get("WATCHDOG_PID", str(pid)) != str(pid) or not text.isdigit() or len(text) > 15:
        return 0.0
    return int(text) / 2000.0


class Notifier:
    """Tells the service manager. A socket that is full, missing or gone costs words, never more: what waits is
    bounded, and a fault is one line for as long as it lasts.
    """

    def __init__(self, env: Mapping[str, str], clock: Clock, log: Callable[[str], None]) -> None:
        self._clock = clock
        self._log = log
        self._waiting: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._faulty = False
        self._armed = False
        self._socket: socket.socket | None = None
        path = env.get("NOTIFY_SOCKET", "")
        self._address = socket_address(path) if path else None
        if path and self._address is None:
            log(f"notify: NOTIFY_SOCKET {path!r:.200} is neither a path nor an abstract name; nobody is told")
        if self._address is not None:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)

    def tell(self, *lines: str) -> None:
        if self._socket is None:
            return
        if any(line.startswith(("READY=", "STOPPING=", "RELOADING=")) for line in lines):
            # A newer state makes older watchdog words and states of no use.
            self._waiting.clear()
        self._waiting.append("\n".join(lines).encode())
        self._flush()

    def tell_state(self, lines: tuple[str, ...], successor: int = 0) -> None:
        """Words of the rules, with what only the process knows filled in."""
        self.tell(*filled(lines, successor))

    def _flush(self) -> None:
        while self._waiting and self._socket is not None and self._address is not None:
            try:
                self._socket.sendto(self._waiting[0], self._address)
            except BlockingIOError:  # full: the manager is busy
                self._again()
                return
            except OSError as problem:
                if not self._faulty:
                    self._faulty = True
                    self._log(f"notify: {self._address!r}: {problem}; told again when that is over")
                self._again()
                return
            self._faulty = False
            self._waiting.popleft()

    def _again(self) -> None:
        if not self._armed:
            self._armed = True
            self._clock.after(RETRY_MS, self._retry)

    def _retry(self) -> None:
        self._armed = False
        self._flush()

    def watch(self, every_ms: float) -> None:
        """Feed the watchdog from the event loop that serves requests: one that hangs is seen."""
        if every_ms > 0.0 and self._socket is not None:
            self.tell("WATCHDOG=1")
            self._clock.after(every_ms, lambda: self.watch(every_ms))

    def close(self) -> None:
        if self._socket is not None:
            self._flush()
            self._socket.close()
            self._socket = None


def filled(lines: tuple[str, ...], successor: int = 0) -> tuple[str, ...]:
    """The words of a state with what only the process knows."""
    values = {"pid": os.getpid(), "successor": successor, "usec": time.monotonic_ns() // 1000}
    return tuple(line.format(**values) for line in lines)
