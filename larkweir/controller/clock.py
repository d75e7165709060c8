"""The steady clock of the running event loop, in milliseconds."""

from __future__ import annotations

import asyncio


def now_ms() -> float:
    """Milliseconds that only rise. RuntimeError outside of an event loop."""
    return asyncio.get_running_loop().time() * 1000.0
