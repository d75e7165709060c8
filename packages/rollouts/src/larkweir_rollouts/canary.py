"""Selects the upstreams of the target version that get requests while the target's weight is small.

A version that fails only under load has to be tested under load. A few upstreams that are about as loaded as the others
therefore reveal more than all upstreams with a twelfth of that load.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

COLD_CACHE_WORK_FACTOR = 2.0  # work per request with a cold prefix cache, relative to a warm one
# Limit of the enlarged selection, as a fraction of the others' count. These upstreams get load early, so that their
# caches are warm when the weight grows.
MAX_COLD_CACHE_SHARE = 0.16
ALL_UPSTREAMS_WEIGHT = 0.5  # from this weight on, all upstreams of the target get requests
MIN_CANARY_UPSTREAMS = 2  # failures of a single upstream are no evidence against its version


def canary_upstreams(target_ids: Sequence[str], others_count: int, weight: float) -> frozenset[str]:
    """Choose the upstreams of the target version that get requests. Every process chooses the same ones.

    Args:
        target_ids: all ready upstreams of the target version.
        others_count: number of ready upstreams in the rest of the service.
        weight: the share of new requests that goes to the target version.

    Returns:
        The number of upstreams for which each has about the load of one of the others. At small weights, while caches
        are cold, up to twice as many. A larger weight only adds upstreams. When an upstream of the target disappears,
        another takes its place and the rest stay (rendezvous hashing, Thaler and Ravishankar 1998).
    """
    if weight >= ALL_UPSTREAMS_WEIGHT:
        return frozenset(target_ids)
    share = max(weight, min(COLD_CACHE_WORK_FACTOR * weight, MAX_COLD_CACHE_SHARE))
    count = max(MIN_CANARY_UPSTREAMS, math.ceil(share * others_count))
    return frozenset(sorted(set(target_ids), key=_rank)[:count])


def _rank(upstream_id: str) -> tuple[bytes, str]:
    return hashlib.blake2b(upstream_id.encode(), digest_size=8).digest(), upstream_id
