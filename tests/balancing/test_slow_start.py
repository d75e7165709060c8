"""Slow start: cold servers are not overloaded, although all balancers send to the few that are ready."""

from __future__ import annotations

import pytest
from larkweir_balancing import Balancer, Settings
from larkweir_balancing.interface import (
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
from larkweir_balancing.slow_start import SlowStart

from standins import cold_fleet

CLASSES = (RequestClass(410.0, 1000.0, Effect.SAFE, name="look"),)
WORK_MS, COLD_SHARE, COLD_MS, FALL_MULTIPLE = 50.0, 0.32, 8_900.0, 3.0


def max_work_per_second(
    balancer_count: int, servers: int, seed: int, per_s: float, restarted: int = 1, remaining: int = 0
) -> list[float]:
    """Simulate an outage of all servers, after which `restarted` of them are cold and `remaining` others are warm.

    Returns for each restarted server the most work, in seconds, that it was sent within one second.
    """
    settings = Settings(
        classes=CLASSES,
        balancer_count=balancer_count,
        max_attempts=4,
        cold_share=COLD_SHARE,
        cold_ms=COLD_MS,
        fall_multiple=FALL_MULTIPLE,
        fall_ms=1000.0,
    )
    balancers = [Balancer(settings, seed * 100 + n) for n in range(balancer_count)]
    warm = [ServerEntry(n) for n in range(servers)]
    for balancer in balancers:
        balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, warm))
        balancer.handle(5_000.0, ListUpdate(ListKind.FULL, 2, []))
        fresh = [ServerEntry(n, started_ms=10_000.0) for n in range(restarted)]
        balancer.handle(
            10_000.0, ListUpdate(ListKind.FULL, 3, [*fresh, *warm[restarted : restarted + remaining]])
        )
    times: list[list[float]] = [[] for _ in range(servers)]
    number = 0
    due: list[tuple[float, Balancer, int, int, int]] = []
    tick = 1000.0 / (per_s * balancer_count)
    now = 10_000.0
    while now < 12_000.0:
        now += tick
        while due and due[0][0] <= now:
            at, balancer, request, attempt, server = due.pop(0)
            balancer.handle(
                max(at, balancer.now_ms), AttemptEnded(request, attempt, server, Outcome.OK, True, 60.0)
            )
        number += 1
        balancer = balancers[number % balancer_count]
        for action in balancer.handle(max(now, balancer.now_ms), RequestArrived(number, 0, 1000.0)):
            if isinstance(action, Send):
                due.append((now + 60.0, balancer, action.request, 0, action.server))
                times[action.server].append(now)
    most = [
        max((sum(at <= t < at + 1000.0 for t in row) for at in row), default=0) for row in times[:restarted]
    ]
    return [number * WORK_MS / 1000.0 for number in most]


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("balancer_count", "servers"), [(1, 5), (3, 5), (12, 20)])
def test_the_first_of_many_servers_to_restart_is_not_overloaded(
    balancer_count: int, servers: int, seed: int
) -> None:
    """All traffic, at three times the usual rate because of retries, meets a single cold server.

    Guards against overloading it, which happens if all of the traffic is taken for its fair part.
    """
    per_s = 3.0 * 0.7 * servers * 1000.0 / WORK_MS / balancer_count
    assert max(max_work_per_second(balancer_count, servers, seed, per_s)) <= FALL_MULTIPLE * (
        COLD_SHARE + (1 - COLD_SHARE) * 1000.0 / COLD_MS
    )


def test_a_cold_server_is_not_starved() -> None:
    assert max_work_per_second(3, 5, 1, 30.0, restarted=5)[0] > 0.1


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(("restarted", "remaining"), [(24, 16), (4, 36), (4, 0)])
def test_two_hundred_balancers_together_overload_no_cold_server(
    restarted: int, remaining: int, seed: int
) -> None:
    """Each balancer gets a few requests per second, three times the usual rate.

    The bound is N + 2 * sqrt(N) + 2 requests within `fall_ms`, where N is the number that the settings allow a server
    that has just started.
    """
    per_s = 3.0 * 0.7 * (restarted + remaining) * 1000.0 / WORK_MS / 200
    n = FALL_MULTIPLE * (COLD_SHARE + (1 - COLD_SHARE) * 1000.0 / COLD_MS) * 1000.0 / WORK_MS
    most = [
        work * 1000.0 / WORK_MS for work in max_work_per_second(200, 40, seed, per_s, restarted, remaining)
    ]
    assert 0.0 < max(most) <= n + 2.0 * n**0.5 + 2.0


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    ("scene", "balancer_count"),
    [
        ("fresh copies", 1),
        ("zone at once", 3),
        ("retries", 3),
        ("deploy of six in ten", 20),
        ("copies restart", 30),
        ("first of a zone with savings", 30),
        ("deploy of six in ten", 200),
        ("first of a zone with savings", 200),
        ("keyed in a zone", 200),
    ],
)
def test_all_balancers_together_overload_no_cold_server(scene: str, balancer_count: int, seed: int) -> None:
    """Uneven traffic with a burst, lost answers, requests of different cost, probes, and the addition of each scene.

    The scenes are in `standins.cold_fleet`. Guards against sending all credit that balancers have earned for servers of
    other zones to the first servers that start in their own zone.
    """
    seen = cold_fleet.play(scene, balancer_count, seed)
    assert 0.0 < max(seen.ratios) <= 1.0


@pytest.mark.parametrize(("balancer_count", "seed"), [(30, 17), (200, 3), (200, 8)])
def test_retries_of_clients_overload_no_cold_server(balancer_count: int, seed: int) -> None:
    """Clients try three times while the servers are overloaded, with seeds at which one cold server became overloaded.

    Guards against retries earning as much credit as first tries, which gives three times the capacity of all servers.
    """
    seen = cold_fleet.play("retries", balancer_count, seed)
    assert 0.0 < max(seen.ratios) <= 1.0


