"""What a key of an operator file's table is: its default, bounds, unit, and how a change of it counts."""

from __future__ import annotations

from dataclasses import field
from enum import Enum
from typing import Any


class Change(Enum):
    """How a key that was changed comes to count."""

    LIVE = "live"  # with the next reload
    HANDOVER = "handover"  # in a successor that takes the sockets over; else at the next start
    START = "start"  # at the next start only


class Unit(Enum):
    """What a number counts, where the configuration language writes it with a unit."""

    NONE = ""
    TIME = "ms"  # held as milliseconds
    RATE = "per_s"  # held a second
    PART = "part"  # from 0 to 1, or in percent
    TIMES = "times"


class Merge(Enum):
    """What counts where two edits of a key had not seen each other. Each key of a route or a pool names one; why stands
    in docs/operators/edits.md.
    """

    SMALLER = "smaller"  # what is said goes before what is not
    LONGER = "longer"
    STRICTER = "stricter"  # of watches: the one that ends a part sooner; 0 ends none
    LARGER_OR_ALL = "larger_or_all"  # 0 stands for all
    OFF = "off"  # two that differ: none
    SPLIT = "split"  # pool by pool, the smaller part
    SET = "set"  # observed removal; never emptied by two who each took a part
    LIFTED = "lifted"  # a set: what is in it is taken out only by one who has seen it
    ONE = "one"  # a conflict: the last value that both had stays in force
    MATCH = "match"  # the same, for all such keys of a table together


def option(
    default: Any,
    change: Change = Change.LIVE,
    low: float | None = None,
    high: float | None = None,
    unit: Unit = Unit.NONE,
    merge: Merge | None = None,
) -> Any:
    """A key with its default, how a change of it counts, its bounds, both of which are allowed, and what it counts: a
    time where its name ends in `_ms`, a rate where it ends in `_per_s`. `merge` is for keys of routes and pools.
    """
    return field(
        default=default,
        metadata={"change": change, "low": low, "high": high, "unit": unit, "merge": merge},
    )


def unit_of(name: str, unit: Unit) -> Unit:
    """The unit that a key's name tells, or that it was given."""
    return next((item for item in (Unit.TIME, Unit.RATE) if name.endswith(f"_{item.value}")), unit)


def listen_address(text: str) -> str | tuple[str, int] | None:
    """A Unix socket's path, or an address and port; None if it is neither."""
    if text.startswith("unix:"):
        path = text[5:]
        return path if path.startswith("/") and len(path.encode()) < 108 and "\0" not in path else None
    host, _, port = text.rpartition(":")
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdecimal() and part.isascii() and int(part) < 256 for part in parts):
        return None
    if not port.isascii() or not port.isdecimal() or int(port) > 65535:
        return None
    return host, int(port)
