"""Whether closing the window of calls helps at all. Pure logic."""

from __future__ import annotations

from larkweir_balancing.round_sums import RoundSums


class FruitlessShrinkDetector:
    """While the window closes: whether the latency is the same with half of it.

    Guards against closing it for ever on a tier that has become slower for each call, where no queue of ours is
    to blame.
    """

    MAX_TIMED_OUT_FRACTION = 0.1  # of a round's calls: with more of them its latency is a guess
    HALVED_FRACTION = 0.5  # of the window that it began to close from
    FRUITLESS_FRACTION = 0.85  # of the latency: with more than that left, no queue was ours

    def __init__(self) -> None:
        self._start: tuple[float, float] | None = (
            None  # window and mean time when it began to close, or halved
        )

    def end(self) -> None:
        """The window does not close any more."""
        self._start = None

    def is_fruitless(self, window: float, min_window: float, latency: float, sums: RoundSums) -> bool:
        """Whether half of the window has changed nothing. `latency` is the mean of the round of `sums`."""
        if self._start is None or sums.timed_out > self.MAX_TIMED_OUT_FRACTION * sums.calls:
            self._start = (window, latency)
            return False
        start_window, start_latency = self._start
        if window > max(self.HALVED_FRACTION * start_window, min_window + 1.0):
            return False
        self._start = (window, latency)
        return latency > self.FRUITLESS_FRACTION * start_latency
