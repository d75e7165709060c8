"""Hands: the one monotonic clock and its timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import ceil, inf

from larkweir.core.turns import Turns


class Timer:
    __slots__ = ("call", "due_ms")

    def __init__(self, due_ms: float, call: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Unix milliseconds, taken once and carried on by the monotonic clock: a step of the system's time can't
    turn it back. Its timers fire at their time or after, never before, in the order of their times.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset_ms: float | None = None) -> None:
        """`offset_ms` where another life of this balancer has taken it: both must read one clock."""
        self._loop = loop
        self.offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0 if offset_ms is None else offset_ms
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._armed: asyncio.TimerHandle | None = None
        self._armed_ms = 0.0
        self._compact_at = 1024
        self.turns = Turns(self.now_ms())
        self._in_turn = False
        # Told of each turn how long this process was busy, and how long it was with the wait before.
        self.on_turn: Callable[[float, float], None] | None = None

    def now_ms(self) -> float:
        return self.offset_ms + time.monotonic() * 1000.0

    def turn(self) -> Turns:
        """What is known of this turn of the loop. To be asked first by whatever handles news from a socket."""
        if not self._in_turn:
            self._in_turn = True
            self.turns.told(self.now_ms(), self._armed_ms if self._armed is not None else inf)
            self._loop.call_soon(self._turn_over)
        return self.turns

    def _turn_over(self) -> None:
        # Called by the loop behind everything that this turn's poll has brought, just before it polls again.
        self._in_turn = False
        now = self.now_ms()
        before = self.turns.asked_ms
        self.turns.ask(now)
        if self.on_turn is not None:
            self.on_turn(now - self.turns.told_ms, now - before)

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        return self.at(self.now_ms() + delay_ms, call)

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        timer = Timer(due_ms, call)
        self._serial += 1
        heappush(self._heap, (timer.due_ms, self._serial, timer))
        if len(self._heap) > self._compact_at:  # guards against a heap of cancelled timers
            self._heap = [item for item in self._heap if item[2].call is not None]
            heapify(self._heap)
            self._compact_at = max(1024, 2 * len(self._heap))
        self._arm()
        return timer

    def _arm(self) -> None:
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._armed is not None:
            if self._armed_ms <= due:
                return
            self._armed.cancel()
        self._armed_ms = due
        # The loop counts whole milliseconds.
        self._armed = self._loop.call_later(max(0, ceil(due - self.now_ms())) / 1000.0, self._fire)

    def _fire(self) -> None:
        self.turn()  # while it is known when this was due
        self._armed = None
        try:
            while self._heap and self._heap[0][0] <= self.now_ms():
                timer = heappop(self._heap)[2]
                call, timer.call = timer.call, None
                if call is not None:
                    call()
        finally:
            self._arm()
