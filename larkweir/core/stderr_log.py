"""The log on standard error: rate-limited lines of bounded length, written without ever blocking the event loop."""

from __future__ import annotations

import os
import select
import stat
import time


class StderrLog:
    """Writes lines to a descriptor, at most `PER_SECOND` a second, so that a fault that repeats floods neither the
    log nor the process. Lines are dropped and counted where the rate is passed or nobody reads: guards requests
    against a full pipe.
    """

    PER_SECOND = 10
    CHANGES_PER_SECOND = 5  # beyond these, of lines that a flood of others must not hide
    MAX_LINE_BYTES = 2000  # less than PIPE_BUF, so that it is written whole or not at all (pipe(7))

    def __init__(self, name: str, descriptor: int = 2) -> None:
        """`name` is the balancer's, and begins each line."""
        self._name = name
        self._descriptor = descriptor
        self._own = False
        self._second = 0
        self._lines = 0
        self._changes = 0
        self._dropped = 0
        self._poll = select.poll()
        try:
            mode = os.fstat(descriptor).st_mode
            if stat.S_ISFIFO(mode):
                # O_NONBLOCK belongs to the open file description, which other processes may share: the pipe is
                # opened again, so that it is set for this process alone.
                path = f"/proc/self/fd/{descriptor}"
                self._descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
                self._own = True
            self._poll.register(self._descriptor, select.POLLOUT)
        except OSError:
            pass  # it can't be opened again, or is closed: lines are written after a poll, or dropped

    def write(self, text: str) -> None:
        """Write one line, or drop and count it; never blocks and never raises."""
        if self._admit():
            self._write_line(text, 1)

    def write_change(self, text: str) -> None:
        """Write a line on a change of state that others are waiting to see, such as who owns a duty.

        Up to `CHANGES_PER_SECOND` of them have room when the other lines have passed the rate.
        """
        if self._admit(is_change=True):
            self._write_line(text, 1)

    def _admit(self, *, is_change: bool = False) -> bool:
        """Whether the rate allows one more line now. Dropped lines are counted, and logged with the first line of a
        later second.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines, self._changes = second, 0, 0
            dropped, self._dropped = self._dropped, 0
            if dropped:
                self._write_line(f"{dropped} lines dropped", dropped)
        if self._lines < self.PER_SECOND:
            self._lines += 1
            return True
        if is_change and self._changes < self.CHANGES_PER_SECOND:
            self._changes += 1
            return True
        self._dropped += 1
        return False

    def _write_line(self, text: str, count: int) -> None:
        """`count`: how many dropped lines this one stands for, if it is dropped."""
        line = f"larkweir {self._name}: {text}".replace("\n", " | ").encode("utf-8", "replace")
        self._put(line[: self.MAX_LINE_BYTES], count)

    def _put(self, line: bytes, count: int) -> None:
        try:
            if not self._poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line + b"\n")
        except (OSError, ValueError):  # a log that can't be written must not end the balancer
            self._dropped += count

    def close(self) -> None:
        """Close the descriptor, if it was opened here."""
        if self._own:
            self._own = False
            os.close(self._descriptor)
