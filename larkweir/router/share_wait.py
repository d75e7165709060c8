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
        self._last_number = 0

    def add(self, on_resume: Callable[[], None]) -> None:
        """Call `on_resume` later."""
        self._last_number += 1
        timer = self._loop.call_later(SHARE_TIMEOUT_S, self._resume_request, self._last_number)
        self._waiting[self._last_number] = (on_resume, timer)

    def resume_all(self) -> None:
        """A controller holds a share, or there is none left that could: all that wait go on."""
        for number in list(self._waiting):
            self._resume_request(number)

    def _resume_request(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            on_resume, timer = waiting
            timer.cancel()
            on_resume()
