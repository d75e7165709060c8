"""Hands: the log, bounded lines on standard error that never make the event loop wait."""

from __future__ import annotations

import os
import select
import stat
import time


class Journal:
    """Lines on standard error, few enough that a fault that repeats can't drown the log or the process. Where
    nobody reads the log, lines are dropped and counted: guards requests against a full pipe.
    """

    PER_SECOND = 10
    MOST = 2000  # bytes of a line; less than a pipe takes in one piece

    def __init__(self, name: str, descriptor: int = 2) -> None:
        self._name = name
        self._descriptor = descriptor
        self._own = False
        self._second = 0
        self._lines = 0
        self._dropped = 0
        self._poll = select.poll()
        try:
            mode = os.fstat(descriptor).st_mode
            if stat.S_ISFIFO(mode):
                # Opened anew, so that not waiting is no one else's who writes to the same pipe.
                path = f"/proc/self/fd/{descriptor}"
                self._descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
                self._own = True
            self._poll.register(self._descriptor, select.POLLOUT)
        except OSError:
            pass  # not to be opened anew, or closed: polled, or dropped

    def line(self, text: str) -> None:
        if self._admit():
            self._write(text, 1)

    def _admit(self) -> bool:
        """Whether one more line may be written now; what may not is counted, and told a second later."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
            dropped, self._dropped = self._dropped, 0
            if dropped:
                self._write(f"{dropped} lines dropped", dropped)
        if self._lines >= self.PER_SECOND:
            self._dropped += 1
            return False
        self._lines += 1
        return True

    def _write(self, text: str, worth: int) -> None:
        line = f"larkweir {self._name}: {text}".replace("\n", " | ").encode("utf-8", "replace")
        self._put(line[: self.MOST], worth)

    def _put(self, line: bytes, worth: int) -> None:
        try:
            if not self._poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line + b"\n")
        except (OSError, ValueError):  # a log that can't be written must not end the balancer
            self._dropped += worth

    def close(self) -> None:
        if self._own:
            self._own = False
            os.close(self._descriptor)
