"""Whom a router asks for units, how long it waits, and what it gives back."""

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


class Scene:
    """A router's quotas and two controllers, in a loop whose time the test moves."""

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
        self.one, self.two = GrantingController(self.quotas, "c1"), GrantingController(self.quotas, "c2")
        connect(self.quotas, self.one, self.two)

    def do(self, call: Callable[[], object]) -> None:
        async def inside() -> None:
            call()
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
def scene() -> Scene:
    return Scene()


def test_a_grant_admits_and_a_refund_goes_back_to_its_controller(scene: Scene) -> None:
    scene.grant(scene.one)
    scene.acquire()
    charge = scene.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    assert charge.rule is AdmissionRule.GRANT
    assert scene.one.requests[0].config_sequence == 3
    scene.do(lambda: scene.quotas.refund(charge))
    assert [(one.tenant, one.units) for one in scene.one.refunded] == [("t", 10.0)]


def test_a_refund_is_void_once_the_controller_was_connected_anew(scene: Scene) -> None:
    scene.grant(scene.one)
    scene.acquire()
    charge = scene.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    scene.do(lambda: scene.quotas.on_disconnected("c1"))
    scene.grant(scene.one)
    scene.do(lambda: scene.quotas.refund(charge))
    assert scene.one.refunded == [], "its process may be another one, which granted nothing"


def test_a_silent_controller_is_passed_over_and_its_late_grant_given_back(scene: Scene) -> None:
    scene.grant(scene.one, scene.two)
    scene.one.is_silent = scene.two.is_silent = True
    scene.acquire()
    silent, other = (scene.one, scene.two) if scene.one.requests else (scene.two, scene.one)
    other.is_silent = False
    scene.wait(CONTROLLER_TIMEOUT_S + 0.01)
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.GRANT]
    scene.do(lambda: silent.answer(silent.requests[0]))
    assert len(scene.verdicts) == 1
    assert [one.units for one in silent.refunded] == [10.0]


def test_a_large_body_on_a_slow_link_gives_a_controller_more_time() -> None:
    scene = Scene(link_mbps=1.0)
    scene.grant(scene.one, scene.two)
    scene.one.is_silent = scene.two.is_silent = True
    body_bytes = 125_000  # a second on that link
    scene.do(lambda: scene.quotas.acquire("t", 10.0, body_bytes, scene.verdicts.append))
    scene.wait(CONTROLLER_TIMEOUT_S + 1.9)
    assert len(scene.one.requests) + len(scene.two.requests) == 1
    scene.wait(0.2)
    assert len(scene.one.requests) + len(scene.two.requests) == 2


def test_both_controllers_lost_at_once_decide_a_request_once(scene: Scene) -> None:
    scene.grant(scene.one, scene.two)
    scene.one.is_silent = scene.two.is_silent = True
    for _ in range(8):
        scene.acquire()
    scene.quotas.send = lambda node, message: False
    scene.do(lambda: scene.quotas.on_disconnected("c1"))
    scene.do(lambda: scene.quotas.on_disconnected("c2"))
    assert len(scene.verdicts) == 8


def test_requests_that_wait_for_a_lost_controller_are_decided_at_once(scene: Scene) -> None:
    scene.grant(scene.one)
    scene.one.is_silent = True
    scene.acquire()
    assert scene.verdicts == []
    scene.do(lambda: scene.quotas.on_disconnected("c1"))
    assert [type(verdict) for verdict in scene.verdicts] == [QuotaRejection], "a fresh process has no reserve"


def test_without_any_share_a_request_waits_a_while_for_one(scene: Scene) -> None:
    scene.do(lambda: scene.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    scene.acquire()
    assert scene.verdicts == []
    scene.grant(scene.one)
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.GRANT]


def test_without_a_share_in_time_the_reserve_decides(scene: Scene) -> None:
    scene.do(lambda: scene.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    scene.acquire()
    scene.wait(SHARE_TIMEOUT_S + 0.01)
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.RESERVE]


def test_where_no_controller_is_left_nobody_waits(scene: Scene) -> None:
    scene.do(lambda: scene.quotas.on_delta("c1", grants_quotas=False, statuses=None))
    scene.acquire()
    scene.do(lambda: scene.quotas.on_disconnected("c1"))
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.RESERVE]


def test_a_second_execution_is_sent_to_the_controller(scene: Scene) -> None:
    scene.grant(scene.one)
    scene.acquire()
    charge = scene.verdicts[0]
    assert isinstance(charge, QuotaCharge)
    scene.do(lambda: scene.quotas.charge_again(charge))
    assert [one.is_executed_again for one in scene.one.requests] == [False, True]


def test_a_tenant_without_a_limit_needs_no_controller(scene: Scene) -> None:
    scene.grant(scene.one)
    scene.acquire(tenant="other")
    scene.acquire(units=0.0)
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.UNLIMITED] * 2
    assert scene.one.requests == []


def test_usage_is_reported_to_controllers_without_share_leases_alone(scene: Scene) -> None:
    scene.do(lambda: scene.quotas.set_process_count(2, is_reliable=True))
    scene.do(lambda: scene.quotas.on_delta("c2", grants_quotas=None, statuses={}))
    scene.acquire(30.0)
    assert [verdict.rule for verdict in scene.verdicts] == [AdmissionRule.STATUS]
    scene.do(lambda: scene.quotas.on_delta("c2", grants_quotas=None, statuses={"t": QuotaStatus(0.0, 0.0)}))
    scene.acquire(30.0)
    assert isinstance(scene.verdicts[-1], QuotaRejection)
    scene.grant(scene.one)
    reports: list[dict[str, float]] = []
    scene.do(lambda: reports.extend((scene.quotas.usage("c1"), scene.quotas.usage("c2"))))
    assert reports == [{}, {"t": 30.0}]
    scene.acquire(10.0)
    assert scene.verdicts[-1].rule is AdmissionRule.GRANT


@pytest.mark.parametrize("units", [-1.0, float("inf"), float("nan")])
def test_an_invalid_number_of_units_is_not_requested(scene: Scene, units: float) -> None:
    scene.grant(scene.one)
    with pytest.raises(ValueError, match="units"):
        scene.acquire(units)
