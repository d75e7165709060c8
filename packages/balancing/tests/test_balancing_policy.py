"""Behaviour of the decision module, one test a behaviour, without the driver."""

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


# the ordinary path


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_draw_is_uniform_among_token_holders(seed: int) -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=10, seed=seed)
    for _ in range(4):
        driver.request()  # four tokens are spent and stay so
    busy = {t.server for o in driver.requests.values() for t in o.attempts}
    counts: Counter[int] = Counter()
    for _ in range(6000):
        (server,) = sends(driver.request())
        counts[server] += 1
        driver.end(driver.next_id, 0, Outcome.OK)
    assert len(busy) == 4
    assert not busy & counts.keys()
    assert chi_square([counts[n] for n in range(10) if n not in busy]) < 20.5  # 5 degrees, odds 0.001


def test_without_any_token_the_draw_is_over_the_ready_servers() -> None:
    counts: Counter[int] = Counter()
    for seed in range(3000):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request()
        (server,) = sends(driver.request())
        counts[server] += 1
    assert chi_square([counts[n] for n in range(3)]) < 13.9  # 2 degrees, odds 0.001


def test_a_token_returns_only_when_no_call_is_outstanding() -> None:
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    driver.request()
    driver.request()  # one call at each server
    (third,) = sends(driver.request())  # no token: a second call somewhere
    first = next(r for r, o in driver.requests.items() if o.attempts[0].server == third)
    driver.end(first, 0, Outcome.OK)  # that server still has the third call
    other = next(r for r, o in driver.requests.items() if o.attempts[0].server != third)
    driver.end(other, 0, Outcome.OK)
    (fourth,) = sends(driver.request())
    assert fourth != third


def test_unvisited_servers_are_visited_by_a_copy_whose_calls_run_one_at_a_time() -> None:
    # Guards against the lone sticky token: a copy of low rate returned to the first server it had met.
    driver = make_driver(servers=10)
    seen = set()
    for _ in range(100):
        (server,) = sends(driver.request())
        seen.add(server)
        driver.end(driver.next_id, 0, Outcome.OK)
    assert len(seen) == 10


def test_when_no_token_is_held_the_level_is_raised() -> None:
    # Guards against piling a third call onto a server while another has one.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=5)
    for _ in range(10):
        driver.request()
    load = Counter(t.server for o in driver.requests.values() for t in o.attempts)
    assert set(load.values()) == {2}


def test_same_seed_same_actions() -> None:
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


def test_an_idle_report_confirms_the_token_and_a_busy_one_draws_another() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    assert sends(driver.end_probe((0.9, 2.0))) == []
    assert driver.probes[0] != first
    second = driver.probes[0]
    assert sends(driver.end_probe((0.0, 0.0))) == [second]


def test_silence_counts_as_busy() -> None:
    driver = make_driver(PROBING)
    driver.request()
    first = driver.probes[0]
    driver.advance(30.0)
    assert driver.probes[1] != first


def test_a_call_with_little_time_left_is_not_lost_while_a_report_is_awaited() -> None:
    driver = make_driver(replace(PROBING, tick_ms=5.0))
    driver.request(left=12.0)
    driver.advance(40.0)
    assert driver.requests[1].answers == 1


def test_two_requests_never_settle_on_one_report() -> None:
    driver = make_driver(PROBING, servers=2)
    driver.request()
    driver.request()
    assert driver.probes[0] != driver.probes[1]


def test_calls_are_held_while_all_drawn_are_busy_and_refused_before_the_aim() -> None:
    driver = make_driver(PROBING, servers=4)
    driver.request()
    for _ in range(400):
        driver.advance(1.0)
        while driver.probes:
            driver.end_probe((1.0, 1.0))
    assert driver.requests[1].answers == 1
    assert not driver.requests[1].attempts
    assert any(isinstance(a, Refuse) for a in driver.actions)


def test_polls_thin_out_while_next_to_nothing_is_idle() -> None:
    # Guards against a herd on the one server that falls idle, seen by many copies at once.
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
def test_reports_that_do_not_tell_idleness_are_not_paid_for(fields: tuple[str, ...]) -> None:
    driver = make_driver(replace(PROBING, report_fields=fields))
    assert len(sends(driver.request())) == 1
    assert not driver.probes


