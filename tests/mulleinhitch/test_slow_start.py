"""What the first of many servers that are back is sent, when all copies call for it."""

from __future__ import annotations

import pytest

from mulleinhitch import Balancer, Settings
from mulleinhitch.interface import (
    AttemptEnded,
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
)

CLASSES = (RequestClass(410.0, 1000.0, Effect.SAFE, name="look"),)
WORK_MS, SHARE, COLD_MS, FALL = 50.0, 0.32, 8_900.0, 3.0


def sends(copies: int, servers: int, seed: int, per_s: float, back: int = 1, stay: int = 0) -> list[float]:
    """The most work that each of the first `back` of `servers` was sent in a second, in seconds, once they are back
    cold; beside them `stay` others are warm.
    """
    settings = Settings(
        classes=CLASSES,
        copies=copies,
        max_attempts=4,
        cold_share=SHARE,
        cold_ms=COLD_MS,
        fall_multiple=FALL,
        fall_ms=1000.0,
    )
    balancers = [Balancer(settings, seed * 100 + n) for n in range(copies)]
    warm = [ServerEntry(n) for n in range(servers)]
    for balancer in balancers:
        balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, warm))
        balancer.handle(5_000.0, ListUpdate(ListKind.FULL, 2, []))
        fresh = [ServerEntry(n, started_ms=10_000.0) for n in range(back)]
        balancer.handle(10_000.0, ListUpdate(ListKind.FULL, 3, [*fresh, *warm[back : back + stay]]))
    times: list[list[float]] = [[] for _ in range(servers)]
    number = 0
    due: list[tuple[float, Balancer, int, int, int]] = []
    tick = 1000.0 / (per_s * copies)
    now = 10_000.0
    while now < 12_000.0:
        now += tick
        while due and due[0][0] <= now:
            at, balancer, request, attempt, server = due.pop(0)
            balancer.handle(
                max(at, balancer.now), AttemptEnded(request, attempt, server, Outcome.OK, True, 60.0)
            )
        number += 1
        balancer = balancers[number % copies]
        for action in balancer.handle(max(now, balancer.now), RequestArrived(number, 0, 1000.0)):
            if isinstance(action, Send):
                due.append((now + 60.0, balancer, action.request, 0, action.server))
                times[action.server].append(now)
    most = [max((sum(at <= t < at + 1000.0 for t in row) for at in row), default=0) for row in times[:back]]
    return [number * WORK_MS / 1000.0 for number in most]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("copies", "servers"), [(1, 5), (3, 5), (12, 20)])
def test_the_first_that_is_back_of_many_is_spared_though_all_call_for_it(
    copies: int, servers: int, seed: int
) -> None:
    """All traffic, with what comes again three times the usual, before one cold server: it was pushed over, since its
    part of the traffic was taken to be the whole of it.
    """
    per_s = 3.0 * 0.7 * servers * 1000.0 / WORK_MS / copies
    assert max(sends(copies, servers, seed, per_s)) <= FALL * (SHARE + (1 - SHARE) * 1000.0 / COLD_MS)


def test_a_cold_server_is_not_starved() -> None:
    assert sends(3, 5, 1, 30.0, back=5)[0] > 0.1


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("back", "stay"), [(24, 16), (4, 36), (4, 0)])
def test_the_sum_of_two_hundred_copies_pushes_no_cold_server_over(back: int, stay: int, seed: int) -> None:
    """Each copy sees a few requests a second, three times the usual: N + 3 x root of N + 3 in the settings' time, N
    being what the settings allow a server that has just started.
    """
    per_s = 3.0 * 0.7 * (back + stay) * 1000.0 / WORK_MS / 200
    n = FALL * (SHARE + (1 - SHARE) * 1000.0 / COLD_MS) * 1000.0 / WORK_MS
    most = [work * 1000.0 / WORK_MS for work in sends(200, 40, seed, per_s, back, stay)]
    assert 0.0 < max(most) <= n + 3.0 * n**0.5 + 3.0
