"""Background work against a plain account of it: budgets, priorities, starvation, deadlines, back-off."""

from __future__ import annotations

from itertools import pairwise
from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from larkweir.background.rules import Outcome, Scheduler, Task


def made(now: float = 0.0) -> Scheduler:
    return Scheduler(now, Random(3))


def run(
    scheduler: Scheduler, until: float, cost: dict[str, float], busy: bool = False, tick: float = 1.0
) -> dict[str, list[float]]:
    """When each task ran; every step costs as told, and ends its run."""
    ran: dict[str, list[float]] = {}
    now = 0.0
    while now < until:
        task = scheduler.pick(now, busy)
        if task is not None:
            ran.setdefault(task.name, []).append(now)
            now += cost.get(task.name, 0.1)
            scheduler.ran(task.name, now, cost.get(task.name, 0.1), Outcome.DONE)
        now += tick
    return ran


def test_all_of_it_together_keeps_to_its_part_of_the_loops_time() -> None:
    scheduler = made()
    for n in range(20):
        scheduler.add(Task(f"t{n}", period_ms=1.0), 0.0)
    ran = run(scheduler, 10_000.0, {f"t{n}": 2.0 for n in range(20)})
    spent = 2.0 * sum(map(len, ran.values()))
    assert 0.8 * Scheduler.PART * 10_000.0 < spent < Scheduler.PART * 10_000.0 + Scheduler.SAVED_MS + 2.0


def test_a_task_that_never_yields_is_paid_for_by_the_pauses_that_follow() -> None:
    scheduler = made()
    scheduler.add(Task("hog", period_ms=1.0), 0.0)
    ran = run(scheduler, 30_000.0, {"hog": 500.0})
    assert len(ran["hog"]) <= 4  # half a second each: one in ten


def test_a_task_that_always_fails_comes_later_each_time_and_not_later_than_told() -> None:
    scheduler = made()
    scheduler.add(Task("bad", period_ms=10.0, jitter=0.0, back_off_ms=100.0, most_back_off_ms=5_000.0), 0.0)
    times, now = [], 0.0
    while now < 60_000.0:
        if scheduler.pick(now, False):
            times.append(now)
            scheduler.ran("bad", now, 0.1, Outcome.FAILED)
        now += 1.0
    gaps = [b - a for a, b in pairwise(times)]
    assert gaps[0] < 110.0 and all(b >= a - 1.0 for a, b in pairwise(gaps))
    assert 4_999.0 <= gaps[-1] <= 5_002.0


def test_a_thousand_tasks_due_at_once_all_run_the_urgent_first() -> None:
    scheduler = made()
    for n in range(1000):
        scheduler.add(Task(f"t{n:03}", priority=n % 10), 0.0)
    ran = run(scheduler, 60_000.0, {}, tick=0.5)
    assert len(ran) == 1000
    first = sorted(ran, key=lambda name: ran[name][0])[:50]
    assert all(int(name[1:]) % 10 == 0 for name in first)


def test_while_requests_wait_only_what_starves_runs() -> None:
    scheduler = made()
    scheduler.add(Task("look", priority=0, period_ms=50.0, jitter=0.0), 0.0)
    ran = run(scheduler, 20_000.0, {}, busy=True)["look"]
    assert ran and ran[0] >= Scheduler.STARVING_MS
    assert len(ran) <= 20_000.0 / Scheduler.STARVING_MS


def test_no_priority_starves_another_for_good() -> None:
    scheduler = made()
    for n in range(5):
        scheduler.add(Task(f"first{n}", priority=0, period_ms=1.0), 0.0)
    scheduler.add(Task("last", priority=9, period_ms=1.0), 0.0)
    ran = run(scheduler, 60_000.0, {name: 5.0 for name in ("last", *(f"first{n}" for n in range(5)))})
    assert len(ran["last"]) >= 2


def test_a_run_past_its_deadline_is_left_out_and_counted() -> None:
    scheduler = made()
    scheduler.add(Task("fresh", period_ms=1_000.0, jitter=0.0, deadline_ms=50.0), 0.0)
    assert scheduler.pick(100.0, False) is None
    assert scheduler.facts()["fresh"][2] == 1
    assert scheduler.pick(1_101.0, False) is not None


def test_a_budget_of_calls_and_of_time_is_kept() -> None:
    scheduler = made()
    scheduler.add(Task("calls", period_ms=1.0, calls_per_s=5.0), 0.0)
    scheduler.add(Task("time", period_ms=1.0, budget_ms_per_s=10.0), 0.0)
    ran = run(scheduler, 20_000.0, {"calls": 0.1, "time": 1.0})
    assert 90 <= len(ran["calls"]) <= 106
    assert 150 <= len(ran["time"]) <= 215


