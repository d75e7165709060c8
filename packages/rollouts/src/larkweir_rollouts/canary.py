"""Which upstreams of the target version get requests while the target's share is small.

A version that fails under load shows it only where it has load: a few upstreams with about the work that the others
have tell more than all of them with a twelfth.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

COLD_CACHE_WORK_FACTOR = 2.0  # times the work of a request at an upstream whose prefix cache is cold
MAX_COLD_CACHE_SHARE = (
    0.16  # of the others' count: as many upstreams get load early, and are warm when it grows
)
ALL_UPSTREAMS_WEIGHT = 0.5  # from this share of the requests on, all upstreams of the target get some
MIN_CANARY_UPSTREAMS = 2  # the failures of a single one would accuse no version


def canary_upstreams(target_ids: Sequence[str], others_count: int, weight: float) -> frozenset[str]:
    """Choose the upstreams of the target version that get requests; the same ones in every process.

    Args:
        target_ids: all ready upstreams of the target version.
        others_count: how many ready upstreams the rest of the service has.
        weight: the share of new requests that goes to the target version.

    Returns:
        As many as have the work of one of the others each; at small weights, while caches are cold, up to twice as
        many. The choice grows with the weight: none leaves it. When one of the target's upstreams goes, another takes
        its place and the rest stay (Thaler and Ravishankar 1998).
    """
    if weight >= ALL_UPSTREAMS_WEIGHT:
        return frozenset(target_ids)
    share = max(weight, min(COLD_CACHE_WORK_FACTOR * weight, MAX_COLD_CACHE_SHARE))
    count = max(MIN_CANARY_UPSTREAMS, math.ceil(share * others_count))
    return frozenset(sorted(set(target_ids), key=_rank)[:count])


def _rank(upstream_id: str) -> tuple[bytes, str]:
    return hashlib.blake2b(upstream_id.encode(), digest_size=8).digest(), upstream_id
