"""Limits the rate of datagrams that a process sends."""

from __future__ import annotations


class TokenBucket:
    """A token bucket: any t seconds allow at most `burst_datagrams + datagrams_per_s * t` datagrams."""

    __slots__ = ("_burst_tokens", "_tokens", "_tokens_per_ms", "_updated_ms")

    def __init__(self, datagrams_per_s: float, burst_datagrams: float, now_ms: float) -> None:
        self._tokens_per_ms = datagrams_per_s / 1000.0
        self._burst_tokens = self._tokens = burst_datagrams
        self._updated_ms = now_ms

    def try_acquire(self, tokens: int, reserve: float, now_ms: float) -> bool:
        """Take `tokens` if at least `reserve` tokens remain afterwards. Returns whether they were taken."""
        if now_ms > self._updated_ms:
            refilled = self._tokens + (now_ms - self._updated_ms) * self._tokens_per_ms
            self._tokens = min(self._burst_tokens, refilled)
            self._updated_ms = now_ms
        if self._tokens - tokens < reserve:
            return False
        self._tokens -= tokens
        return True
