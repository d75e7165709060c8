"""Swaps admitted requests for preferred ones in a storm, and sets the window when servers return.

The concurrency window alone decides how many requests are admitted (`larkweir_balancing/concurrency_limiter.py`). A
second limit in front of it leaves the window unfilled, and an unfilled window never grows: measured, that cost two
thirds of what a recovering tier could serve. So this module changes only which requests are admitted: a preferred
request that the limiter refuses is admitted in place of a request that is not preferred. A preferred request may be
admitted before its counterpart is refused; this credit is bounded, and the next requests that are not preferred pay
it back.

The window need not be found by trial again when servers return: it is set from the calls in flight in the state CALM,
scaled by the share of servers that are ready. Each balancer uses its own share of the traffic, so together the
balancers open no further than the tier has proved, however many there are and however uneven their load is. Times are
milliseconds.
"""

from __future__ import annotations

import math


class AdmissionSwap:
    """Admits preferred requests in place of others, on a bounded credit."""

    MAX_CREDIT_S = 0.25  # seconds of the sent rate; bounds the credit

    def __init__(self) -> None:
        self.outstanding = 0.0
        self.loan_count = 0

    def reset(self) -> None:
        self.outstanding = 0.0

    def decide(self, let_in: bool, preferred: bool, sent_per_s: float) -> bool:
        """Whether a request is admitted, given the limiter's verdict `let_in`."""
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
    """The window for returning servers, from the mean number of calls in flight in the state CALM.

    A cold server is busy with as many calls as a warm one, since each call takes longer. The number of calls in flight
    counts, and not the window, which may be far larger than the demand.
    """

    MEAN_SPAN_MS = 10_000.0  # time constant of the mean
    IN_FLIGHT_FACTOR = (
        2.0  # times the mean: one call in progress and one queued for each that was in progress
    )
    MIN_WINDOW = 0.5

    def __init__(self) -> None:
        self._mean_in_flight = 0.0
        self._ready_count = 0

    def observe_calm(self, since_ms: float, in_flight: float, ready: int) -> None:
        """Update the mean in the state CALM, `since_ms` after the last update.

        `in_flight` is the mean number of calls in flight that new calls found.
        """
        self._mean_in_flight += (1.0 - math.exp(-since_ms / self.MEAN_SPAN_MS)) * (
            in_flight - self._mean_in_flight
        )
        self._ready_count = max(1, ready)

    def window_after_return(self, window: float, ready_before: int, ready: int) -> float:
        """The window to use now that `ready` servers take requests and not `ready_before`.

        With no server ready before, the old window is out of date and is replaced. Otherwise the limiter has adjusted
        it since, and it is only raised.
        """
        if not self._ready_count:
            return window
        proved = max(
            self.MIN_WINDOW,
            self.IN_FLIGHT_FACTOR * self._mean_in_flight * min(1.0, ready / self._ready_count),
        )
        return max(window, proved) if ready_before else proved
