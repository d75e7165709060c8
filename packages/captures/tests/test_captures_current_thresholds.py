"""Tables never go back, and the fallback when none arrives."""

from __future__ import annotations

import captures_rig  # noqa: F401 - it loads the hypothesis profile
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_captures.current_thresholds import CurrentThresholds
from larkweir_captures.messages import ThresholdTable
from larkweir_captures.sampling import CAPTURE_NONE, rate_of, threshold_of


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5), st.integers(0, CAPTURE_NONE)), max_size=20))
def test_tables_never_go_back(tables: list[tuple[int, int, int]]) -> None:
    held, highest = CurrentThresholds(0.1, 1000.0, 0.25), (0, 0)
    for now, (term, number, threshold) in enumerate(tables):
        came = held.offer(ThresholdTable(term, number, "a:1", 1000, threshold, {}), float(now))
        assert came == ((term, number) > highest)
        highest = max(highest, (term, number))
        assert held.version == highest


def test_without_word_the_last_thresholds_hold_then_a_safe_part() -> None:
    held = CurrentThresholds(0.1, 1000.0, 0.25)
    assert held.threshold(5, 10_000.0) == threshold_of(0.1)  # nobody has ever set any
    held.offer(ThresholdTable(1, 1, "a:1", 1000, threshold_of(0.5), {5: threshold_of(0.8)}), 10_000.0)
    assert held.threshold(5, 11_000.0) == threshold_of(0.8)
    assert rate_of(held.threshold(5, 11_001.0)) == pytest.approx(0.2, rel=1e-3)
    assert rate_of(held.threshold(6, 11_001.0)) == pytest.approx(0.125, rel=1e-3)
    held.offer(ThresholdTable(1, 2, "a:1", 1000, threshold_of(0.5), {}), 12_000.0)
    assert held.threshold(5, 12_000.0) == threshold_of(0.5)
