"""The steady clock of the running event loop and the time of day, in milliseconds."""

from __future__ import annotations

import asyncio
import time


def now_ms() -> float:
    """Milliseconds that only rise.

    Raises:
        RuntimeError: no event loop is running.
    """
    return asyncio.get_running_loop().time() * 1000.0


def unix_ms() -> float:
    """The time of day: milliseconds since 1970. It may jump."""
    return time.time() * 1000.0
