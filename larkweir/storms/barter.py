"""Whose request takes the place that the decisions give, and how far they open for a tier that is back.

How much a tier is given is the window's matter (`larkweir_balancing/concurrency_limiter.py`), and stays so. A second
bound before it that holds back on its own leaves that window unfilled, which then never opens: measured, it cost two
thirds of what a recovering tier could serve. So nothing here changes how many are let in, only who: a request that is
wanted and was not let in takes the place of one that is let in and was not wanted. What is out on credit is bounded,
and paid back by the next that are not wanted.

And nothing has to be felt for twice: what the window was in good times, cut to the part of their capacity that cold
servers have, is known when they come back. All copies together then open to no more than the tier has proved, for each
goes by its own part, whatever their number and however uneven their load. Times are milliseconds.
"""

from __future__ import annotations

import math


class Barter:
    """Places lent to those who are wanted, and paid back by those who are not."""

    CREDIT_S = 0.25  # of what is sent on, that may be out on credit

    def __init__(self) -> None:
        self.owed = 0.0
        self.lent = 0  # so far

    def begin(self) -> None:
        self.owed = 0.0

    def weigh(self, let_in: bool, wanted: bool, sent_per_s: float) -> bool:
        """Whether a request is let in, where the decisions say `let_in`."""
        if let_in:
            if wanted or self.owed < 1.0:
                return True
            self.owed -= 1.0
            return False
        if wanted and self.owed < max(1.0, self.CREDIT_S * sent_per_s):
            self.owed += 1.0
            self.lent += 1
            return True
        return False


class Opening:
    """What is out in good times, and so may be out at once when servers are back.

    As many calls keep a cold server busy as a warm one: it takes longer for each. So it is their number that counts,
    and not the window, which may be open for far more than anybody asks.
    """

    MEMORY_MS = 10_000.0  # of the mean
    TIMES = 2.0  # of it: one in work and one behind it, where one was in work before
    LEAST = 0.5

    def __init__(self) -> None:
        self._out = 0.0
        self._ready = 0

    def good(self, since_ms: float, out: float, ready: int) -> None:
        """In good times, `since_ms` after the last call: how many were out on the mean, as calls found it."""
        self._out += (1.0 - math.exp(-since_ms / self.MEMORY_MS)) * (out - self._out)
        self._ready = max(1, ready)

    def back(self, window: float, before: int, ready: int) -> float:
        """Servers are back, so that `ready` take requests, where `before` did: the window from now on. Where none did
        the window is from another time; else it has been steered since, and is only lifted.
        """
        if not self._ready:
            return window
        proved = max(self.LEAST, self.TIMES * self._out * min(1.0, ready / self._ready))
        return max(window, proved) if before else proved
