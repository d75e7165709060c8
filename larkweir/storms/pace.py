"""Limits the rate of new connections: connections accepted from callers and connections opened to upstreams.

A new connection costs its server work before it carries a request, and connections alone can overload a cold server.
So each upstream has a token bucket for new connections, which fills at the upstream's fraction of the full rate. It
works beside the limit on calls that the decisions apply to cold servers. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable


class TokenBucket:
    """A token bucket: a mean rate and a burst."""

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
        """The time until a token is available, if nothing else takes it."""
        return max(0.0, (1.0 - self.tokens) * 1000.0 / per_s) if per_s > 0.0 else math.inf


class ConnectLimiter:
    """Limits new connections per upstream, with one bucket for each upstream that was opened to recently."""

    BURST_S = 0.5  # seconds of the rate that may be opened at once
    MAX_BUCKETS = 4096

    def __init__(self, per_s: float, capacity_fraction: Callable[[int, float], float]) -> None:
        """`capacity_fraction` returns the fraction of its full capacity that an upstream has at a time."""
        self.per_s = per_s
        self._capacity_fraction = capacity_fraction
        self._buckets: dict[int, TokenBucket] = {}

    def try_open(self, upstream: int, now_ms: float) -> bool:
        bucket = self._buckets.get(upstream)
        if bucket is None:
            if len(self._buckets) >= self.MAX_BUCKETS:
                self._buckets.clear()  # all start with a full bucket again, as after a restart
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
    """Limits new connections from callers while they arrive at many times the usual rate.

    A connection that waits in the backlog may carry a request that needs an answer in time. So the rate is high enough
    to accept a full backlog within a share of the tightest latency target. The limit spreads a flood over iterations of
    the event loop, so that accepted callers are served in between; it makes no request late.
    """

    BACKLOG_TARGET_SHARE = 0.2  # of the tightest latency target, to accept a full backlog
    BURST_S = 0.01  # seconds of the rate accepted at once: the listener retries after half of that

    def __init__(self, aim_ms: float, backlog: int) -> None:
        self.per_s = backlog * 1000.0 / max(1.0, self.BACKLOG_TARGET_SHARE * aim_ms)
        self._bucket = TokenBucket(0.0, max(32.0, self.per_s * self.BURST_S))

    def try_accept(self, now_ms: float) -> bool:
        return self._bucket.take(now_ms, self.per_s)
