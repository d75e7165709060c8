"""Structured logs of the fleet: one JSON object a line on standard error. `docs/operators/fleet-logs.md` lists them."""

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
    """Start to log; to be called once, before the first event.

    Args:
        node: the name that each line carries.
        debug: also write events of `debug`.
    """
    _common["node"] = node
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(message)s"))
    _logger.addHandler(handler)
    _logger.setLevel(picologging.DEBUG if debug else picologging.INFO)


def event(name: str, **fields: Any) -> None:
    """Log a change of state or a fault."""
    _logger.info(_line(name, fields))


def is_debug_enabled() -> bool:
    """Return whether events of `debug` are written."""
    return bool(_logger.isEnabledFor(picologging.DEBUG))


def debug(name: str, **fields: Any) -> None:
    """Log an event that only helps to find a fault; nothing unless `is_debug_enabled`."""
    if is_debug_enabled():
        _logger.debug(_line(name, fields))


def _line(name: str, fields: dict[str, Any]) -> str:
    line = {"time": round(time.time(), 3), **_common, "event": name, **fields}
    return _encoder.encode(line).decode()
