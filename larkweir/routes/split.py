"""Which of several pools a request's key falls to: the same one each time, and as few as can be fall to
another when weights change (weighted rendezvous hashing: Schindelhauer and Schomaker, 2005).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b


def score(salt: bytes, key: bytes, pool: bytes, weight: float) -> float:
    """A pool's claim on a key; the highest has it. 0 for a weight of 0, which never has one."""
    if weight <= 0.0:
        return 0.0
    digest = blake2b(key, digest_size=8, key=blake2b(salt + b"\0" + pool, digest_size=16).digest()).digest()
    drawn = (int.from_bytes(digest, "big") + 0.5) / 2.0**64  # between 0 and 1, and neither
    return -weight / math.log(drawn)


def choose(salt: bytes, key: bytes, weights: Mapping[str, float]) -> str:
    """The pool that has the key. All weights 0: the first."""
    best, most = next(iter(weights)), 0.0
    for pool, weight in weights.items():
        found = score(salt, key, pool.encode(), weight)
        if found > most:
            best, most = pool, found
    return best


@dataclass(frozen=True, slots=True)
class Ramp:
    """A part that grows evenly from nothing, in steps that can be told apart by what they do."""

    part: float  # in the end
    span_ms: float  # 0: at once
    STEPS = 20

    def at(self, since_ms: float) -> float:
        return self.after(self.step(since_ms))

    def step(self, since_ms: float) -> int:
        """From 1 to STEPS."""
        if self.span_ms <= 0.0 or since_ms >= self.span_ms:
            return self.STEPS
        return min(self.STEPS, int(self.STEPS * max(0.0, since_ms) / self.span_ms) + 1)

    def after(self, step: int) -> float:
        return self.part * min(1.0, step / self.STEPS)
