"""Behaviour of the `Balancer`, one test per behaviour, without the simulator."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from balancing_driver import Driver, TrackedRequest
from larkweir_balancing.client_stats import UsualValue
from larkweir_balancing.interface import (
    AnswerStarted,
    AttemptEnded,
    CloseIdle,
    ContractError,
    Effect,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    Probe,
    ProbeEnded,
    Reconfigured,
    Refuse,
    ReportMode,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    Settings,
    Tenant,
    WatchList,
)
from larkweir_balancing.policy import LIST_RETRY_INTERVAL_MS, Balancer
from larkweir_balancing.retry_safety import Attempt, Request
from larkweir_balancing.servers import Server

SAFE = RequestClass(100.0, 400.0, Effect.SAFE)
UNSAFE = RequestClass(100.0, 400.0, Effect.UNSAFE)
PLAIN = Settings(classes=(SAFE, UNSAFE), max_attempts=4)
PROBING = replace(
    PLAIN,
    may_probe=True,
    report_mode=ReportMode.ON_PROBE,
    report_fields=("cpu_share", "running_and_waiting"),
    price_probe=0.002,
)


def make_driver(settings: Settings = PLAIN, servers: int = 10, seed: int = 1, **entry: float) -> Driver:
    made = Driver(settings, seed)
    made.list(ListKind.CACHED, tuple(ServerEntry(n, **entry) for n in range(servers)))  # type: ignore[arg-type]
    return made


def sends(actions: list[object]) -> list[int]:
    return [a.server for a in actions if isinstance(a, Send)]


def chi_square(counts: list[int]) -> float:
    mean = sum(counts) / len(counts)
    return sum((c - mean) ** 2 / mean for c in counts)


# selection


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_selection_is_uniform_over_token_holders(seed: int) -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10, seed=seed)
    for _ in range(4):
        driver.request()  # spends four tokens, whose requests stay in flight
    busy = {t.server for o in driver.requests.values() for t in o.attempts}
    counts: Counter[int] = Counter()
    for _ in range(6000):
        (server,) = sends(driver.request())
        counts[server] += 1
        driver.end(driver.next_id, 0, Outcome.OK)
    assert len(busy) == 4
    assert not busy & counts.keys()
    # 5 degrees of freedom, p = 0.001.
    assert chi_square([counts[n] for n in range(10) if n not in busy]) < 20.5


def test_selection_is_uniform_over_ready_servers_if_none_holds_a_token() -> None:
    counts: Counter[int] = Counter()
    for seed in range(3000):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request()
        (server,) = sends(driver.request())
        counts[server] += 1
    assert chi_square([counts[n] for n in range(3)]) < 13.9  # 2 degrees of freedom, p = 0.001


def test_a_token_returns_only_when_no_request_is_in_flight() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    driver.request()
    driver.request()  # one request at each server
    (third,) = sends(driver.request())  # no token is left: a second request at one of them
    first = next(r for r, o in driver.requests.items() if o.attempts[0].server == third)
    driver.end(first, 0, Outcome.OK)  # that server still has the third request
    other = next(r for r, o in driver.requests.items() if o.attempts[0].server != third)
    driver.end(other, 0, Outcome.OK)
    (fourth,) = sends(driver.request())
    assert fourth != third


def test_a_balancer_with_one_request_at_a_time_uses_all_servers() -> None:
    # Guards against a single token that never moves: a balancer with a low rate kept using the first server.
    driver = make_driver(servers=10)
    seen = set()
    for _ in range(100):
        (server,) = sends(driver.request())
        seen.add(server)
        driver.end(driver.next_id, 0, Outcome.OK)
    assert len(seen) == 10


def test_without_tokens_the_servers_with_the_fewest_requests_are_selected() -> None:
    # Guards against a third request at a server while another server has one.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    for _ in range(10):
        driver.request()
    load = Counter(t.server for o in driver.requests.values() for t in o.attempts)
    assert set(load.values()) == {2}


def test_the_same_seed_gives_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        driver = make_driver(PROBING, seed=9)
        for n in range(50):
            driver.request(n % 2)
            if driver.probes:
                driver.end_probe((0.1, float(n % 3)))
            driver.advance(7.0)
        runs.append(driver.actions)
    assert runs[0] == runs[1]


# probing


def test_an_idle_report_confirms_the_selection_and_a_busy_one_selects_another() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    assert sends(driver.end_probe((0.9, 2.0))) == []
    assert driver.probes[0] != first
    second = driver.probes[0]
    assert sends(driver.end_probe((0.0, 0.0))) == [second]


def test_a_missing_load_report_counts_as_busy() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    driver.advance(30.0)
    assert driver.probes[1] != first


def test_a_request_with_little_time_left_is_not_lost_while_it_waits_for_a_report() -> None:
    driver = make_driver(replace(PROBING, tick_ms=5.0))
    driver.request(left=12.0)
    driver.advance(40.0)
    assert driver.requests[1].answers == 1


def test_two_requests_never_rely_on_one_report() -> None:
    driver = make_driver(PROBING, servers=2)
    driver.request()
    driver.request()
    assert driver.probes[0] != driver.probes[1]


def test_requests_wait_while_probed_servers_are_busy_and_are_refused_before_the_latency_target() -> None:
    driver = make_driver(PROBING, servers=4)
    driver.request()
    for _ in range(400):
        driver.advance(1.0)
        while driver.probes:
            driver.end_probe((1.0, 1.0))
    assert driver.requests[1].answers == 1
    assert not driver.requests[1].attempts
    assert any(isinstance(a, Refuse) for a in driver.actions)


def test_polls_become_rarer_while_almost_no_server_is_idle() -> None:
    # Guards against a thundering herd on a server that becomes idle, which many balancers notice at once.
    driver = make_driver(replace(PROBING, classes=(RequestClass(2000.0, 4000.0, Effect.SAFE),)), servers=200)
    driver.request()
    counts = []
    for _ in range(4):
        driver.actions.clear()
        for _ in range(300):
            driver.advance(1.0)
            while driver.probes:
                driver.end_probe((0.0, 1.0))
        counts.append(sum(isinstance(a, Probe) for a in driver.actions))
    assert 0 < counts[-1] < counts[0] / 2


@pytest.mark.parametrize("fields", [(), ("waiting",), ("svc_ms", "served_ps"), ("cpu_share",)])
def test_no_probe_is_sent_if_reports_do_not_identify_idle_servers(fields: tuple[str, ...]) -> None:
    driver = make_driver(replace(PROBING, report_fields=fields))
    assert len(sends(driver.request())) == 1
    assert not driver.probes


def test_a_probe_that_costs_more_than_it_can_save_is_not_sent() -> None:
    driver = make_driver(replace(PROBING, price_probe=0.5))
    for _ in range(200):
        driver.request()
        if driver.open_attempts():
            driver.end(*driver.open_attempts()[0], Outcome.OK)
    assert sum(isinstance(a, Probe) for a in driver.actions) < 20


# retry safety


def test_an_unsafe_request_is_retried_only_if_it_certainly_never_ran() -> None:
    driver = make_driver(servers=5)
    driver.request(1)
    assert len(sends(driver.end(1, 0, Outcome.CONNECT_FAILED))) == 1
    actions = driver.end(1, 1, Outcome.RESET)
    assert actions == [Fail(1)]


def test_a_keyed_request_stays_in_the_zone_of_its_first_server() -> None:
    keyed = RequestClass(200.0, 400.0, Effect.KEYED, group=Group.ZONE, memory_ms=300.0)
    for seed in range(30):
        driver = Driver(replace(PLAIN, classes=(keyed,), zones=3), seed)
        driver.list(ListKind.FULL, tuple(ServerEntry(n, zone=n % 3) for n in range(9)))
        driver.request()
        driver.end(1, 0, Outcome.RESET)
        zones = {t.zone for t in driver.requests[1].attempts}
        assert len(zones) == 1
        assert len(driver.requests[1].attempts) == 2


def test_nothing_is_sent_to_a_draining_or_removed_server() -> None:
    driver = make_driver(servers=3)
    driver.list(ListKind.DELTA, (ServerEntry(0, ServerState.DRAINING), ServerEntry(1, ServerState.GONE)))
    for _ in range(20):
        assert set(sends(driver.request())) <= {2}


def test_a_server_that_starts_draining_during_a_probe_gets_nothing() -> None:
    driver = make_driver(PROBING, servers=1)
    driver.request()
    driver.feed(ListUpdate(ListKind.DELTA, 2, (ServerEntry(0, ServerState.DRAINING),)))
    assert sends(driver.end_probe((0.0, 0.0))) == []


def test_a_full_list_removes_servers_that_it_does_not_name() -> None:
    driver = make_driver(servers=3)
    driver.list(ListKind.FULL, (ServerEntry(2),))
    assert sends(driver.request()) == [2]


def test_a_request_waits_for_a_server_and_is_answered_if_none_appears() -> None:
    driver = make_driver(servers=0)
    driver.request()
    assert not driver.requests[1].over
    driver.list(ListKind.DELTA, (ServerEntry(4),))
    driver.advance(20.0)
    assert [t.server for t in driver.requests[1].attempts] == [4]
    empty = make_driver(servers=0)
    empty.request(1)
    empty.advance(500.0)
    assert empty.requests[1].answers == 1


def test_a_request_whose_streamed_response_has_started_is_not_retried() -> None:
    driver = make_driver(replace(PLAIN, classes=(replace(SAFE, streaming=True),)))
    driver.request()
    driver.feed(AnswerStarted(1, 0, driver.requests[1].attempts[0].server))
    driver.requests[1].over = True
    driver.requests[1].attempts[0].outcome = Outcome.RESET
    assert driver.feed(AttemptEnded(1, 0, driver.requests[1].attempts[0].server, Outcome.RESET, True)) == []


# slow start


@pytest.mark.parametrize("balancer_count", [1, 40])
def test_cold_servers_get_no_more_than_their_capacity_allows(balancer_count: int) -> None:
    settings = replace(
        PLAIN,
        tier=1,
        tiers=2,
        balancer_count=balancer_count,
        cold_share=0.1,
        cold_ms=20_000.0,
        fall_multiple=3.0,
    )
    fleet = [make_driver(settings, servers=8, seed=n, started_ms=999.0) for n in range(balancer_count)]
    hits: Counter[int] = Counter()
    rng = Random(5)
    for _ in range(400):  # two seconds at 200 requests per second; all servers have just started
        driver = fleet[rng.randrange(balancer_count)]
        for server in sends(driver.request()):
            hits[server] += 1
            driver.end(*driver.open_attempts()[-1], Outcome.OK)
    # Warm servers would get 50 each. These have a tenth of that capacity, and three times as much overloads them.
    assert max(hits.values()) < 3 * 0.1 * 50 + 2


def test_a_restarted_server_is_cold_again_and_a_warm_one_is_not() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2, cold_share=0.05, cold_ms=50_000.0), servers=2)
    driver.list(ListKind.DELTA, (ServerEntry(0, started_ms=driver.now),))
    got: Counter[int] = Counter()
    for _ in range(200):
        for server in sends(driver.request()):
            got[server] += 1
            driver.end(driver.next_id, 0, Outcome.OK)
    assert 0 < got[0] < 20 < got[1]


# server health


def test_a_server_that_fails_fast_does_not_attract_requests() -> None:
    # Guards against a server that fails fast and therefore always gets its token back first.
    driver = make_driver(servers=10)
    got: Counter[int] = Counter()
    for _ in range(400):
        driver.request(1)
        driver.advance(5.0)
        for request, attempt in driver.open_attempts():
            server = driver.requests[request].attempts[attempt].server
            got[server] += 1
            driver.end(request, attempt, Outcome.ERROR if server == 0 else Outcome.OK)
    assert got[0] < 15


def test_a_rejected_request_fails_at_once_and_does_not_count_as_a_server_failure() -> None:
    # Guards the servers against retries of invalid requests, which no server accepts.
    driver = make_driver(servers=2)
    for _ in range(50):
        driver.request(0)
        number = driver.next_id
        server = driver.balancer.table.servers[driver.requests[number].attempts[0].server]
        driver.end(number, 0, Outcome.REJECTED)
        assert driver.requests[number].over and len(driver.requests[number].attempts) == 1
        assert (server.consecutive_failures, server.in_flight, server.list_level) == (0, 0, 0)
    assert driver.balancer.outliers.failure_rate <= 0.1 and not driver.balancer.requests


def test_every_refusal_states_a_retry_delay() -> None:
    # Guards against clients that immediately retry a request that no server could take.
    driver = make_driver(replace(PLAIN, max_retry_after_ms=2000.0), servers=2)
    for _ in range(30):
        driver.request(0)
        driver.advance(10.0)
        for request, attempt in driver.open_attempts():
            driver.end(request, attempt, Outcome.FULL)
    driver.advance(20_000.0)
    refused = [action for action in driver.actions if isinstance(action, Refuse)]
    assert refused and all(action.wait_ms == 2000.0 for action in refused)


def test_a_request_without_time_for_an_answer_is_refused_at_once() -> None:
    # Guards the servers against work that comes too late to be used, and against time-outs caused by the lack of time.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    usual = driver.balancer._latency[0]
    driver.request(0, left=0.2 * usual)
    assert driver.requests[1].over and not driver.requests[1].attempts
    driver.request(0, left=0.5 * usual)
    assert len(driver.requests[2].attempts) == 1


def test_a_full_server_does_not_get_its_token_back_at_once() -> None:
    driver = make_driver(servers=2)
    driver.request(1)
    full = driver.requests[1].attempts[0].server
    driver.end(1, 0, Outcome.FULL)
    assert [t.server for t in driver.requests[1].attempts] == [full, 1 - full]
    driver.end(1, 1, Outcome.OK)
    assert set(sends(driver.request(1)) + sends(driver.request(1))) == {1 - full}


def test_nothing_is_ejected_if_all_requests_fail() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=6)
    for _ in range(300):
        driver.request(1)
        driver.end(*driver.open_attempts()[-1], Outcome.ERROR)
        driver.advance(1.0)
    driver.advance(60.0)  # past the short pause after each failure
    got = set()
    for _ in range(6):
        got |= set(sends(driver.request(1)))
    assert len(got) >= 4


def two_failures_of_one(driver: Driver, others: int, outcome: Outcome, after_ms: float = 0.0) -> int:
    """Let two consecutive requests to one server fail while `others` are in flight; returns that server."""
    driver.balancer.outliers.failure_rate = 0.1
    for _ in range(others + 2):
        driver.request(class_index=1)
    driver.now += after_ms
    by = Counter(driver.requests[request].attempts[0].server for request, _ in driver.open_attempts())
    server = next(number for number, count in by.items() if count >= 2)
    mine = [(r, n) for r, n in driver.open_attempts() if driver.requests[r].attempts[0].server == server]
    for item in mine[:2]:
        driver.end(*item, outcome)
    return server


def test_two_failures_eject_no_server_if_chance_explains_them() -> None:
    """Guards against ejecting two of four servers in turn for failures of their backend, which overloads the rest."""
    for others, outcome, ejected in (
        (1, Outcome.ERROR, True),
        (22, Outcome.ERROR, False),
        (22, Outcome.RESET, False),
    ):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2 if others == 1 else 4)
        server = two_failures_of_one(driver, others, outcome)
        assert (driver.balancer.table.servers[server] in driver.balancer.table.ejected) is ejected


def test_a_slow_failure_withholds_no_token() -> None:
    """A fast failure would attract the next request; a slow one does not. Withholding a token loads the others."""
    for after, withheld in ((0.0, True), (350.0, False)):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=4)
        driver.request(class_index=1)
        server = driver.requests[1].attempts[0].server
        driver.now += after
        driver.balancer.outliers.failure_rate = 1.0  # nothing is ejected
        driver.end(1, 0, Outcome.ERROR)
        assert (driver.balancer.table.servers[server].withheld_until_ms > driver.now) is withheld


def test_retries_stop_when_the_retry_budget_is_spent() -> None:
    driver = make_driver(servers=20)
    for _ in range(200):
        driver.request()
        while driver.open_attempts():
            driver.end(*driver.open_attempts()[0], Outcome.RESET)
    attempts = sum(len(o.attempts) for o in driver.requests.values())
    assert attempts < 200 * 1.3 + 10


# latency target and load shedding


def test_attempts_time_out_just_before_the_latency_target_if_late_answers_have_no_value() -> None:
    driver = make_driver()
    (send,) = [a for a in driver.request() if isinstance(a, Send)]
    assert 90.0 < send.timeout_ms < 100.0
    late = make_driver(replace(PLAIN, classes=(replace(SAFE, late_worth=0.5),)))
    (send,) = [a for a in late.request() if isinstance(a, Send)]
    assert send.timeout_ms == 400.0


def test_a_retry_with_a_longer_time_left_does_not_make_first_tries_late() -> None:
    # Guards against time-outs of a few milliseconds for first tries: the longest time left is not the usual one.
    driver = make_driver(servers=40)
    for _ in range(20):
        driver.request(left=250.0)
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request(left=390.0)
    driver.end(driver.next_id, 0, Outcome.OK)
    (send,) = [a for a in driver.request(left=250.0) if isinstance(a, Send)]
    assert send.timeout_ms > 90.0
    # A client with a short time-out: no request has ended unserved here, so this can't be a retry.
    assert [type(a) for a in driver.request(left=210.0)] == [Send]
    assert [type(a) for a in driver.request(left=1.0)] == [Refuse]  # too little time left


def test_late_retries_are_recognized_by_the_number_of_unserved_requests() -> None:
    # Guards against refusing first tries of clients with a short time-out as if their latency target had passed, and
    # against serving the last try of a client that has already waited too long, whose answer has no value.
    driver = make_driver(servers=40)
    for _ in range(20):
        driver.request(left=250.0)
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request(class_index=1, left=250.0)
    late = driver.next_id
    driver.now += 90.0
    driver.end(late, 0, Outcome.TIMEOUT)
    # 190 ms have passed, more than the latency target.
    assert [type(a) for a in driver.request(left=210.0)] == [Refuse]
    assert [type(a) for a in driver.request(left=210.0)] == [Send]  # only one request has ended unserved


def test_a_request_too_expensive_for_its_latency_target_is_refused_once_that_is_known() -> None:
    driver = make_driver(servers=40)

    def ask(expected: float) -> list[object]:
        driver.next_id += 1
        number = driver.next_id
        driver.requests[number] = TrackedRequest(
            driver.settings.classes[0], driver.settings.max_attempts, driver.now + 400.0
        )
        driver.unsettled.append(number)
        return list(driver.feed(RequestArrived(number, 0, 400.0, expected_ms=expected)))

    ask(10.0)
    driver.now += 30.0
    driver.end(driver.next_id, 0, Outcome.OK)
    assert [type(a) for a in ask(60.0)] == [Send]  # one answer is not enough evidence
    driver.now += 30.0
    driver.end(driver.next_id, 0, Outcome.OK)
    for _ in range(30):
        ask(10.0)
        driver.now += 30.0
        driver.end(driver.next_id, 0, Outcome.OK)
    assert [type(a) for a in ask(200.0)] == [Refuse]  # 600 ms at a latency target of 100 ms
    assert [type(a) for a in ask(15.0)] == [Send]


def test_an_unresponsive_server_is_not_tried_with_an_unsafe_request() -> None:
    driver = make_driver(servers=3)
    for _ in range(12):  # all three answer, then one stops answering
        driver.request()
        driver.now += 10.0
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request()
    (silent,) = sends(driver.actions[-1:])
    driver.now += 100.0
    driver.end(driver.next_id, 0, Outcome.RESET)
    driver.now += 5_000.0  # any ejection has ended
    driver.actions.clear()
    for _ in range(20):
        driver.request(class_index=1)
        driver.now += 5.0
        driver.end(driver.next_id, 0, Outcome.OK)
    assert silent not in sends(driver.actions)
    for _ in range(30):
        driver.request()
        driver.now += 5.0
        driver.end(driver.next_id, 0, Outcome.OK)
    assert silent in sends(driver.actions)


def test_without_tokens_an_ejected_server_is_selected_last() -> None:
    for seed in range(30):  # uniform selection would pick it once in four
        driver = make_driver(servers=4, seed=seed)
        fleet = driver.balancer.table
        fleet.ejected.add(fleet.servers[0])
        fleet.withhold_token(fleet.servers[0], driver.now + 1_000.0)
        driver.actions.clear()
        for _ in range(4):  # no more requests than servers: own counts do not matter yet
            driver.request()
        assert 0 not in sends(driver.actions)


def test_queueing_in_the_own_zone_is_preferred_while_that_zone_is_no_worse() -> None:
    settings = replace(PLAIN, zones=2, price_cross_zone=0.04)
    stays = []
    for worse in (False, True):
        driver = Driver(settings, 1)
        driver.list(ListKind.CACHED, tuple(ServerEntry(n, zone=n % 2) for n in range(6)))
        driver.balancer.outliers.queue_ratio = [1.0, 1.1]
        if worse:
            driver.balancer.selector.zone_cost = [0.9, 0.1]
        for _ in range(6):
            driver.request()
        stays.append(sum(server % 2 == 0 for server in sends(driver.actions)))
    assert stays[0] >= 5
    assert stays[1] == 3


def test_the_usual_value_needs_a_clear_majority() -> None:
    usual = UsualValue()
    rng = Random(3)
    assert all(usual.vote(rng.uniform(0.0, 1000.0), 1.0) for _ in range(500))
    for _ in range(50):
        usual.vote(700.0, 1.0)
    assert usual.vote(701.0, 1.0)
    assert not usual.vote(300.0, 1.0)


def overload(settings: Settings) -> Counter[tuple[int, bool]]:
    driver = make_driver(settings, servers=10)
    tenants = {}
    for n in range(2000):
        driver.request(1, tenant=0 if n % 4 else 1)
        tenants[driver.next_id] = 0 if n % 4 else 1
        driver.advance(1.0)
        attempts = driver.open_attempts()
        for request, attempt in attempts:
            if driver.now - driver.requests[request].attempts[attempt].sent > 10.0 + 2.0 * len(attempts):
                driver.end(request, attempt, Outcome.OK)
    # Some were sent only after a wait.
    return Counter((tenant, bool(driver.requests[request].attempts)) for request, tenant in tenants.items())


def test_under_overload_traffic_over_its_share_is_refused_first() -> None:
    served = overload(replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0))))
    kept = served[1, True] / (served[1, True] + served[1, False])
    over = served[0, True] / (served[0, True] + served[0, False])
    assert kept > 0.9
    assert over < 0.6


def test_inner_tiers_do_not_shed() -> None:
    served = overload(replace(PLAIN, tenants=(Tenant(100.0), Tenant(300.0)), tier=1, tiers=2))
    assert served[0, False] == served[1, False] == 0


# discovery on request


def test_a_balancer_subscribes_in_time_and_delays_its_requests_for_the_list_after_failures() -> None:
    settings = replace(PLAIN, on_request_discovery=True, list_request_interval_ms=8000.0)
    driver = make_driver(settings)
    driver.advance(2000.0)
    assert [a for a in driver.actions if isinstance(a, WatchList)] == [WatchList(True)]
    gaps = []
    for _ in range(40):
        start = driver.now
        driver.feed(ListUpdate(ListKind.FAILED))
        before = sum(isinstance(a, WatchList) for a in driver.actions)
        while sum(isinstance(a, WatchList) for a in driver.actions) == before:
            driver.advance(10.0)
        gaps.append(driver.now - start)
    assert min(gaps) >= 0.5 * LIST_RETRY_INTERVAL_MS and max(gaps) <= 1.5 * LIST_RETRY_INTERVAL_MS + 10.0
    assert max(gaps) - min(gaps) > 0.5 * LIST_RETRY_INTERVAL_MS  # spread out


def test_new_balancers_do_not_all_request_the_list_at_once() -> None:
    settings = replace(PLAIN, on_request_discovery=True, list_request_interval_ms=8000.0)
    asked = []
    for seed in range(40):
        driver = make_driver(settings, seed=seed)
        asked.append(driver.timers[0][0] - driver.now)
    assert max(asked) <= 2000.0
    assert max(asked) - min(asked) > 1000.0


# contract


def test_contract_violations_raise() -> None:
    balancer = Balancer(PLAIN, 1)
    balancer.handle(5.0, RequestArrived(1, 0, 100.0))
    with pytest.raises(ContractError, match="twice"):
        balancer.handle(5.0, RequestArrived(1, 0, 100.0))
    with pytest.raises(ContractError, match="time went back"):
        balancer.handle(4.0, ProbeEnded(1, Outcome.OK))
    with pytest.raises(ContractError, match="class 9"):
        balancer.handle(6.0, RequestArrived(2, 9, 100.0))
    with pytest.raises(ContractError, match="unknown event"):
        balancer.handle(6.0, "hello")  # type: ignore[arg-type]


def test_events_of_unknown_requests_and_probes_are_ignored() -> None:
    driver = make_driver()
    assert driver.feed(AttemptEnded(99, 0, 0, Outcome.OK, True)) == []
    assert driver.feed(ProbeEnded(77, Outcome.OK, 1.0, ())) == []


# the retry rules alone: they must also forbid what no code path tries at present


def make_request_and_server(
    settings: Settings, cls: RequestClass, outcomes: list[Outcome | None]
) -> tuple[Request, Server]:
    request = Request(RequestArrived(1, 0, 5000.0), replace(settings, classes=(cls,)), 0.0)
    server = Server(1, 0, 0, 0.0, ready=True)
    for outcome in outcomes:
        request.attempts.append(Attempt(server, 0, 100.0, outcome=outcome))
        request.in_flight += outcome is None
    return request, server


def test_a_keyed_request_is_not_retried_after_memory_ms_since_its_first_attempt() -> None:
    keyed = RequestClass(200.0, 5000.0, Effect.KEYED, group=Group.ALL, memory_ms=300.0)
    request, server = make_request_and_server(PLAIN, keyed, [Outcome.RESET])
    assert request.can_send_to(server, 390.0)
    assert not request.can_send_to(server, 400.0)
    unrun = make_request_and_server(PLAIN, keyed, [Outcome.FULL])
    assert unrun[0].can_send_to(unrun[1], 4000.0)


def test_a_retry_may_be_written_until_memory_ms_after_the_first_attempt_that_may_have_run() -> None:
    """Attempts that never ran do not count, those in flight do. A first attempt has no such limit."""
    keyed = RequestClass(200.0, 5000.0, Effect.KEYED, group=Group.ALL, memory_ms=300.0)
    request, server = make_request_and_server(replace(PLAIN, allows_hedging=True), keyed, [])
    assert request.write_by_ms() == math.inf
    request.attempts.append(Attempt(server, 0, 50.0, outcome=Outcome.MOOT))
    assert request.write_by_ms() == math.inf
    request.attempts.append(Attempt(server, 0, 100.0, outcome=None))
    request.attempts.append(Attempt(server, 0, 150.0, outcome=Outcome.RESET))
    assert request.write_by_ms() == 100.0 + 300.0 - PLAIN.tick_ms
    for cls in (SAFE, replace(UNSAFE, memory_ms=300.0)):
        request, server = make_request_and_server(PLAIN, cls, [Outcome.RESET])
        assert (request.write_by_ms() == math.inf) is (cls is SAFE)
        assert request.can_send_to(server, 110.0) is (cls is SAFE)


@pytest.mark.parametrize("memory_ms", [100.0, 3000.0])
def test_a_retry_uses_the_memory_ms_that_its_request_arrived_under(memory_ms: float) -> None:
    """Even if a reload has changed `memory_ms` in the meantime."""
    keyed = RequestClass(200.0, 5000.0, Effect.KEYED, group=Group.ALL, memory_ms=300.0)
    settings = replace(PLAIN, classes=(keyed,))
    driver = Driver(settings)
    driver.list(ListKind.FULL, tuple(ServerEntry(n) for n in range(4)))
    (first,) = [action for action in driver.request() if isinstance(action, Send)]
    assert first.write_by_ms == math.inf
    sent_ms = driver.now
    driver.reconfigure(replace(settings, classes=(replace(keyed, memory_ms=memory_ms),)))
    driver.now += 20.0
    (again,) = [a for a in driver.end(first.request, 0, Outcome.RESET) if isinstance(a, Send)]
    assert again.write_by_ms == sent_ms + 300.0 - settings.tick_ms


def test_no_hedged_attempt_unless_hedging_is_allowed() -> None:
    request, server = make_request_and_server(PLAIN, SAFE, [None])
    assert not request.can_send_to(server, 110.0)
    request, server = make_request_and_server(replace(PLAIN, allows_hedging=True), SAFE, [None])
    assert request.can_send_to(server, 110.0)


def test_attempts_in_flight_and_cancelled_ones_may_have_run() -> None:
    for outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
        request, server = make_request_and_server(replace(PLAIN, allows_hedging=True), UNSAFE, [outcome])
        assert not request.can_send_to(server, 110.0)
        assert not request.can_refuse()
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT):
        request, server = make_request_and_server(PLAIN, UNSAFE, [outcome])
        assert request.can_send_to(server, 110.0)
        assert request.can_refuse()


def test_there_are_no_more_attempts_than_allowed() -> None:
    request, server = make_request_and_server(PLAIN, SAFE, [Outcome.RESET] * 4)
    assert not request.can_send_to(server, 110.0)


def zones_drawn(price: float, home: Outcome) -> Counter[int]:
    driver = Driver(replace(PLAIN, zones=2, my_zone=1, price_cross_zone=price, tier=1, tiers=2), 4)
    driver.list(ListKind.FULL, tuple(ServerEntry(n, zone=n % 2) for n in range(20)))
    drawn: Counter[int] = Counter()
    for n in range(300):
        (server,) = sends(driver.request(class_index=1))
        drawn[server % 2] += n >= 200
        driver.end(driver.next_id, 0, home if server % 2 else Outcome.OK)
        driver.advance(10.0)
    return drawn


def test_the_own_zone_is_preferred_if_crossing_has_a_cost_and_the_zone_keeps_up() -> None:
    assert zones_drawn(0.02, Outcome.OK)[1] > 90
    assert 30 < zones_drawn(0.0, Outcome.OK)[1] < 70


def test_requests_go_to_other_zones_while_the_own_zone_is_worse() -> None:
    # Guards against a zone with more traffic than its own servers can handle; balancers with a low rate never run out
    # of token holders in their own zone.
    assert zones_drawn(0.02, Outcome.ERROR)[0] > 30


def visits(slow_ms: float) -> Counter[int]:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    seen: Counter[int] = Counter()
    for _ in range(1500):
        (server,) = sends(driver.request(class_index=1))
        seen[server] += 1
        driver.advance(slow_ms if server == 0 else 10.0)
        driver.end(driver.next_id, 0, Outcome.OK)
    return seen


def test_a_balancer_with_one_request_at_a_time_uses_a_slow_server_less() -> None:
    # Guards against uniform selection overloading slow kinds of servers, and servers that stay slow once they are
    # overloaded.
    assert visits(40.0)[0] < 75
    assert visits(10.0)[0] > 120


def test_an_ejection_lasts_longer_than_the_interval_between_requests_to_a_server() -> None:
    # Guards against ejections that end before a balancer with a low rate would have used the server again.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10)
    for _ in range(30):
        driver.request(class_index=1)
        driver.end(driver.next_id, 0, Outcome.OK)
        driver.advance(300.0)
    (bad,) = sends(driver.request(class_index=1))
    driver.end(driver.next_id, 0, Outcome.ERROR)
    seen = set()
    for _ in range(8):
        driver.advance(300.0)
        seen |= set(sends(driver.request(class_index=1)))
        driver.end(driver.next_id, 0, Outcome.OK)
    assert bad not in seen


def test_a_concurrency_window_below_one_admits_a_fraction_of_the_requests() -> None:
    # Guards against hundreds of balancers that may each always have some requests in flight.
    driver = make_driver(replace(PLAIN, balancer_count=100), servers=10)
    served = []
    for _ in range(120):
        served.append(bool(sends(driver.request(1))))
        driver.advance(40.0)  # every attempt times out at the latency target, some 100 ms after it was sent
    assert 0 < sum(served[60:]) < 45


def test_retries_of_a_tenant_that_mostly_retries_are_refused_first() -> None:
    # Guards against clients that retry immediately although a refusal states a delay.
    driver = make_driver(replace(PLAIN, tenants=(Tenant(100.0), Tenant(100.0)), marks_retry=True))
    verdicts = {}
    for n in range(200):
        for tenant in (0, 1):
            event = RequestArrived(n, 0, 400.0, tenant, client_retry=tenant == 0 and n % 8 != 0)
            verdicts[tenant, event.client_retry] = driver.balancer.client_stats.is_over_share(event)
    assert verdicts == {(0, False): False, (0, True): True, (1, False): False}


def test_a_request_that_has_waited_probes_two_servers_not_eight() -> None:
    # Guards against a thundering herd: under overload all balancers probed each server that became idle.
    driver = make_driver(replace(PROBING, classes=(RequestClass(2000.0, 4000.0, Effect.SAFE),)), servers=100)
    rounds = []
    driver.request()
    for _ in range(3):
        asked = 0
        while driver.probes:
            asked += 1
            driver.end_probe((0.0, 1.0))
        rounds.append(asked)
        while not driver.probes:
            driver.advance(1.0)
    assert rounds == [8, 2, 2]


def test_attempts_that_never_ran_use_less_of_the_retry_budget() -> None:
    def attempts(outcome: Outcome) -> int:
        driver = make_driver(servers=40)
        for _ in range(100):
            driver.request()
            while driver.open_attempts():
                driver.end(*driver.open_attempts()[0], outcome)
        return sum(len(o.attempts) for o in driver.requests.values())

    assert attempts(Outcome.CONNECT_FAILED) > 1.4 * attempts(Outcome.RESET)


# connections


def test_a_loss_on_an_idle_connection_shortens_the_idle_time_allowed() -> None:
    # Guards against idle connections that are dropped without notice: after one loss they are closed before use.
    driver = make_driver(servers=1)
    driver.request()
    driver.end(driver.next_id, 0, Outcome.OK)
    driver.advance(3000.0)
    assert not any(isinstance(a, CloseIdle) for a in driver.request(class_index=1))
    driver.end(driver.next_id, 0, Outcome.RESET)
    driver.advance(100.0)
    driver.request()
    driver.end(driver.next_id, 0, Outcome.OK)
    driver.advance(3000.0)
    actions = driver.request(class_index=1)
    kinds = [type(a) for a in actions]
    assert kinds.index(CloseIdle) < kinds.index(Send)


def test_idle_connections_are_closed_if_many_servers_refuse_new_ones() -> None:
    # Guards against hundreds of balancers filling the servers' connection tables with idle connections.
    driver = make_driver(servers=50)
    for _ in range(6):
        driver.request()
        driver.end(driver.next_id, 0, Outcome.OK)
    for _ in range(2):
        actions = driver.request()
        while sends(actions):
            actions = driver.end(
                driver.next_id, len(driver.requests[driver.next_id].attempts) - 1, Outcome.CONNECT_FAILED
            )
    driver.advance(200.0)
    closed = {a.server for _ in range(8) for a in driver.request() if isinstance(a, CloseIdle)}
    assert len(closed) >= 2


def test_the_connection_of_a_restarted_server_is_forgotten() -> None:
    # Guards against treating the connection to an ended process as one to its successor.
    driver = make_driver(servers=3)
    for _ in range(9):
        driver.request()
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.list(ListKind.DELTA, tuple(ServerEntry(n, started_ms=driver.now - 1e6) for n in (0, 1)))
    for outcome in [Outcome.OK, Outcome.RESET, Outcome.RESET] * 6:
        driver.request(class_index=1)
        driver.end(driver.next_id, 0, outcome)
    assert len(driver.balancer.connections.connected.items) <= 3


def test_a_server_that_fails_one_class_still_serves_the_others() -> None:
    # Guards against successes in other classes resetting the failures: the server would keep failing this class.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    drawn: Counter[tuple[int, int]] = Counter()
    for n in range(2000):
        at = n % 2
        (server,) = sends(driver.request(class_index=at, left=400.0))
        drawn[at, server] += 1
        driver.advance(5.0)
        driver.end(driver.next_id, 0, Outcome.ERROR if (at, server) == (1, 0) else Outcome.OK)
        while attempts := driver.open_attempts():
            driver.end(*attempts[0], Outcome.OK)
    assert drawn[1, 0] < 60
    assert drawn[0, 0] > 60


def test_own_counts_matter_only_while_own_requests_outnumber_the_servers() -> None:
    # Guards the fallback of the design: without tokens any ready server may be selected, even a withheld one.
    counts: Counter[bool] = Counter()
    for seed in range(600):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request(class_index=1)
        withheld = driver.requests[1].attempts[0].server
        driver.end(1, 0, Outcome.ERROR)
        counts[sends(driver.request()) == [withheld]] += 1
    assert 150 < counts[True] < 250


# ---------------------------------------------------------------- reload and handover


def test_a_reload_keeps_the_settings_and_counts_of_requests_in_progress() -> None:
    """Guards rule 2 during a reload: a request keeps the number of attempts that it arrived under, a later one has the
    new number, and attempts in flight are still counted.
    """
    old = replace(PLAIN, max_attempts=3, classes=(RequestClass(1000.0, 4000.0, Effect.SAFE),))
    balancer = Balancer(old, 1)
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(1, 5)]))
    (first,) = [a for a in balancer.handle(1.0, RequestArrived(1, 0, 4000.0)) if isinstance(a, Send)]
    new = replace(old, max_attempts=1, classes=(RequestClass(500.0, 2000.0, Effect.SAFE),))
    balancer.handle(2.0, Reconfigured(new))
    assert balancer.table.servers[first.server].in_flight == 1
    (second,) = [a for a in balancer.handle(3.0, RequestArrived(2, 0, 2000.0)) if isinstance(a, Send)]
    assert second.timeout_ms <= 500.0 < first.timeout_ms
    again = balancer.handle(4.0, AttemptEnded(1, 0, first.server, Outcome.ERROR, False, 3.0))
    assert any(isinstance(a, Send) and a.request == 1 for a in again)
    again = balancer.handle(5.0, AttemptEnded(2, 0, second.server, Outcome.ERROR, False, 2.0))
    assert not any(isinstance(a, Send) for a in again)
    assert sum(server.in_flight for server in balancer.table.servers.values()) == 1


def test_settings_that_requests_depend_on_cannot_change() -> None:
    balancer = Balancer(PLAIN, 1)
    other = replace(PLAIN, classes=(RequestClass(100.0, 400.0, Effect.UNSAFE, name="x"),))
    for settings in (other, replace(PLAIN, zones=3), replace(PLAIN, tier=2, tiers=3)):
        with pytest.raises(ContractError):
            balancer.handle(1.0, Reconfigured(settings))
        assert balancer.settings is PLAIN


def test_a_longer_warm_up_time_makes_a_warm_server_cold() -> None:
    settings = replace(PLAIN, cold_ms=100.0, cold_share=0.1)
    balancer = Balancer(settings, 1)
    balancer.handle(1000.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(1, started_ms=500.0), ServerEntry(2)]))
    slow, server = balancer.slow_start, balancer.table.servers[1]
    assert not slow._cold_capacity and not slow.is_cold(server, 1000.0)
    balancer.handle(1001.0, Reconfigured(replace(settings, cold_ms=10_000.0)))
    # Half a second of ten, starting from a tenth. The other server is warm and does not count.
    assert (
        slow._cold_capacity
        == slow.capacity_fraction(server, 1001.0)
        == pytest.approx(0.1 + 0.9 * 501.0 / 10_000.0)
    )


def test_slow_start_credit_is_handed_over_once() -> None:
    """Guards rule 4 during a handover: the predecessor gives up the credit that the successor gets."""
    one, other = Balancer(PLAIN, 1), Balancer(PLAIN, 2)
    one.slow_start.credit = 1.75
    other.adopt(one.learned())
    assert (one.slow_start.credit, other.slow_start.credit) == (0.0, 1.75)


@pytest.mark.parametrize("value", [None, -1.0, math.inf, math.nan, "x", True, [], {"none": 1}])
def test_invalid_learned_values_are_ignored(value: object) -> None:
    balancer = Balancer(PLAIN, 1)
    before = list(balancer._latency)
    balancer.adopt(dict.fromkeys(("credit", "window", "idle_share", "most_running"), value))
    balancer.adopt({"latency": value, "base": {PLAIN.classes[0].name: "x"}, "work": value})
    assert balancer._latency == before and 0.0 <= balancer.slow_start.credit <= 2.0
    assert math.isfinite(balancer.limiter.window) and 0.0 <= balancer.load_probing.idle_share <= 1.0


@pytest.mark.parametrize(("balancer_count", "kept"), [(1, False), (2, True)])
def test_a_single_balancer_does_not_withhold_the_token_of_a_slow_server(
    balancer_count: int, kept: bool
) -> None:
    """A single balancer with five requests at eight servers knows from its own counts which are free."""
    cls = RequestClass(1000.0, 4000.0, Effect.SAFE)
    balancer = Balancer(Settings((cls,), balancer_count=balancer_count), 1)
    entries = [ServerEntry(n, kind=n // 4) for n in range(8)]
    balancer.handle(0.0, ListUpdate(ListKind.FULL, 1, entries))
    now, held, out = 0.0, 0, []
    for number in range(1, 401):
        now += 50.0
        sends = balancer.handle(now, RequestArrived(number, 0, 4000.0))
        out += [(number, action.server) for action in sends if isinstance(action, Send)]
        if len(out) > 5:
            first, server = out.pop(0)
            spent = 200.0 if server < 4 else 400.0
            balancer.handle(now, AttemptEnded(first, 0, server, Outcome.OK, True, spent))
        held += sum(server.withheld_until_ms > now for server in balancer.table.servers.values())
    assert (held > 100) is kept and (held == 0) is not kept
