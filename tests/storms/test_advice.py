"""Retry advice: waits are spread and stable, grow for clients that ignore them, and need a table of fixed size."""

from __future__ import annotations

import sys

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larkweir.storms.advice import Advice, ClientTable, ScheduledReturns
from larkweir.storms.shares import Kind

SECRET = b"0123456789abcdef"


def advice(most: float = 2000.0, least: float = 100.0, sets: int = 256) -> Advice:
    return Advice(most, least, SECRET, sets)


def test_returns_are_spread_over_what_the_tier_needs() -> None:
    adviser = advice(60_000.0)
    waits = sorted(adviser.wait_ms(0.0, adviser.fingerprint(b"%d" % n), 0, 50.0, 10.0) for n in range(1000))
    # 1,000 clients at a spare rate of 40 per second need 25 s.
    assert 20_000.0 < waits[-1] < 27_000.0
    inside = [sum(at <= wait < at + 1000.0 for wait in waits) for at in range(0, 20_000, 1000)]
    # No second gets a fifth of the clients, though the first waits were chosen without knowledge of the others.
    assert max(inside) < 200


def test_a_client_keeps_its_position_from_retry_to_retry() -> None:
    adviser = advice()
    one, other = sorted((adviser.fingerprint(b"a"), adviser.fingerprint(b"b")), key=lambda f: f >> 11)
    for now in (0.0, 5_000.0, 60_000.0):
        first = adviser.wait_ms(now, one, 0, 0.1, 0.0)
        second = adviser.wait_ms(now, other, 0, 0.1, 0.0)
        assert first < second


