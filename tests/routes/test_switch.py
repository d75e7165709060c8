"""Several pools behind one interface: invariants for any order of events, and shared upstreams are counted once."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    NEVER_RAN,
    Action,
    AttemptEnded,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
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
    Settings,
    TimerFired,
)

from larkweir.routes.router import Choice
from larkweir.routes.switch import PendingGeneration, Pool, Switch

CLASSES = (
    RequestClass(500.0, 1_000.0, Effect.SAFE, name="look"),
    RequestClass(500.0, 1_000.0, Effect.KEYED, group=Group.ZONE, memory_ms=800.0, name="post"),
    RequestClass(500.0, 1_000.0, Effect.UNSAFE, name="move"),
    RequestClass(500.0, 1_000.0, Effect.KEYED, group=Group.ALL, memory_ms=800.0, name="mail"),
)
SETTINGS = Settings(CLASSES, max_attempts=4, cold_ms=1_000.0)
# Servers by pool: 3 and 4 are in two.
MEMBERS = {"default": {1, 2, 3}, "blue": {3, 4}, "green": {4, 5}, "none": set()}


def pool_of(name: str) -> Pool:
    mine = MEMBERS[name]
    return Pool(name, Balancer(SETTINGS, 7), lambda entries: [e for e in entries if e.server in mine])


def switch_of(*names: str) -> Switch:
    return Switch({name: pool_of(name) for name in names}, "default")


def test_a_request_that_its_pool_cannot_serve_goes_to_its_fallback_once() -> None:
    it = switch_of("default", "none", "blue")
    it.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(1, 6)]))
    event = RequestArrived(1, 2, 1_000.0, choice=Choice("r", ("none", "blue")))
    out, now = it.handle(1.0, event), 1.0
    while not any(
        isinstance(action, Send) for action in out
    ):  # the request waits for an upstream for some time
        timer = next(action for action in out if isinstance(action, SetTimer))
        now += timer.delay_ms
        out = it.handle(now, TimerFired(timer.cookie))
    (send,) = (action for action in out if isinstance(action, Send))
    assert send.server in MEMBERS["blue"]
    out = it.handle(now + 1.0, AttemptEnded(1, 0, send.server, Outcome.RESET, False, 1.0))
    assert [type(action) for action in out if isinstance(action, Send | Fail | Refuse)] == [Fail]


def test_all_pools_together_make_no_more_attempts_than_one_may() -> None:
    it = switch_of("default", "blue", "green")
    it.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in range(1, 6)]))
    out = it.handle(1.0, RequestArrived(1, 0, 1_000.0, choice=Choice("r", ("default", "blue", "green"))))
    sent, now = 0, 1.0
    for _ in range(200):
        send = next((action for action in out if isinstance(action, Send)), None)
        timer = next((action for action in out if isinstance(action, SetTimer)), None)
        if send is not None:
            now += 1.0
            out = it.handle(now, AttemptEnded(1, sent, send.server, Outcome.FULL, False, 1.0))
            sent += 1
        elif timer is not None:
            now += timer.delay_ms
            out = it.handle(now, TimerFired(timer.cookie))
        else:
            break
    assert any(isinstance(action, Refuse) for action in out)
    assert sent <= SETTINGS.max_attempts
    assert not it._requests


def test_two_pools_count_the_calls_to_a_shared_upstream_once() -> None:
    it = switch_of("default", "blue")
    it.handle(0.0, ListUpdate(ListKind.FULL, 1, [ServerEntry(3)]))  # the only upstream, in both pools
    for number, pool in ((1, "default"), (2, "blue"), (3, "default")):
        out = it.handle(1.0, RequestArrived(number, 0, 1_000.0, choice=Choice("r", (pool,))))
        assert [action.server for action in out if isinstance(action, Send)] == [3]
    it.update_all_counts()
    for name in ("default", "blue"):
        assert it.pools[name].decisions.table.servers[3].in_flight == 3
        assert not it.pools[name].decisions.table.by_in_flight[0][0].items  # not idle for either pool
    for number in (1, 2, 3):
        it.handle(5.0, AttemptEnded(number, 0, 3, Outcome.OK, True, 4.0))
    it.update_all_counts()
    assert all(it.pools[name].decisions.table.servers[3].in_flight == 0 for name in ("default", "blue"))


def test_two_pools_together_send_an_upstream_in_slow_start_no_more_than_one_would() -> None:
    def sends(names: tuple[str, ...]) -> int:
        rng, cold, now = Random(5), 0, 10_000.0
        MEMBERS["default"], MEMBERS["blue"] = set(range(1, 11)), set(range(1, 11))
        it = switch_of(*names)
        rows = [ServerEntry(n, started_ms=now if n == 1 else 0.0) for n in range(1, 11)]
        it.handle(now, ListUpdate(ListKind.FULL, 1, rows))
        out: list[tuple[float, int, int, int]] = []
        timers: list[tuple[float, int]] = []
        sent: Counter[int] = Counter()

        def act(actions: list[Action]) -> None:
            for action in actions:
                if isinstance(action, Send):
                    out.append(
                        (now + rng.uniform(2.0, 8.0), action.request, sent[action.request], action.server)
                    )
                    sent[action.request] += 1
                elif isinstance(action, SetTimer):
                    timers.append((now + max(0.0, action.delay_ms), action.cookie))

        for number in range(4_000):
            now += 0.25
            for row in [item for item in out if item[0] <= now]:
                out.remove(row)
                cold += row[3] == 1
                act(it.handle(now, AttemptEnded(row[1], row[2], row[3], Outcome.OK, True, 5.0)))
            for item in [item for item in timers if item[0] <= now]:
                timers.remove(item)
                act(it.handle(now, TimerFired(item[1])))
            choice = Choice("r", (names[number % len(names)],))
            act(it.handle(now, RequestArrived(number, 0, 1_000.0, choice=choice)))
        return cold

    try:
        one, two = sends(("default",)), sends(("default", "blue"))
    finally:
        MEMBERS["default"], MEMBERS["blue"] = {1, 2, 3}, {3, 4}
    assert 0 < two <= 1.3 * one + 2


class Switches(RuleBasedStateMachine):
    """Requests of any class, with pools that are added and removed and that share upstreams."""

    def __init__(self) -> None:
        super().__init__()
        self.it = switch_of(*MEMBERS)
        self.now, self.next, self.version = 0.0, 1, 1
        self.states = {n: ServerState.READY for n in range(1, 6)}
        self.open: dict[int, RequestArrived] = {}
        self.out: list[tuple[int, int, int, str]] = []  # request, attempt, server, pool
        self.sent: Counter[int] = Counter()
        self.ran: dict[int, list[str]] = {}
        self.answers: Counter[int] = Counter()
        self.timers: list[tuple[float, int]] = []
        self.took: dict[int, tuple[str, ...]] = {}
        self.tell(ListUpdate(ListKind.FULL, 1, [ServerEntry(n) for n in self.states]))

    def tell(self, event: Event) -> None:
        for action in self.it.handle(self.now, event):
            self.act(action)

    def act(self, action: Action) -> None:
        if isinstance(action, Send):
            number = action.request
            assert number in self.open and not self.answers[number]
            pool = self.it._requests[number].pool
            assert self.states[action.server] is ServerState.READY
            assert action.server in MEMBERS[pool.name] and pool.name in self.took[number]
            effect = CLASSES[self.open[number].class_index].effect
            if self.ran.get(number) and effect is not Effect.SAFE:
                # Only the pool where a keyed request may have run may repeat it.
                assert effect is Effect.KEYED and set(self.ran[number]) == {pool.name}
            if effect is Effect.UNSAFE:
                assert not [row for row in self.out if row[0] == number]
            self.out.append((number, self.sent[number], action.server, pool.name))
            self.sent[number] += 1
            assert self.sent[number] <= SETTINGS.max_attempts
        elif isinstance(action, Refuse | Fail):
            self.answers[action.request] += 1
            assert self.answers[action.request] == 1
        elif isinstance(action, SetTimer):
            self.timers.append((self.now + max(0.0, action.delay_ms), action.cookie))
        elif isinstance(action, Cancel):
            assert any(row[:2] == (action.request, action.attempt) for row in self.out)

    @rule(
        cls=st.integers(0, 3),
        pools=st.lists(st.sampled_from([*MEMBERS, "gone"]), min_size=1, max_size=3, unique=True),
    )
    def arrive(self, cls: int, pools: list[str]) -> None:
        event = RequestArrived(self.next, cls, 1_000.0, choice=Choice("r", tuple(pools)))
        self.open[self.next], self.took[self.next] = event, tuple(pools)
        self.next += 1
        self.tell(event)

    @precondition(lambda self: self.out)
    @rule(at=st.integers(0, 100), outcome=st.sampled_from(Outcome))
    def end(self, at: int, outcome: Outcome) -> None:
        row = self.out.pop(at % len(self.out))
        number, attempt, server, pool = row
        if outcome not in NEVER_RAN:
            self.ran.setdefault(number, []).append(pool)
        final = outcome is Outcome.OK or bool(self.answers[number])
        if outcome is Outcome.OK and not self.answers[number]:
            self.answers[number] += 1
        self.tell(AttemptEnded(number, attempt, server, outcome, final, 3.0))

    @rule(span=st.floats(0.1, 400.0))
    def wait(self, span: float) -> None:
        self.now += span
        due = [item for item in self.timers if item[0] <= self.now]
        self.timers = [item for item in self.timers if item[0] > self.now]
        for _, cookie in sorted(due):
            self.tell(TimerFired(cookie))

    @rule(server=st.integers(1, 5), state=st.sampled_from(ServerState), whole=st.booleans())
    def list(self, server: int, state: ServerState, whole: bool) -> None:
        self.states[server] = state
        self.version += 1
        if whole:
            rows = [ServerEntry(n, s) for n, s in self.states.items() if s is not ServerState.GONE]
            self.tell(ListUpdate(ListKind.FULL, self.version, rows))
        else:
            self.tell(ListUpdate(ListKind.DELTA, self.version, [ServerEntry(server, state)]))

    @rule(names=st.sets(st.sampled_from(["blue", "green", "none"])))
    def generation(self, names: set[str]) -> None:
        existing = dict(self.it.pools)
        pools = {name: existing.get(name) or pool_of(name) for name in ("default", *sorted(names))}
        removed = [pool for name, pool in existing.items() if name not in pools]
        self.it.pending_generation = PendingGeneration(pools, dict.fromkeys(pools, SETTINGS), removed)
        self.tell(Reconfigured(SETTINGS))

    @precondition(lambda self: self.open)
    @rule(at=st.integers(0, 100))
    def leave(self, at: int) -> None:
        number = sorted(self.open)[at % len(self.open)]
        if not self.answers[number]:
            self.answers[number] += 1
            self.tell(ClientGone(number))

    @invariant()
    def calls_are_counted_once_for_each_upstream(self) -> None:
        if not hasattr(self, "it"):
            return
        self.it.update_all_counts()
        for pool in (*self.it.pools.values(), *self.it.draining_pools):
            servers = pool.decisions.table.servers
            assert set(servers) <= MEMBERS[pool.name]
            for number, server in servers.items():
                theirs = sum(row[2] == number and row[3] != pool.name for row in self.out)
                assert (
                    0
                    <= server.other_in_flight
                    <= server.in_flight
                    <= sum(row[2] == number for row in self.out)
                )
                assert (
                    server.other_in_flight >= theirs
                )  # a removed pool of the same name counts as another pool
        open_ = {row[0] for row in self.out} | {number for number in self.open if not self.answers[number]}
        assert set(self.it._requests) <= open_
        for pool in self.it.draining_pools:
            assert pool.requests > 0

    def teardown(self) -> None:
        """Every open request gets exactly one answer in the end."""
        while self.out:
            self.end(0, Outcome.CONNECT_FAILED)
            for _ in range(50):
                if self.out or not self.timers:
                    break
                self.wait(50.0)
        for _ in range(100):
            self.wait(50.0)
            while self.out:
                self.end(0, Outcome.CONNECT_FAILED)
        assert all(self.answers[number] == 1 for number in self.open)
        assert not self.it._requests and not self.it.draining_pools


Switches.TestCase.settings = settings(
    max_examples=60, stateful_step_count=50, deadline=None, derandomize=True
)
TestSwitches = Switches.TestCase
