"""How often, how long and how much: the figures of membership, this process's own health, and its sends."""

from __future__ import annotations

from collections.abc import MutableSequence
from dataclasses import dataclass
from math import ceil, log, log10
from typing import Any, Protocol


class RandomSource(Protocol):
    """The source of randomness that is handed in, as `random.Random`."""

    def random(self) -> float: ...
    def shuffle(self, x: MutableSequence[Any]) -> None: ...


@dataclass(frozen=True, slots=True)
class ProtocolConfig:
    """Times are milliseconds."""

    probe_interval_ms: float = 500.0  # from probe to probe (SWIM section 3.1: the protocol period)
    ack_timeout_ms: float = 200.0  # until others are asked
    indirect_probes: int = 3  # that are asked
    suspicion_factor: float = 4.0  # periods, times log10 of the fleet, that a suspicion lasts at the least
    max_suspicion_factor: float = 6.0  # times that, at the most (Lifeguard section IV-B: beta)
    suspicion_confirmations: int = 3  # by which it comes down to the least
    retransmit_factor: int = 4  # times log10 of the fleet, that a rumour is told by each
    gone_ping_periods: int = 2  # from ping to ping of one that is held to be lost, so that a cut heals
    max_health_score: int = 8
    datagrams_per_s: float = 64.0  # datagrams that this process sends
    burst_datagrams: float = 128.0

    def retransmissions(self, process_count: int) -> int:
        """How often each tells a rumour (SWIM section 4.1)."""
        return self.retransmit_factor * ceil(log10(process_count + 1))

    def suspicion_timeouts_ms(self, process_count: int) -> tuple[float, float]:
        """How long a suspicion lasts at the least and at the most."""
        min_ms = self.suspicion_factor * max(1.0, log10(max(1, process_count))) * self.probe_interval_ms
        return min_ms, min_ms * self.max_suspicion_factor


class LocalHealth:
    """Lifeguard section IV-A: whether this process is itself too slow to judge others. 0 is well."""

    __slots__ = ("_max_score", "score")

    def __init__(self, max_score: int) -> None:
        self._max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        self.score = min(self._max_score, max(0, self.score + change))

    @property
    def multiplier(self) -> int:
        """What probes' times are multiplied by."""
        return 1 + self.score


@dataclass(slots=True)
class Suspicion:
    """How long until a suspect is held to be lost; others' own suspicions make it shorter (Lifeguard section IV-B)."""

    started_ms: float
    min_timeout_ms: float
    max_timeout_ms: float
    needed_confirmations: int
    reporters: dict[bytes, None]  # in the order of their word: the first is told on

    @property
    def due_ms(self) -> float:
        if self.needed_confirmations <= 0:
            return self.started_ms + self.min_timeout_ms
        # The first reporter confirms nothing.
        fraction = log(len(self.reporters)) / log(self.needed_confirmations + 1)
        timeout_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * fraction
        return self.started_ms + max(self.min_timeout_ms, timeout_ms)


class TokenBucket:
    """The send budget. Never more than `burst + per_s * t` in any time t."""

    __slots__ = ("_burst_tokens", "_tokens", "_tokens_per_ms", "_updated_ms")

    def __init__(self, datagrams_per_s: float, burst_datagrams: float, now_ms: float) -> None:
        self._tokens_per_ms = datagrams_per_s / 1000.0
        self._burst_tokens = self._tokens = burst_datagrams
        self._updated_ms = now_ms

    def try_acquire(self, tokens: int, reserve: float, now_ms: float) -> bool:
        """Take so many where `left` stay over."""
        if now_ms > self._updated_ms:
            refilled = self._tokens + (now_ms - self._updated_ms) * self._tokens_per_ms
            self._tokens = min(self._burst_tokens, refilled)
            self._updated_ms = now_ms
        if self._tokens - tokens < reserve:
            return False
        self._tokens -= tokens
        return True