def test_a_dear_probe_that_can_save_little_is_not_sent() -> None:
    driver = make_driver(replace(PROBING, price_probe=0.5))
    for _ in range(200):
        driver.request()
        if driver.open_attempts():
            driver.end(*driver.open_attempts()[0], Outcome.OK)
    assert sum(isinstance(a, Probe) for a in driver.actions) < 20


# legality


def test_an_unsafe_call_is_repeated_only_after_proof_that_nothing_ran() -> None:
    driver = make_driver(servers=5)
    driver.request(1)
    assert len(sends(driver.end(1, 0, Outcome.CONNECT_FAILED))) == 1
    actions = driver.end(1, 1, Outcome.RESET)
    assert actions == [Fail(1)]


def test_a_keyed_call_stays_in_the_zone_of_its_first_server() -> None:
    keyed = RequestClass(200.0, 400.0, Effect.KEYED, group=Group.ZONE, memory_ms=300.0)
    for seed in range(30):
        driver = Driver(replace(PLAIN, classes=(keyed,), zones=3), seed)
        driver.list(ListKind.FULL, tuple(ServerEntry(n, zone=n % 3) for n in range(9)))
        driver.request()
        driver.end(1, 0, Outcome.RESET)
        zones = {t.zone for t in driver.requests[1].attempts}
        assert len(zones) == 1
        assert len(driver.requests[1].attempts) == 2


def test_nothing_goes_to_a_draining_or_delisted_server() -> None:
    driver = make_driver(servers=3)
    driver.list(ListKind.DELTA, (ServerEntry(0, ServerState.DRAINING), ServerEntry(1, ServerState.GONE)))
    for _ in range(20):
        assert set(sends(driver.request())) <= {2}


def test_a_server_that_drains_while_its_report_is_awaited_gets_nothing() -> None:
    driver = make_driver(PROBING, servers=1)
    driver.request()
    driver.feed(ListUpdate(ListKind.DELTA, 2, (ServerEntry(0, ServerState.DRAINING),)))
    assert sends(driver.end_probe((0.0, 0.0))) == []


def test_a_full_list_drops_what_it_lacks() -> None:
    driver = make_driver(servers=3)
    driver.list(ListKind.FULL, (ServerEntry(2),))
    assert sends(driver.request()) == [2]


def test_a_call_waits_for_a_server_and_is_answered_when_none_comes() -> None:
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


def test_a_streamed_answer_belongs_to_the_client() -> None:
    driver = make_driver(replace(PLAIN, classes=(replace(SAFE, streaming=True),)))
    driver.request()
    driver.feed(AnswerStarted(1, 0, driver.requests[1].attempts[0].server))
    driver.requests[1].over = True
    driver.requests[1].attempts[0].outcome = Outcome.RESET
    assert driver.feed(AttemptEnded(1, 0, driver.requests[1].attempts[0].server, Outcome.RESET, True)) == []


# slow start


@pytest.mark.parametrize("balancer_count", [1, 40])
def test_cold_servers_together_stay_within_their_budget(balancer_count: int) -> None:
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
    for _ in range(400):  # two seconds at 200 calls a second, all servers just started
        driver = fleet[rng.randrange(balancer_count)]
        for server in sends(driver.request()):
            hits[server] += 1
            driver.end(*driver.open_attempts()[-1], Outcome.OK)
    # Warm servers would get 50 each; a tenth of that is what these can do, and three times it topples them.
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


# health


def test_a_server_that_errs_at_once_does_not_attract_calls() -> None:
    # Guards against the fast failure that regains its token first.
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


def test_a_request_that_a_server_rejects_fails_at_once_and_is_not_held_against_it() -> None:
    # Guards the servers against callers whose requests no server will take.
    driver = make_driver(servers=2)
    for _ in range(50):
        driver.request(0)
        number = driver.next_id
        server = driver.balancer.table.servers[driver.requests[number].attempts[0].server]
        driver.end(number, 0, Outcome.REJECTED)
        assert driver.requests[number].over and len(driver.requests[number].attempts) == 1
        assert (server.consecutive_failures, server.in_flight, server.list_level) == (0, 0, 0)
    assert driver.balancer.outliers.failure_rate <= 0.1 and not driver.balancer.requests


