"""In which order one balancer of a fleet tries the upstreams of a restored list, and how many at a time. Pure logic.

All balancers that restart in an outage hold about the same list. Each begins at its own place in one common order,
and goes on to the next as those before have answered or refused: so the first calls of the whole fleet fall on all
upstreams alike, without any message between the balancers.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

# Tried at once: a few that are gone must not keep everything waiting, and more are used with the first answers.
FIRST = 8


def common(names: Iterable[str]) -> list[str]:
    """The one order: by a checksum, so that names that count up, or tell a zone, do not lie side by side."""
    return sorted(names, key=lambda name: (blake2b(name.encode(), digest_size=8).digest(), name))


def order(names: Iterable[str], me: int, balancer_count: int) -> list[str]:
    """The order of balancer `me` of `balancer_count`."""
    found = common(names)
    if not found:
        return found
    at = (me % max(1, balancer_count)) * len(found) // max(1, balancer_count)
    return found[at:] + found[:at]


def opened(count: int, proved: int, lost: int) -> int:
    """How many of the order are in use: twice as many as have been proved, and one more for each that is lost, from the
    first ones on. It doubles with each call's time while what was restored is true, and is cautious where it is not.
    """
    return min(count, max(FIRST, 2 * proved) + lost)
