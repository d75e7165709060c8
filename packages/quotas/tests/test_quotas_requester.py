"""Admission in one process: which controllers it queries, and what it does when none answers."""

from __future__ import annotations

import math
from random import Random

import pytest
from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.local_reserve import ISOLATION_NOTICE_MS
from larkweir_quotas.quota_allocator import GRANTED, UNDECIDED, QuotaDecision, QuotaOutcome
from larkweir_quotas.quota_requester import (
    MAX_UNANSWERED,
    AdmissionRule,
    Query,
    QuotaCharge,
    QuotaRejection,
    QuotaRequester,
)

LIMITS = {"t": RateLimit(1_000.0, 2_000.0)}
TOLERANCE = Tolerance(window_s=8.0, over=0.1, slack=500.0)
FULL_MS = 60_000.0  # time by which a reserve is full
REFUSED = QuotaDecision(QuotaOutcome.REFUSED, 0.5)


def make_requester(*controllers: str, processes: int = 1) -> QuotaRequester:
    requester = QuotaRequester(TOLERANCE, Random(1))
    requester.process_count = processes
    requester.set_limits(LIMITS, 0.0)
    for controller in controllers:
        requester.set_granting(controller, 0.0, is_granting=True)
    return requester


def expect_query(step: object) -> Query:
    assert isinstance(step, Query)
    return step


def test_a_request_is_admitted_once_a_controller_has_granted_it() -> None:
    requester = make_requester("a")
    query = expect_query(requester.begin("t", 10.0, 0.0))
    assert (query.controller, query.tenant, query.units) == ("a", "t", 10.0)
    charge = requester.on_decision(query.request_id, "a", GRANTED, 1.0)
    assert charge == QuotaCharge("t", 10.0, AdmissionRule.GRANT, "a")
    assert requester.admitted_units() == {"t": {AdmissionRule.GRANT: 10.0}}


def test_all_controllers_are_tried_in_turn_and_the_shortest_wait_counts() -> None:
    requester = make_requester("a", "b", "c")
    step, tried = requester.begin("t", 10.0, 0.0), []
    for retry_after_s in (2.0, 0.5, 1.0):
        query = expect_query(step)
        tried.append(query.controller)
        decision = QuotaDecision(QuotaOutcome.REFUSED, retry_after_s)
        step = requester.on_decision(query.request_id, query.controller, decision, 0.0)
    assert sorted(tried) == ["a", "b", "c"]
    assert isinstance(step, QuotaRejection)
    assert step.rule is AdmissionRule.GRANT
    assert 0.5 <= step.retry_after_s <= 0.75, "spread, so that clients do not retry together"


def test_clients_that_are_refused_together_get_different_retry_times() -> None:
    requester, waits = make_requester("a"), set()
    for number in range(50):
        query = expect_query(requester.begin("t", 10.0, 10_000.0 * number))
        step = requester.on_decision(
            query.request_id, "a", QuotaDecision(QuotaOutcome.REFUSED, 1.0), 10_000.0 * number
        )
        assert isinstance(step, QuotaRejection)
        waits.add(round(step.retry_after_s, 1))
    assert waits >= {1.0, 1.1, 1.2, 1.3, 1.4}


def test_after_a_refusal_by_all_no_controller_is_tried_for_a_while() -> None:
    requester = make_requester("a")
    query = expect_query(requester.begin("t", 10.0, 0.0))
    requester.on_decision(query.request_id, "a", REFUSED, 0.0)
    rejected = requester.begin("t", 10.0, 0.1)
    assert isinstance(rejected, QuotaRejection)
    assert rejected.rule is AdmissionRule.BACKOFF
    assert isinstance(requester.begin("t", 10.0, 500.0), Query)


def test_after_an_undecided_answer_the_next_controller_is_queried() -> None:
    requester = make_requester("a", "b")
    first = expect_query(requester.begin("t", 10.0, 0.0))
    second = expect_query(requester.on_decision(first.request_id, first.controller, UNDECIDED, 0.0))
    assert {first.controller, second.controller} == {"a", "b"}


def test_the_reserve_decides_where_no_controller_answers_in_time() -> None:
    requester = make_requester(*"abcde")
    step = requester.begin("t", 10.0, FULL_MS)
    for _ in range(MAX_UNANSWERED):
        query = expect_query(step)
        step = requester.on_timeout(query.request_id, query.controller, FULL_MS)
    assert step == QuotaCharge("t", 10.0, AdmissionRule.RESERVE)


