"""Whose request takes the place that the decisions give, and how far they open for a tier that is back.

How much a tier is given is the window's matter (`larkweir_balancing/concurrency_limiter.py`), and stays so. A second
bound before it that holds back on its own leaves that window unfilled, which then never opens: measured, it cost two
thirds of what a recovering tier could serve. So nothing here changes how many are let in, only who: a request that is
preferred and was not let in takes the place of one that is let in and was not wanted. What is out on credit is bounded,
and paid back by the next that are not wanted.

And nothing has to be felt for twice: what the window was in good times, cut to the part of their capacity that cold
servers have, is known when they come back. All copies together then open to no more than the tier has proved, for each
goes by its own part, whatever their number and however uneven their load. Times are milliseconds.
"""

from __future__ import annotations

import math


class AdmissionSwap:
    """Places lent to those who are wanted, and paid back by those who are not."""

    MAX_CREDIT_S = 0.25  # of what is sent on, that may be out on credit

    def __init__(self) -> None:
        self.outstanding = 0.0
        self.loan_count = 0  # so far

    def reset(self) -> None:
        self.outstanding = 0.0

    def decide(self, let_in: bool, preferred: bool, sent_per_s: float) -> bool:
        """Whether a request is let in, where the decisions say `let_in`."""
        if let_in:
            if preferred or self.outstanding < 1.0:
                return True
            self.outstanding -= 1.0
            return False
        if preferred and self.outstanding < max(1.0, self.MAX_CREDIT_S * sent_per_s):
            self.outstanding += 1.0
            self.loan_count += 1
            return True
        return False


class RecoveryWindow:
    """What is out in good times, and so may be out at once when servers are back.

    As many calls keep a cold server busy as a warm one: it takes longer for each. So it is their number that counts,
    and not the window, which may be open for far more than anybody asks.
    """

    MEAN_SPAN_MS = 10_000.0  # of the mean
    IN_FLIGHT_FACTOR = 2.0  # of it: one in work and one behind it, where one was in work before
    MIN_WINDOW = 0.5

    def __init__(self) -> None:
        self._mean_in_flight = 0.0
        self._ready_count = 0

    def observe_calm(self, since_ms: float, in_flight: float, ready: int) -> None:
        """In good times, `since_ms` after the last call: how many were out on the mean, as calls found it."""
        self._mean_in_flight += (1.0 - math.exp(-since_ms / self.MEAN_SPAN_MS)) * (
            in_flight - self._mean_in_flight
        )
        self._ready_count = max(1, ready)

    def window_after_return(self, window: float, ready_before: int, ready: int) -> float:
        """Servers are back, so that `ready` take requests, where `before` did: the window from now on. Where none did
        the window is from another time; else it has been steered since, and is only lifted.
        """
        if not self._ready_count:
            return window
        proved = max(
            self.MIN_WINDOW,
            self.IN_FLIGHT_FACTOR * self._mean_in_flight * min(1.0, ready / self._ready_count),
        )
        return max(window, proved) if ready_before else proved
