"""How fast connections are made: callers' accepted, and upstreams' opened anew.

A connection costs its server work before it carries any, and a cold server is pushed over by those as well as by
requests. So beside the decisions' own credit with cold servers, which counts calls, each upstream has a bucket of new
connections, which fills at its share of what a warm one is given. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable


class TokenBucket:
    """So many a second on the mean, and so many at once."""

    __slots__ = ("_at_ms", "_capacity", "tokens")

    def __init__(self, now_ms: float, capacity: float) -> None:
        self._at_ms = now_ms
        self._capacity = capacity
        self.tokens = capacity

    def take(self, now_ms: float, per_s: float) -> bool:
        self.tokens = min(self._capacity, self.tokens + per_s * max(0.0, now_ms - self._at_ms) / 1000.0)
        self._at_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait_ms(self, per_s: float) -> float:
        """Until there is one, if nothing else takes it."""
        return max(0.0, (1.0 - self.tokens) * 1000.0 / per_s) if per_s > 0.0 else math.inf


class ConnectLimiter:
    """New connections to each upstream. Memory is one bucket for each that was opened to lately."""

    BURST_S = 0.5  # of the rate, that may be opened at once
    MAX_BUCKETS = 4096  # buckets

    def __init__(self, per_s: float, capacity_fraction: Callable[[int, float], float]) -> None:
        """`share` tells what part of its full capacity an upstream has by now."""
        self.per_s = per_s
        self._capacity_fraction = capacity_fraction
        self._buckets: dict[int, TokenBucket] = {}

    def try_open(self, upstream: int, now_ms: float) -> bool:
        bucket = self._buckets.get(upstream)
        if bucket is None:
            if len(self._buckets) >= self.MAX_BUCKETS:
                self._buckets.clear()  # all start with a full one again: no worse than a restart
            bucket = self._buckets[upstream] = TokenBucket(now_ms, max(2.0, self.per_s * self.BURST_S))
        return bucket.take(now_ms, self.per_s * self._capacity_fraction(upstream, now_ms))

    def wait_ms(self, upstream: int, now_ms: float) -> float:
        bucket = self._buckets.get(upstream)
        return (
            bucket.wait_ms(self.per_s * self._capacity_fraction(upstream, now_ms))
            if bucket is not None
            else 0.0
        )


class AcceptLimiter:
    """Callers' new connections, while they come by many times the usual.

    What waits unaccepted may be a request that is owed an answer in time: so the pace is such that all that the system
    can hold is taken within a part of the tightest aim. It smooths a flood over the turns of the loop, so that those
    who are here are served between; it never makes anyone late.
    """

    BACKLOG_TARGET_SHARE = 0.2  # of the tightest aim, in which all that waits is taken
    BURST_S = 0.01  # of the rate, that may come at once: the listener looks again after half of that

    def __init__(self, aim_ms: float, backlog: int) -> None:
        self.per_s = backlog * 1000.0 / max(1.0, self.BACKLOG_TARGET_SHARE * aim_ms)
        self._bucket = TokenBucket(0.0, max(32.0, self.per_s * self.BURST_S))

    def try_accept(self, now_ms: float) -> bool:
        return self._bucket.take(now_ms, self.per_s)
