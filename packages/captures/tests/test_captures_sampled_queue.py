"""Weights of sampled records stay unbiased when records are shed."""

from __future__ import annotations

from random import Random

import captures_rig  # noqa: F401 - it loads the hypothesis profile
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.records import PendingRecord
from larkweir_captures.sampled_queue import SampledQueue
from larkweir_captures.sampling import CAPTURE_NONE, threshold_of


def _drain(drawn: SampledQueue, arrivals: list[tuple[float, int, int, int]]) -> dict[int, float]:
    """Weights by arrival, each (when, randomness, threshold, bytes), when all has gone out."""
    weights: dict[int, float] = {}
    now = 0.0
    for number, (when, rv, threshold, cost) in enumerate(arrivals):
        while drawn.wait_ms(now) <= when - now:
            now += drawn.wait_ms(now)
            if (found := drawn.take(now)) is not None:
                weights[int(found[0].trace_id)] = found[1]
        now = when
        if rv >= threshold:
            drawn.put(PendingRecord(str(number), rv, threshold, b"", cost))
    while len(drawn):
        now += max(drawn.wait_ms(now), 1e-3)
        if (found := drawn.take(now)) is not None:
            weights[int(found[0].trace_id)] = found[1]
            assert (
                found[0].rv >= found[0].threshold - 2**8
            )  # it lies above what its line says, but for rounding
    return weights


@settings(max_examples=12)
@given(st.integers(0, 2**30), st.integers(0, 39), st.sampled_from((0.0, 0.5, 0.9)))
def test_weights_stay_unbiased_when_records_are_let_go(seed: int, at: int, skip: float) -> None:
    """All other hashes held fast, one record's weight is 1 on average over its own: the estimate's law, exactly."""
    rng = Random(seed)
    arrivals = [
        (
            n * 30.0 * rng.random(),
            rng.randrange(CAPTURE_NONE),
            threshold_of(rng.choice((1.0, 0.4))),
            rng.randrange(300, 1500),
        )
        for n in range(40)
    ]
    arrivals.sort()
    when, _, _, cost = arrivals[at]
    threshold, grid, found = threshold_of(1.0 - skip), 200, 0.0
    for step in range(grid):
        arrivals[at] = (when, CAPTURE_NONE * (2 * step + 1) // (2 * grid), threshold, cost)
        found += _drain(SampledQueue(OutputLimit(10.0, 6000.0), 1.0), arrivals).get(at, 0.0)
    assert found / grid == pytest.approx(1.0, abs=0.03 / (1.0 - skip))
