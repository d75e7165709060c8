"""The time-out of a suspicion (Lifeguard section IV-B)."""

from __future__ import annotations

from dataclasses import dataclass
from math import log


@dataclass(slots=True)
class Suspicion:
    """How long a suspect has until it counts as dead. Each further reporter makes it shorter, by the logarithm, from
    `max_timeout_ms` down to `min_timeout_ms`.
    """

    started_ms: float
    min_timeout_ms: float
    max_timeout_ms: float
    needed_confirmations: int
    reporters: dict[bytes, None]  # in the order of their reports: the first one is passed on

    @property
    def due_ms(self) -> float:
        """When the suspect counts as dead."""
        if self.needed_confirmations <= 0:
            return self.started_ms + self.min_timeout_ms
        # The first reporter confirms nothing.
        fraction = log(len(self.reporters)) / log(self.needed_confirmations + 1)
        timeout_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * fraction
        return self.started_ms + max(self.min_timeout_ms, timeout_ms)
