"""Assigns the key of a request to one of several pools by weighted rendezvous hashing (Schindelhauer and Schomaker,
2005). A key always gets the same pool, and a change of weights reassigns as few keys as possible.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b


def score(salt: bytes, key: bytes, pool: bytes, weight: float) -> float:
    """The score of a pool for a key; the pool with the highest score gets the key. 0 for a weight of 0."""
    if weight <= 0.0:
        return 0.0
    digest = blake2b(key, digest_size=8, key=blake2b(salt + b"\0" + pool, digest_size=16).digest()).digest()
    drawn = (int.from_bytes(digest, "big") + 0.5) / 2.0**64  # uniform in (0, 1), without the ends
    return -weight / math.log(drawn)


def choose(salt: bytes, key: bytes, weights: Mapping[str, float]) -> str:
    """The pool that the key is assigned to; the first one if all weights are 0."""
    best, most = next(iter(weights)), 0.0
    for pool, weight in weights.items():
        found = score(salt, key, pool.encode(), weight)
        if found > most:
            best, most = pool, found
    return best


@dataclass(frozen=True, slots=True)
class Ramp:
    """A share that grows linearly, in equal steps that are large enough to have distinguishable effects."""

    part: float  # the final share
    span_ms: float  # 0: the final share at once
    STEPS = 20

    def at(self, since_ms: float) -> float:
        return self.after(self.step(since_ms))

    def step(self, since_ms: float) -> int:
        """The current step, from 1 to STEPS."""
        if self.span_ms <= 0.0 or since_ms >= self.span_ms:
            return self.STEPS
        return min(self.STEPS, int(self.STEPS * max(0.0, since_ms) / self.span_ms) + 1)

    def after(self, step: int) -> float:
        return self.part * min(1.0, step / self.STEPS)
