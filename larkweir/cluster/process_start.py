"""When this process began, as near as its own code can tell: imported first by the program."""

from __future__ import annotations

import time

_STARTED_S = time.monotonic()


def process_started_ms(now_ms: float) -> float:
    """On the clock of which `now_ms` is the present, by the steady clock's time since the first import."""
    return now_ms - (time.monotonic() - _STARTED_S) * 1000.0
