"""Thresholds and randomness: each law for any input."""

from __future__ import annotations

from captures_rig import RATES, RVS, THRESHOLDS
from hypothesis import given
from hypothesis import strategies as st
from larkweir_captures.propagation import SamplingDecision
from larkweir_captures.sampling import randomness, rate_of, scaled_threshold, threshold_of


@given(RATES, RATES, st.integers(0, 10**9))
def test_a_lower_rate_captures_a_subset(one: float, other: float, seed: int) -> None:
    low, high = sorted((one, other))
    for rv in [randomness(b"%d.%d" % (seed, n)) for n in range(100)]:
        assert (
            SamplingDecision(rv, threshold_of(high)).captured
            or not SamplingDecision(rv, threshold_of(low)).captured
        )
    assert low * (1 - 1 / 2048) - 2.0**-55 <= rate_of(threshold_of(low)) <= low


@given(THRESHOLDS, st.floats(0.0, 1.5), RVS)
def test_a_hop_past_its_bound_captures_a_subset(threshold: int, part: float, rv: int) -> None:
    assert scaled_threshold(threshold, part) >= threshold
    assert rate_of(scaled_threshold(threshold, part)) <= rate_of(threshold) * max(part, 1e-300) or part > 1.0


def test_randomness_is_even() -> None:
    found = [randomness(b"%d" % n) for n in range(20_000)]
    for rate in (0.5, 0.1, 0.01):
        drawn = sum(rv >= threshold_of(rate) for rv in found)
        assert abs(drawn - 20_000 * rate) < 4.0 * (20_000 * rate) ** 0.5
