"""Estimates a model engine's time to the first event, from the requests of this router. Pure logic.

The time to the first event is a fixed time plus the time to prefill the prompt and those that wait before it. The fixed
time and the time per token are the least squares line through (tokens to prefill, time); the weight of samples decays.
"""

from __future__ import annotations

from dataclasses import dataclass

SAMPLE_DECAY = 0.99  # applied to the weight of all samples at each new one; about the last hundred count
MIN_SAMPLE_WEIGHT = 8.0  # total weight from which the fitted line replaces the defaults
MIN_SPREAD_TOKENS = 500.0  # standard deviation of the tokens, below which the slope is not fitted
DEFAULT_MS_PER_TOKEN = 0.012
DEFAULT_FIXED_MS = 50.0
MAX_MS_PER_TOKEN = 0.5
MIN_MS_PER_TOKEN = 0.001


@dataclass(slots=True)
class PrefillTime:
    """The fitted line. Times are milliseconds."""

    ms_per_token: float = DEFAULT_MS_PER_TOKEN
    fixed_ms: float = DEFAULT_FIXED_MS
    # Weighted sums over the samples.
    _weight: float = 0.0
    _tokens: float = 0.0
    _times: float = 0.0
    _tokens_squared: float = 0.0
    _products: float = 0.0

    def expected_ms(self, tokens: float) -> float:
        """The expected time from sending a request to its first event, with `tokens` to prefill before it."""
        return self.fixed_ms + self.ms_per_token * tokens

    def observe(self, tokens: float, elapsed_ms: float) -> None:
        """Add a sample: a first event after `elapsed_ms`; `tokens` is this router's estimate of those prefilled."""
        self._weight = SAMPLE_DECAY * self._weight + 1.0
        self._tokens = SAMPLE_DECAY * self._tokens + tokens
        self._times = SAMPLE_DECAY * self._times + elapsed_ms
        self._tokens_squared = SAMPLE_DECAY * self._tokens_squared + tokens * tokens
        self._products = SAMPLE_DECAY * self._products + tokens * elapsed_ms
        if self._weight >= MIN_SAMPLE_WEIGHT:
            self._fit()

    def _fit(self) -> None:
        mean_tokens = self._tokens / self._weight
        mean_ms = self._times / self._weight
        variance = self._tokens_squared / self._weight - mean_tokens * mean_tokens
        if variance >= MIN_SPREAD_TOKENS * MIN_SPREAD_TOKENS:
            covariance = self._products / self._weight - mean_tokens * mean_ms
            slope = covariance / variance
            self.ms_per_token = min(MAX_MS_PER_TOKEN, max(MIN_MS_PER_TOKEN, slope))
        self.fixed_ms = max(0.0, mean_ms - self.ms_per_token * mean_tokens)
