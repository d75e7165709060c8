"""Difficult cases: no probes, late load reports, cancels that stop nothing, and discovery on request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

import pytest
from larkweir_balancing import Balancer, Settings
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    ReportMode,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    SetTimer,
    TimerFired,
    WatchList,
)

from standins.tier import World
from tests.fakes import Caller, FakeUpstream, Incoming, Talk, pass_time, running
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run

CLASSES = (
    RequestClass(1500.0, 4000.0, Effect.SAFE, worth=2.0, name="fetch"),
    RequestClass(2000.0, 5000.0, Effect.UNSAFE, worth=6.0, name="submit"),
)


def make_settings(**more: Any) -> Settings:
    return Settings(
        classes=CLASSES,
        balancer_count=3,
        max_attempts=3,
        allows_hedging=True,
        on_request_discovery=True,
        report_mode=ReportMode.INLINE,
        report_fields=("waiting",),
        **more,
    )


def simulate(seed: int, report: Callable[[float, int], tuple[float, ...]]) -> list[Action]:
    """Simulate ten seconds of requests to six servers, of which one is slow from 3 to 7 s.

    `report` gives the load report of a server at a time. Returns all actions.
    """
    rng = Random(seed)
    balancer = Balancer(make_settings(), seed)
    all_actions: list[Action] = list(
        balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(6)]))
    )
    due: list[tuple[float, int, AttemptEnded]] = []
    serial = count()

    def apply(actions: list[Action], now: float) -> None:
        all_actions.extend(actions)
        for action in actions:
            if isinstance(action, Send):
                choked = action.server == 2 and 3_000.0 < now < 7_000.0
                spent = min(action.timeout_ms, (2_500.0 if choked else 300.0) * (0.5 + rng.random()))
                outcome = Outcome.TIMEOUT if spent >= action.timeout_ms else Outcome.OK
                final = outcome is Outcome.OK
                end = AttemptEnded(action.request, 0, action.server, outcome, final, spent)
                heappush(due, (now + spent, next(serial), end))

    now = 0.0
    for number in range(1, 301):
        now += 33.0
        while due and due[0][0] <= now:
            at, _, end = heappop(due)
            end.report = report(at, end.server)
            apply(balancer.handle(max(at, balancer.now_ms), end), at)
        apply(
            balancer.handle(max(now, balancer.now_ms), RequestArrived(number, number % 4 == 0, 4000.0)), now
        )
    return all_actions


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_missing_load_reports_of_a_healthy_server_change_no_decision(seed: int) -> None:
    """Reported queue lengths never override own counts and times: without them each decision is the same."""
    expected = simulate(seed, lambda now, server: (1.0,))
    assert simulate(seed, lambda now, server: () if 2_000.0 < now < 6_000.0 else (1.0,)) == expected


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_load_reports_that_are_4_s_late_change_no_decision(seed: int) -> None:
    """They report the slow server as idle while it is slow, and as busy when it has recovered."""
    fresh = simulate(seed, lambda now, server: (40.0 if server == 2 and 3_000.0 < now < 7_000.0 else 0.0,))
    late = simulate(seed, lambda now, server: (40.0 if server == 2 and 7_000.0 < now < 11_000.0 else 0.0,))
    assert late == fresh


def test_an_unsafe_request_on_a_connection_that_silently_breaks() -> None:
    """It is answered in time with a failure and never sent again, because it may have run."""

    async def work() -> None:
        async def silent(request: Incoming, talk: Talk) -> None:
            await asyncio.sleep(60.0)

        upstreams = [await FakeUpstream(silent).start() for _ in range(3)]
        entries = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        async with running(*entries) as balancer, Caller(balancer.port) as caller:
            clock = balancer.dispatcher.clock
            begun = clock.now_ms()
            caller.ask("move", b"x", X_Expires_In_Ms="8000")
            await until(lambda: any(upstream.seen for upstream in upstreams), "the request at an upstream")
            pass_time(clock, 8_000.0)
            answer = await caller.answer()
            assert answer.status in (502, 504)
            assert clock.now_ms() - begun < 12_400.0  # in time; the machine may be slow
            assert sum(len(upstream.seen) for upstream in upstreams) == 1

    run(work())


def test_all_servers_of_the_own_zone_fail_while_the_list_still_names_them() -> None:
    """Requests move to the other zone although each crossing has a cost, and unsafe ones do not run twice."""
    settings = make_settings(zones=2, my_zone=0, price_cross_zone=0.04)
    balancer = Balancer(settings, 3)
    entries = [ServerEntry(n, zone=n // 4) for n in range(8)]
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, entries))
    now, away, tried = 0.0, [], 0
    for number in range(1, 401):
        now += 20.0
        queue = list(balancer.handle(now, RequestArrived(number, number % 4 == 0, 4000.0)))
        attempt = 0
        while queue:
            action = queue.pop(0)
            if isinstance(action, Send):
                lost = now > 2_000.0 and action.server < 4
                if number > 300:
                    tried += 1
                    away.append(action.server >= 4)
                outcome = Outcome.CONNECT_FAILED if lost else Outcome.OK
                now += 1.0
                end = AttemptEnded(
                    action.request, attempt, action.server, outcome, not lost, 1.0 if lost else 300.0
                )
                attempt += 1
                queue += balancer.handle(now, end)
    assert sum(away) > 0.8 * tried


@pytest.mark.parametrize("capacity", [3, 5])
def test_a_list_service_that_queues_while_all_balancers_start_at_once(capacity: int) -> None:
    """It processes `capacity` calls at a time, 0.4 s each; a call that waits for 2 s fails.

    Every balancer has its list soon, and failed calls do not accumulate.
    """
    balancer_count = 60
    balancers = [
        Balancer(make_settings(me=n, list_request_interval_ms=10_000.0), n) for n in range(balancer_count)
    ]
    heap: list[tuple[float, int, Callable[[], None]]] = []
    serial = count()
    now = 0.0
    waiting: list[tuple[float, int]] = []
    busy = failed = 0
    first_list_ms: dict[int, float] = {}

    def after(delay: float, call: Callable[[], None]) -> None:
        heappush(heap, (now + delay, next(serial), call))

    def deliver(n: int, event: Any) -> None:
        for action in balancers[n].handle(now, event):
            if isinstance(action, WatchList):
                waiting.append((now, n))
                after(2_000.0, lambda entry=waiting[-1]: time_out(entry))  # type: ignore[misc]
                serve()
            elif isinstance(action, SetTimer):
                after(action.delay_ms, lambda cookie=action.cookie: deliver(n, TimerFired(cookie)))  # type: ignore[misc]

    def time_out(entry: tuple[float, int]) -> None:
        nonlocal failed
        if entry in waiting:
            waiting.remove(entry)
            failed += 1
            deliver(entry[1], ListUpdate(ListKind.FAILED))

    def serve() -> None:
        nonlocal busy
        while waiting and busy < capacity:
            _, n = waiting.pop(0)
            busy += 1
            after(400.0, lambda n=n: done(n))  # type: ignore[misc]

    def done(n: int) -> None:
        nonlocal busy
        busy -= 1
        first_list_ms.setdefault(n, now)
        deliver(n, ListUpdate(ListKind.FULL, 1, [ServerEntry(0)]))
        serve()

    for n in range(balancer_count):
        deliver(n, ListUpdate(ListKind.CACHED, 0, [ServerEntry(0)]))
    while heap and heap[0][0] < 30_000.0:
        now, _, call = heappop(heap)
        call()
    assert len(first_list_ms) == balancer_count and max(first_list_ms.values()) < 15_000.0
    assert failed < balancer_count


def test_a_request_with_a_cost_hint_of_20_times_the_usual() -> None:
    """It is refused at once, with a retry delay; other requests are served as before."""
    world = World(5, upstreams=4, slots=4, service_ms=100.0)
    balancer = Balancer(make_settings(max_retry_after_ms=1000.0), 5)
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(4)]))
    now = 0.0
    for number in range(1, 200):
        now += 50.0
        for action in balancer.handle(now, RequestArrived(number, 0, 4000.0, expected_ms=100.0)):
            if isinstance(action, Send):
                balancer.handle(
                    now, AttemptEnded(number, 0, action.server, Outcome.OK, True, 100.0 + world.way_ms)
                )
    heavy = balancer.handle(now + 1.0, RequestArrived(1000, 0, 4000.0, expected_ms=2000.0))
    assert [type(action) for action in heavy] == [Refuse] and heavy[0].wait_ms > 0.0  # type: ignore[union-attr]
    usual = balancer.handle(now + 2.0, RequestArrived(1001, 0, 4000.0, expected_ms=100.0))
    assert any(isinstance(action, Send) for action in usual)


def test_a_client_that_gives_up_at_half_of_the_deadline_and_retries_at_once() -> None:
    """Its next try counts as a first one: it has the full latency target and is sent. The old try is not retried."""
    balancer = Balancer(make_settings(), 5)
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(6)]))
    now = 0.0
    for number in range(1, 41):  # each client usually gives up after half of the deadline
        now += 200.0
        (send,) = (a for a in balancer.handle(now, RequestArrived(number, 1, 2500.0)) if isinstance(a, Send))
        balancer.handle(now + 100.0, AttemptEnded(number, 0, send.server, Outcome.OK, True, 100.0))
    now += 200.0
    first = balancer.handle(now, RequestArrived(900, 1, 2500.0))
    assert any(isinstance(action, Send) for action in first)
    now += 2500.0
    gone = balancer.handle(now, ClientGone(900))
    assert not any(isinstance(action, Send) for action in gone)
    again = balancer.handle(now + 1.0, RequestArrived(901, 1, 2500.0))
    (send,) = (action for action in again if isinstance(action, Send))
    assert send.timeout_ms > 0.9 * CLASSES[1].aim_ms
    # The old attempt ends late: it produces no answer and no further action.
    (old,) = (action for action in first if isinstance(action, Send))
    end = AttemptEnded(900, 0, old.server, Outcome.TIMEOUT, True, 2500.0)
    assert not any(isinstance(action, Send) for action in balancer.handle(now + 2.0, end))


@pytest.mark.parametrize("seed", range(3))
def test_a_balancer_with_one_request_per_second(seed: int) -> None:
    """It refuses nothing if the tier is healthy, and loses no retriable request if one of five servers is down."""
    world = World(seed, upstreams=5, slots=2, service_ms=250.0, spread="lognormal", copies=3, classes=CLASSES)
    world.poisson(3.0, 120_000.0)
    world.run(125_000.0)
    healthy = world.total(0.0, 125_000.0)
    assert healthy.refused == 0 and healthy.in_aim > 0.98 * healthy.asked
    world = World(seed, upstreams=5, slots=2, service_ms=250.0, spread="lognormal", copies=3, classes=CLASSES)
    world.upstreams[0].refusing = True
    world.poisson(3.0, 120_000.0)
    world.run(125_000.0)
    one_dead = world.total(0.0, 125_000.0)
    assert one_dead.served > 0.97 * one_dead.asked


@pytest.mark.parametrize("cold_ms", [0.0, 8_000.0])
def test_a_failing_server_is_ejected_even_if_there_is_no_warm_up_time(cold_ms: float) -> None:
    """Guards against an ejection time that is limited to the warm-up time, if that is 0."""
    balancer = Balancer(make_settings(cold_ms=cold_ms), 3)
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(6)]))
    now, to = 0.0, [0] * 6
    for number in range(1, 1_001):
        now += 20.0
        queue, attempt = list(balancer.handle(now, RequestArrived(number, 0, 4000.0))), 0
        while queue:
            action = queue.pop(0)
            if isinstance(action, Send):
                to[action.server] += 1
                bad = action.server == 2
                outcome = Outcome.RESET if bad else Outcome.OK
                end = AttemptEnded(number, attempt, action.server, outcome, not bad, 10.0)
                attempt += 1
                queue += balancer.handle(now, end)
    assert to[2] < 0.1 * sum(to) / 6.0
