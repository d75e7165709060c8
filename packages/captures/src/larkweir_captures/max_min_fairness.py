"""Divides the capacity of all nodes among kinds of requests by max-min fairness. Pure logic.

Progressive filling (Bertsekas and Gallager, Data Networks, section 6.5.2): all kinds get the same number of captured
traces a second, increased step by step, until a kind is captured completely or a node on its path is saturated. So the
scarcest node on its path determines a kind's rate, a rare kind is captured completely long before a common one, and no
capacity is left that any kind could use.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence


def max_min_rates(
    first_hops_per_s: Mapping[int, float], nodes: Sequence[tuple[float, Mapping[int, float]]]
) -> dict[int, float]:
    """The sampling rate of each kind, 0 to 1.

    `first_hops_per_s`: the requests a second of each kind that enter the system. `nodes`: for each, its capacity in
    records a second, and the records a second of each kind that it would receive if all were captured. A kind that no
    node reported as entering counts as large as the largest load reported for it.
    """
    sizes = {key: load for key, load in first_hops_per_s.items() if load > 0.0}
    for _, loads in nodes:
        for key, load in loads.items():
            if load > 0.0 and key not in first_hops_per_s:
                sizes[key] = max(sizes.get(key, 0.0), load)
    rates: dict[int, float] = {}  # of kinds that a saturated node has settled
    open_nodes = [
        (max(0.0, capacity), {k: v for k, v in loads.items() if v > 0.0}) for capacity, loads in nodes
    ]
    while len(rates) < len(sizes):
        level, scarcest = float("inf"), -1
        for index, (capacity, loads) in enumerate(open_nodes):
            found = _saturation_level(capacity, loads, sizes, rates)
            if found < level:
                level, scarcest = found, index
        if scarcest < 0:
            break
        for key in open_nodes.pop(scarcest)[1]:
            if key not in rates:
                rates[key] = min(1.0, level / sizes[key])
    return {key: rates.get(key, 1.0) for key in sizes}


def _saturation_level(
    capacity: float, loads: Mapping[int, float], sizes: Mapping[int, float], rates: Mapping[int, float]
) -> float:
    """The captured traces a second of each open kind at which this node is saturated; infinite if it never is."""
    left = capacity
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
    for size, load in free:  # the smallest kind is the first to be captured completely
        if left <= size * slope:
            return left / slope
        left -= load
        slope -= load / size
    return float("inf")