def test_every_refusal_tells_when_to_come_again() -> None:
    # Guards against a client that repeats at once what no server could take.
    driver = make_driver(replace(PLAIN, max_retry_after_ms=2000.0), servers=2)
    for _ in range(30):
        driver.request(0)
        driver.advance(10.0)
        for request, attempt in driver.open_attempts():
            driver.end(request, attempt, Outcome.FULL)
    driver.advance(20_000.0)
    refused = [action for action in driver.actions if isinstance(action, Refuse)]
    assert refused and all(action.wait_ms == 2000.0 for action in refused)


def test_a_call_without_time_for_an_answer_is_refused_at_once() -> None:
    # Guards servers against work nobody can use, and against time-outs that come of having had no time.
    driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2)
    usual = driver.balancer._latency[0]
    driver.request(0, left=0.2 * usual)
    assert driver.requests[1].over and not driver.requests[1].attempts
    driver.request(0, left=0.5 * usual)
    assert len(driver.requests[2].attempts) == 1


def test_a_full_server_does_not_regain_its_token_at_once() -> None:
    driver = make_driver(servers=2)
    driver.request(1)
    full = driver.requests[1].attempts[0].server
    driver.end(1, 0, Outcome.FULL)
    assert [t.server for t in driver.requests[1].attempts] == [full, 1 - full]
    driver.end(1, 1, Outcome.OK)
    assert set(sends(driver.request(1)) + sends(driver.request(1))) == {1 - full}


def test_when_everything_fails_nothing_is_ejected() -> None:
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
    """Two calls in a row of one server fail, while so many calls are out beside them; that server."""
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


def test_runs_of_failures_eject_nobody_while_as_many_are_odd_by_chance() -> None:
    """Seen as four servers of which two were ejected in turn, for failures behind them, and the rest choked."""
    for others, outcome, ejected in (
        (1, Outcome.ERROR, True),
        (22, Outcome.ERROR, False),
        (22, Outcome.RESET, False),
    ):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=2 if others == 1 else 4)
        server = two_failures_of_one(driver, others, outcome)
        assert (driver.balancer.table.servers[server] in driver.balancer.table.ejected) is ejected


def test_a_failure_that_took_its_time_withholds_no_token() -> None:
    """A fast failure would attract the next call; a slow one does not, and withholding crowds the others."""
    for after, withheld in ((0.0, True), (350.0, False)):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=4)
        driver.request(class_index=1)
        server = driver.requests[1].attempts[0].server
        driver.now += after
        driver.balancer.outliers.failure_rate = 1.0  # nothing is ejected
        driver.end(1, 0, Outcome.ERROR)
        assert (driver.balancer.table.servers[server].withheld_until_ms > driver.now) is withheld


def test_retries_stop_when_their_budget_is_spent() -> None:
    driver = make_driver(servers=20)
    for _ in range(200):
        driver.request()
        while driver.open_attempts():
            driver.end(*driver.open_attempts()[0], Outcome.RESET)
    attempts = sum(len(o.attempts) for o in driver.requests.values())
    assert attempts < 200 * 1.3 + 10


# the aim and shedding


def test_calls_are_cut_just_before_the_aim_where_late_answers_are_worthless() -> None:
    driver = make_driver()
    (send,) = [a for a in driver.request() if isinstance(a, Send)]
    assert 90.0 < send.timeout_ms < 100.0
    late = make_driver(replace(PLAIN, classes=(replace(SAFE, late_worth=0.5),)))
    (send,) = [a for a in late.request() if isinstance(a, Send)]
    assert send.timeout_ms == 400.0


def test_a_last_retry_that_carries_the_rest_of_the_deadline_does_not_make_fresh_calls_late() -> None:
    # Guards against cutting fresh calls after milliseconds: the longest time left is not the usual one.
    driver = make_driver(servers=40)
    for _ in range(20):
        driver.request(left=250.0)
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request(left=390.0)
    driver.end(driver.next_id, 0, Outcome.OK)
    (send,) = [a for a in driver.request(left=250.0) if isinstance(a, Send)]
    assert send.timeout_ms > 90.0
    # A client in haste: none of those that came here has waited in vain, so none can come again with the rest.
    assert [type(a) for a in driver.request(left=210.0)] == [Send]
    assert [type(a) for a in driver.request(left=1.0)] == [Refuse]  # there is no time for it


