"""What other copies have found of a server: it moves when one that is left out here is tried again, and no more."""

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

SICK = 3


class Desk:
    """One copy with requests on demand; `ends`: how calls end, by server, where not well."""

    def __init__(self, probes: bool = True, seed: int = 7, servers: int = 8, hears: bool = True) -> None:
        self.settings = Settings(
            (RequestClass(1_000.0, 2_000.0, Effect.SAFE),), may_probe=probes, max_attempts=2, balancer_count=4
        )
        self.balancer = Balancer(self.settings, seed)
        if hears:
            self.balancer.shared_health = SharedHealth(self.balancer.outliers)
        self.now = 1_000.0
        self.ends: dict[int, Outcome] = {}
        self.sent: list[tuple[float, int]] = []
        self.probes: list[tuple[float, int]] = []
        self.well = False  # what a probe finds
        self._due: list[tuple[float, int, Event]] = []
        self._serial = self._requests = 0
        self._tries: dict[int, int] = {}
        self.list({n: ServerState.READY for n in range(servers)})

    def list(self, states: dict[int, ServerState], started_ms: float = 0.0) -> None:
        entries = [ServerEntry(n, state, started_ms) for n, state in states.items()]
        self.tell(ListUpdate(ListKind.FULL, 1, entries))

    def later(self, delay_ms: float, event: Event) -> None:
        self._serial += 1
        heappush(self._due, (self.now + delay_ms, self._serial, event))

    def tell(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            if isinstance(action, Send):
                self.sent.append((self.now, action.server))
                number = self._tries.get(action.request, 0)
                self._tries[action.request] = number + 1
                end = self.ends.get(action.server, Outcome.OK)
                good = end is Outcome.OK
                self.later(10.0, AttemptEnded(action.request, number, action.server, end, good, 10.0))
            elif isinstance(action, SetTimer):
                self.later(action.delay_ms, TimerFired(action.cookie))
            elif isinstance(action, Probe):
                self.probes.append((self.now, action.server))
                end = Outcome.OK if self.well else Outcome.CONNECT_FAILED
                self.later(5.0, ProbeEnded(action.server, end, 5.0))
        return actions

    def run(self, ms: float, per_s: float = 100.0) -> None:
        until = self.now + ms
        step = 1000.0 / per_s if per_s else math.inf
        coming = self.now + step
        while True:
            due = self._due[0][0] if self._due else math.inf
            self.now = min(due, coming, until)
            if self.now >= until:
                return
            if due <= coming:
                self.tell(heappop(self._due)[2])
            else:
                coming += step
                self._requests += 1
                self.tell(RequestArrived(self._requests, 0, 2_000.0))

    def sicken(self, end: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Until this copy has left the server out."""
        self.run(2_000.0)
        self.ends[SICK] = end
        for _ in range(200):
            if self.balancer.table.servers[SICK] in self.balancer.table.ejected:
                return
            self.run(20.0)
        raise AssertionError("never left out")

    def sicken_long(self, end: Outcome = Outcome.CONNECT_FAILED) -> None:
        """Until it is left out for longer than a good word would take to bring it back."""
        self.sicken(end)
        while self.until < self.now + RESTORE_SPREAD_MS + 1_000.0:
            self.run(20.0)

    @property
    def until(self) -> float:
        return self.balancer.table.servers[SICK].withheld_until_ms

    def tries(self) -> int:
        return sum(server == SICK for _, server in self.sent)


@pytest.mark.parametrize(
    ("age_ms", "worth"), [(-5.0, 1.0), (0.0, 1.0), (3_000.0, 0.75), (11_999.0, 0.0), (1e9, 0.0)]
)
def test_trust_shrinks_evenly_with_age(age_ms: float, worth: float) -> None:
    assert report_confidence(age_ms) == pytest.approx(worth, abs=1e-3)


@pytest.mark.parametrize("age_ms", [0.0, 3_000.0, 6_000.0, 9_000.0])
def test_a_bad_word_keeps_a_server_out_for_less_the_older_it_is(age_ms: float) -> None:
    desk = Desk()
    desk.sicken()
    desk.run(10_000.0, per_s=0.0)
    before = desk.until
    desk.tell(PeerHealthReport(SICK, False, age_ms))
    assert desk.until == pytest.approx(
        max(before, desk.now + MAX_EJECTION_HINT_MS * (1.0 - age_ms / REPORT_LIFETIME_MS))
    )


def test_words_of_a_server_that_the_own_list_does_not_name_do_nothing() -> None:
    desk = Desk()
    for word in (
        PeerHealthReport(99, False),
        PeerHealthReport(99, True, from_request=True),
        PeerHealthReport(99, is_probe_turn=True),
    ):
        assert desk.tell(word) == []
    assert (
        list(desk.balancer.shared_health.local_health(desk.now)) == []
        and 99 not in desk.balancer.table.servers
    )


def test_a_server_that_drains_is_neither_probed_nor_brought_back() -> None:
    for word in (PeerHealthReport(SICK, is_probe_turn=True), PeerHealthReport(SICK, True, from_request=True)):
        desk = Desk()
        desk.sicken()
        desk.list({n: ServerState.DRAINING if n == SICK else ServerState.READY for n in range(8)})
        desk.ends.clear()
        before = desk.tries()
        for _ in range(20):
            desk.tell(word)
            desk.run(500.0)
        assert not desk.probes and desk.tries() == before


def test_a_bad_word_puts_out_nothing_that_is_well_here() -> None:
    desk, still = Desk(), Desk()
    for _ in range(30):
        desk.tell(PeerHealthReport(SICK, False))
        desk.run(100.0)
        still.run(100.0)
    assert desk.sent == still.sent and desk.tries() > 10


def test_a_word_older_than_what_this_copy_knows_is_not_heard() -> None:
    desk = Desk()
    desk.sicken_long()
    desk.run(100.0, per_s=0.0)
    before = desk.until
    desk.tell(PeerHealthReport(SICK, True, 200.0, from_request=True))
    assert desk.until == before
    desk.tell(PeerHealthReport(SICK, True, 50.0, from_request=True))
    assert desk.until <= desk.now + RESTORE_SPREAD_MS


def test_a_bad_word_without_end_is_followed_by_a_try_of_ones_own() -> None:
    desk = Desk()
    desk.sicken()
    left, before = desk.now, desk.tries()
    desk.ends.clear()
    while desk.tries() == before and desk.now < left + 120_000.0:
        desk.tell(PeerHealthReport(SICK, False))
        desk.run(500.0)
    assert 10_000.0 < desk.now - left < desk.settings.longest_ms + 5_000.0


def test_without_words_it_is_as_if_there_were_none() -> None:
    one, other = Desk(hears=True), Desk(hears=False)
    for desk in (one, other):
        desk.sicken()
        desk.run(20_000.0)
    assert one.sent == other.sent
    assert other.tell(PeerHealthReport(SICK, False)) == []


@pytest.mark.parametrize("by_call", [True, False])
def test_a_good_word_that_is_wrong_counts_once(by_call: bool) -> None:
    """The server died after it was found well: one try, and then this copy goes by itself."""
    desk, alone = Desk(), Desk()
    for one in (desk, alone):
        one.sicken()
    before = desk.tries()
    for _ in range(60):
        desk.tell(PeerHealthReport(SICK, True, from_request=by_call))
        desk.run(250.0)
        alone.run(250.0)
    assert before < desk.tries() <= alone.tries() + 2
    desk.ends.clear()
    desk.run(60_000.0)
    desk.sicken()  # it has served since: a good word counts again
    desk.run(50.0, per_s=0.0)
    desk.tell(PeerHealthReport(SICK, True, from_request=by_call))
    assert desk.until <= desk.now + RESTORE_SPREAD_MS


def test_copies_bring_a_server_back_one_after_the_other() -> None:
    waits = []
    for seed in range(12):
        desk = Desk(seed=seed)
        desk.sicken_long()
        desk.run(50.0, per_s=0.0)
        desk.tell(PeerHealthReport(SICK, True, from_request=True))
        waits.append(desk.until - desk.now)
    assert (
        0.0 <= min(waits) < 0.3 * RESTORE_SPREAD_MS
        and 0.7 * RESTORE_SPREAD_MS < max(waits) <= RESTORE_SPREAD_MS
    )


def test_a_probe_says_nothing_of_a_server_that_answers_badly() -> None:
    desk = Desk()
    desk.sicken_long(Outcome.ERROR)
    desk.run(50.0, per_s=0.0)
    before = desk.until
    desk.tell(PeerHealthReport(SICK, True, from_request=False))
    assert desk.until == before
    desk.run(2.0 * RECHECK_INTERVAL_MS, per_s=0.0)
    desk.tell(PeerHealthReport(SICK, is_probe_turn=True))
    assert not desk.probes and desk.until <= desk.now


def test_the_turn_is_a_probe_from_time_to_time() -> None:
    desk = Desk()
    desk.sicken()
    for _ in range(200):
        desk.tell(PeerHealthReport(SICK, is_probe_turn=True))
        desk.run(100.0)
    begun, before = desk.probes[0][0], desk.tries()
    assert all(later - at >= RECHECK_INTERVAL_MS for (at, _), (later, _) in pairwise(desk.probes))
    assert len(desk.probes) >= 5 and not any(server == SICK and at > begun for at, server in desk.sent)
    told = next(item for item in desk.balancer.shared_health.local_health(desk.now) if item.server == SICK)
    assert (
        told.is_ejected
        and told.is_healthy is False
        and not told.from_request
        and told.age_ms < desk.now - begun
    )
    desk.well = True
    desk.ends.clear()
    desk.tell(PeerHealthReport(SICK, is_probe_turn=True))
    desk.run(RECHECK_INTERVAL_MS + RESTORE_SPREAD_MS + 1_000.0)
    assert desk.tries() > before
    told = next(item for item in desk.balancer.shared_health.local_health(desk.now) if item.server == SICK)
    assert not told.is_ejected and told.is_healthy is True and told.from_request


def test_where_no_probe_is_allowed_the_turn_is_the_next_call_drawn_there() -> None:
    desk, alone = Desk(probes=False), Desk(probes=False)
    for one in (desk, alone):
        one.sicken()
    for _ in range(200):
        desk.tell(PeerHealthReport(SICK, is_probe_turn=True))
        desk.run(100.0)
        alone.run(100.0)
    assert not desk.probes
    assert alone.tries() < desk.tries() <= alone.tries() + 20_000.0 / RECHECK_INTERVAL_MS


def test_what_is_known_is_bounded_and_forgets_what_is_gone() -> None:
    desk = Desk(servers=2 * MAX_SERVERS + 10)
    hearsay = desk.balancer.shared_health
    for server in desk.balancer.table.servers.values():
        server.ejections = 1
        desk.tell(PeerHealthReport(server.id, False))
    assert len(list(hearsay.local_health(desk.now))) == MAX_SERVERS and hearsay.untracked == MAX_SERVERS + 10
    desk.list({0: ServerState.READY}, started_ms=5.0)  # the same number, another process
    assert list(hearsay.local_health(desk.now)) == []


def test_no_more_are_out_at_once_than_the_judge_allows() -> None:
    desk = Desk()
    for server in desk.balancer.table.servers.values():
        server.ejections = 1  # tried again, and not served from yet
        desk.tell(PeerHealthReport(server.id, False))
    assert len(desk.balancer.table.ejected) == desk.settings.tuning.eject_most * 8


WORDS = st.tuples(
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
    st.lists(st.one_of(WORDS, st.integers(0, 9)), min_size=5, max_size=60),
)
def test_whatever_is_heard_only_servers_of_the_list_that_take_requests_are_sent_to(
    seed: int, probes: bool, script: list[object]
) -> None:
    """Servers fail, drain and come back; each request is answered once, and the judge's bound holds."""
    desk = Desk(probes=probes, seed=seed)
    states = dict.fromkeys(range(8), ServerState.READY)
    for item in script:
        if isinstance(item, int):
            if item < 8:
                states[item] = (
                    ServerState.DRAINING if states[item] is ServerState.READY else ServerState.READY
                )
                desk.list(states)
            else:
                at = seed % 8
                if desk.ends.pop(at, None) is None:
                    desk.ends[at] = (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.ERROR)[item % 3]
        else:
            assert isinstance(item, tuple)
            desk.tell(PeerHealthReport(*item))
        sent, probed = len(desk.sent), len(desk.probes)
        desk.run(300.0)
        ready = {n for n, state in states.items() if state is ServerState.READY}
        assert {server for _, server in desk.sent[sent:]} <= ready
        assert {server for _, server in desk.probes[probed:]} <= ready
        fleet = desk.balancer.table
        assert len(fleet.ejected) <= desk.settings.tuning.eject_most * 8 + 1
    desk.run(5_000.0, per_s=0.0)
    assert not desk.balancer.requests