def test_synchronized_retries_are_spread() -> None:
    adviser = advice()
    for turn in range(3):
        now = turn * 2_000.0
        clients = [adviser.fingerprint(b"%d" % n) for n in range(400)]
        back = {int((now + adviser.wait_ms(now, client, 0, 1.0, 0.0)) // 50.0) for client in clients}
        assert len(back) > 10  # the returns spread over 0.6 s, in slots of 50 ms


def test_without_a_longest_wait_there_is_no_advice() -> None:
    assert advice(0.0).wait_ms(0.0, 7, 0, 5.0, 0.0) == 0.0


def test_early_returns_lengthen_the_wait_within_bounds_and_returns_on_time_shorten_it() -> None:
    adviser = advice(4000.0)
    client = adviser.fingerprint(b"x")
    now, steps, waits = 0.0, 0, []
    for _ in range(8):
        waits.append(adviser.wait_ms(now, client, steps, 1000.0, 0.0))
        now += 10.0
        known = adviser.classify(now, client)
        assert known is not None and known[0] is Kind.IGNORING
        steps = known[1]
    assert steps == ClientTable.MAX_PENALTY_STEPS
    assert waits[0] < waits[1] < waits[3] and waits[-1] <= 4000.0
    for left in range(ClientTable.MAX_PENALTY_STEPS - 1, -1, -1):
        now += adviser.wait_ms(now, client, steps, 1000.0, 0.0)
        known = adviser.classify(now, client)
        assert known == (Kind.PROMISED, left)
        steps = left


def test_a_penalty_expires() -> None:
    adviser = advice()
    client = adviser.fingerprint(b"x")
    adviser.wait_ms(0.0, client, 4, 1.0, 0.0)
    assert adviser.classify(100.0, client) is not None
    assert adviser.classify(20_000.0, client) is None


def test_forged_headers_do_not_affect_a_client_at_another_address() -> None:
    """A client that forges another's tenant and object, and ignores all advice, does not affect that other."""
    adviser = advice(sets=1024)
    victim = adviser.fingerprint(b"10.0.0.1", b"GET", b"/api", b"x-customer:acme", b"x-object:7")
    adviser.wait_ms(0.0, victim, 0, 10.0, 0.0)
    for n in range(200):
        forged = adviser.fingerprint(b"10.6.6.6", b"GET", b"/api", b"x-customer:acme", b"x-object:7")
        known = adviser.classify(n * 1.0, forged)
        adviser.wait_ms(n * 1.0, forged, known[1] if known else 0, 10.0, 0.0)
    assert adviser.classify(2_500.0, victim) == (Kind.PROMISED, 0)


def test_a_fingerprint_depends_on_the_boundaries_of_its_parts_and_on_the_secret() -> None:
    adviser = advice()
    assert adviser.fingerprint(b"ab", b"c") != adviser.fingerprint(b"a", b"bc")
    other = Advice(2000.0, 100.0, b"another secret..")
    assert adviser.fingerprint(b"a") != other.fingerprint(b"a")


def test_the_table_does_not_grow_with_the_clients() -> None:
    adviser = advice(sets=64)
    size = sum(
        map(sys.getsizeof, (adviser.clients._tags, adviser.clients._due_ms, adviser.clients._expires_ms))
    )
    for n in range(20_000):
        adviser.wait_ms(float(n), adviser.fingerprint(b"%d" % n), 0, 5.0, 0.0)
    assert size == sum(
        map(sys.getsizeof, (adviser.clients._tags, adviser.clients._due_ms, adviser.clients._expires_ms))
    )
    assert adviser.returns.count(20_000.0) <= 20_000


class Clients(RuleBasedStateMachine):
    """Compares a small table with a dictionary: what the table returns for a client is correct or None."""

    def __init__(self) -> None:
        super().__init__()
        self.table = ClientTable(2)
        self.now = 0.0
        self.true: dict[int, tuple[float, float, int]] = {}

    @rule(client=st.integers(1, 40), wait=st.floats(1.0, 500.0), steps=st.integers(0, 9))
    def told(self, client: int, wait: float, steps: int) -> None:
        self.table.record(self.now, client, self.now + wait, self.now + 3.0 * wait, steps)
        self.true[client] = (
            self.now + wait,
            self.now + 3.0 * wait,
            min(ClientTable.MAX_PENALTY_STEPS, steps),
        )

    @rule(spent=st.floats(0.0, 400.0))
    def passes(self, spent: float) -> None:
        self.now += spent

    @rule(client=st.integers(1, 40))
    def comes(self, client: int) -> None:
        known = self.table.classify(self.now, client)
        due, until, steps = self.true.get(client, (0.0, -1.0, 0))
        if known is None:
            return
        assert self.now < until
        if self.now < due:
            assert known == (Kind.IGNORING, min(ClientTable.MAX_PENALTY_STEPS, steps + 1))
        else:
            assert known == (Kind.PROMISED, max(0, steps - 1))

    @rule(client=st.integers(1, 40))
    def served(self, client: int) -> None:
        self.table.forget(self.now, client)
        known = self.table.classify(self.now, client)
        assert known is None or self.true[client][2] > 0  # a penalty is kept

    @invariant()
    def the_one_told_last_is_known(self) -> None:
        assert sum(until > self.now for until in self.table._expires_ms) <= 8


TestClients = Clients.TestCase
TestClients.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)


class Wheel(RuleBasedStateMachine):
    """Returns that are still due are counted; past ones are not."""

    def __init__(self) -> None:
        super().__init__()
        self.wheel = ScheduledReturns(1000.0)
        self.now = 0.0
        self.due: list[float] = []

    @rule(wait=st.floats(0.0, 1000.0))
    def promise(self, wait: float) -> None:
        self.wheel.add(self.now, wait)
        self.due.append(self.now + wait)

    @rule(spent=st.floats(0.0, 3000.0))
    def passes(self, spent: float) -> None:
        self.now += spent

    @invariant()
    def those_to_come_are_counted(self) -> None:
        slot = self.wheel.slot_ms
        waiting = self.wheel.count(self.now)
        assert sum(due > self.now + slot for due in self.due) <= waiting
        assert waiting <= sum(due >= self.now - slot for due in self.due)


TestWheel = Wheel.TestCase
TestWheel.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)
