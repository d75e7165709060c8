"""Means with confidence intervals, and paired differences of runs that had the same arrivals. Pure logic."""

from __future__ import annotations

import math
from collections.abc import Sequence
from statistics import NormalDist, fmean, stdev
from typing import NamedTuple


class Interval(NamedTuple):
    """A mean with the half width of its 95% confidence interval."""

    mean: float
    half: float  # half of the 95% interval; infinite of fewer than two
    seeds: int

    @property
    def tells(self) -> bool:
        """Whether the interval excludes 0."""
        return abs(self.mean) > self.half


def t_quantile(freedom: int, part: float = 0.975) -> float:
    """Student's t by Cornish and Fisher's expansion round the normal one; exact for one and two degrees."""
    if freedom == 1:
        return math.tan(math.pi * (part - 0.5))
    if freedom == 2:
        return (2.0 * part - 1.0) * math.sqrt(2.0 / (4.0 * part * (1.0 - part)))
    z = NormalDist().inv_cdf(part)
    n = float(freedom)
    return (
        z
        + (z**3 + z) / (4.0 * n)
        + (5.0 * z**5 + 16.0 * z**3 + 3.0 * z) / (96.0 * n**2)
        + (3.0 * z**7 + 19.0 * z**5 + 17.0 * z**3 - 15.0 * z) / (384.0 * n**3)
    )


def interval(values: Sequence[float]) -> Interval:
    """The mean of values, with the interval by Student's t."""
    count = len(values)
    if count < 2:
        return Interval(values[0] if values else math.nan, math.inf, count)
    return Interval(fmean(values), t_quantile(count - 1) * stdev(values) / math.sqrt(count), count)


def paired(one: dict[int, float], other: dict[int, float]) -> Interval:
    """The second less the first, over the seeds that both have."""
    return interval([other[seed] - one[seed] for seed in sorted(one.keys() & other.keys())])


def enough(values: Sequence[float], half: float) -> bool:
    """The stopping rule: at least three values, and an interval as narrow as `half`."""
    return len(values) >= 3 and interval(values).half <= half
