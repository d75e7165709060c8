"""Sums over the calls of one round of the concurrency limiter. Pure logic."""

from __future__ import annotations

import math


class RoundSums:
    """The number of calls that have ended, the sum of their base latencies, and the sum of what queues added."""

    __slots__ = ("added_ms", "added_squares", "base_ms", "calls", "full", "timed_out")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Begin an empty round."""
        self.calls = 0
        self.full = 0
        self.timed_out = 0  # calls that were given up, so that their full latency is a guess
        self.base_ms = 0.0
        self.added_ms = 0.0
        self.added_squares = 0.0  # the sum of the squares of what queues added

    def add(self, base: float, added: float) -> None:
        """Count a call: its latency at low load and what queues added to it, in milliseconds."""
        self.calls += 1
        self.base_ms += base
        self.added_ms += added
        self.added_squares += added * added

    def error(self) -> float:
        """The standard error of the mean of what queues added."""
        if self.calls < 2:
            return 0.0
        mean = self.added_ms / self.calls
        return math.sqrt(max(0.0, self.added_squares / self.calls - mean * mean) / (self.calls - 1))
