"""A plan that breaks a promise, made smaller by trying less of it (delta debugging, Zeller 2002).

Whoever carries plans out plays what comes and sends back whether a promise was broken.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import replace

from standins.plans import Fault, Plan

LEAST_MS = 50.0  # a fault is not made shorter than that


def smaller(plan: Plan, most: int = 60, tries: int = 1) -> Generator[Plan, bool, Plan]:
    """Gives plans to play, at most so many; returns the smallest that broke a promise. A plan does not give its run:
    one that breaks no promise is played `tries` times before it counts as harmless.
    """
    left = most

    def breaks(faults: tuple[Fault, ...]) -> Generator[Plan, bool, bool]:
        nonlocal left
        for _ in range(tries):
            if left <= 0:
                return False
            left -= 1
            if (yield replace(plan, faults=faults)):
                return True
        return False

    faults = plan.faults
    if (yield from breaks(())):  # it breaks without any fault: nothing of the plan matters
        return replace(plan, faults=())
    parts = 2
    while len(faults) > 1 and left > 0:
        size = -(-len(faults) // parts)
        for at in range(0, len(faults), size):
            rest = faults[:at] + faults[at + size :]
            if rest and (yield from breaks(rest)):
                faults, parts = rest, max(2, parts - 1)
                break
        else:
            if size == 1:
                break
            parts = min(len(faults), 2 * parts)
    for n in range(len(faults)):
        while left > 0:
            fault = faults[n]
            length_ms = (fault.end_ms - fault.begin_ms) / 2.0
            if length_ms < LEAST_MS:
                break
            shorter = replace(fault, end_ms=fault.begin_ms + length_ms)
            if not (yield from breaks((*faults[:n], shorter, *faults[n + 1 :]))):
                break
            faults = (*faults[:n], shorter, *faults[n + 1 :])
    return replace(plan, faults=faults)
