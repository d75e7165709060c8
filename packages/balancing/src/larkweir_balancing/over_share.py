"""How much of the concurrency limiter's window is open to traffic over its tenant's share. Pure logic."""

from __future__ import annotations


class OverShareAllowance:
    """It closes while requests within their share find the window full: guards against a tenant's burst."""

    MAX_FRACTION = 0.9  # of the window
    CLOSE_STEP = 0.05  # by which it closes with each refusal of a call within its share
    SPARE_FRACTION = 0.02  # the share of such refusals at which it stands still

    def __init__(self) -> None:
        self.fraction = self.MAX_FRACTION  # of the window

    def adjust(self, is_full: bool) -> None:
        """A request within its share has found the window full, or not."""
        step = -self.CLOSE_STEP if is_full else self.CLOSE_STEP * self.SPARE_FRACTION
        self.fraction = min(self.MAX_FRACTION, max(0.0, self.fraction + step))