def test_a_drain_calls_off_what_is_not_for_it() -> None:
    scheduler = made()
    scheduler.add(Task("probe", period_ms=10.0), 0.0)
    scheduler.add(Task("flush", period_ms=10.0, at_drain=True), 0.0)
    assert scheduler.drain() == ["probe"]
    assert set(run(scheduler, 1_000.0, {})) == {"flush"}
    assert not scheduler.add(Task("late"), 0.0) and scheduler.refused == 1


def test_there_are_so_many_tasks_at_the_most() -> None:
    scheduler = made()
    scheduler.MOST = 10
    assert [scheduler.add(Task(f"t{n}"), 0.0) for n in range(12)] == [True] * 10 + [False] * 2
    assert scheduler.add(Task("t3"), 0.0)  # one of the same name takes its place


def test_what_is_called_off_is_due_no_more_and_is_not_kept() -> None:
    scheduler = made()
    scheduler.add(Task("now"), 0.0)
    assert scheduler.pick(0.0, False) is not None and scheduler.waiting == 1
    scheduler.ran("now", 0.0, 0.0, Outcome.MORE)
    scheduler.cancel("now")
    assert scheduler.waiting == 0 and scheduler.next_ms(0.0) == inf
    for n in range(1_000):
        scheduler.add(Task(f"t{n % 3}", first_ms=60_000.0), 0.0)
    assert len(scheduler._later) <= 2 * 3 + Scheduler.LEFT + 1


@pytest.mark.parametrize("part", [0.0, 0.5])
def test_instances_that_start_together_do_not_keep_step(part: float) -> None:
    due = set()
    for seed in range(30):
        scheduler = Scheduler(0.0, Random(seed))
        scheduler.add(Task("look", first_ms=1_000.0, jitter=part), 0.0)
        due.add(round(scheduler.next_ms(0.0) / 10.0))
    assert len(due) == 1 if part == 0.0 else len(due) > 15


class Work(RuleBasedStateMachine):
    """Any order of tasks, steps, time and ends: nothing runs that should not, and nothing is lost."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.scheduler = made()
        self.known: dict[str, Task] = {}
        self.spent = 0.0
        self.longest = 0.0

    @rule(
        n=st.integers(0, 5),
        priority=st.integers(0, 9),
        period=st.sampled_from([0.0, 10.0, 500.0]),
        deadline=st.sampled_from([inf, 300.0]),
        calls=st.sampled_from([inf, 2.0]),
    )
    def add(self, n: int, priority: int, period: float, deadline: float, calls: float) -> None:
        task = Task(f"t{n}", priority, period, deadline_ms=deadline, calls_per_s=calls)
        assert self.scheduler.add(task, self.now)
        self.known[task.name] = task

    @rule(n=st.integers(0, 5))
    def cancel(self, n: int) -> None:
        self.scheduler.cancel(f"t{n}")
        self.known.pop(f"t{n}", None)

    @rule(spent=st.floats(0.0, 2_000.0))
    def passes(self, spent: float) -> None:
        self.now += spent

    @rule(busy=st.booleans(), cost=st.floats(0.0, 100.0), outcome=st.sampled_from(Outcome))
    def step(self, busy: bool, cost: float, outcome: Outcome) -> None:
        task = self.scheduler.pick(self.now, busy)
        self.known = {name: known for name, known in self.known.items() if name in self.scheduler.facts()}
        if task is None:
            return
        assert self.known[task.name] is task
        self.spent += cost
        self.longest = max(self.longest, cost)
        self.now += cost
        self.scheduler.ran(task.name, self.now, cost, outcome)
        if outcome is Outcome.DONE and task.period_ms == 0.0:
            del self.known[task.name]

    @invariant()
    def the_tasks_are_those_that_were_given(self) -> None:
        assert set(self.scheduler.facts()) <= set(self.known)

    @invariant()
    def the_budget_is_kept(self) -> None:
        allowed = Scheduler.SAVED_MS + Scheduler.PART * self.now
        assert self.spent <= allowed + self.longest

    @invariant()
    def what_is_due_is_asked_for(self) -> None:
        if self.scheduler.waiting:
            assert self.scheduler.next_ms(self.now) < inf


TestWork = Work.TestCase
TestWork.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)


@given(st.integers(0, 200))
def test_back_off_never_overflows(failures: int) -> None:
    scheduler = made()
    scheduler.add(Task("bad", period_ms=1.0), 0.0)
    now = 0.0
    for _ in range(failures):
        now += 100_000.0
        assert scheduler.pick(now, False) is not None
        scheduler.ran("bad", now, 0.0, Outcome.FAILED)
    assert scheduler.next_ms(now) < inf
