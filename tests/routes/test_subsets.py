"""Subsets are small, load upstreams evenly, and change little when one upstream does."""

from __future__ import annotations

from collections import Counter

import pytest

from larkweir.routes.subsets import STRATEGIES, min_subset_size, ring


def load(names: list[str], balancer_count: int, size: int, strategy: str) -> Counter[str]:
    found: Counter[str] = Counter()
    for me in range(balancer_count):
        mine = STRATEGIES[strategy](names, me, balancer_count, size)
        assert len(mine) == len(set(mine)) == min(size, len(names))
        found.update(mine)
    return found


@pytest.mark.parametrize(
    ("upstreams", "balancer_count", "size"), [(40, 20, 8), (200, 30, 20), (100, 200, 10), (7, 3, 10)]
)
def test_the_ring_loads_upstreams_evenly(upstreams: int, balancer_count: int, size: int) -> None:
    names = [f"s{n}" for n in range(upstreams)]
    found = load(names, balancer_count, size, "ring")
    mean = sum(found.values()) / upstreams
    assert max(found.values()) <= mean + 1.0 + 1e-9 and min(found[name] for name in names) >= int(mean) - 1


@pytest.mark.parametrize("strategy", STRATEGIES)
def test_subsets_do_not_depend_on_the_order_of_the_list(strategy: str) -> None:
    names = [f"s{n}" for n in range(50)]
    for me in range(5):
        assert set(STRATEGIES[strategy](names, me, 5, 10)) == set(
            STRATEGIES[strategy](list(reversed(names)), me, 5, 10)
        )


def test_removing_one_upstream_changes_little() -> None:
    """Restarts of balancers change nothing, since a balancer's position depends on the settings only."""
    names = [f"s{n}" for n in range(200)]
    moved = kept = 0
    for me in range(30):
        before, after = set(ring(names, me, 30, 20)), set(ring(names[1:], me, 30, 20))
        moved += len(after - before)
        kept += len(after & before)
    assert moved / (moved + kept) < 0.05
    restarted = [set(ring(names, me, 30, 20)) for me in range(15)]
    assert restarted == [set(ring(names, me, 30, 20)) for me in range(15)]


def test_with_the_minimum_size_each_upstream_is_in_some_subset() -> None:
    for upstreams, balancer_count in ((40, 20), (2000, 30), (2000, 2000)):
        names = [f"s{n}" for n in range(upstreams)]
        assert set(load(names, balancer_count, min_subset_size(upstreams, balancer_count), "ring")) == set(
            names
        )
