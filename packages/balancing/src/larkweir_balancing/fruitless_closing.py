"""Detects that shrinking the concurrency limiter's window does not reduce the latency. Pure logic."""

from __future__ import annotations

from larkweir_balancing.round_sums import RoundSums


class FruitlessShrinkDetector:
    """Compares the latency before the window shrank with the latency at half that window.

    If it is about the same, each call has become slower at the servers and our queueing is not the cause. Without this
    check, the window would shrink forever.
    """

    MAX_TIMED_OUT_FRACTION = 0.1  # of a round's calls: with more time-outs, its mean latency is a guess
    HALVED_FRACTION = 0.5  # of the window before it shrank
    FRUITLESS_FRACTION = 0.85  # of the latency before: if more of it remains, our queueing was not the cause

    def __init__(self) -> None:
        # Window and mean latency when it began to shrink, or was last halved.
        self._start: tuple[float, float] | None = None

    def end(self) -> None:
        """The window no longer shrinks."""
        self._start = None

    def is_fruitless(self, window: float, min_window: float, latency: float, sums: RoundSums) -> bool:
        """Whether halving the window has left the latency unchanged. `latency` is the mean of the round of `sums`."""
        if self._start is None or sums.timed_out > self.MAX_TIMED_OUT_FRACTION * sums.calls:
            self._start = (window, latency)
            return False
        start_window, start_latency = self._start
        if window > max(self.HALVED_FRACTION * start_window, min_window + 1.0):
            return False
        self._start = (window, latency)
        return latency > self.FRUITLESS_FRACTION * start_latency
