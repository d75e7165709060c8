"""The timeout of a suspicion (Lifeguard section IV-B)."""

from __future__ import annotations

from dataclasses import dataclass
from math import log


@dataclass(slots=True)
class Suspicion:
    """How long a member stays suspect before it is declared dead. Each further reporter shortens the timeout, on a
    logarithmic scale, from `max_timeout_ms` down to `min_timeout_ms`.
    """

    started_ms: float
    min_timeout_ms: float
    max_timeout_ms: float
    needed_confirmations: int
    reporters: dict[bytes, None]  # in the order of their reports; the first one is gossiped

    @property
    def due_ms(self) -> float:
        """When the suspect is declared dead."""
        if self.needed_confirmations <= 0:
            return self.started_ms + self.min_timeout_ms
        # The first reporter starts the suspicion and is not a confirmation.
        fraction = log(len(self.reporters)) / log(self.needed_confirmations + 1)
        timeout_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * fraction
        return self.started_ms + max(self.min_timeout_ms, timeout_ms)
