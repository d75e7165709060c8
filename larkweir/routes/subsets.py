"""Which upstreams one balancer of many connects to, so that each has few connections, each upstream even load,
and the change of one moves little. Weighed in `benchmarks/subsets.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from random import Random


def _point(*parts: bytes) -> int:
    return int.from_bytes(blake2b(b"\0".join(parts), digest_size=8).digest(), "big")


def ring(names: Sequence[str], me: int, copies: int, size: int) -> list[str]:
    """Each balancer has an arc of the ring of upstreams, `size` of them wide, that begins at its own fraction of the
    whole.

    Upstreams lie at the same distance, in the order of a checksum: one that goes moves those behind it by a part of one
    place. Arcs of all balancers lie evenly, so that every upstream is in as many as any other, but for one.
    """
    count = len(names)
    if size >= count or not count:
        return list(names)
    placed = sorted(names, key=lambda name: (_point(name.encode()), name))
    begins = (me % max(1, copies)) * count // max(1, copies)
    return [placed[(begins + at) % count] for at in range(size)]


def rounds(names: Sequence[str], me: int, copies: int, size: int) -> list[str]:
    """Deterministic subsetting (Site Reliability Engineering, chapter 20): balancers in rounds, each of which deals all
    upstreams out in an order of its own.
    """
    count = len(names)
    if size >= count or not count:
        return list(names)
    subsets_per_round = max(1, count // size)
    shuffled = sorted(names)
    Random(me // subsets_per_round).shuffle(shuffled)
    begins = (me % subsets_per_round) * size
    return shuffled[begins : begins + size]


def rendezvous(names: Sequence[str], me: int, copies: int, size: int) -> list[str]:
    """The upstreams with the highest claims on this balancer: one that goes is replaced alone; evenness is chance's."""
    own = str(me).encode()
    return sorted(names, key=lambda name: (_point(own, name.encode()), name))[: min(size, len(names))]


def drawn(names: Sequence[str], me: int, copies: int, size: int) -> list[str]:
    """At random, and anew with each change."""
    rng = Random(f"{me}:{len(names)}")
    return rng.sample(sorted(names), min(size, len(names)))


STRATEGIES: dict[str, Callable[[Sequence[str], int, int, int], list[str]]] = {
    "ring": ring,
    "rounds": rounds,
    "rendezvous": rendezvous,
    "random": drawn,
}


def min_subset_size(upstreams: int, copies: int) -> int:
    """The smallest subset by which every upstream is some balancer's, and of which one that is bad is no great part."""
    return max(10, math.ceil(2.0 * upstreams / max(1, copies)))
