"""Consistent probability sampling: whether a request is captured depends on a hash of its trace's id and a threshold.

As in OpenTelemetry's "TraceState: Probability Sampling" (rejection threshold `th` and randomness `rv` of 56 bits): a
request is captured if its randomness is at least the threshold. A higher threshold captures a subset of what a lower
one captures, so hops with different thresholds still agree on the rarer set, and a record stands for 2**56 / (2**56 -
threshold) requests. The randomness is BLAKE2b of the trace's id: ids are arbitrary text here, so their own last bits
can't be trusted to be random. Pure logic.
"""

from __future__ import annotations

import math
from hashlib import blake2b

BITS = 56
CAPTURE_NONE = 1 << BITS  # the threshold that captures nothing
_SIGNIFICANT_BITS = 12  # of a probability: thresholds stay short, and at most 1/2048 below the requested rate

TableVersion = tuple[int, int]  # (term, number) of a threshold table


def randomness(trace_id: bytes) -> int:
    """56 bits that are the same for a trace at every hop."""
    return int.from_bytes(blake2b(trace_id, digest_size=BITS // 8).digest(), "big")


def key_of(route: str, cls: str, tenant: str) -> int:
    """The 32-bit key of a route, class and tenant. Two that collide share a threshold, which harms neither."""
    text = "\x1f".join((route, cls, tenant)).encode("utf-8", "surrogatepass")
    return int.from_bytes(blake2b(text, digest_size=4).digest(), "big")


def threshold_of(rate: float) -> int:
    """The threshold that captures the fraction `rate` of all requests, or slightly less; never more."""
    if not rate > 0.0:  # also true of NaN
        return CAPTURE_NONE
    captured = min(CAPTURE_NONE, int(rate * CAPTURE_NONE))
    spare_bits = captured.bit_length() - _SIGNIFICANT_BITS
    if spare_bits > 0:
        captured = captured >> spare_bits << spare_bits
    return CAPTURE_NONE - captured


def rate_of(threshold: int) -> float:
    """The fraction of requests that a threshold captures."""
    return (CAPTURE_NONE - threshold) / CAPTURE_NONE


def scaled_threshold(threshold: int, fraction: float) -> int:
    """The threshold that captures a `fraction` (0 to 1) of what this one captures. Never lower than it."""
    if fraction >= 1.0:
        return threshold
    return max(threshold, threshold_of(rate_of(threshold) * max(0.0, fraction)))


def margin_of(threshold: int, rv: int) -> float:
    """How far a captured request lies above its threshold, uniform from 0 to 1. Requests with a smaller margin are shed
    first, so the order is the same at every hop.
    """
    return (rv - threshold) / (CAPTURE_NONE - threshold)


def overload_fraction(utilization: float) -> float:
    """The fraction of requests that is still captured at a queue's utilization: 1 up to 0.25, a 400th at 1.

    Exponential, so that an overload of any factor up to that settles at a level of its own: a factor of ten at 0.54.
    """
    return math.exp(-8.0 * (utilization - 0.25)) if utilization > 0.25 else 1.0
