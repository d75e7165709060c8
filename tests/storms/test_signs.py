"""Which courses of events are a storm, judged by rates and shares alone: each course is a small script."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from larkweir_balancing.interface import Effect, RequestClass

from larkweir.storms.signs import Signs, State, StormStateMachine

CLASSES = (RequestClass(410.0, 1000.0, Effect.SAFE, name="look"),)
TENANTS = 6
TICK = 205.0


class Simulation:
    """Random requests at rates that a script changes; each succeeds or fails at random."""

    def __init__(self, per_s: float = 40.0, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.signs = Signs(CLASSES, TENANTS)
        self.state_machine = StormStateMachine()
        self.now = 0.0
        self.rates = [per_s / TENANTS] * TENANTS
        self.failure_rate = 0.01
        self.retry_rate = 0.02
        self.connects = 0.5
        self.shedding = False
        self.ready, self.cold = 12, 0
        self.seen: list[State] = []

    def run(self, seconds: float, each: Callable[[float], None] = lambda at: None) -> list[State]:
        """Run for so long; returns the states passed through, starting with the present one."""
        self.seen = [self.state_machine.state]
        until = self.now + seconds * 1000.0
        begun = self.now
        while self.now < until:
            self.now += TICK
            each((self.now - begun) / 1000.0)
            self.signs.listed(self.ready, self.cold)
            for tenant, rate in enumerate(self.rates):
                for _ in range(self._poisson(rate * TICK / 1000.0)):
                    self.signs.arrived(self.now, tenant, self.rng.random() < self.retry_rate)
                    if self.ready:
                        self.signs.call_ended(self.now, self.rng.random() >= self.failure_rate)
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
        self.ready, self.failure_rate, self.retry_rate = 0, 1.0, 0.6
        self.rates = [rate * 2.5 for rate in self.rates]

    def back(self) -> None:
        self.ready = self.cold = 12
        self.failure_rate = 0.6

    def well(self) -> None:
        self.failure_rate, self.retry_rate, self.cold = 0.01, 0.02, 0
        self.rates = [rate / 2.5 for rate in self.rates]


@pytest.mark.parametrize("per_s", [3.0, 40.0, 400.0])
@pytest.mark.parametrize("seed", range(4))
def test_an_outage_and_a_return_are_a_storm_that_passes(per_s: float, seed: int) -> None:
    simulation = Simulation(per_s, seed)
    assert simulation.run(60) == [State.CALM]
    simulation.failure_rate = 1.0  # calls fail before discovery reports it
    simulation.run(1)
    simulation.outage()
    simulation.run(8)
    assert simulation.state_machine.state in (State.STORM, State.BUILDING)
    simulation.back()
    simulation.run(4)
    assert simulation.state_machine.state is State.STORM
    simulation.well()
    assert simulation.run(15)[-1] is State.CALM


@pytest.mark.parametrize("seed", range(4))
def test_a_busy_morning_is_no_storm(seed: int) -> None:
    simulation = Simulation(20.0, seed)
    simulation.run(60)

    def rise(at: float) -> None:
        simulation.rates = [20.0 / TENANTS * (1.0 + at / 60.0)] * TENANTS

    assert State.STORM not in simulation.run(240, rise)


@pytest.mark.parametrize("seed", range(4))
def test_a_burst_that_is_served_is_no_storm(seed: int) -> None:
    simulation = Simulation(seed=seed)
    simulation.run(60)
    simulation.rates = [rate * 3.0 for rate in simulation.rates]
    assert simulation.run(30) == [State.CALM]


@pytest.mark.parametrize("seed", range(4))
def test_a_deploy_is_no_storm(seed: int) -> None:
    simulation = Simulation(seed=seed)
    simulation.run(60)

    def roll(at: float) -> None:
        simulation.cold = min(12, int(at / 2.0)) if at < 24 else max(0, 12 - int((at - 24) / 0.75))
        simulation.failure_rate = 0.05

    assert simulation.run(40, roll) == [State.CALM]


def test_a_single_loud_tenant_is_no_storm() -> None:
    """It may even fail and retry: it is refused as a tenant over its share."""
    simulation = Simulation()
    simulation.run(60)
    simulation.rates[2] *= 10.0
    simulation.failure_rate = 0.15
    assert State.STORM not in simulation.run(30)


def test_a_false_alarm_sheds_nothing() -> None:
    """Half of all calls fail, as after a bad release, but the load does not rise: a fault and no storm."""
    simulation = Simulation()
    simulation.run(60)
    simulation.failure_rate = 0.5
    seen = simulation.run(20)
    assert State.STORM not in seen and State.BUILDING in seen
    simulation.failure_rate = 0.01
    assert simulation.run(10)[-1] is State.CALM


def test_a_usual_error_rate_is_no_trouble() -> None:
    simulation = Simulation()
    simulation.failure_rate = 0.01

    def worse(at: float) -> None:
        simulation.failure_rate = min(0.3, at / 400.0)

    simulation.run(180, worse)
    assert simulation.state_machine.state is State.CALM
    simulation.cold = 12
    assert State.STORM not in simulation.run(20)


def test_traffic_that_has_doubled_for_good_is_no_storm_once_it_is_served() -> None:
    simulation = Simulation()
    simulation.run(60)
    simulation.failure_rate = 1.0
    simulation.run(1)
    simulation.outage()
    simulation.run(6)
    simulation.back()
    simulation.run(6)
    # The rate stays at 2.5 times the usual.
    simulation.failure_rate, simulation.retry_rate, simulation.cold = 0.01, 0.02, 0
    assert simulation.run(10)[-1] is State.CALM
    assert simulation.run(30) == [State.CALM]


def test_three_outages_in_a_row_are_a_storm_each_time() -> None:
    simulation = Simulation()
    simulation.run(60)
    for _ in range(3):
        simulation.failure_rate = 1.0
        simulation.run(1)
        simulation.outage()
        simulation.run(5)
        assert simulation.state_machine.state is State.STORM
        simulation.back()
        simulation.run(3)
        simulation.well()
        simulation.run(1.5)
    assert simulation.run(12)[-1] is State.CALM


def test_a_recovery_lasts_while_requests_are_refused() -> None:
    simulation = Simulation()
    simulation.run(60)
    simulation.failure_rate = 1.0
    simulation.run(1)
    simulation.outage()
    simulation.run(5)
    simulation.back()
    simulation.run(2)
    simulation.well()
    simulation.shedding = True
    assert simulation.run(10)[-1] is State.RECOVERING
    simulation.shedding = False
    assert simulation.run(5)[-1] is State.CALM


def test_a_flood_of_connections_without_requests_sheds_nothing() -> None:
    simulation = Simulation()
    simulation.run(60)
    simulation.connects = 400.0
    assert simulation.run(10) == [State.CALM, State.BUILDING]
    assert simulation.signs.flooded
    simulation.connects = 0.5
    assert simulation.run(20)[-1] is State.CALM


def test_a_fleet_reduced_for_good_does_not_stay_weak() -> None:
    simulation = Simulation()
    simulation.run(60)
    simulation.ready = 5
    simulation.run(1)
    assert simulation.signs.weak
    simulation.run(120)
    assert not simulation.signs.weak
