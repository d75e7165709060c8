"""What is a storm and what is none, told by rates and shares alone: each course of events as a small script."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from larkweir_balancing.interface import Effect, RequestClass

from larkweir.storms.signs import Signs, State, StormStateMachine

CLASSES = (RequestClass(410.0, 1000.0, Effect.SAFE, name="look"),)
TENANTS = 6
TICK = 205.0


class Story:
    """Requests come by chance at rates that a script changes; each ends well, or in vain, by chance."""

    def __init__(self, per_s: float = 40.0, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.signs = Signs(CLASSES, TENANTS)
        self.state_machine = StormStateMachine()
        self.now = 0.0
        self.rates = [per_s / TENANTS] * TENANTS
        self.in_vain = 0.01
        self.again = 0.02
        self.connects = 0.5
        self.shedding = False
        self.ready, self.cold = 12, 0
        self.seen: list[State] = []

    def run(self, seconds: float, each: Callable[[float], None] = lambda at: None) -> list[State]:
        """The states that were passed through, from the present one on."""
        self.seen = [self.state_machine.state]
        until = self.now + seconds * 1000.0
        begun = self.now
        while self.now < until:
            self.now += TICK
            each((self.now - begun) / 1000.0)
            self.signs.listed(self.ready, self.cold)
            for tenant, rate in enumerate(self.rates):
                for _ in range(self._poisson(rate * TICK / 1000.0)):
                    self.signs.arrived(self.now, tenant, self.rng.random() < self.again)
                    if self.ready:
                        self.signs.call_ended(self.now, self.rng.random() >= self.in_vain)
            for _ in range(self._poisson(self.connects * TICK / 1000.0)):
                self.signs.connections.add(self.now)
            self.signs.evaluate(self.now, TICK, self.state_machine.state is State.CALM)
            if self.state_machine.step(self.now, TICK, self.signs, self.shedding):
                self.seen.append(self.state_machine.state)
        return self.seen

    def _poisson(self, mean: float) -> int:
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    def outage(self) -> None:
        self.ready, self.in_vain, self.again = 0, 1.0, 0.6
        self.rates = [rate * 2.5 for rate in self.rates]

    def back(self) -> None:
        self.ready = self.cold = 12
        self.in_vain = 0.6

    def well(self) -> None:
        self.in_vain, self.again, self.cold = 0.01, 0.02, 0
        self.rates = [rate / 2.5 for rate in self.rates]


@pytest.mark.parametrize("per_s", [3.0, 40.0, 400.0])
@pytest.mark.parametrize("seed", range(4))
def test_an_outage_and_a_return_are_a_storm_that_passes(per_s: float, seed: int) -> None:
    story = Story(per_s, seed)
    assert story.run(60) == [State.CALM]
    story.in_vain = 1.0  # they fail before anybody tells of it
    story.run(1)
    story.outage()
    story.run(8)
    assert story.state_machine.state in (State.STORM, State.BUILDING)
    story.back()
    story.run(4)
    assert story.state_machine.state is State.STORM
    story.well()
    assert story.run(15)[-1] is State.CALM


@pytest.mark.parametrize("seed", range(4))
def test_a_busy_morning_is_none(seed: int) -> None:
    story = Story(20.0, seed)
    story.run(60)

    def rise(at: float) -> None:
        story.rates = [20.0 / TENANTS * (1.0 + at / 60.0)] * TENANTS

    assert State.STORM not in story.run(240, rise)


@pytest.mark.parametrize("seed", range(4))
def test_a_burst_that_is_served_is_none(seed: int) -> None:
    story = Story(seed=seed)
    story.run(60)
    story.rates = [rate * 3.0 for rate in story.rates]
    assert story.run(30) == [State.CALM]


@pytest.mark.parametrize("seed", range(4))
def test_a_deploy_is_none(seed: int) -> None:
    story = Story(seed=seed)
    story.run(60)

    def roll(at: float) -> None:
        story.cold = min(12, int(at / 2.0)) if at < 24 else max(0, 12 - int((at - 24) / 0.75))
        story.in_vain = 0.05

    assert story.run(40, roll) == [State.CALM]


def test_a_single_loud_tenant_is_none() -> None:
    """It may even fail and come again: it is refused as one over its share."""
    story = Story()
    story.run(60)
    story.rates[2] *= 10.0
    story.in_vain = 0.15
    assert State.STORM not in story.run(30)


def test_a_false_alarm_sheds_nothing() -> None:
    """Half of all calls fail, as after a bad release, and nobody comes in greater numbers: a fault and no storm."""
    story = Story()
    story.run(60)
    story.in_vain = 0.5
    seen = story.run(20)
    assert State.STORM not in seen and State.BUILDING in seen
    story.in_vain = 0.01
    assert story.run(10)[-1] is State.CALM


def test_errors_that_are_usual_are_no_trouble() -> None:
    story = Story()
    story.in_vain = 0.01

    def worse(at: float) -> None:
        story.in_vain = min(0.3, at / 400.0)

    story.run(180, worse)
    assert story.state_machine.state is State.CALM
    story.cold = 12
    assert State.STORM not in story.run(20)


def test_traffic_that_has_doubled_for_good_is_no_storm_once_it_is_served() -> None:
    story = Story()
    story.run(60)
    story.in_vain = 1.0
    story.run(1)
    story.outage()
    story.run(6)
    story.back()
    story.run(6)
    story.in_vain, story.again, story.cold = 0.01, 0.02, 0  # and the rate stays at 2.5 times what it was
    assert story.run(10)[-1] is State.CALM
    assert story.run(30) == [State.CALM]


def test_one_that_falls_again_three_times_is_a_storm_each_time() -> None:
    story = Story()
    story.run(60)
    for _ in range(3):
        story.in_vain = 1.0
        story.run(1)
        story.outage()
        story.run(5)
        assert story.state_machine.state is State.STORM
        story.back()
        story.run(3)
        story.well()
        story.run(1.5)
    assert story.run(12)[-1] is State.CALM


def test_a_recovery_lasts_while_something_is_turned_away() -> None:
    story = Story()
    story.run(60)
    story.in_vain = 1.0
    story.run(1)
    story.outage()
    story.run(5)
    story.back()
    story.run(2)
    story.well()
    story.shedding = True
    assert story.run(10)[-1] is State.RECOVERING
    story.shedding = False
    assert story.run(5)[-1] is State.CALM


def test_a_storm_of_connections_without_requests_sheds_none() -> None:
    story = Story()
    story.run(60)
    story.connects = 400.0
    assert story.run(10) == [State.CALM, State.BUILDING]
    assert story.signs.flooded
    story.connects = 0.5
    assert story.run(20)[-1] is State.CALM


def test_a_fleet_made_smaller_for_good_is_not_weak_for_ever() -> None:
    story = Story()
    story.run(60)
    story.ready = 5
    story.run(1)
    assert story.signs.weak
    story.run(120)
    assert not story.signs.weak
