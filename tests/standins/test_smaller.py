"""Plans made smaller, against what breaks by rule: what is left breaks, and nothing of it can be left out."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from standins.plans import Fault, Kind, Plan, drawn
from standins.smaller import LEAST_MS, smaller


def made(plan: Plan, breaks: Callable[[Plan], bool], most: int = 400, tries: int = 1) -> tuple[Plan, int]:
    """The smallest, and how many were played."""
    plays, run = 0, smaller(plan, most, tries)
    try:
        found = next(run)
        while True:
            plays += 1
            found = run.send(breaks(found))
    except StopIteration as over:
        return over.value, plays


def plan_of(seed: int) -> Plan:
    names = [f"c{n}" for n in range(7)]
    return drawn(Random(seed), names, names[:3], 20_000.0, 12, 1_000.0)


@pytest.mark.parametrize("seed", range(30))
def test_what_is_left_is_what_it_takes(seed: int) -> None:
    plan, random = plan_of(seed), Random(seed)
    needed = set(random.sample([(f.kind, f.begin_ms) for f in plan.faults], random.randrange(1, 4)))
    least_ms = {key: random.uniform(60.0, 400.0) for key in needed}

    def breaks(tried: Plan) -> bool:
        lengths = {(f.kind, f.begin_ms): f.end_ms - f.begin_ms for f in tried.faults}
        return all(lengths.get(key, 0.0) >= least_ms[key] for key in needed)

    if not breaks(plan):
        least_ms = dict.fromkeys(needed, 1.0)
    found, plays = made(plan, breaks)
    assert breaks(found) and {(f.kind, f.begin_ms) for f in found.faults} == needed
    assert plays <= 12 * 12 + 3 * 8
    for fault in found.faults:  # half of it would be too short, for the promise or for a fault
        length_ms = fault.end_ms - fault.begin_ms
        assert length_ms / 2.0 < max(LEAST_MS, least_ms[fault.kind, fault.begin_ms])
    assert found.length_ms == plan.length_ms and all(f.end_ms <= plan.length_ms for f in found.faults)


def test_no_more_plays_than_allowed_and_always_one_that_broke() -> None:
    plan = plan_of(3)
    needed = plan.faults[-1]
    for most in range(12):
        found, plays = made(plan, lambda tried: needed in tried.faults, most)
        assert plays <= most and needed in found.faults


def test_a_plan_that_breaks_without_its_faults_is_empty() -> None:
    found, plays = made(plan_of(4), lambda tried: True)
    assert found.faults == () and plays == 1


def test_what_breaks_by_chance_is_tried_again() -> None:
    """One play in two shows it; six tries miss it once in 64."""
    one = Fault(Kind.STOP, 0.0, 80.0, ("c0",))
    others = tuple(Fault(Kind.DELAY, 0.0, 80.0, (f"c{n}",), ("c0",)) for n in range(7))
    random = Random(5)

    def breaks(tried: Plan) -> bool:
        return one in tried.faults and random.random() < 0.5

    found, _ = made(Plan((*others, one), 1_000.0), breaks, tries=6)
    assert found.faults == (one,)
