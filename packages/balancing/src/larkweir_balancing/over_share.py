"""How much of the concurrency limiter's window is open to traffic over its tenant's share. Pure logic."""

from __future__ import annotations


class OverShareAllowance:
    """A fraction of the window that shrinks while requests within their share find the window full.

    This limits a tenant's burst to capacity that the other tenants don't need.
    """

    MAX_FRACTION = 0.9  # of the window
    CLOSE_STEP = 0.05  # the decrease when a request within its share finds the window full
    # The increase otherwise, as a fraction of CLOSE_STEP: about the fraction of requests within their share that may
    # find the window full before the traffic over its share loses capacity.
    SPARE_FRACTION = 0.02

    def __init__(self) -> None:
        self.fraction = self.MAX_FRACTION  # of the window

    def adjust(self, is_full: bool) -> None:
        """Adjust the fraction: a request within its share has found the window full, or not."""
        step = -self.CLOSE_STEP if is_full else self.CLOSE_STEP * self.SPARE_FRACTION
        self.fraction = min(self.MAX_FRACTION, max(0.0, self.fraction + step))
