"""Service times: their mean, and draws from their distributions. Pure logic."""

from __future__ import annotations

import math
from random import Random

from larkweir.lab.scenario import Service


def mean_of(service: Service) -> float:
    """The mean milliseconds of a call at a server of speed 1."""
    if service.kind != "pareto":
        return service.mean_ms
    # A Pareto distribution that is truncated at `most` times the mean of the untruncated one.
    alpha, high = service.shape, service.most
    low = (alpha - 1.0) / alpha
    if alpha == 1.0:
        return service.mean_ms
    part = (low / high) ** alpha
    cut = low**alpha / (1.0 - part) * alpha / (alpha - 1.0) * (low ** (1.0 - alpha) - high ** (1.0 - alpha))
    return float(service.mean_ms * cut)


def draw(service: Service, rng: Random) -> float:
    """Draw the milliseconds that a call takes at a server of speed 1."""
    if service.kind == "exponential":
        return rng.expovariate(1.0 / service.mean_ms)
    if service.kind == "deterministic":
        return service.mean_ms
    if service.kind == "lognormal":
        sigma = service.shape
        return rng.lognormvariate(math.log(service.mean_ms) - sigma * sigma / 2.0, sigma)
    alpha, high = service.shape, service.most
    low = (alpha - 1.0) / alpha
    part = (low / high) ** alpha
    return float(service.mean_ms * low / (1.0 - rng.random() * (1.0 - part)) ** (1.0 / alpha))
