"""Of a failing day the faults that matter: fewer, then shorter ones, while the same promise stays broken."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

from standins.world.days import Fault

MOST_PLAYS = 40

Fails = Callable[[Sequence[Fault]], bool]


def shrunk(faults: Sequence[Fault], fails: Fails, most: int = MOST_PLAYS) -> list[Fault]:
    """By halves first, then one by one (ddmin, Zeller and Hildebrandt 2002, in short), in at most so many plays."""
    left, plays = list(faults), 0
    size = max(1, len(left) // 2)
    while left and plays < most:
        at, smaller = 0, False
        while at < len(left) and plays < most:
            tried = left[:at] + left[at + size :]
            plays += 1
            if fails(tried):
                left, smaller = tried, True
            else:
                at += size
        if size == 1 and not smaller:
            break
        size = max(1, size // 2)
    for at, fault in enumerate(left):
        if plays >= most:
            break
        plays += 1
        tried = [*left[:at], replace(fault, for_s=fault.for_s / 2), *left[at + 1 :]]
        if fails(tried):
            left = tried
    return left
