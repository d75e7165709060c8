"""The time at which this process started, as near as its code can tell: the program imports this module first."""

from __future__ import annotations

import time

_STARTED_S = time.monotonic()


def process_started_ms(now_ms: float) -> float:
    """Return the start in milliseconds of the clock on which `now_ms` is the present."""
    return now_ms - (time.monotonic() - _STARTED_S) * 1000.0
