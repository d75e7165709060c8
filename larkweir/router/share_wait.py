"""Delays requests while no connected controller holds a share of the quotas, for example after an election."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

SHARE_TIMEOUT_S = 0.3


class ShareWait:
    """Owns the delayed requests. Each is resumed once: when `resume_all` is called, or after `SHARE_TIMEOUT_S`."""

    def __init__(self) -> None:
        """Start without delayed requests."""
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[int, tuple[Callable[[], None], asyncio.TimerHandle]] = {}
        self._last_number = 0

    def add(self, on_resume: Callable[[], None]) -> None:
        """Delay a request. `on_resume` is called once, when it is resumed."""
        self._last_number += 1
        timer = self._loop.call_later(SHARE_TIMEOUT_S, self._resume_request, self._last_number)
        self._waiting[self._last_number] = (on_resume, timer)

    def resume_all(self) -> None:
        """Resume all delayed requests: a controller holds a share now, or none that could get one is connected."""
        for number in list(self._waiting):
            self._resume_request(number)

    def _resume_request(self, number: int) -> None:
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            on_resume, timer = waiting
            timer.cancel()
            on_resume()