def test_no_balancer_refuses_everything_while_most_servers_are_cold() -> None:
    """A deploy, with a few requests per second for each of two hundred balancers."""
    seen = cold_fleet.play("deploy of six in ten", 200, 3)
    assert not seen.starved and seen.served > 0.8 * seen.asked


SETTINGS = Settings(
    classes=CLASSES,
    zones=3,
    max_attempts=4,
    price_cross_zone=0.005,
    cold_share=COLD_SHARE,
    cold_ms=COLD_MS,
    fall_multiple=FALL_MULTIPLE,
)
COLD_SERVER = 9


def balancer_with_one_cold_server() -> Balancer:
    """Four warm servers in the own zone and one in another that started a second ago; there is no credit."""
    balancer = Balancer(SETTINGS, 1)
    servers = [*(ServerEntry(n) for n in range(4)), ServerEntry(COLD_SERVER, started_ms=4_000.0, zone=2)]
    balancer.handle(5_000.0, ListUpdate(ListKind.FULL, 1, servers))
    balancer.slow_start.credit = 0.0
    return balancer


# Credit per request: a quarter of the load that overloads a server, times its capacity, divided by five servers.
CREDIT_PER_REQUEST = 0.25 * FALL_MULTIPLE * (COLD_SHARE + (1 - COLD_SHARE) * 1_000.0 / COLD_MS) / 5


def send_and_reject(balancer: Balancer, number: int) -> list[int]:
    """Send a request and reject each of its attempts; returns the servers that it was sent to."""
    sent: list[int] = []
    actions = balancer.handle(5_000.0, RequestArrived(number, 0, 1000.0))
    while sends := [action for action in actions if isinstance(action, Send)]:
        ended = AttemptEnded(number, len(sent), sends[0].server, Outcome.FULL, False, 1.0)
        sent.append(sends[0].server)
        actions = balancer.handle(5_000.0, ended)
    return sent


def test_further_attempts_earn_no_credit() -> None:
    balancer = balancer_with_one_cold_server()
    sent, earned = [], 0.0
    for number in range(8):
        # The failure rate is that at the arrival of the request.
        earned += CREDIT_PER_REQUEST * (1.0 - 0.25 * balancer.outliers.failure_rate)
        sent += send_and_reject(balancer, number)
    assert len(sent) > 8 and COLD_SERVER not in sent
    assert balancer.slow_start.credit == pytest.approx(earned)


@pytest.mark.parametrize(
    ("failure_rate", "earn_fraction", "expected_fraction"),
    [(0.0, 1.0, 1.0), (0.4, 1.0, 0.9), (1.0, 1.0, 0.75), (0.4, 0.3, 0.3)],
)
def test_a_request_earns_less_credit_the_more_requests_fail(
    failure_rate: float, earn_fraction: float, expected_fraction: float
) -> None:
    """Unless `earn_fraction`, which is set where the retries are known, reduces it more."""
    balancer = balancer_with_one_cold_server()
    balancer.outliers.failure_rate = failure_rate
    balancer.slow_start.earn_fraction = earn_fraction
    balancer.handle(5_000.0, RequestArrived(1, 0, 1000.0))
    assert balancer.slow_start.credit == pytest.approx(expected_fraction * CREDIT_PER_REQUEST)


def test_saved_credit_is_bounded() -> None:
    balancer = balancer_with_one_cold_server()
    for _ in range(1000):
        balancer.slow_start.earn(5_000.0)
    assert balancer.slow_start.credit == SlowStart.CREDIT_CAP == 2.0


def test_credit_is_spent_at_once_in_any_zone_but_not_behind_an_own_request() -> None:
    """Guards against all balancers saving credit until their own zone has a cold server, and spending it there."""
    balancer = balancer_with_one_cold_server()
    balancer.slow_start.credit = 2.0
    sent = []
    for number in range(4):
        actions = balancer.handle(5_000.0, RequestArrived(number, 0, 1000.0))
        sent += [action.server for action in actions if isinstance(action, Send)]
    assert len(sent) == 4 and sent.count(COLD_SERVER) == 1


def test_a_failing_cold_server_is_not_preferred_because_of_credit() -> None:
    balancer = balancer_with_one_cold_server()
    balancer.slow_start.credit = 2.0
    balancer.table.servers[
        COLD_SERVER
    ].consecutive_failures = 1  # and the warm servers of the own zone are idle
    actions = balancer.handle(5_000.0, RequestArrived(1, 0, 1000.0))
    assert [action.server == COLD_SERVER for action in actions if isinstance(action, Send)] == [False]


def test_the_initial_credit_of_balancers_is_random() -> None:
    """Guards against all balancers of a deploy starting with a full credit, or all without one."""
    credits = sorted(Balancer(SETTINGS, seed).slow_start.credit for seed in range(200))
    assert 0.0 <= credits[0] < 0.05 and 0.95 < credits[-1] < 1.0 and 0.4 < credits[100] < 0.6


def test_a_server_without_initial_capacity_earns_credit_as_it_warms_up() -> None:
    settings = Settings(classes=CLASSES, cold_share=0.0, cold_ms=COLD_MS, fall_multiple=FALL_MULTIPLE)
    balancer = Balancer(settings, 1)
    balancer.handle(5_000.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(COLD_SERVER, started_ms=5_000.0)]))
    balancer.slow_start.credit = 0.0
    balancer.slow_start.earn(5_000.0 + COLD_MS / 2.0)
    assert balancer.slow_start.credit == pytest.approx(0.25 * FALL_MULTIPLE * 0.5)
