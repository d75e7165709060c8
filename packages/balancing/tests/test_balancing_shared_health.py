"""Health reports of other replicas: they move the time at which a server that is ejected here is tried again.

They do nothing else.
"""

from __future__ import annotations

import math
from heapq import heappop, heappush
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    PeerHealthReport,
    Probe,
    ProbeEnded,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from larkweir_balancing.shared_health import (
    MAX_EJECTION_HINT_MS,
    MAX_SERVERS,
    RECHECK_INTERVAL_MS,
    REPORT_LIFETIME_MS,
    RESTORE_SPREAD_MS,
    SharedHealth,
    report_confidence,
)

FAILING = 3


class SimulatedBalancer:
    """One replica with simulated requests; `outcomes`: by server, how calls end there if not with OK."""

    def __init__(
        self, probes: bool = True, seed: int = 7, servers: int = 8, shares_health: bool = True
    ) -> None:
        self.settings = Settings(
            (RequestClass(1_000.0, 2_000.0, Effect.SAFE),), may_probe=probes, max_attempts=2, balancer_count=4
        )
        self.balancer = Balancer(self.settings, seed)
        if shares_health:
            self.balancer.shared_health = SharedHealth(self.balancer.outliers)
        self.now = 1_000.0
        self.outcomes: dict[int, Outcome] = {}
        self.sent: list[tuple[float, int]] = []
        self.probes: list[tuple[float, int]] = []
        self.probe_succeeds = False
        self._due: list[tuple[float, int, Event]] = []
        self._serial = self._requests = 0
        self._attempts: dict[int, int] = {}
        self.list({n: ServerState.READY for n in range(servers)})

    def list(self, states: dict[int, ServerState], started_ms: float = 0.0) -> None:
        entries = [ServerEntry(n, state, started_ms) for n, state in states.items()]
        self.handle(ListUpdate(ListKind.FULL, 1, entries))

    def schedule(self, delay_ms: float, event: Event) -> None:
        self._serial += 1
        heappush(self._due, (self.now + delay_ms, self._serial, event))

    def handle(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sent.append((self.now, action.server))
                number = self._attempts.get(action.request, 0)
                self._attempts[action.request] = number + 1
                outcome = self.outcomes.get(action.server, Outcome.OK)
                is_final = outcome is Outcome.OK
                self.schedule(
                    10.0, AttemptEnded(action.request, number, action.server, outcome, is_final, 10.0)
                )
            elif isinstance(action, SetTimer):
                self.schedule(action.delay_ms, TimerFired(action.cookie))
            elif isinstance(action, Probe):
                self.probes.append((self.now, action.server))
                outcome = Outcome.OK if self.probe_succeeds else Outcome.CONNECT_FAILED
                self.schedule(5.0, ProbeEnded(action.server, outcome, 5.0))
        return actions

    def run(self, ms: float, per_s: float = 100.0) -> None:
        until = self.now + ms
        step = 1000.0 / per_s if per_s else math.inf
        next_arrival_ms = self.now + step
        while True:
            due = self._due[0][0] if self._due else math.inf
            self.now = min(due, next_arrival_ms, until)
            if self.now >= until:
                return
            if due <= next_arrival_ms:
                self.handle(heappop(self._due)[2])
            else:
                next_arrival_ms += step
                self._requests += 1
                self.handle(RequestArrived(self._requests, 0, 2_000.0))

    def fail_until_ejected(self, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Run with a failing server until it is ejected."""
        self.run(2_000.0)
        self.outcomes[FAILING] = outcome
        for _ in range(200):
            if self.balancer.table.servers[FAILING] in self.balancer.table.ejected:
                return
            self.run(20.0)
        raise AssertionError("the server was never ejected")

    def fail_until_ejected_for_long(self, outcome: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Run until it is ejected for longer than a healthy report would take to restore it."""
        self.fail_until_ejected(outcome)
        while self.ejected_until_ms < self.now + RESTORE_SPREAD_MS + 1_000.0:
            self.run(20.0)

    @property
    def ejected_until_ms(self) -> float:
        return self.balancer.table.servers[FAILING].withheld_until_ms

    def attempts(self) -> int:
        return sum(server == FAILING for _, server in self.sent)


@pytest.mark.parametrize(
    ("age_ms", "confidence"), [(-5.0, 1.0), (0.0, 1.0), (3_000.0, 0.75), (11_999.0, 0.0), (1e9, 0.0)]
)
def test_confidence_decreases_linearly_with_age(age_ms: float, confidence: float) -> None:
    assert report_confidence(age_ms) == pytest.approx(confidence, abs=1e-3)


@pytest.mark.parametrize("age_ms", [0.0, 3_000.0, 6_000.0, 9_000.0])
def test_the_older_an_unhealthy_report_the_shorter_it_extends_an_ejection(age_ms: float) -> None:
    replica = SimulatedBalancer()
    replica.fail_until_ejected()
    replica.run(10_000.0, per_s=0.0)
    before = replica.ejected_until_ms
    replica.handle(PeerHealthReport(FAILING, False, age_ms))
    assert replica.ejected_until_ms == pytest.approx(
        max(before, replica.now + MAX_EJECTION_HINT_MS * (1.0 - age_ms / REPORT_LIFETIME_MS))
    )


def test_reports_about_an_unlisted_server_are_ignored() -> None:
    replica = SimulatedBalancer()
    for report in (
        PeerHealthReport(99, False),
        PeerHealthReport(99, True, from_request=True),
        PeerHealthReport(99, is_probe_turn=True),
    ):
        assert replica.handle(report) == []
    assert (
        list(replica.balancer.shared_health.local_health(replica.now)) == []
        and 99 not in replica.balancer.table.servers
    )


def test_a_draining_server_is_neither_probed_nor_restored() -> None:
    for report in (
        PeerHealthReport(FAILING, is_probe_turn=True),
        PeerHealthReport(FAILING, True, from_request=True),
    ):
        replica = SimulatedBalancer()
        replica.fail_until_ejected()
        replica.list({n: ServerState.DRAINING if n == FAILING else ServerState.READY for n in range(8)})
        replica.outcomes.clear()
        before = replica.attempts()
        for _ in range(20):
            replica.handle(report)
            replica.run(500.0)
        assert not replica.probes and replica.attempts() == before


def test_an_unhealthy_report_does_not_eject_a_server_that_is_healthy_here() -> None:
    replica, without_reports = SimulatedBalancer(), SimulatedBalancer()
    for _ in range(30):
        replica.handle(PeerHealthReport(FAILING, False))
        replica.run(100.0)
        without_reports.run(100.0)
    assert replica.sent == without_reports.sent and replica.attempts() > 10


def test_a_report_older_than_the_own_finding_is_ignored() -> None:
    replica = SimulatedBalancer()
    replica.fail_until_ejected_for_long()
    replica.run(100.0, per_s=0.0)
    before = replica.ejected_until_ms
    replica.handle(PeerHealthReport(FAILING, True, 200.0, from_request=True))
    assert replica.ejected_until_ms == before
    replica.handle(PeerHealthReport(FAILING, True, 50.0, from_request=True))
    assert replica.ejected_until_ms <= replica.now + RESTORE_SPREAD_MS


def test_the_server_is_tried_even_if_unhealthy_reports_never_end() -> None:
    replica = SimulatedBalancer()
    replica.fail_until_ejected()
    left, before = replica.now, replica.attempts()
    replica.outcomes.clear()
    while replica.attempts() == before and replica.now < left + 120_000.0:
        replica.handle(PeerHealthReport(FAILING, False))
        replica.run(500.0)
    assert 10_000.0 < replica.now - left < replica.settings.longest_ms + 5_000.0


def test_without_reports_shared_health_changes_nothing() -> None:
    with_reports, without_reports = (
        SimulatedBalancer(shares_health=True),
        SimulatedBalancer(shares_health=False),
    )
    for replica in (with_reports, without_reports):
        replica.fail_until_ejected()
        replica.run(20_000.0)
    assert with_reports.sent == without_reports.sent
    assert without_reports.handle(PeerHealthReport(FAILING, False)) == []


@pytest.mark.parametrize("by_call", [True, False])
def test_a_wrong_healthy_report_counts_once(by_call: bool) -> None:
    """The server failed after it was found healthy: it is tried once, then the replica trusts its own findings."""
    replica, alone = SimulatedBalancer(), SimulatedBalancer()
    for item in (replica, alone):
        item.fail_until_ejected()
    before = replica.attempts()
    for _ in range(60):
        replica.handle(PeerHealthReport(FAILING, True, from_request=by_call))
        replica.run(250.0)
        alone.run(250.0)
    assert before < replica.attempts() <= alone.attempts() + 2
    replica.outcomes.clear()
    replica.run(60_000.0)
    replica.fail_until_ejected()  # it has served requests since: a healthy report counts again
    replica.run(50.0, per_s=0.0)
    replica.handle(PeerHealthReport(FAILING, True, from_request=by_call))
    assert replica.ejected_until_ms <= replica.now + RESTORE_SPREAD_MS


def test_replicas_restore_a_server_at_different_times() -> None:
    waits = []
    for seed in range(12):
        replica = SimulatedBalancer(seed=seed)
        replica.fail_until_ejected_for_long()
        replica.run(50.0, per_s=0.0)
        replica.handle(PeerHealthReport(FAILING, True, from_request=True))
        waits.append(replica.ejected_until_ms - replica.now)
    assert (
        0.0 <= min(waits) < 0.3 * RESTORE_SPREAD_MS
        and 0.7 * RESTORE_SPREAD_MS < max(waits) <= RESTORE_SPREAD_MS
    )


def test_a_probe_does_not_restore_a_server_that_answers_with_errors() -> None:
    replica = SimulatedBalancer()
    replica.fail_until_ejected_for_long(Outcome.ERROR)
    replica.run(50.0, per_s=0.0)
    before = replica.ejected_until_ms
    replica.handle(PeerHealthReport(FAILING, True, from_request=False))
    assert replica.ejected_until_ms == before
    replica.run(2.0 * RECHECK_INTERVAL_MS, per_s=0.0)
    replica.handle(PeerHealthReport(FAILING, is_probe_turn=True))
    assert not replica.probes and replica.ejected_until_ms <= replica.now


def test_on_its_turn_a_replica_probes_at_intervals() -> None:
    replica = SimulatedBalancer()
    replica.fail_until_ejected()
    for _ in range(200):
        replica.handle(PeerHealthReport(FAILING, is_probe_turn=True))
        replica.run(100.0)
    begun, before = replica.probes[0][0], replica.attempts()
    assert all(schedule - at >= RECHECK_INTERVAL_MS for (at, _), (schedule, _) in pairwise(replica.probes))
    assert len(replica.probes) >= 5 and not any(
        server == FAILING and at > begun for at, server in replica.sent
    )
    finding = next(
        item for item in replica.balancer.shared_health.local_health(replica.now) if item.server == FAILING
    )
    assert (
        finding.is_ejected
        and finding.is_healthy is False
        and not finding.from_request
        and finding.age_ms < replica.now - begun
    )
    replica.probe_succeeds = True
    replica.outcomes.clear()
    replica.handle(PeerHealthReport(FAILING, is_probe_turn=True))
    replica.run(RECHECK_INTERVAL_MS + RESTORE_SPREAD_MS + 1_000.0)
    assert replica.attempts() > before
    finding = next(
        item for item in replica.balancer.shared_health.local_health(replica.now) if item.server == FAILING
    )
    assert not finding.is_ejected and finding.is_healthy is True and finding.from_request


def test_without_probes_the_check_is_the_next_request() -> None:
    replica, alone = SimulatedBalancer(probes=False), SimulatedBalancer(probes=False)
    for item in (replica, alone):
        item.fail_until_ejected()
    for _ in range(200):
        replica.handle(PeerHealthReport(FAILING, is_probe_turn=True))
        replica.run(100.0)
        alone.run(100.0)
    assert not replica.probes
    assert alone.attempts() < replica.attempts() <= alone.attempts() + 20_000.0 / RECHECK_INTERVAL_MS


def test_tracked_servers_are_bounded_and_forgotten_when_they_are_gone() -> None:
    replica = SimulatedBalancer(servers=2 * MAX_SERVERS + 10)
    shared_health_state = replica.balancer.shared_health
    for server in replica.balancer.table.servers.values():
        server.ejections = 1
        replica.handle(PeerHealthReport(server.id, False))
    assert (
        len(list(shared_health_state.local_health(replica.now))) == MAX_SERVERS
        and shared_health_state.untracked == MAX_SERVERS + 10
    )
    replica.list({0: ServerState.READY}, started_ms=5.0)  # the same id, but another process
    assert list(shared_health_state.local_health(replica.now)) == []


def test_reports_eject_no_more_servers_than_the_detector_allows() -> None:
    replica = SimulatedBalancer()
    for server in replica.balancer.table.servers.values():
        server.ejections = 1  # tried again, but no request served yet
        replica.handle(PeerHealthReport(server.id, False))
    assert len(replica.balancer.table.ejected) == replica.settings.tuning.eject_most * 8


REPORTS = st.tuples(
    st.integers(0, 9),
    st.sampled_from((None, False, True)),
    st.floats(0.0, 20_000.0),
    st.booleans(),
    st.booleans(),
)


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 1_000),
    st.booleans(),
    st.lists(st.one_of(REPORTS, st.integers(0, 9)), min_size=5, max_size=60),
)
def test_for_any_reports_only_ready_listed_servers_get_requests_and_probes(
    seed: int, probes: bool, script: list[object]
) -> None:
    """Servers fail, drain and return; each request gets one final answer, and the detector's bound holds."""
    replica = SimulatedBalancer(probes=probes, seed=seed)
    states = dict.fromkeys(range(8), ServerState.READY)
    for item in script:
        if isinstance(item, int):
            if item < 8:
                states[item] = (
                    ServerState.DRAINING if states[item] is ServerState.READY else ServerState.READY
                )
                replica.list(states)
            else:
                at = seed % 8
                if replica.outcomes.pop(at, None) is None:
                    replica.outcomes[at] = (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.ERROR)[item % 3]
        else:
            assert isinstance(item, tuple)
            replica.handle(PeerHealthReport(*item))
        sent, probed = len(replica.sent), len(replica.probes)
        replica.run(300.0)
        ready = {n for n, state in states.items() if state is ServerState.READY}
        assert {server for _, server in replica.sent[sent:]} <= ready
        assert {server for _, server in replica.probes[probed:]} <= ready
        fleet = replica.balancer.table
        assert len(fleet.ejected) <= replica.settings.tuning.eject_most * 8 + 1
    replica.run(5_000.0, per_s=0.0)
    assert not replica.balancer.requests
