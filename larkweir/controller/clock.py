"""The steady clock of the running event loop, in milliseconds."""

from __future__ import annotations

import asyncio


def now_ms() -> float:
    """Milliseconds that only rise.

    Raises:
        RuntimeError: no event loop is running.
    """
    return asyncio.get_running_loop().time() * 1000.0
