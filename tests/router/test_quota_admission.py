"""Tests of which controllers a router asks for units, how long it waits for them, and which units it refunds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from larkweir_quotas.limits import QuotaStatus, RateLimit, Tolerance
from larkweir_quotas.quota_requester import AdmissionRule, QuotaCharge, QuotaRejection

from larkweir.router.quota_admission import CONTROLLER_TIMEOUT_S, QuotaAdmission, Verdict
from larkweir.router.share_wait import SHARE_TIMEOUT_S
from tests.router.granting_controller import GrantingController, connect

LIMITS = {"t": RateLimit(100.0, 200.0)}
TURNS = 6


class Harness:
    """A `QuotaAdmission` and two controllers, in an event loop whose clock is advanced by the test."""

    def __init__(self, link_mbps: float = 1_000.0) -> None:
        self.link_mbps = link_mbps
        self.now_s = 1_000.0
        self.loop = asyncio.new_event_loop()
        self.loop.time = lambda: self.now_s  # type: ignore[method-assign]
        self.verdicts: list[Verdict] = []
        self.do(self._make)

    def _make(self) -> None:
        self.quotas = QuotaAdmission(Tolerance(8.0, 0.1, 50.0), Random(1), self.link_mbps)
        self.quotas.set_limits(LIMITS, 3)
        self.controller_1, self.controller_2 = (
            GrantingController(self.quotas, "c1"),
            GrantingController(self.quotas, "c2"),
        )
        connect(self.quotas, self.controller_1, self.controller_2)

    def do(self, function: Callable[[], object]) -> None:
        async def inside() -> None:
            function()
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(inside())

    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self.do(lambda: None)

    def grant(self, *controllers: GrantingController) -> None:
        for controller in controllers:
            self.do(lambda controller=controller: controller.set_limits(LIMITS))

    def acquire(self, units: float = 10.0, tenant: str = "t") -> None:
        self.do(lambda: self.quotas.acquire(tenant, units, 0, self.verdicts.append))


@pytest.fixture
def harness() -> Harness:
    return Harness()


def test_a_grant_admits_and_its_refund_is_sent_to_the_granting_controller(harness: Harness) -> None:
    harness.grant(harness.controller_1)
    harness.acquire()
    charge = harness.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    assert charge.rule is AdmissionRule.GRANT
    assert harness.controller_1.requests[0].config_sequence == 3
    harness.do(lambda: harness.quotas.refund(charge))
    assert [(refund.tenant, refund.units) for refund in harness.controller_1.refunded] == [("t", 10.0)]


def test_no_refund_is_sent_after_the_controller_reconnected(harness: Harness) -> None:
    harness.grant(harness.controller_1)
    harness.acquire()
    charge = harness.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    harness.do(lambda: harness.quotas.on_disconnected("c1"))
    harness.grant(harness.controller_1)
    harness.do(lambda: harness.quotas.refund(charge))
    assert (
        harness.controller_1.refunded == []
    ), "the controller may be a new process, which has not granted these units"


def test_after_a_timeout_another_controller_is_asked_and_a_late_grant_is_refunded(harness: Harness) -> None:
    harness.grant(harness.controller_1, harness.controller_2)
    harness.controller_1.is_silent = harness.controller_2.is_silent = True
    harness.acquire()
    silent, other = (
        (harness.controller_1, harness.controller_2)
        if harness.controller_1.requests
        else (harness.controller_2, harness.controller_1)
    )
    other.is_silent = False
    harness.wait(CONTROLLER_TIMEOUT_S + 0.01)
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.GRANT]
    harness.do(lambda: silent.answer(silent.requests[0]))
    assert len(harness.verdicts) == 1
    assert [refund.units for refund in silent.refunded] == [10.0]


def test_a_large_body_on_a_slow_link_gives_a_controller_more_time() -> None:
    harness = Harness(link_mbps=1.0)
    harness.grant(harness.controller_1, harness.controller_2)
    harness.controller_1.is_silent = harness.controller_2.is_silent = True
    body_bytes = 125_000  # takes one second on that link
    harness.do(lambda: harness.quotas.acquire("t", 10.0, body_bytes, harness.verdicts.append))
    harness.wait(CONTROLLER_TIMEOUT_S + 1.9)
    assert len(harness.controller_1.requests) + len(harness.controller_2.requests) == 1
    harness.wait(0.2)
    assert len(harness.controller_1.requests) + len(harness.controller_2.requests) == 2


def test_a_request_is_decided_once_when_both_controllers_are_lost(harness: Harness) -> None:
    harness.grant(harness.controller_1, harness.controller_2)
    harness.controller_1.is_silent = harness.controller_2.is_silent = True
    for _ in range(8):
        harness.acquire()
    harness.quotas.send = lambda node, message: False
    harness.do(lambda: harness.quotas.on_disconnected("c1"))
    harness.do(lambda: harness.quotas.on_disconnected("c2"))
    assert len(harness.verdicts) == 8


def test_requests_that_wait_for_a_lost_controller_are_decided_at_once(harness: Harness) -> None:
    harness.grant(harness.controller_1)
    harness.controller_1.is_silent = True
    harness.acquire()
    assert harness.verdicts == []
    harness.do(lambda: harness.quotas.on_disconnected("c1"))
    assert [type(verdict) for verdict in harness.verdicts] == [
        QuotaRejection
    ], "the reserve of a new process is empty"


def test_a_request_waits_until_a_controller_holds_a_share(harness: Harness) -> None:
    harness.do(lambda: harness.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    harness.acquire()
    assert harness.verdicts == []
    harness.grant(harness.controller_1)
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.GRANT]


def test_the_reserve_decides_when_no_controller_gets_a_share_in_time(harness: Harness) -> None:
    harness.do(lambda: harness.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    harness.acquire()
    harness.wait(SHARE_TIMEOUT_S + 0.01)
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.RESERVE]


def test_waiting_requests_are_decided_when_the_last_controller_disconnects(harness: Harness) -> None:
    harness.do(lambda: harness.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    harness.acquire()
    harness.do(lambda: harness.quotas.on_disconnected("c1"))
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.RESERVE]


def test_a_second_execution_is_sent_to_the_controller(harness: Harness) -> None:
    harness.grant(harness.controller_1)
    harness.acquire()
    charge = harness.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    harness.do(lambda: harness.quotas.charge_again(charge))
    assert [request.is_executed_again for request in harness.controller_1.requests] == [False, True]


def test_a_tenant_without_a_limit_needs_no_controller(harness: Harness) -> None:
    harness.grant(harness.controller_1)
    harness.acquire(tenant="other")
    harness.acquire(units=0.0)
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.UNLIMITED] * 2
    assert harness.controller_1.requests == []


def test_usage_is_reported_only_to_controllers_without_share_leases(harness: Harness) -> None:
    harness.do(lambda: harness.quotas.set_process_count(2, is_reliable=True))
    harness.do(lambda: harness.quotas.on_delta("c2", grants_quotas=None, statuses={}))
    harness.acquire(30.0)
    assert [verdict.rule for verdict in harness.verdicts] == [AdmissionRule.STATUS]
    harness.do(
        lambda: harness.quotas.on_delta("c2", grants_quotas=None, statuses={"t": QuotaStatus(0.0, 0.0)})
    )
    harness.acquire(30.0)
    assert isinstance(harness.verdicts[-1], QuotaRejection)
    harness.grant(harness.controller_1)
    reports: list[dict[str, float]] = []
    harness.do(lambda: reports.extend((harness.quotas.usage("c1"), harness.quotas.usage("c2"))))
    assert reports == [{}, {"t": 30.0}]
    harness.acquire(10.0)
    assert harness.verdicts[-1].rule is AdmissionRule.GRANT


@pytest.mark.parametrize("units", [-1.0, float("inf"), float("nan")])
def test_an_invalid_number_of_units_is_not_requested(harness: Harness, units: float) -> None:
    harness.grant(harness.controller_1)
    with pytest.raises(ValueError, match="units"):
        harness.acquire(units)
