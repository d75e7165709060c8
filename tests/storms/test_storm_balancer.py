"""The real decisions wrapped by storm handling: any order of events, one final answer each, no more admitted."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from larkweir_balancing import Balancer, Settings
from larkweir_balancing.interface import (
    NEVER_RAN,
    AttemptEnded,
    ClientGone,
    Effect,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Reconfigured,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Tenant,
    TimerFired,
)

from larkweir.storms.admission_swap import AdmissionSwap
from larkweir.storms.signs import State
from larkweir.storms.storm import Storm
from larkweir.storms.storm_balancer import StormBalancer

CLASSES = (
    RequestClass(400.0, 1000.0, Effect.SAFE, worth=1.0, name="look"),
    RequestClass(400.0, 1000.0, Effect.KEYED, worth=8.0, memory_ms=4000.0, name="publish"),
    RequestClass(400.0, 1000.0, Effect.UNSAFE, worth=8.0, name="move"),
)
OUTCOMES = [item for item in Outcome if item is not Outcome.MOOT]


def figures(**more: Any) -> Settings:
    return Settings(
        classes=CLASSES,
        tenants=[Tenant(10.0, 0.5, "a"), Tenant(10.0, 0.5, "b")],
        max_attempts=3,
        allows_hedging=True,
        retry_advice=True,
        max_retry_after_ms=2000.0,
        marks_retry=True,
        cold_share=0.3,
        cold_ms=9000.0,
        balancer_count=3,
        **more,
    )


class Storms(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.storm = Storm(figures(), 7, sets=16)
        self.clients: dict[int, int] = {}
        self.balancer = StormBalancer(Balancer(figures(), 7), self.storm, self.clients.__getitem__)
        self.now = 1.0
        self.next = 1
        self.classes: dict[int, int] = {}
        self.open: set[int] = set()  # requests that still need an answer
        self.out: list[tuple[int, int, int]] = []  # request, attempt, server
        self.ends: dict[tuple[int, int], Outcome] = {}
        self.sends: dict[int, int] = {}
        self.timers: list[tuple[float, int]] = []
        self.words: list[float] = []
        self.ready: set[int] = set()
        self.started = {n: 0.0 for n in range(4)}

    def tell(self, event: Any) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, Send):
                number = self.sends.get(action.request, 0)
                self.sends[action.request] = number + 1
                assert action.request in self.open and action.server in self.ready
                ran = [
                    outcome
                    for (request, _), outcome in self.ends.items()
                    if request == action.request and outcome not in NEVER_RAN
                ]
                if CLASSES[self.classes[action.request]].effect is Effect.UNSAFE:
                    assert not ran and not any(item[0] == action.request for item in self.out)
                self.out.append((action.request, number, action.server))
            elif isinstance(action, Refuse | Fail):
                assert action.request in self.open  # one final answer
                self.open.discard(action.request)
                if isinstance(action, Refuse):
                    self.words.append(action.wait_ms)
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay_ms, action.cookie))

    @rule(spent=st.floats(0.1, 700.0))
    def passes(self, spent: float) -> None:
        until = self.now + spent
        for due, cookie in sorted(item for item in self.timers if item[0] <= until):
            self.now = max(self.now, due)
            self.tell(TimerFired(cookie))
        self.timers = [item for item in self.timers if item[0] > until]
        self.now = max(self.now, until)
        self.balancer.tick(self.now)

    @rule(ready=st.sets(st.integers(0, 3)), fresh=st.booleans())
    def listed(self, ready: set[int], fresh: bool) -> None:
        for n in ready - self.ready:
            if fresh:
                self.started[n] = self.now
        self.ready = set(ready)
        entries = [ServerEntry(n, ServerState.READY, self.started[n]) for n in sorted(ready)]
        self.tell(ListUpdate(ListKind.FULL, 1, entries))

    @rule(
        cls=st.integers(0, 2),
        tenant=st.integers(0, 2),
        again=st.booleans(),
        client=st.integers(0, 5),
        count=st.integers(1, 12),
    )
    def arrive(self, cls: int, tenant: int, again: bool, client: int, count: int) -> None:
        for _ in range(count):
            number, self.next = self.next, self.next + 1
            self.clients[number] = client
            self.classes[number] = cls
            self.open.add(number)
            self.tell(RequestArrived(number, cls, 1000.0, tenant, client_retry=again))

    @precondition(lambda self: self.out)
    @rule(data=st.data(), outcome=st.sampled_from(OUTCOMES), all_=st.booleans())
    def ends_(self, data: st.DataObject, outcome: Outcome, all_: bool) -> None:
        many = list(self.out) if all_ else [data.draw(st.sampled_from(self.out))]
        for request, attempt, server in many:
            self.out.remove((request, attempt, server))
            self.ends[request, attempt] = outcome
            final = request not in self.open
            if outcome is Outcome.OK:
                self.open.discard(request)
            self.tell(AttemptEnded(request, attempt, server, outcome, final or outcome is Outcome.OK, 50.0))

    @precondition(lambda self: self.open)
    @rule(data=st.data())
    def leaves(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(sorted(self.open)))
        self.open.discard(request)
        self.tell(ClientGone(request))

    @rule(aim=st.sampled_from([300.0, 400.0]))
    def reconfigured(self, aim: float) -> None:
        new = figures(tick_ms=1.0, over_share_worth=aim / 400.0)
        self.tell(Reconfigured(new))

    @invariant()
    def nothing_is_kept_of_what_is_over(self) -> None:
        known = set(self.balancer._open)
        owed = self.open | {item[0] for item in self.out}
        assert known <= owed  # memory is bounded by the open requests

    @invariant()
    def no_more_are_out_than_without_but_for_the_credit(self) -> None:
        storm = self.storm
        assert storm.swap.outstanding <= max(1.0, AdmissionSwap.MAX_CREDIT_S * 1e5)
        if storm.state is State.CALM:
            assert storm.state_machine.state is State.CALM

    @invariant()
    def words_are_within_the_settings(self) -> None:
        assert all(0.0 <= wait <= 2000.0 for wait in self.words)


TestStorms = Storms.TestCase
TestStorms.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


def test_in_calm_the_actions_are_those_of_the_wrapped_decisions() -> None:
    """Next to unwrapped decisions with the same seed: the same actions."""
    wrapped = StormBalancer(Balancer(figures(), 5), Storm(figures(), 5), lambda number: number)
    plain = Balancer(figures(), 5)
    entries = [ServerEntry(n) for n in range(4)]
    now, out = 0.0, []
    for decisions in (wrapped, plain):
        decisions.handle(0.0, ListUpdate(ListKind.FULL, 1, entries))
    for number in range(1, 600):
        now += 17.0
        event = RequestArrived(number, number % 3, 1000.0, number % 2)
        first, second = wrapped.handle(now, event), plain.handle(now, event)
        assert first == second
        out += [action for action in first if isinstance(action, Send)]
        if len(out) > 2:
            send = out.pop(0)
            end = AttemptEnded(send.request, 0, send.server, Outcome.OK, True, 40.0)
            assert wrapped.handle(now, end) == plain.handle(now, end)
    assert wrapped.storm.state is State.CALM and wrapped.storm.turned_away == 0


def test_an_inner_tier_refuses_nobody() -> None:
    balancer = Balancer(figures(tier=1, tiers=2), 5)
    StormBalancer(balancer, Storm(figures(tier=1, tiers=2), 5), lambda number: number)
    assert balancer.limiter.arbiter is None
