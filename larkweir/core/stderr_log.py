"""The log on standard error: rate-limited lines of limited length, written without blocking the event loop."""

from __future__ import annotations

import os
import select
import stat
import time


class StderrLog:
    """Writes lines to a file descriptor, at most `PER_SECOND` per second, so that a repeated fault floods neither the
    log nor the process. Lines beyond the rate are dropped and counted, and so are lines to a full pipe that nobody
    reads, so that logging never delays requests.
    """

    PER_SECOND = 10
    CHANGES_PER_SECOND = 5  # additional lines per second, reserved for `write_change`
    MAX_LINE_BYTES = 2000  # less than PIPE_BUF, so that a line is written completely or not at all (pipe(7))

    def __init__(self, name: str, descriptor: int = 2) -> None:
        """`name`: the balancer's name, which is at the start of each line."""
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
                # O_NONBLOCK belongs to the open file description, which other processes may share. The pipe is
                # therefore opened again, so that the flag is set for this process only.
                path = f"/proc/self/fd/{descriptor}"
                self._descriptor = os.open(path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)
                self._own = True
            self._poll.register(self._descriptor, select.POLLOUT)
        except OSError:
            pass  # the pipe can't be reopened, or the descriptor is closed: lines are written after a poll, or dropped

    def write(self, text: str) -> None:
        """Write one line, or drop and count it. Never blocks and never raises."""
        if self._admit():
            self._write_line(text, 1)

    def write_change(self, text: str) -> None:
        """Write a line about a change of state that must not be lost in a flood of other lines, such as a new owner of
        a duty. Up to `CHANGES_PER_SECOND` such lines are written when the other lines have used up the rate.
        """
        if self._admit(is_change=True):
            self._write_line(text, 1)

    def _admit(self, *, is_change: bool = False) -> bool:
        """Whether the rate allows another line now. The number of dropped lines is logged before the first line of a
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
        """Write a line. `count`: how many dropped lines to count if the line itself is dropped."""
        line = f"larkweir {self._name}: {text}".replace("\n", " | ").encode("utf-8", "replace")
        self._put(line[: self.MAX_LINE_BYTES], count)

    def _put(self, line: bytes, count: int) -> None:
        try:
            if not self._poll.poll(0):
                raise BlockingIOError
            os.write(self._descriptor, line + b"\n")
        except (OSError, ValueError):  # a failing log must not end the balancer
            self._dropped += count

    def close(self) -> None:
        """Close the descriptor if this object opened it."""
        if self._own:
            self._own = False
            os.close(self._descriptor)
