"""Simulated time: what is to happen when, in an order that a seed gives, and a trace of what did."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from hashlib import blake2b
from random import Random
from typing import Any

MOST_TRACE = 2_000_000  # lines that are kept where they are asked for


class Scheduler:
    """Seconds from 0. Two events of one instant come in either order, as the seed has it."""

    def __init__(self, seed: str, keep: bool = False) -> None:
        """`keep`: the trace's lines as well, not only their hash."""
        self.rng = Random(seed)
        self.ahead_s = 0.0  # what the process that runs has used of its turn
        self.lines: list[str] | None = [] if keep else None
        self.events = 0
        self._now_s = 0.0
        self._heap: list[tuple[float, float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._hash = blake2b(digest_size=16)

    @property
    def now_s(self) -> float:
        return self._now_s + self.ahead_s

    def at(self, when_s: float, call: Callable[..., None], *args: Any) -> None:
        """Not before now; it can't be taken back."""
        self.events += 1
        entry = (max(when_s, self.now_s), self.rng.random(), self.events, call, args)
        heapq.heappush(self._heap, entry)

    def after(self, delay_s: float, call: Callable[..., None], *args: Any) -> None:
        self.at(self.now_s + delay_s, call, *args)

    def run(self, until_s: float, over: Callable[[], bool] | None = None) -> bool:
        """Until a time, or until `over`, which is asked behind each event; whether it was over."""
        heap = self._heap
        while heap and heap[0][0] <= until_s:
            when_s, _, _, call, args = heapq.heappop(heap)
            self._now_s = max(self._now_s, when_s)
            call(*args)
            self.ahead_s = 0.0
            if over is not None and over():
                return True
        self._now_s = max(self._now_s, until_s)
        return over is not None and over()

    def note(self, text: str) -> None:
        """A line of the trace."""
        line = f"{self.now_s:.6f} {text}"
        self._hash.update(line.encode("utf-8", "replace") + b"\n")
        if self.lines is not None and len(self.lines) < MOST_TRACE:
            self.lines.append(line)

    @property
    def digest(self) -> str:
        return self._hash.hexdigest()
