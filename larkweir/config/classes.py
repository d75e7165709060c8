"""Classes that come and go in service, each at a place of its own that requests are held by."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import replace

from larkweir_balancing.interface import RequestClass, Settings

MOST_GONE = (
    64  # places of classes that are no more; past that, those that no request uses are given to new classes
)


def places(
    held: Sequence[RequestClass], told: Sequence[RequestClass], in_use: Collection[int] = ()
) -> tuple[RequestClass, ...]:
    """The classes told of, each at the place that its name has among those held; new ones behind them. A class that is
    no longer told of keeps its place and figures for the requests that came with it: nobody asks for it any more.
    `in_use`: the places of the classes of open requests, which no other class may take.
    """
    fresh = {item.name: item for item in told}
    found = [fresh.pop(item.name, item) for item in held]
    names = {item.name for item in told}
    gone = [at for at, item in enumerate(found) if item.name not in names]
    # Guards against a request that is measured, queued and limited as one of the class that has taken its place.
    free = [at for at in gone if at not in in_use]
    given = min(max(0, len(gone) - MOST_GONE), len(free))
    for n, item in enumerate(fresh.values()):
        if n < given:
            found[free[n]] = item
        else:
            found.append(item)
    return tuple(found)


def in_place(held: Sequence[RequestClass], told: Settings, in_use: Collection[int] = ()) -> Settings:
    """The settings told of, with the classes at the places where they are held (see `places`)."""
    return replace(told, classes=places(held, told.classes, in_use))
