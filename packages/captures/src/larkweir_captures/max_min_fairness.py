"""How what nodes can take is divided among kinds of requests: max-min fair, by filling up.

Progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2): all kinds get the same number of captured
traces a second, more and more of them, until a kind is captured whole, or a node that it passes can take no more. So
the scarcest node on its path sets a kind's rate, a rare kind is captured whole long before a common one, and no room is
left that any kind could use.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence


def fill(begun: Mapping[int, float], nodes: Sequence[tuple[float, Mapping[int, float]]]) -> dict[int, float]:
    """The rate of each kind, 0 to 1.

    `begun`: requests a second of each kind, in all. `nodes`: records a second that each can take, and how many of each
    kind would come there if all were captured. A kind that nobody saw begin counts as what came at most.
    """
    sizes = {key: load for key, load in begun.items() if load > 0.0}
    for _, loads in nodes:
        for key, load in loads.items():
            if load > 0.0 and key not in begun:
                sizes[key] = max(sizes.get(key, 0.0), load)
    rates: dict[int, float] = {}  # settled
    open_nodes = [(max(0.0, room), {k: v for k, v in loads.items() if v > 0.0}) for room, loads in nodes]
    while len(rates) < len(sizes):
        level, scarcest = float("inf"), -1
        for index, (room, loads) in enumerate(open_nodes):
            found = _level(room, loads, sizes, rates)
            if found < level:
                level, scarcest = found, index
        if scarcest < 0:
            break
        for key in open_nodes.pop(scarcest)[1]:
            if key not in rates:
                rates[key] = min(1.0, level / sizes[key])
    return {key: rates.get(key, 1.0) for key in sizes}


def _level(
    room: float, loads: Mapping[int, float], sizes: Mapping[int, float], rates: Mapping[int, float]
) -> float:
    """Captured traces a second of each open kind at which this node can take no more; infinite if it always can."""
    left = room
    free: list[tuple[float, float]] = []
    slope = 0.0
    for key, load in loads.items():
        rate = rates.get(key)
        if rate is None:
            free.append((sizes[key], load))
            slope += load / sizes[key]
        else:
            left -= load * rate
    if not free or left >= sum(load for _, load in free):
        return float("inf")
    left = max(0.0, left)
    free.sort()
    for size, load in free:  # the smallest is captured whole first
        if left <= size * slope:
            return left / slope
        left -= load
        slope -= load / size
    return float("inf")
