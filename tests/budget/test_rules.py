"""The rules of budgets: the invariant under loss, delay and duplication, and the limits beside it."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larkweir.budget.rules import (
    SHARES,
    Account,
    RetryRatio,
    UsefulTime,
    WorthGate,
    parse_number,
    parse_path,
    parse_worth,
)


class Law(RuleBasedStateMachine):
    """A tree of tiers: any tier may begin attempts, and answers arrive in any order, are lost, or are repeated.
    Attempts at the last tier are counted where they happen, and never exceed the client's budget.
    """

    def __init__(self) -> None:
        super().__init__()
        self.budget = 0
        self.nodes: list[
            tuple[Account, int, tuple[int, int] | None]
        ] = []  # account, depth, and the parent with its attempt
        self.attempts: dict[tuple[int, int], int] = {}  # grants of attempts in flight, by node and attempt
        self.reached = 0
        self.next = 0

    @precondition(lambda self: not self.nodes)
    @rule(budget=st.integers(1, 12), tiers=st.integers(1, 4), share=st.sampled_from(sorted(SHARES)))
    def client(self, budget: int, tiers: int, share: str) -> None:
        self.budget, self.tiers, self.share = budget, tiers, SHARES[share]
        self.nodes.append((Account(budget, tiers == 1, self.share), 0, None))

    @precondition(lambda self: self.nodes)
    @rule(data=st.data(), tries=st.integers(1, 4))
    def attempt(self, data: st.DataObject, tries: int) -> None:
        at = data.draw(st.integers(0, len(self.nodes) - 1))
        account, depth, _ = self.nodes[at]
        self.next += 1
        part = account.grant(self.next, tries)
        if not part:
            assert account.left < 1
            return
        self.attempts[at, self.next] = part
        if depth == self.tiers - 1:
            assert part == 1
            self.reached += 1
        else:
            child = Account(part, depth + 1 == self.tiers - 1, self.share)
            self.nodes.append((child, depth + 1, (at, self.next)))

    @precondition(lambda self: self.attempts)
    @rule(data=st.data(), how=st.sampled_from(["told", "lost", "twice", "forged", "more"]))
    def settle(self, data: st.DataObject, how: str) -> None:
        at, attempt = data.draw(st.sampled_from(sorted(self.attempts)))
        account, depth, _ = self.nodes[at]
        reported = None
        if depth < self.tiers - 1:
            child = next(node for node, _, parent in self.nodes if parent == (at, attempt))
            reported = child.reported
            child.left = 0  # it has answered, and begins no further attempts
        if how in ("told", "twice"):
            account.settle(attempt, reported, never_ran=False)
        elif how == "more":
            account.settle(attempt, (reported or 0) + 5, never_ran=False)
        elif how == "forged":
            account.settle(attempt, None if reported is None else max(reported, 10**9), never_ran=False)
        else:
            account.settle(attempt, None, never_ran=False)
        if how == "twice":
            account.settle(attempt, 0, never_ran=False)
            account.settle(attempt, 0, never_ran=True)
        del self.attempts[at, attempt]

    @invariant()
    def holds(self) -> None:
        assert self.reached <= self.budget
        for account, _, _ in self.nodes:
            assert account.left >= 0 and account.spent >= 0
            assert account.spent <= account.budget
            assert account.reported <= account.budget


Law.TestCase.settings = settings(max_examples=120, stateful_step_count=40, deadline=None, derandomize=True)
TestLaw = Law.TestCase


def test_an_answer_lost_after_the_lower_tier_spent_everything_counts_as_spent() -> None:
    account = Account(3, last=False, share=SHARES["half"])
    assert account.grant(0, 4) == 2
    account.settle(0, None, never_ran=False)
    assert (account.left, account.reported) == (1, 2)
    assert account.grant(1, 3) == 1
    account.settle(1, 1, never_ran=False)
    assert account.grant(2, 2) == 0


def test_a_hop_that_copies_the_budget_does_bounded_damage() -> None:
    """Another balancer below reports ten spent on a grant of two: this costs the grant and no more, and its report
    returns nothing.
    """
    account = Account(4, last=False, share=SHARES["half"])
    assert account.grant(0, 4) == 2
    account.settle(0, 10, never_ran=False)
    assert (account.left, account.overspent) == (2, 8)


def test_second_copies_are_paid_from_the_same_budget() -> None:
    account = Account(2, last=True, share=SHARES["even"])
    assert [account.grant(n, 4) for n in range(3)] == [1, 1, 0]
    account.settle(1, None, never_ran=True)  # cancelled before it was written
    assert account.grant(3, 2) == 1


def test_a_budget_of_one_goes_through_three_tiers() -> None:
    for share in SHARES.values():
        top = Account(1, False, share)
        assert top.grant(0, 4) == 1
        middle = Account(1, False, share)
        assert middle.grant(0, 4) == 1
        last = Account(1, True, share)
        assert (last.grant(0, 4), last.grant(1, 3)) == (1, 0)
        last.settle(0, None, never_ran=False)
        middle.settle(0, last.reported, never_ran=False)
        top.settle(0, middle.reported, never_ran=False)
        assert top.grant(1, 3) == 0


def test_retries_are_limited_to_a_share_of_the_traffic_with_a_floor() -> None:
    ratio = RetryRatio(0.1, floor_per_s=1.0, cap=20.0)
    now, retried = 0.0, 0
    for _ in range(10_000):  # a thousand per second, all of which fail
        now += 1.0
        ratio.on_first_attempt(now)
        retried += ratio.take_retry(now)
    assert 1_000 <= retried <= 1_000 + 10 + 21
    quiet = RetryRatio(0.1, floor_per_s=1.0)
    assert [quiet.take_retry(n * 1000.0) for n in range(10)] == [True] * 10
    assert not quiet.take_retry(9000.0)
    assert quiet.take_retry(8000.0) is False  # a clock that goes back earns nothing


def test_the_least_useful_time_is_learned_robustly() -> None:
    useful = UsefulTime(2)
    rng = Random(1)
    for _ in range(UsefulTime.MIN_SAMPLES - 1):
        useful.observe(0, 100.0)
    assert useful.min_ms(0) == 0.0  # too few samples
    for _ in range(2_000):
        useful.observe(0, rng.uniform(80.0, 200.0))
    assert 75.0 <= useful.min_ms(0) <= 100.0
    before = useful.min_ms(0)
    useful.observe(0, 0.001)
    useful.observe(0, 1e6)
    assert abs(useful.min_ms(0) - before) < 0.06 * before
    assert useful.min_ms(1) == 0.0


def test_the_least_worth_is_refused_first_and_nothing_starves() -> None:
    gate = WorthGate()
    for _ in range(300):
        assert gate.admits(1.0) and gate.admits(8.0)
    for _ in range(200):
        gate.ended(given_up=True)
    gate.pressure = 0.45
    passed = {1.0: 0, 8.0: 0}
    for _ in range(400):
        for worth in passed:
            passed[worth] += gate.admits(worth)
    assert passed[8.0] == 400
    # 7 of 10 are refused: twice the excess of the pressure over 0.1, as half of all requests are of this worth.
    assert 100 <= passed[1.0] <= 140
    gate.pressure = 1.0
    kept = sum(gate.admits(1.0) + 0 * gate.admits(8.0) for _ in range(400))
    assert 30 <= kept <= 60  # one in ten is admitted at any pressure
    for _ in range(400):
        gate.ended(given_up=False)
    assert gate.admits(1.0)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"3", 3),
        (b"0", 1),
        (b"99999999", 1000),
        (b"-1", None),
        (b"x", None),
        (b"", None),
        (b"9" * 30, None),
        (None, None),
    ],
)
def test_parsed_budgets_are_bounded(text: bytes | None, expected: int | None) -> None:
    assert parse_number(text, 1, 1000) == expected


def test_parsed_worths_and_paths_are_bounded() -> None:
    assert parse_worth(b"8.5", 100.0) == 8.5 and parse_worth(b"1000000000", 8.0) == 8.0
    assert [parse_worth(text, 8.0) for text in (None, b"", b"-1", b"nan", b"1e9", b"1.2.3", b"9" * 40)] == [
        None
    ] * 7
    assert parse_path(None) == () and parse_path(b"a/b, c-d") == (b"a/b", b"c-d")
    for text in (b",", b"a,,b", b"a b", b"x" * 65, b",".join([b"a"] * 33), b"\xff"):
        assert parse_path(text) is None
