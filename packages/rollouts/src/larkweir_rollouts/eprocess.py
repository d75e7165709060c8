"""Sequential test of a hypothesis on the probability of a binary outcome. It may be evaluated after every observation.

While the hypothesis holds, a mixture of likelihood ratios is a martingale with mean 1. By Ville's inequality (1939) the
probability that it ever reaches 1/alpha is at most alpha, however often it is evaluated (Robbins 1970; Howard, Ramdas
et al. 2021). A weighted mean of several such e-values is an e-value too, even if they depend on each other.
"""

from __future__ import annotations

import math

# Alternative probabilities, as fractions of the distance from the hypothesis' probability to 1. They cover faults that
# affect few answers as well as faults that affect nearly all.
ALTERNATIVE_FRACTIONS = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8)
MAX_LOG_EVIDENCE = 60.0  # keeps sums of e-values finite


def e_value(hits: float, trials: int, null_probability: float) -> float:
    """Return the evidence that hits are more probable than the hypothesis states: 1 is none, 1000 is strong.

    Args:
        hits: number of observations with the outcome, at most `trials`.
        trials: number of all observations.
        null_probability: upper bound of the outcome's probability under the hypothesis.
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