def test_the_rest_of_a_deadline_is_told_from_haste_by_what_has_ended_in_vain() -> None:
    # Guards against refusing a spell of clients in haste, whose first tries come with little time, as if their aim were
    # past; and against serving the last try of one that has waited in vain, which is worth nothing.
    driver = make_driver(servers=40)
    for _ in range(20):
        driver.request(left=250.0)
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request(class_index=1, left=250.0)
    late = driver.next_id
    driver.now += 90.0
    driver.end(late, 0, Outcome.TIMEOUT)
    assert [type(a) for a in driver.request(left=210.0)] == [Refuse]  # 190 ms are gone, and the aim with them
    assert [type(a) for a in driver.request(left=210.0)] == [Send]  # only one was in vain


def test_work_too_heavy_for_the_aim_is_refused_at_once_but_never_by_a_guess() -> None:
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
    assert [type(a) for a in ask(60.0)] == [Send]  # one answer is no knowledge
    driver.now += 30.0
    driver.end(driver.next_id, 0, Outcome.OK)
    for _ in range(30):
        ask(10.0)
        driver.now += 30.0
        driver.end(driver.next_id, 0, Outcome.OK)
    assert [type(a) for a in ask(200.0)] == [Refuse]  # 600 ms of an aim of 100
    assert [type(a) for a in ask(15.0)] == [Send]


def test_who_has_fallen_silent_is_not_tried_by_what_cannot_be_repeated() -> None:
    driver = make_driver(servers=3)
    for _ in range(12):  # all three answer, then one falls silent
        driver.request()
        driver.now += 10.0
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.request()
    (silent,) = sends(driver.actions[-1:])
    driver.now += 100.0
    driver.end(driver.next_id, 0, Outcome.RESET)
    driver.now += 5_000.0  # any ejection is over
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


def test_where_nobody_holds_a_token_an_ejected_server_is_drawn_last() -> None:
    for seed in range(30):  # by chance alone one of four would draw it
        driver = make_driver(servers=4, seed=seed)
        fleet = driver.balancer.table
        fleet.ejected.add(fleet.servers[0])
        fleet.withhold_token(fleet.servers[0], driver.now + 1_000.0)
        driver.actions.clear()
        for _ in range(4):  # no more calls than servers: own counts do not choose yet
            driver.request()
        assert 0 not in sends(driver.actions)


def test_an_own_call_at_home_goes_before_crossing_while_home_does_no_worse() -> None:
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


def test_usual_needs_a_clear_majority() -> None:
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
    # Some were sent after a wait.
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


def test_a_copy_subscribes_within_its_duty_and_paces_its_calls_after_failures() -> None:
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


def test_fresh_copies_do_not_all_ask_discovery_at_once() -> None:
    settings = replace(PLAIN, on_request_discovery=True, list_request_interval_ms=8000.0)
    asked = []
    for seed in range(40):
        driver = make_driver(settings, seed=seed)
        asked.append(driver.timers[0][0] - driver.now)
    assert max(asked) <= 2000.0
    assert max(asked) - min(asked) > 1000.0


# contract


def test_broken_contracts_are_told() -> None:
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


def test_late_and_odd_events_are_ignored() -> None:
    driver = make_driver()
    assert driver.feed(AttemptEnded(99, 0, 0, Outcome.OK, True)) == []
    assert driver.feed(ProbeEnded(77, Outcome.OK, 1.0, ())) == []


# legality by itself: what no path of today would try must be forbidden all the same


def make_request_and_server(
    settings: Settings, cls: RequestClass, outcomes: list[Outcome | None]
) -> tuple[Request, Server]:
    request = Request(RequestArrived(1, 0, 5000.0), replace(settings, classes=(cls,)), 0.0)
    server = Server(1, 0, 0, 0.0, ready=True)
    for outcome in outcomes:
        request.attempts.append(Attempt(server, 0, 100.0, outcome=outcome))
        request.in_flight += outcome is None
    return request, server


def test_a_keyed_call_is_not_repeated_after_the_memory_of_its_first_send() -> None:
    keyed = RequestClass(200.0, 5000.0, Effect.KEYED, group=Group.ALL, memory_ms=300.0)
    request, server = make_request_and_server(PLAIN, keyed, [Outcome.RESET])
    assert request.can_send_to(server, 390.0)
    assert not request.can_send_to(server, 400.0)
    unrun = make_request_and_server(PLAIN, keyed, [Outcome.FULL])
    assert unrun[0].can_send_to(unrun[1], 4000.0)


