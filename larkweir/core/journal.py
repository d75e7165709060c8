"""Hands: the log, bounded lines on standard error."""

from __future__ import annotations

import sys
import time
from contextlib import suppress


class Journal:
    """Lines on standard error, few enough that a fault that repeats can't drown the log or the process."""

    PER_SECOND = 10

    def __init__(self, name: str) -> None:
        self._name = name
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def line(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second, self._lines = second, 0
            if dropped:
                self._write(f"{dropped} lines dropped")
        if self._lines >= self.PER_SECOND:
            self._dropped += 1
            return
        self._lines += 1
        self._write(text)

    def _write(self, text: str) -> None:
        with suppress(OSError):  # a log that can't be written must not end the balancer
            print(f"larkweir {self._name}: {text[:2000]}", file=sys.stderr, flush=True)
