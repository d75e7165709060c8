"""Evidence against a hypothesis on counts of a binary outcome, which may be looked at after every observation.

A mixture of likelihood ratios is a martingale of mean 1 as long as the hypothesis holds. By Ville's inequality (1939)
the probability that it ever reaches 1/alpha is at most alpha, however often it is looked at (Robbins 1970; Howard,
Ramdas et al. 2021). A weighted mean of several such e-values is again one, whatever their dependence.
"""

from __future__ import annotations

import math

# Alternatives, as fractions of the way from the hypothesis' probability to 1: from rare faults to all answers.
ALTERNATIVE_FRACTIONS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8)
MAX_LOG_EVIDENCE = 60.0  # keeps sums of e-values finite


def e_value(hits: float, trials: int, null_probability: float) -> float:
    """Return the evidence that hits are more probable than the hypothesis says: 1 is none, 1000 strong.

    Args:
        hits: observations of the outcome, at most `trials`.
        trials: all observations.
        null_probability: the outcome's probability by the hypothesis, at most.
    """
    if trials <= 0 or not 0.0 < null_probability < 1.0:
        return 1.0
    total = 0.0
    for fraction in ALTERNATIVE_FRACTIONS:
        probability = null_probability + fraction * (1.0 - null_probability)
        log_ratio = hits * math.log(probability / null_probability)
        log_ratio += (trials - hits) * math.log1p(-fraction)  # (1 - probability) / (1 - null_probability)
        total += math.exp(min(MAX_LOG_EVIDENCE, log_ratio))
    return total / len(ALTERNATIVE_FRACTIONS)