def test_an_answer_after_its_timeout_admits_nothing() -> None:
    requester = make_requester("a", "b")
    query = expect_query(requester.begin("t", 10.0, 0.0))
    requester.on_timeout(query.request_id, query.controller, 1.0)
    assert requester.on_decision(query.request_id, query.controller, GRANTED, 2.0) is None
    assert requester.on_timeout(query.request_id, query.controller, 3.0) is None


def test_requests_that_wait_for_a_lost_controller_go_on_to_the_next() -> None:
    requester = make_requester("a", "b")
    queries = [expect_query(requester.begin("t", 10.0, 0.0)) for _ in range(20)]
    steps = dict(requester.on_controller_lost("a", 1.0))
    assert set(steps) == {query.request_id for query in queries if query.controller == "a"}
    assert all(isinstance(step, Query) and step.controller == "b" for step in steps.values())


def test_a_new_process_and_one_without_a_known_process_count_have_no_reserve() -> None:
    fresh = make_requester()
    assert isinstance(fresh.begin("t", 10.0, 0.0), QuotaRejection)
    unknown = make_requester(processes=0)
    assert isinstance(unknown.begin("t", 10.0, FULL_MS), QuotaRejection)


def test_an_isolated_process_gets_a_part_of_the_rate_only_once_controllers_have_noticed() -> None:
    requester = make_requester("a", processes=2)
    requester.on_controller_lost("a", FULL_MS)

    def admitted(until_ms: float) -> float:
        total, now_ms = 0.0, FULL_MS
        while now_ms < until_ms:
            if isinstance(requester.begin("t", 1.0, now_ms), QuotaCharge):
                total += 1.0
            now_ms += 1.0
        return total

    tolerated = TOLERANCE.units(LIMITS["t"])
    assert admitted(FULL_MS + ISOLATION_NOTICE_MS) <= tolerated / 2.0
    assert admitted(FULL_MS + ISOLATION_NOTICE_MS + 8_000.0) == pytest.approx(2_000.0, rel=0.15)


def test_only_charges_to_the_reserve_are_refunded_to_it() -> None:
    requester = make_requester()
    charge = requester.begin("t", 100.0, FULL_MS)
    assert isinstance(charge, QuotaCharge)
    assert isinstance(
        requester.begin("t", 1_000.0, FULL_MS), QuotaCharge
    ), "a single process may go into debt"
    assert isinstance(requester.begin("t", 10.0, FULL_MS), QuotaRejection)
    requester.refund(QuotaCharge("t", 1_000.0, AdmissionRule.RESERVE), FULL_MS)
    assert isinstance(requester.begin("t", 10.0, FULL_MS), QuotaCharge)
    requester.refund(QuotaCharge("t", 9e9, AdmissionRule.GRANT, "a"), FULL_MS)
    assert isinstance(requester.begin("t", 1_000.0, FULL_MS), QuotaCharge)
    assert isinstance(requester.begin("t", 10.0, FULL_MS), QuotaRejection)


def test_a_second_execution_is_charged_to_the_controller_that_granted_the_first() -> None:
    requester = make_requester("a", "b")
    charge = QuotaCharge("t", 10.0, AdmissionRule.GRANT, "b")
    assert requester.charge_again(charge, 0.0) == "b"
    requester.on_controller_lost("b", 0.0)
    assert requester.charge_again(charge, 0.0) == "a"
    requester.on_controller_lost("a", 0.0)
    assert requester.charge_again(charge, 0.0) is None
    assert requester.charge_again(QuotaCharge("t", 0.0, AdmissionRule.UNLIMITED), 0.0) is None


def test_a_tenant_without_a_limit_and_a_request_without_units_are_always_admitted() -> None:
    requester = make_requester("a")
    assert requester.begin("other", 1e9, 0.0) == QuotaCharge("other", 0.0, AdmissionRule.UNLIMITED)
    assert requester.begin("t", 0.0, 0.0) == QuotaCharge("t", 0.0, AdmissionRule.UNLIMITED)


@pytest.mark.parametrize("units", [-1.0, -900_000.0, math.inf, math.nan])
def test_invalid_units_are_rejected(units: float) -> None:
    requester = make_requester("a")
    with pytest.raises(ValueError, match="units"):
        requester.begin("t", units, 0.0)
    assert requester.admitted_units() == {}
