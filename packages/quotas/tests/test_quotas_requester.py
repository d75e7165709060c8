"""Admission at one process: whom it queries, and what it does when nobody answers."""

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
FULL_MS = 60_000.0  # by when a reserve is full
REFUSED = QuotaDecision(QuotaOutcome.REFUSED, 0.5)


def requester(*controllers: str, processes: int = 1) -> QuotaRequester:
    made = QuotaRequester(TOLERANCE, Random(1))
    made.process_count = processes
    made.set_limits(LIMITS, 0.0)
    for controller in controllers:
        made.set_granting(controller, 0.0, is_granting=True)
    return made


def queried(step: object) -> Query:
    assert isinstance(step, Query)
    return step


def test_a_request_is_admitted_once_a_controller_has_granted_it() -> None:
    made = requester("a")
    query = queried(made.begin("t", 10.0, 0.0))
    assert (query.controller, query.tenant, query.units) == ("a", "t", 10.0)
    charge = made.on_decision(query.request_id, "a", GRANTED, 1.0)
    assert charge == QuotaCharge("t", 10.0, AdmissionRule.GRANT, "a")
    assert made.admitted_units() == {"t": {AdmissionRule.GRANT: 10.0}}


def test_all_controllers_are_tried_in_turn_and_the_shortest_wait_counts() -> None:
    made = requester("a", "b", "c")
    step, tried = made.begin("t", 10.0, 0.0), []
    for retry_after_s in (2.0, 0.5, 1.0):
        query = queried(step)
        tried.append(query.controller)
        decision = QuotaDecision(QuotaOutcome.REFUSED, retry_after_s)
        step = made.on_decision(query.request_id, query.controller, decision, 0.0)
    assert sorted(tried) == ["a", "b", "c"]
    assert isinstance(step, QuotaRejection)
    assert step.rule is AdmissionRule.GRANT
    assert 0.5 <= step.retry_after_s <= 0.75, "spread, so that clients do not return together"


def test_clients_that_are_refused_together_do_not_return_together() -> None:
    made, waits = requester("a"), set()
    for number in range(50):
        query = queried(made.begin("t", 10.0, 10_000.0 * number))
        step = made.on_decision(
            query.request_id, "a", QuotaDecision(QuotaOutcome.REFUSED, 1.0), 10_000.0 * number
        )
        assert isinstance(step, QuotaRejection)
        waits.add(round(step.retry_after_s, 1))
    assert waits >= {1.0, 1.1, 1.2, 1.3, 1.4}


def test_after_a_refusal_by_all_no_controller_is_tried_for_a_while() -> None:
    made = requester("a")
    query = queried(made.begin("t", 10.0, 0.0))
    made.on_decision(query.request_id, "a", REFUSED, 0.0)
    rejected = made.begin("t", 10.0, 0.1)
    assert isinstance(rejected, QuotaRejection)
    assert rejected.rule is AdmissionRule.BACKOFF
    assert isinstance(made.begin("t", 10.0, 500.0), Query)


def test_a_controller_that_decides_nothing_is_passed_over() -> None:
    made = requester("a", "b")
    first = queried(made.begin("t", 10.0, 0.0))
    second = queried(made.on_decision(first.request_id, first.controller, UNDECIDED, 0.0))
    assert {first.controller, second.controller} == {"a", "b"}


def test_the_reserve_decides_where_no_controller_answers_in_time() -> None:
    made = requester(*"abcde")
    step = made.begin("t", 10.0, FULL_MS)
    for _ in range(MAX_UNANSWERED):
        query = queried(step)
        step = made.on_timeout(query.request_id, query.controller, FULL_MS)
    assert step == QuotaCharge("t", 10.0, AdmissionRule.RESERVE)


def test_an_answer_after_its_timeout_admits_nothing() -> None:
    made = requester("a", "b")
    query = queried(made.begin("t", 10.0, 0.0))
    made.on_timeout(query.request_id, query.controller, 1.0)
    assert made.on_decision(query.request_id, query.controller, GRANTED, 2.0) is None
    assert made.on_timeout(query.request_id, query.controller, 3.0) is None


