"""Hard cases of storms in a small simulated tier: real decisions, real storm rules, and clients of several habits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from larkweir.storms.signs import State
from standins.returning import HABITS, TENANTS, Habit, Sala

IGNORING = Habit("ignoring", 5, 60.0, 1.0, 0.2)
OBEYING = Habit("honouring", 5, 200.0, 1.0, 0.2, honours=True)
DOWN, BACK, END = 6_000.0, 10_000.0, 24_000.0


def sala(seed: int = 1, down: bool = True, **how: Any) -> Sala:
    world = Sala(seed, **({"servers": 5, "copies": 3, "clients": 200} | how))
    if down:
        everyone = [server.number for server in world.servers]
        world.after(DOWN, lambda: world.lose(everyone))
        world.after(BACK, lambda: world.bring_back(everyone))
    return world


def play(world: Sala, until: float = END, surge: Callable[[float], float] = lambda now: 1.0) -> Sala:
    world.clients_begin(until, surge)
    world.run(until + 3_000.0)
    return world


def states(world: Sala, copy: int = 0) -> list[str]:
    return [line.split(" -> ")[1].split(":")[0] for _, n, line in world.log if n == copy]


def falls(world: Sala) -> int:
    return sum(server.falls for server in world.servers)


def served(world: Sala, since_ms: float, until_ms: float, *classes: int) -> float:
    total = world.span_total(since_ms / 1000.0, until_ms / 1000.0, classes or range(3))
    return total.in_aim / max(1, total.asked)


@pytest.mark.parametrize("part", [1.0, 0.5])
def test_clients_that_ignore_the_advice(part: float) -> None:
    """With all or half of the clients ignoring it: no server falls over, clients that follow the advice do better, and
    requests of more worth are served first.
    """
    habits = (IGNORING,) if part == 1.0 else (IGNORING, OBEYING)
    world = play(sala(habits=habits))
    assert falls(world) == 0
    assert served(world, BACK + 1_000, BACK + 6_000, 1, 2) > served(world, BACK + 1_000, BACK + 6_000, 0)
    assert served(world, END - 5_000, END) > 0.9
    if part < 1.0:
        waits, ignores = world.of_habit("honouring"), world.of_habit("ignoring")
        assert waits.served / waits.asked > ignores.served / ignores.asked
        assert waits.tries / waits.asked < ignores.tries / ignores.asked


def test_one_tenant_that_ignores_the_advice_hardly_affects_the_others() -> None:
    quiet = play(sala(habits=(OBEYING,)))
    world = sala(habits=(OBEYING,))
    loud = TENANTS.index(max(TENANTS))
    original = world._try

    def try_(n: int, habit: Habit, cls: int, tenant: int, *rest: Any) -> None:
        original(n, IGNORING if tenant == loud else OBEYING, cls, tenant, *rest)

    world._try = try_  # type: ignore[method-assign]
    play(world)
    assert falls(world) == 0
    before, after = quiet.of_habit("honouring"), world.of_habit("honouring")
    assert after.served / after.asked > before.served / before.asked - 0.05


def test_a_storm_that_coincides_with_a_deploy() -> None:
    """While the tier returns, its servers are replaced by new, cold ones."""
    world = sala()
    for turn in range(5):
        world.after(BACK + 2_000 + 600 * turn, lambda n=turn: world.lose([n]))  # type: ignore[misc]
        world.after(BACK + 4_000 + 600 * turn, lambda n=turn: world.bring_back([n]))  # type: ignore[misc]
    play(world, 28_000.0)
    assert falls(world) == 0
    assert served(world, 24_000, 28_000) > 0.9


def test_a_tier_that_returns_one_nodo_at_a_time() -> None:
    world = sala(down=False)
    world.after(DOWN, lambda: world.lose([0, 1, 2, 3, 4]))
    for n in range(5):
        world.after(BACK + 1_500 * n, lambda n=n: world.bring_back([n]))  # type: ignore[misc]
    play(world, 28_000.0)
    assert falls(world) == 0
    assert served(world, 24_000, 28_000) > 0.9


def test_a_tier_that_returns_and_falls_again_three_times() -> None:
    world = sala(down=False)
    for turn in range(3):
        world.after(DOWN + 5_000 * turn, lambda: world.lose([0, 1, 2, 3, 4]))
        world.after(DOWN + 5_000 * turn + 2_500, lambda: world.bring_back([0, 1, 2, 3, 4]))
    play(world, 34_000.0)
    assert falls(world) == 0
    assert served(world, 30_000, 34_000) > 0.9
    assert states(world)[-1] == "calm"


def test_a_balancer_that_restarts_during_the_storm() -> None:
    """It restarts without any history in the storm, while the others continue."""
    world = sala()

    def restart() -> None:
        old = world.copies[0]
        world.restart(0)
        assert world.copies[0] is not old

    world.after(BACK + 1_500, restart)
    play(world)
    assert falls(world) == 0
    assert served(world, END - 5_000, END) > 0.9


def test_a_false_alarm_refuses_nobody() -> None:
    """The load doubles for one second, and all of it is served."""
    world = sala(down=False, load=0.4)
    play(world, surge=lambda now: 2.0 if 8_000 < now < 9_000 else 1.0)
    assert all(copy.storm.turned_away == 0 and copy.storm.storms == 0 for copy in world.copies)
    assert served(world, 2_000, END) > 0.98


def test_clients_whose_retries_are_synchronized_to_the_second() -> None:
    sharp = Habit("sharp", 5, on_the_second=True)
    world = play(sala(habits=(sharp, OBEYING)))
    assert falls(world) == 0
    assert served(world, END - 5_000, END) > 0.9


def test_a_server_list_that_arrives_late() -> None:
    """As with stale load reports: for eight seconds the balancers do not learn that the servers are new."""
    world = sala()
    world.late_ms = 8_000.0
    play(world, 34_000.0)
    assert falls(world) == 0
    assert served(world, 30_000, 34_000) > 0.9


def test_thirty_balancers_in_storm_together() -> None:
    weights = [float(1 + n % 7) for n in range(30)]  # uneven load
    world = play(sala(copies=30, servers=8, clients=300, weights=weights))
    assert falls(world) == 0
    assert served(world, END - 4_000, END) > 0.9


def test_a_storm_from_part_of_the_servers() -> None:
    """Two of five servers fail and return: the others keep serving, and few requests are refused."""
    world = sala(down=False, load=0.4)
    world.after(DOWN, lambda: world.lose([0, 1]))
    world.after(BACK, lambda: world.bring_back([0, 1]))
    play(world)
    assert falls(world) == 0
    assert served(world, DOWN + 1_500, END) > 0.95


def test_recovery_with_traffic_that_has_doubled_for_good() -> None:
    """It is no storm: once all servers are warm, every request is admitted and the state is CALM."""
    world = sala(load=0.35)
    play(world, 30_000.0, surge=lambda now: 1.0 if now < DOWN else 2.0)
    assert falls(world) == 0
    assert all(copy.storm.state is State.CALM for copy in world.copies)
    assert served(world, 25_000, 30_000) > 0.9


def test_requests_of_more_worth_are_served_first() -> None:
    """Compared with the same tier without storm handling: hardly fewer requests served, and more of high worth."""
    on = [play(sala(seed), 18_000.0) for seed in range(1, 5)]
    off = [play(sala(seed, storms=False), 18_000.0) for seed in range(1, 5)]

    def mean(worlds: list[Sala], *classes: int) -> float:
        return sum(served(world, BACK, 16_000, *classes) for world in worlds) / len(worlds)

    assert mean(on, 1, 2) > mean(off, 1, 2) + 0.05
    assert mean(on) > mean(off) - 0.08


def test_open_requests_stay_bounded() -> None:
    world = play(sala(habits=HABITS), 16_000.0)
    for copy in world.copies:
        assert len(copy.balancer._open) < 50  # no request is open any more
