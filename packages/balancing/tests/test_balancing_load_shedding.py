"""Load shedding, with a model of one core.

Each event loop iteration handles the requests that arrived during the previous one, and lasts as long as they take.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.interface import Effect, RequestClass
from larkweir_balancing.load_shedding import LoadShedder

AIM_MS = 400.0
CLASSES = (
    RequestClass(AIM_MS, 1000.0, Effect.SAFE, worth=1.0, name="look"),
    RequestClass(AIM_MS, 1000.0, Effect.KEYED, worth=8.0, name="post"),
)
SERVE_MS, SHED_MS = 0.2, 0.04


class SimulatedCore:
    """Gets `per_ms` requests per ms: a fraction `valuable` is in the second class, a fraction `retries` are retries."""

    def __init__(self, per_ms: float, valuable: float = 0.25, retries: float = 0.0, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.shedder = LoadShedder(CLASSES, Random(seed + 1))
        self.per_ms, self.valuable, self.retries = per_ms, valuable, retries
        self.now = 0.0
        self.iteration_ms = 1.0
        self.admitted: dict[tuple[int, bool], int] = {}
        self.arrived: dict[tuple[int, bool], int] = {}
        self.longest_ms = 0.0

    def iterate(self) -> None:
        spent = 0.0
        for _ in range(int(self.iteration_ms * self.per_ms + self.rng.random())):
            kind = (int(self.rng.random() < self.valuable), self.rng.random() < self.retries)
            self.arrived[kind] = self.arrived.get(kind, 0) + 1
            if not self.shedder.is_shedding or self.shedder.admits(*kind):
                self.admitted[kind] = self.admitted.get(kind, 0) + 1
                spent += SERVE_MS
            else:
                spent += SHED_MS
        # Arrivals during an iteration are handled in the next one. The cap bounds the backlog, as clients do.
        self.iteration_ms = min(2_000.0, max(1.0, spent))
        self.now += self.iteration_ms
        self.longest_ms = max(self.longest_ms, self.iteration_ms)
        self.shedder.on_iteration(spent, self.iteration_ms)

    def run(self, ms: float) -> None:
        self.arrived, self.admitted, self.longest_ms = {}, {}, 0.0
        until = self.now + ms
        while self.now < until:
            self.iterate()

    def admitted_fraction(self, *kinds: tuple[int, bool]) -> float:
        return sum(self.admitted.get(k, 0) for k in kinds) / max(
            1, sum(self.arrived.get(k, 0) for k in kinds)
        )


def test_below_its_capacity_nothing_is_shed() -> None:
    core = SimulatedCore(0.9 / SERVE_MS)
    core.run(20_000.0)
    assert not core.shedder.shed_count


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_an_overloaded_core_keeps_iterations_short_and_stays_busy(load: float) -> None:
    core = SimulatedCore(load / SERVE_MS)
    core.run(5_000.0)
    core.run(30_000.0)
    assert core.longest_ms < 0.5 * AIM_MS  # an answer takes three iterations
    served = sum(core.admitted.values()) * SERVE_MS / 30_000.0
    shed = (sum(core.arrived.values()) - sum(core.admitted.values())) * SHED_MS / 30_000.0
    assert served + shed > 0.95  # nothing is shed while the core is idle


def test_low_worth_and_retries_are_shed_first_but_never_completely() -> None:
    core = SimulatedCore(2.0 / SERVE_MS, retries=0.3)
    core.run(5_000.0)
    core.run(30_000.0)
    assert core.admitted_fraction((1, False), (1, True)) > 0.99
    assert core.admitted_fraction((0, True)) < core.admitted_fraction((0, False))
    assert core.admitted_fraction((0, True)) > 0.02


def test_shedding_ends_soon_after_the_overload() -> None:
    core = SimulatedCore(3.0 / SERVE_MS)
    core.run(5_000.0)
    assert core.shedder.is_shedding
    core.per_ms = 0.5 / SERVE_MS
    core.run(2_000.0)
    assert not core.shedder.is_shedding
    core.run(2_000.0)
    assert core.admitted_fraction((0, False), (1, False)) == 1.0


def test_one_long_iteration_is_not_an_overload() -> None:
    # A process may be paused once, by SIGSTOP, a page fault or a neighbour on the core; that must not cause shedding.
    core = SimulatedCore(0.5 / SERVE_MS)
    core.run(1_000.0)
    core.shedder.on_iteration(2_000.0, 2_000.0)
    core.run(1_000.0)
    assert core.admitted_fraction((0, False)) > 0.9
    assert not core.shedder.is_shedding


@given(iterations=st.lists(st.floats(0.0, 1e7), max_size=200), seed=st.integers(0, 99))
def test_for_any_iterations_probabilities_stay_in_range_and_shedding_ends(
    iterations: list[float], seed: int
) -> None:
    rng = Random(seed)
    shedder = LoadShedder(CLASSES, Random(seed))
    for busy_ms in iterations:
        shedder.on_iteration(busy_ms, 1.5 * busy_ms)
        if shedder.is_shedding:
            shedder.admits(rng.randrange(2), rng.random() < 0.5)
        assert 0.0 <= shedder.shed_fraction <= LoadShedder.MAX_SHED_FRACTION
        assert all(
            0.0 <= probability <= LoadShedder.MAX_SHED_FRACTION for probability in shedder._shed_probabilities
        )
    for _ in range(400):
        shedder.on_iteration(0.0, 1.0)
    assert not shedder.is_shedding


def test_a_class_that_reuses_an_index_starts_without_history() -> None:
    """It takes over neither the traffic fraction nor the shed probability of the class that was removed."""
    shedder = LoadShedder(CLASSES, Random(1))
    shedder.is_shedding = True
    for _ in range(500):
        shedder.admits(0, False)
        shedder.on_iteration(AIM_MS, AIM_MS)
    assert shedder._shed_probabilities[1] > 0.5 and shedder._traffic_fractions[1] > 0.9
    kept = shedder._traffic_fractions[2:], shedder._shed_probabilities[2:]
    shedder.configure((replace(CLASSES[0], name="new"), CLASSES[1]))
    new = LoadShedder(CLASSES, Random(1))
    assert (shedder._traffic_fractions[:2], shedder._shed_probabilities[:2]) == (
        new._traffic_fractions[:2],
        new._shed_probabilities[:2],
    )
    assert (shedder._traffic_fractions[2:], shedder._shed_probabilities[2:]) == kept
    assert all(
        shedder.admits(0, False) for _ in range(20)
    )  # until the next iteration sets what is to be shed
