"""Local health: the bounds of the score, and the resulting timeout multiplier."""

from __future__ import annotations

from larkweir_peers.local_health import LocalHealth


def test_the_score_stays_within_its_bounds_and_multiplies_by_one_more() -> None:
    health = LocalHealth(8)
    found = []
    for change in (-1, 1, 3, 9, -1, -20):
        health.adjust(change)
        found.append((health.score, health.multiplier))
    assert found == [(0, 1), (1, 2), (4, 5), (8, 9), (7, 8), (0, 1)]
