"""The approximate time at which this process started. The program imports this module first, to measure it early."""

from __future__ import annotations

import time

_STARTED_S = time.monotonic()


def process_started_ms(now_ms: float) -> float:
    """Return when the process started, in milliseconds on the clock whose present reading is `now_ms`."""
    return now_ms - (time.monotonic() - _STARTED_S) * 1000.0
