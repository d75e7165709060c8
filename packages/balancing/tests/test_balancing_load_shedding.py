"""The door's rules, before a model of one core: a turn handles all that came in the turn before, and takes as long."""

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


class Core:
    """Arrivals of `per_ms`, a part of `dear` of the second class, `again` of either are repeats."""

    def __init__(self, per_ms: float, dear: float = 0.25, again: float = 0.0, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.door = LoadShedder(CLASSES, Random(seed + 1))
        self.per_ms, self.dear, self.again = per_ms, dear, again
        self.now = 0.0
        self.turn_ms = 1.0
        self.let_in: dict[tuple[int, bool], int] = {}
        self.came: dict[tuple[int, bool], int] = {}
        self.longest = 0.0

    def turn(self) -> None:
        spent = 0.0
        for _ in range(int(self.turn_ms * self.per_ms + self.rng.random())):
            kind = (int(self.rng.random() < self.dear), self.rng.random() < self.again)
            self.came[kind] = self.came.get(kind, 0) + 1
            if not self.door.is_shedding or self.door.admits(*kind):
                self.let_in[kind] = self.let_in.get(kind, 0) + 1
                spent += SERVE_MS
            else:
                spent += SHED_MS
        # What a core can't do while one turn lasts is there for the next: a backlog is bounded by what callers send.
        self.turn_ms = min(2_000.0, max(1.0, spent))
        self.now += self.turn_ms
        self.longest = max(self.longest, self.turn_ms)
        self.door.on_iteration(spent, self.turn_ms)

    def run(self, ms: float) -> None:
        self.came, self.let_in, self.longest = {}, {}, 0.0
        until = self.now + ms
        while self.now < until:
            self.turn()

    def part(self, *kinds: tuple[int, bool]) -> float:
        return sum(self.let_in.get(k, 0) for k in kinds) / max(1, sum(self.came.get(k, 0) for k in kinds))


def test_below_its_limit_a_core_turns_nobody_away() -> None:
    core = Core(0.9 / SERVE_MS)
    core.run(20_000.0)
    assert not core.door.shed_count


@pytest.mark.parametrize("times", [1.5, 3.0])
def test_an_overrun_core_keeps_its_turns_within_a_part_of_the_aim_and_works_on(times: float) -> None:
    core = Core(times / SERVE_MS)
    core.run(5_000.0)
    core.run(30_000.0)
    assert core.longest < 0.5 * AIM_MS  # three turns are an answer
    served = sum(core.let_in.values()) * SERVE_MS / 30_000.0
    shed = (sum(core.came.values()) - sum(core.let_in.values())) * SHED_MS / 30_000.0
    assert served + shed > 0.95  # nobody is shed for a core that idles


def test_least_worth_goes_first_and_repeats_before_first_tries_and_nobody_is_shut_out() -> None:
    core = Core(2.0 / SERVE_MS, again=0.3)
    core.run(5_000.0)
    core.run(30_000.0)
    assert core.part((1, False), (1, True)) > 0.99
    assert core.part((0, True)) < core.part((0, False))
    assert core.part((0, True)) > 0.02


def test_an_overload_that_ends_opens_the_door_again_within_a_second() -> None:
    core = Core(3.0 / SERVE_MS)
    core.run(5_000.0)
    assert core.door.is_shedding
    core.per_ms = 0.5 / SERVE_MS
    core.run(2_000.0)
    assert not core.door.is_shedding
    core.run(2_000.0)
    assert core.part((0, False), (1, False)) == 1.0


def test_one_long_turn_is_no_overload() -> None:
    # Guards against shedding for a process that stood still once: SIGSTOP, a page fault, a neighbour on the core.
    core = Core(0.5 / SERVE_MS)
    core.run(1_000.0)
    core.door.on_iteration(2_000.0, 2_000.0)
    core.run(1_000.0)
    assert core.part((0, False)) > 0.9
    assert not core.door.is_shedding


@given(turns=st.lists(st.floats(0.0, 1e7), max_size=200), seed=st.integers(0, 99))
def test_whatever_the_turns_the_odds_are_odds_and_someone_is_let_in(turns: list[float], seed: int) -> None:
    rng = Random(seed)
    door = LoadShedder(CLASSES, Random(seed))
    for lasted in turns:
        door.on_iteration(lasted, 1.5 * lasted)
        if door.is_shedding:
            door.admits(rng.randrange(2), rng.random() < 0.5)
        assert 0.0 <= door.shed_fraction <= LoadShedder.MAX_SHED_FRACTION
        assert all(0.0 <= odds <= LoadShedder.MAX_SHED_FRACTION for odds in door._shed_probabilities)
    for _ in range(400):
        door.on_iteration(0.0, 1.0)
    assert not door.is_shedding


def test_a_class_that_takes_the_place_of_another_begins_as_a_new_one() -> None:
    """What was learned of the one that is no more says nothing of it: neither what it brings, nor its odds."""
    door = LoadShedder(CLASSES, Random(1))
    door.is_shedding = True
    for _ in range(500):
        door.admits(0, False)
        door.on_iteration(AIM_MS, AIM_MS)
    assert door._shed_probabilities[1] > 0.5 and door._traffic_fractions[1] > 0.9
    kept = door._traffic_fractions[2:], door._shed_probabilities[2:]
    door.configure((replace(CLASSES[0], name="new"), CLASSES[1]))
    new = LoadShedder(CLASSES, Random(1))
    assert (door._traffic_fractions[:2], door._shed_probabilities[:2]) == (
        new._traffic_fractions[:2],
        new._shed_probabilities[:2],
    )
    assert (door._traffic_fractions[2:], door._shed_probabilities[2:]) == kept
    assert all(door.admits(0, False) for _ in range(20))  # until the next turn says what is to be shed
