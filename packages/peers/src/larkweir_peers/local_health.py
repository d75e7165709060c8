"""Local health (Lifeguard section IV-A): a process that is slow itself gives others more time."""

from __future__ import annotations


class LocalHealth:
    """A score from 0, healthy, to `max_score`. Missed answers raise it, answered probes lower it."""

    __slots__ = ("_max_score", "score")

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add `change` to the score, within its bounds."""
        self.score = min(self._max_score, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        """What the probe interval and the ack timeout are multiplied by."""
        return 1 + self.score
