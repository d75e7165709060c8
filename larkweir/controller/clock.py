"""The monotonic clock of the running event loop and the wall clock, in milliseconds."""

from __future__ import annotations

import asyncio
import time


def now_ms() -> float:
    """Returns the monotonic time of the running event loop, in milliseconds.

    Raises:
        RuntimeError: no event loop is running.
    """
    return asyncio.get_running_loop().time() * 1000.0


def unix_ms() -> float:
    """Returns the wall-clock time in milliseconds since the Unix epoch. It may jump in either direction."""
    return time.time() * 1000.0
