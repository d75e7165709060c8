"""Rules: classes that come and go in service, each at a place of its own that requests are held by."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from mulleinhitch.interface import RequestClass, Settings

MOST_GONE = (
    64  # places of classes that are no more; past that they are given to new ones, the one gone longest first
)


def places(held: Sequence[RequestClass], told: Sequence[RequestClass]) -> tuple[RequestClass, ...]:
    """The classes told of, each at the place that its name has among those held; new ones behind them. A class that is
    no longer told of keeps its place and figures for the requests that came with it: nobody asks for it any more.
    """
    fresh = {item.name: item for item in told}
    found = [fresh.pop(item.name, item) for item in held]
    names = {item.name for item in told}
    gone = [at for at, item in enumerate(found) if item.name not in names]
    for item in fresh.values():
        if len(gone) > MOST_GONE:
            found[gone.pop(0)] = item
        else:
            found.append(item)
    return tuple(found)


def in_place(held: Sequence[RequestClass], told: Settings) -> Settings:
    """The settings told of, with the classes at the places where they are held."""
    return replace(told, classes=places(held, told.classes))
