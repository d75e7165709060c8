"""Estimating an engine's time to the first event from noisy samples."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_balancing.prefill_time import MIN_SAMPLE_WEIGHT, PrefillTime


@pytest.mark.parametrize(("fixed_ms", "ms_per_token"), [(30.0, 0.009), (60.0, 0.03), (10.0, 0.002)])
def test_the_line_is_fitted_despite_noise(fixed_ms: float, ms_per_token: float) -> None:
    rng, line = Random(3), PrefillTime()
    for _ in range(400):
        tokens = rng.uniform(0.0, 40_000.0)
        line.observe(tokens, fixed_ms + ms_per_token * tokens + rng.gauss(0.0, 10.0))
    assert line.ms_per_token == pytest.approx(ms_per_token, rel=0.1)
    assert line.fixed_ms == pytest.approx(fixed_ms, abs=10.0)


def test_few_samples_do_not_replace_the_defaults() -> None:
    line, fresh = PrefillTime(), PrefillTime()
    for _ in range(int(MIN_SAMPLE_WEIGHT) - 1):
        line.observe(1_000.0, 5_000.0)
    assert line.expected_ms(10_000.0) == fresh.expected_ms(10_000.0)


def test_requests_of_one_size_determine_only_the_fixed_time() -> None:
    line = PrefillTime()
    for _ in range(200):
        line.observe(0.0, 75.0)
    assert line.ms_per_token == PrefillTime().ms_per_token
    assert line.expected_ms(0.0) == pytest.approx(75.0)


def test_the_estimate_follows_a_change_of_speed() -> None:
    rng, line = Random(4), PrefillTime()
    for ms_per_token in (0.01, 0.04):
        for _ in range(600):
            tokens = rng.uniform(0.0, 20_000.0)
            line.observe(tokens, 30.0 + ms_per_token * tokens)
    assert line.ms_per_token == pytest.approx(0.04, rel=0.05)
