"""The clock that all parts of a balancer share, and its timers on the event loop.

The clock also records the loop's polls; `larkweir.core.loop_timing` derives from them how long events have waited.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import ceil, inf

from larkweir.core.loop_timing import LoopTiming


class Timer:
    """A callback that is called once, at `due_ms` or later, unless it is cancelled first."""

    __slots__ = ("call", "due_ms")

    def __init__(self, due_ms: float, call: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Cancel the callback. Has no effect after it was called."""
        self.call = None


class Clock:
    """Unix time in milliseconds. It is read once at the start and then advanced by the monotonic clock, so that setting
    the system time can't turn it back. Timers fire at their due time or later, never earlier, ordered by due time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset_ms: float | None = None) -> None:
        """`offset_ms`: Unix time minus monotonic time, as measured by a predecessor process of this balancer; both
        processes must use the same monotonic clock. None: it is measured now.
        """
        self._loop = loop
        self.offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0 if offset_ms is None else offset_ms
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._armed: asyncio.TimerHandle | None = None
        self._armed_ms = 0.0
        self._compact_at = 1024  # timers in the heap
        self.timing = LoopTiming(self.now_ms())
        self._in_iteration = False
        # Called after each iteration of the loop with two durations in milliseconds: how long the iteration handled
        # events, and the same plus the duration of the poll before it.
        self.on_iteration: Callable[[float, float], None] | None = None

    def now_ms(self) -> float:
        """The time now, in Unix milliseconds."""
        return self.offset_ms + time.monotonic() * 1000.0

    def loop_iteration(self) -> LoopTiming:
        """The timing of the loop's current iteration. Every handler of socket events must call this first: the first
        call in an iteration records when the iteration's poll ended.
        """
        if not self._in_iteration:
            self._in_iteration = True
            self.timing.poll_ended(self.now_ms(), self._armed_ms if self._armed is not None else inf)
            self._loop.call_soon(self._iteration_ended)
        return self.timing

    def _iteration_ended(self) -> None:
        # The loop calls this after all events of this iteration's poll, just before it polls again.
        self._in_iteration = False
        now = self.now_ms()
        before = self.timing.poll_began_ms
        self.timing.poll_began(now)
        if self.on_iteration is not None:
            self.on_iteration(now - self.timing.poll_ended_ms, now - before)

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Call `call` after `delay_ms`."""
        return self.at(self.now_ms() + delay_ms, call)

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Call `call` at `due_ms` of this clock, or as soon as possible if that has passed."""
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
        # The loop's timers have a resolution of 1 ms. The delay is rounded up, so that no timer fires early.
        self._armed = self._loop.call_later(max(0, ceil(due - self.now_ms())) / 1000.0, self._fire)

    def _fire(self) -> None:
        self.loop_iteration()  # must precede clearing `_armed`: it reads when this timer was due
        self._armed = None
        try:
            while self._heap and self._heap[0][0] <= self.now_ms():
                timer = heappop(self._heap)[2]
                call, timer.call = timer.call, None
                if call is not None:
                    call()
        finally:
            self._arm()
