"""Requests that wait for any controller to hold a share of the quotas, as after an election."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

SHARE_TIMEOUT_S = 0.3


class ShareWait:
    """Owns the requests that wait. Each goes on once: when a share is there, or after `SHARE_TIMEOUT_S`."""

    def __init__(self) -> None:
        """Nothing waits yet."""
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[int, tuple[Callable[[], None], asyncio.TimerHandle]] = {}
        self._count = 0

    def add(self, go_on: Callable[[], None]) -> None:
        """Call `go_on` later."""
        self._count += 1
        timer = self._loop.call_later(SHARE_TIMEOUT_S, self._go_on, self._count)
        self._waiting[self._count] = (go_on, timer)

    def resume(self) -> None:
        """A controller holds a share, or there is none left that could: all that wait go on."""
        for number in list(self._waiting):
            self._go_on(number)

    def _go_on(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            go_on, timer = waiting
            timer.cancel()
            go_on()
