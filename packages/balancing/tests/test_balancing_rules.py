"""Property tests of the balancer with legal event sequences; `balancing_driver.py` checks its rules."""

from __future__ import annotations

import math
from dataclasses import replace

from balancing_driver import Driver
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from larkweir_balancing.interface import (
    ClientGone,
    Effect,
    Group,
    ListKind,
    Outcome,
    PeerMessage,
    ReportMode,
    RequestClass,
    ServerEntry,
    ServerState,
    Settings,
    Tenant,
    TimerFired,
)

CLASSES = (
    RequestClass(100.0, 400.0, Effect.SAFE),
    RequestClass(100.0, 400.0, Effect.UNSAFE, worth=5.0),
    RequestClass(100.0, 400.0, Effect.KEYED, group=Group.ALL, memory_ms=150.0),
    RequestClass(300.0, 900.0, Effect.KEYED, group=Group.ZONE, memory_ms=500.0, late_worth=0.5),
    RequestClass(300.0, 900.0, Effect.KEYED, group=Group.CELL, memory_ms=2000.0),
)
VALUES = st.sampled_from([0.0, 1.0, 3.0, -2.0, 1e30, math.nan, math.inf])


class Rules(RuleBasedStateMachine):
    @initialize(
        probes=st.booleans(),
        balancer_count=st.sampled_from([1, 3, 5000]),
        second=st.booleans(),
        tier=st.integers(0, 1),
        crossing=st.sampled_from([0.0, 0.02]),
        tenants=st.booleans(),
        ask=st.booleans(),
        seed=st.integers(0, 2**64 - 1),
        size=st.sampled_from([0, 1, 2, 7]),
    )
    def start(self, probes, balancer_count, second, tier, crossing, tenants, ask, seed, size) -> None:  # type: ignore[no-untyped-def]
        self.driver = Driver(
            Settings(
                classes=CLASSES,
                tenants=(Tenant(5.0), Tenant(50.0)) if tenants else (),
                zones=3,
                my_zone=1,
                balancer_count=balancer_count,
                tier=tier,
                tick_ms=5.0,
                tiers=2,
                on_request_discovery=ask,
                cold_ms=3000.0,
                cold_share=0.2,
                max_attempts=4,
                may_cancel=True,
                may_probe=probes,
                allows_hedging=second,
                report_mode=ReportMode.ON_PROBE,
                report_fields=("running_and_waiting", "waiting"),
                price_cross_zone=crossing,
                price_probe=0.002,
            ),
            seed,
        )
        entries = tuple(ServerEntry(n, zone=n % 3, cell=n % 2) for n in range(size))
        self.driver.list(ListKind.CACHED, entries)

    @rule(
        klass=st.integers(0, 4),
        left=st.sampled_from([0.5, 7.0, 90.0, 400.0, 5000.0]),
        tenant=st.integers(0, 5),
    )
    def request(self, klass: int, left: float, tenant: int) -> None:
        self.driver.request(klass, min(left, self.driver.settings.classes[klass].deadline_ms), tenant)

    @rule(klass=st.integers(0, 7))
    def long_request(self, klass: int) -> None:
        """A request that is reported before its last byte has arrived."""
        classes = self.driver.settings.classes
        self.driver.request(klass % len(classes), body_incomplete=True)

    @rule(pick=st.integers(0, 10**6))
    def body_comes(self, pick: int) -> None:
        incomplete = [r for r, o in self.driver.requests.items() if o.body_incomplete and not o.over]
        if incomplete:
            self.driver.receive_body(incomplete[pick % len(incomplete)])

    @rule(pick=st.integers(0, 10**6))
    def long_answer_starts(self, pick: int) -> None:
        tracked = self.driver.requests
        attempts = [
            (r, n)
            for r, n in self.driver.open_attempts()
            if not tracked[r].over and not tracked[r].body_incomplete
        ]
        if attempts:
            self.driver.start_answer(*attempts[pick % len(attempts)])

    @rule(
        effects=st.lists(st.sampled_from(list(Effect)), min_size=5, max_size=8),
        aim=st.sampled_from([100.0, 250.0]),
        most=st.integers(1, 4),
    )
    def retune(self, effects: list[Effect], aim: float, most: int) -> None:
        """Add classes and change their effects, targets and deadlines, and the maximum number of attempts."""
        count = max(len(effects), len(self.driver.settings.classes))
        effects = [*effects, *(Effect.SAFE for _ in range(count))][:count]
        classes = tuple(
            RequestClass(aim, 4.0 * aim - 100.0 * (n % 2), effect, group=Group.ZONE, memory_ms=200.0)
            for n, effect in enumerate(effects)
        )
        self.driver.reconfigure(replace(self.driver.settings, classes=classes, max_attempts=most))

    @rule(count=st.integers(5, 10), klass=st.integers(0, 4))
    def burst(self, count: int, klass: int) -> None:
        for _ in range(count):
            self.driver.request(klass)

    @rule(
        klass=st.integers(0, 4),
        outcomes=st.lists(
            st.tuples(st.sampled_from(list(Outcome)), st.sampled_from([0.0, 0.0, 160.0])), max_size=5
        ),
    )
    def exchange(self, klass: int, outcomes: list[tuple[Outcome, float]]) -> None:
        """A request whose attempts end with these outcomes; probes are answered with idle reports."""
        self.driver.request(klass)
        request = self.driver.next_id
        for outcome, wait in outcomes:
            while self.driver.probes:
                self.driver.end_probe((0.0, 0.0))
            if wait:
                self.driver.advance(wait)
            mine = [one for one in self.driver.open_attempts() if one[0] == request]
            if mine:
                self.driver.end(*mine[0], outcome)

    @rule(pick=st.integers(0, 10**6), outcome=st.sampled_from([*Outcome, Outcome.OK, Outcome.FULL]))
    def attempt_ends(self, pick: int, outcome: Outcome) -> None:
        attempts = self.driver.open_attempts()
        if attempts:
            self.driver.end(*attempts[pick % len(attempts)], outcome)

    @rule(report=st.lists(VALUES, max_size=3), outcome=st.sampled_from([Outcome.OK, Outcome.OK, *Outcome]))
    def end_probe(self, report: list[float], outcome: Outcome) -> None:
        if self.driver.probes:
            self.driver.end_probe(tuple(report), outcome)

    @rule(ms=st.sampled_from([0.3, 5.0, 60.0, 300.0]))
    def advance(self, ms: float) -> None:
        self.driver.advance(ms)

    @rule(
        number=st.integers(0, 9),
        state=st.sampled_from(list(ServerState)),
        fresh=st.booleans(),
        kind=st.sampled_from([ListKind.DELTA, ListKind.DELTA, ListKind.FULL]),
    )
    def list_changes(self, number: int, state: ServerState, fresh: bool, kind: ListKind) -> None:
        started = self.driver.now if fresh else 0.0
        entries = [ServerEntry(number, state, started, zone=number % 3, cell=number % 2)]
        if kind is ListKind.FULL:
            kept = [
                e
                for e in self.driver.listed.values()
                if e.server != number and e.state is not ServerState.GONE
            ]
            entries = [e for e in entries if e.state is not ServerState.GONE] + kept[1:]
        self.driver.list(kind, tuple(entries))

    @rule()
    def list_fails(self) -> None:
        from larkweir_balancing.interface import ListUpdate

        self.driver.feed(ListUpdate(ListKind.FAILED))

    @rule(payload=st.binary(max_size=20), cookie=st.integers(0, 2**64 - 1))
    def odd_but_legal(self, payload: bytes, cookie: int) -> None:
        self.driver.feed(PeerMessage(3, payload))
        self.driver.feed(TimerFired(cookie))
        self.driver.feed(ClientGone(10**9))

    @rule(pick=st.integers(0, 10**6))
    def client_leaves(self, pick: int) -> None:
        alive = [r for r, o in self.driver.requests.items() if not o.over]
        if alive:
            request = alive[pick % len(alive)]
            self.driver.requests[request].over = True
            self.driver.feed(ClientGone(request))

    @invariant()
    def answers_are_owed_once(self) -> None:
        if hasattr(self, "driver"):
            self.driver.check_answers()
            self.driver.check_counts()

    def teardown(self) -> None:
        if hasattr(self, "driver"):
            for request, tracked in list(self.driver.requests.items()):
                if tracked.body_incomplete and not tracked.over:
                    self.driver.receive_body(request)
            self.driver.advance(950.0)
            for request, attempt in self.driver.open_attempts():
                self.driver.end(request, attempt, Outcome.OK)
            assert all(o.over for o in self.driver.requests.values())
            assert not self.driver.balancer.requests, "finished requests are still stored"


Rules.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRules = Rules.TestCase
