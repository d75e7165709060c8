"""Selects the subset of upstreams that one of many balancers connects to. The aims: few connections per balancer, even
load on the upstreams, and few changes when one upstream comes or goes. Compared in `benchmarks/routes.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from random import Random


def _point(*parts: bytes) -> int:
    return int.from_bytes(blake2b(b"\0".join(parts), digest_size=8).digest(), "big")


def ring(names: Sequence[str], me: int, balancer_count: int, size: int) -> list[str]:
    """Each balancer has an arc of `size` neighbours on a ring of upstreams. The starts of the arcs are spread evenly.

    Upstreams are spaced evenly, in the order of a hash: removing one moves those behind it by a fraction of a place.
    Each upstream is in as many arcs as any other, give or take one.
    """
    count = len(names)
    if size >= count or not count:
        return list(names)
    placed = sorted(names, key=lambda name: (_point(name.encode()), name))
    begins = (me % max(1, balancer_count)) * count // max(1, balancer_count)
    return [placed[(begins + at) % count] for at in range(size)]


def rounds(names: Sequence[str], me: int, balancer_count: int, size: int) -> list[str]:
    """Deterministic subsetting (Site Reliability Engineering, chapter 20): balancers are grouped in rounds. Each round
    divides all upstreams among its balancers, in its own random order.
    """
    count = len(names)
    if size >= count or not count:
        return list(names)
    subsets_per_round = max(1, count // size)
    shuffled = sorted(names)
    Random(me // subsets_per_round).shuffle(shuffled)
    begins = (me % subsets_per_round) * size
    return shuffled[begins : begins + size]


def rendezvous(names: Sequence[str], me: int, balancer_count: int, size: int) -> list[str]:
    """Rendezvous hashing: the upstreams that rank first for this balancer. Removing one changes nothing else in the
    subset; the load is only as even as a random choice."""
    own = str(me).encode()
    return sorted(names, key=lambda name: (_point(own, name.encode()), name))[: min(size, len(names))]


def random_subset(names: Sequence[str], me: int, balancer_count: int, size: int) -> list[str]:
    """A random subset, drawn anew whenever the number of upstreams changes."""
    rng = Random(f"{me}:{len(names)}")
    return rng.sample(sorted(names), min(size, len(names)))


STRATEGIES: dict[str, Callable[[Sequence[str], int, int, int], list[str]]] = {
    "ring": ring,
    "rounds": rounds,
    "rendezvous": rendezvous,
    "random": random_subset,
}


def min_subset_size(upstreams: int, balancer_count: int) -> int:
    """The smallest subset size at which each upstream is in some subset, and a bad upstream is a small part of any."""
    return max(10, math.ceil(2.0 * upstreams / max(1, balancer_count)))