def test_requests_that_wait_for_a_lost_controller_go_on_to_the_next() -> None:
    made = requester("a", "b")
    queries = [queried(made.begin("t", 10.0, 0.0)) for _ in range(20)]
    steps = dict(made.on_controller_lost("a", 1.0))
    assert set(steps) == {query.request_id for query in queries if query.controller == "a"}
    assert all(isinstance(step, Query) and step.controller == "b" for step in steps.values())


def test_a_fresh_process_and_one_that_does_not_know_how_many_there_are_have_no_reserve() -> None:
    fresh = requester()
    assert isinstance(fresh.begin("t", 10.0, 0.0), QuotaRejection)
    unknown = requester(processes=0)
    assert isinstance(unknown.begin("t", 10.0, FULL_MS), QuotaRejection)


def test_an_isolated_process_gets_a_part_of_the_rate_only_once_controllers_have_noticed() -> None:
    made = requester("a", processes=2)
    made.on_controller_lost("a", FULL_MS)

    def admitted(until_ms: float) -> float:
        total, now_ms = 0.0, FULL_MS
        while now_ms < until_ms:
            if isinstance(made.begin("t", 1.0, now_ms), QuotaCharge):
                total += 1.0
            now_ms += 1.0
        return total

    tolerated = TOLERANCE.units(LIMITS["t"])
    assert admitted(FULL_MS + ISOLATION_NOTICE_MS) <= tolerated / 2.0
    assert admitted(FULL_MS + ISOLATION_NOTICE_MS + 8_000.0) == pytest.approx(2_000.0, rel=0.15)


def test_a_refund_to_the_reserve_counts_and_one_of_a_grant_is_the_controllers() -> None:
    made = requester()
    charge = made.begin("t", 100.0, FULL_MS)
    assert isinstance(charge, QuotaCharge)
    assert isinstance(made.begin("t", 1_000.0, FULL_MS), QuotaCharge), "into debt: this process is alone"
    assert isinstance(made.begin("t", 10.0, FULL_MS), QuotaRejection)
    made.refund(QuotaCharge("t", 1_000.0, AdmissionRule.RESERVE), FULL_MS)
    assert isinstance(made.begin("t", 10.0, FULL_MS), QuotaCharge)
    made.refund(QuotaCharge("t", 9e9, AdmissionRule.GRANT, "a"), FULL_MS)
    assert isinstance(made.begin("t", 1_000.0, FULL_MS), QuotaCharge)
    assert isinstance(made.begin("t", 10.0, FULL_MS), QuotaRejection)


def test_a_second_execution_is_charged_to_the_controller_that_granted_the_first() -> None:
    made = requester("a", "b")
    charge = QuotaCharge("t", 10.0, AdmissionRule.GRANT, "b")
    assert made.charge_again(charge, 0.0) == "b"
    made.on_controller_lost("b", 0.0)
    assert made.charge_again(charge, 0.0) == "a"
    made.on_controller_lost("a", 0.0)
    assert made.charge_again(charge, 0.0) is None
    assert made.charge_again(QuotaCharge("t", 0.0, AdmissionRule.UNLIMITED), 0.0) is None


def test_a_tenant_without_a_limit_and_a_request_without_units_are_always_admitted() -> None:
    made = requester("a")
    assert made.begin("other", 1e9, 0.0) == QuotaCharge("other", 0.0, AdmissionRule.UNLIMITED)
    assert made.begin("t", 0.0, 0.0) == QuotaCharge("t", 0.0, AdmissionRule.UNLIMITED)


@pytest.mark.parametrize("units", [-1.0, -900_000.0, math.inf, math.nan])
def test_no_admission_lowers_the_usage(units: float) -> None:
    made = requester("a")
    with pytest.raises(ValueError, match="units"):
        made.begin("t", units, 0.0)
    assert made.admitted_units() == {}
