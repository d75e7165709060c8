"""Local health (Lifeguard section IV-A): a process that is itself slow gives other processes more time to answer."""

from __future__ import annotations


class LocalHealth:
    """A score from 0 (healthy) to `max_score`. Missed answers raise the score, answered probes lower it."""

    __slots__ = ("_max_score", "score")

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add `change` to the score and clamp it to its bounds."""
        self.score = min(self._max_score, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        """The factor for the probe interval and the ack timeout."""
        return 1 + self.score
