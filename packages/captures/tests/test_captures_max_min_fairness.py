"""Rates are max-min fair, for any loads."""

from __future__ import annotations

import captures_rig  # noqa: F401 - it loads the hypothesis profile
from hypothesis import given
from hypothesis import strategies as st
from larkweir_captures.max_min_fairness import max_min_rates

LOADS = st.dictionaries(st.integers(1, 8), st.floats(0.01, 1000.0), max_size=8)


@given(LOADS, st.lists(st.tuples(st.one_of(st.just(0.0), st.floats(0.1, 500.0)), LOADS), max_size=6))
def test_rates_are_max_min_fair(begun: dict[int, float], nodes: list[tuple[float, dict[int, float]]]) -> None:
    """No node takes more than it can, and who is not captured whole passes a full node where nobody has more."""
    rates = max_min_rates(begun, nodes)
    sizes = {key: begun.get(key) or max(loads.get(key, 0.0) for _, loads in nodes) for key in rates}
    full = []
    for room, loads in nodes:
        taken = sum(load * rates[key] for key, load in loads.items())
        assert taken <= room + 1e-6 * (1.0 + room)
        full.append(taken >= room - 1e-6 * (1.0 + room))
    for key, rate in rates.items():
        if rate < 1.0:
            mine = rate * sizes[key] * (1.0 + 1e-6)
            assert any(
                held and key in loads and all(rates[other] * sizes[other] <= mine for other in loads)
                for held, (_, loads) in zip(full, nodes, strict=True)
            )
