"""Structured logs of the fleet: one JSON object per line on standard error.

`docs/operators/fleet-logs.md` lists the events.
"""

from __future__ import annotations

import sys
import time
from typing import Any

import msgspec
import picologging

_logger = picologging.getLogger("larkweir")
_encoder = msgspec.json.Encoder()
_common: dict[str, Any] = {}


def configure(node: str, *, debug: bool = False) -> None:
    """Set up logging; to be called once, before the first event.

    Args:
        node: the name of this process, written in each line.
        debug: also write the events logged by `debug`.
    """
    _common["node"] = node
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(message)s"))
    _logger.addHandler(handler)
    _logger.setLevel(picologging.DEBUG if debug else picologging.INFO)


def event(name: str, **fields: Any) -> None:
    """Log a state change or an error."""
    _logger.info(_line(name, fields))


def is_debug_enabled() -> bool:
    """Return whether the events logged by `debug` are written."""
    return bool(_logger.isEnabledFor(picologging.DEBUG))


def debug(name: str, **fields: Any) -> None:
    """Log an event that is only useful for debugging; does nothing unless `is_debug_enabled`."""
    if is_debug_enabled():
        _logger.debug(_line(name, fields))


def _line(name: str, fields: dict[str, Any]) -> str:
    line = {"time": round(time.time(), 3), **_common, "event": name, **fields}
    return _encoder.encode(line).decode()