def test_a_repeat_may_be_written_until_the_memory_of_the_first_that_may_have_run_ends() -> None:
    """From the send of that one on, whatever was sent before it or is still out; a first attempt has no such time."""
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
def test_a_repeat_is_sent_with_the_window_that_its_request_was_taken_with(memory_ms: float) -> None:
    """Also where a reload has changed the window meanwhile."""
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


def test_no_second_copy_where_none_is_allowed() -> None:
    request, server = make_request_and_server(PLAIN, SAFE, [None])
    assert not request.can_send_to(server, 110.0)
    request, server = make_request_and_server(replace(PLAIN, allows_hedging=True), SAFE, [None])
    assert request.can_send_to(server, 110.0)


def test_outstanding_and_cancelled_attempts_count_as_may_have_run() -> None:
    for outcome in (None, Outcome.CANCELLED, Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET):
        request, server = make_request_and_server(replace(PLAIN, allows_hedging=True), UNSAFE, [outcome])
        assert not request.can_send_to(server, 110.0)
        assert not request.can_refuse()
    for outcome in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT):
        request, server = make_request_and_server(PLAIN, UNSAFE, [outcome])
        assert request.can_send_to(server, 110.0)
        assert request.can_refuse()


def test_no_more_attempts_than_allowed() -> None:
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


def test_where_crossings_cost_home_servers_are_drawn_while_they_keep_up() -> None:
    assert zones_drawn(0.02, Outcome.OK)[1] > 90
    assert 30 < zones_drawn(0.0, Outcome.OK)[1] < 70


def test_calls_spill_to_other_zones_while_home_does_worse() -> None:
    # Guards against a zone with more traffic than its own servers carry; copies of low rate never run out of
    # tokens at home.
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


def test_a_slower_server_is_visited_less_by_a_copy_whose_calls_run_one_at_a_time() -> None:
    # Guards against slow kinds and servers that stay slow once crowded: even draws would fill them.
    assert visits(40.0)[0] < 75
    assert visits(10.0)[0] > 120


def test_an_ejection_outlasts_the_time_between_two_visits() -> None:
    # Guards against ejections that are over before a copy of low rate would have come by again.
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


def test_a_window_below_one_call_lets_a_part_of_the_calls_through() -> None:
    # Guards against hundreds of copies that each may always have some calls out.
    driver = make_driver(replace(PLAIN, balancer_count=100), servers=10)
    served = []
    for _ in range(120):
        served.append(bool(sends(driver.request(1))))
        driver.advance(40.0)  # every attempt runs into its aim, some 100 ms after its send
    assert 0 < sum(served[60:]) < 45


def test_repeats_of_a_tenant_that_mostly_repeats_are_refused_first() -> None:
    # Guards against clients that repeat at once, whatever they are told.
    driver = make_driver(replace(PLAIN, tenants=(Tenant(100.0), Tenant(100.0)), marks_retry=True))
    verdicts = {}
    for n in range(200):
        for tenant in (0, 1):
            event = RequestArrived(n, 0, 400.0, tenant, client_retry=tenant == 0 and n % 8 != 0)
            verdicts[tenant, event.client_retry] = driver.balancer.client_stats.is_over_share(event)
    assert verdicts == {(0, False): False, (0, True): True, (1, False): False}


def test_a_call_that_looks_again_asks_two_servers_not_eight() -> None:
    # Guards against a herd: in a jam the polls of all copies met at each server that fell idle.
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


def test_calls_that_no_server_looked_at_are_retried_more_freely() -> None:
    def attempts(outcome: Outcome) -> int:
        driver = make_driver(servers=40)
        for _ in range(100):
            driver.request()
            while driver.open_attempts():
                driver.end(*driver.open_attempts()[0], outcome)
        return sum(len(o.attempts) for o in driver.requests.values())

    assert attempts(Outcome.CONNECT_FAILED) > 1.4 * attempts(Outcome.RESET)


# connections


def test_a_loss_on_an_idle_connection_shortens_the_time_such_ones_are_trusted() -> None:
    # Guards against connections dropped unseen while idle: each is lost once, then closed before it is used.
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


def test_connections_unused_are_closed_where_many_servers_refuse_new_ones() -> None:
    # Guards against hundreds of copies filling the servers' connection tables with idle connections.
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


