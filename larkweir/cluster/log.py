"""Logs of the fleet: one JSON object a line on standard error, with named fields."""

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
    """To be called once, before the first event."""
    _common["node"] = node
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(message)s"))
    _logger.addHandler(handler)
    _logger.setLevel(picologging.DEBUG if debug else picologging.INFO)


def event(name: str, **fields: Any) -> None:
    """One event worth a line at any time: a change of state, a fault."""
    _logger.info(_line(name, fields))


def is_debug_enabled() -> bool:
    """Whether events that only help to find a fault are written."""
    return bool(_logger.isEnabledFor(picologging.DEBUG))


def debug(name: str, **fields: Any) -> None:
    """One event that only helps to find a fault; nothing unless debugging."""
    if is_debug_enabled():
        _logger.debug(_line(name, fields))


def _line(name: str, fields: dict[str, Any]) -> str:
    line = {"time": round(time.time(), 3), **_common, "event": name, **fields}
    return _encoder.encode(line).decode()