def test_a_restarted_server_with_an_open_connection_is_followed() -> None:
    # Guards against the connection of a process that is gone being taken for its successor's.
    driver = make_driver(servers=3)
    for _ in range(9):
        driver.request()
        driver.end(driver.next_id, 0, Outcome.OK)
    driver.list(ListKind.DELTA, tuple(ServerEntry(n, started_ms=driver.now - 1e6) for n in (0, 1)))
    for outcome in [Outcome.OK, Outcome.RESET, Outcome.RESET] * 6:
        driver.request(class_index=1)
        driver.end(driver.next_id, 0, outcome)
    assert len(driver.balancer.connections.connected.items) <= 3


def test_a_server_that_fails_one_class_is_kept_for_the_others() -> None:
    # Guards against a server whose successes in other classes clear it: it would go on failing this one.
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


def test_own_counts_choose_only_while_own_calls_outnumber_the_servers() -> None:
    # Guards the design's fallback: with no token held, any ready server may be drawn, a withheld one too.
    counts: Counter[bool] = Counter()
    for seed in range(600):
        driver = make_driver(replace(PLAIN, tier=1, tiers=2), servers=3, seed=seed)
        for _ in range(3):
            driver.request(class_index=1)
        withheld = driver.requests[1].attempts[0].server
        driver.end(1, 0, Outcome.ERROR)
        counts[sends(driver.request()) == [withheld]] += 1
    assert 150 < counts[True] < 250


# ---------------------------------------------------------------- a new generation, and another life


def test_new_figures_leave_open_requests_their_rules_and_counts() -> None:
    """Guards rule 2 over a reload: a request that came when two attempts were allowed keeps them, one that
    comes later has the new number, and what is out stays counted.
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


def test_shapes_that_requests_are_held_by_can_t_change() -> None:
    balancer = Balancer(PLAIN, 1)
    other = replace(PLAIN, classes=(RequestClass(100.0, 400.0, Effect.UNSAFE, name="x"),))
    for settings in (other, replace(PLAIN, zones=3), replace(PLAIN, tier=2, tiers=3)):
        with pytest.raises(ContractError):
            balancer.handle(1.0, Reconfigured(settings))
        assert balancer.settings is PLAIN


def test_a_longer_cold_time_makes_a_server_cold_that_was_warm() -> None:
    settings = replace(PLAIN, cold_ms=100.0, cold_share=0.1)
    balancer = Balancer(settings, 1)
    balancer.handle(1000.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(1, started_ms=500.0), ServerEntry(2)]))
    slow, server = balancer.slow_start, balancer.table.servers[1]
    assert not slow._cold_capacity and not slow.is_cold(server, 1000.0)
    balancer.handle(1001.0, Reconfigured(replace(settings, cold_ms=10_000.0)))
    # Half a second of ten, from a tenth on: the other server, which is warm, counts for nothing.
    assert (
        slow._cold_capacity
        == slow.capacity_fraction(server, 1001.0)
        == pytest.approx(0.1 + 0.9 * 501.0 / 10_000.0)
    )


def test_the_cold_credit_is_one_for_both_lives() -> None:
    """Guards rule 4 over a handover: what the successor gets, the predecessor has no more."""
    one, other = Balancer(PLAIN, 1), Balancer(PLAIN, 2)
    one.slow_start.credit = 1.75
    other.adopt(one.learned())
    assert (one.slow_start.credit, other.slow_start.credit) == (0.0, 1.75)


@pytest.mark.parametrize("value", [None, -1.0, math.inf, math.nan, "x", True, [], {"none": 1}])
def test_what_makes_no_sense_is_not_adopted(value: object) -> None:
    balancer = Balancer(PLAIN, 1)
    before = list(balancer._latency)
    balancer.adopt(dict.fromkeys(("credit", "window", "idle_share", "most_running"), value))
    balancer.adopt({"latency": value, "base": {PLAIN.classes[0].name: "x"}, "work": value})
    assert balancer._latency == before and 0.0 <= balancer.slow_start.credit <= 2.0
    assert math.isfinite(balancer.limiter.window) and 0.0 <= balancer.load_probing.idle_share <= 1.0


@pytest.mark.parametrize(("balancer_count", "kept"), [(1, False), (2, True)])
def test_a_slow_server_keeps_its_token_where_own_calls_are_all_there_are(
    balancer_count: int, kept: bool
) -> None:
    """A lone copy with five calls at eight servers sees which are free."""
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
