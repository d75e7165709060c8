"""Checkers over histories: each passes a good one, and rejects what breaks its promise."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from standins.checkers import (
    CHECKERS,
    KEYED,
    SAFE,
    UNSAFE,
    Answered,
    Asked,
    Event,
    Hit,
    Owned,
    Ran,
    Taken,
    answered_once_in_time,
    broken,
    effects_in_order,
    keyed_once,
    nothing_unsafe_twice,
    one_line_of_effects,
    one_owner_a_term,
)

GOOD: list[Event] = [
    Owned(0.0, "a", 1, "drill", 1),
    Taken(1.0, "b", 1, "drill", 1, 2),
    Asked(2.0, "t1", "a", UNSAFE, 1000.0),
    Ran(3.0, "u0", "t1", UNSAFE, ""),
    Hit(4.0, "a", "stop"),
    Owned(5.0, "b", 1, "drill", 2),
    Taken(6.0, "b", 1, "drill", 2, 4),
    Hit(90_000.0, "a", "go on"),
    Answered(90_100.0, "t1", 200),  # late by what it stood still, and not more
    Taken(90_101.0, "a", 1, "drill", 2, 4),
    Asked(90_102.0, "t2", "b", KEYED, 1000.0),
    Ran(90_103.0, "u1", "t2", KEYED, "k"),
    Hit(90_104.0, "b", "kill"),
    Answered(90_105.0, "t2", 0),
    Hit(90_106.0, "b", "start"),
    Taken(90_107.0, "b", 2, "drill", 2, 4),  # a new life begins anew
    Asked(90_108.0, "t3", "a", SAFE, 1000.0),
    Ran(90_109.0, "u0", "t3", SAFE, ""),
    Ran(90_110.0, "u1", "t3", SAFE, ""),
    Answered(90_111.0, "t3", 503),
]
END = 90_200.0
BAD = [
    (one_owner_a_term, [Owned(END, "c", 1, "drill", 2)]),
    (one_owner_a_term, [Owned(END, "b", 2, "drill", 2)]),
    (effects_in_order, [Taken(END, "a", 1, "drill", 2, 4)]),
    (effects_in_order, [Taken(END, "a", 1, "drill", 1, 2)]),
    (one_line_of_effects, [Taken(END, "c", 1, "drill", 1, 4)]),
    (one_line_of_effects, [Taken(END, "c", 1, "drill", 1, 9)]),
    (answered_once_in_time, [Asked(END, "t4", "a", SAFE, 1000.0)]),
    (answered_once_in_time, [Answered(END, "t1", 200)]),
    (answered_once_in_time, [Answered(END, "t9", 200)]),
    (answered_once_in_time, [Asked(END, "t4", "a", SAFE, 1000.0), Answered(END + 1.0, "t4", 0)]),
    (answered_once_in_time, [Asked(END, "t4", "a", SAFE, 1000.0), Answered(END + 9e3, "t4", 200)]),
    (nothing_unsafe_twice, [Ran(END, "u0", "t1", UNSAFE, "")]),
    (keyed_once, [Ran(END, "u0", "t2", KEYED, "k")]),
]


def test_a_good_history_passes() -> None:
    assert broken(GOOD) == []


@pytest.mark.parametrize(("check", "more"), BAD)
def test_each_checker_alone_rejects_what_breaks_its_promise(check: object, more: Sequence[Event]) -> None:
    rejects = [other for other in CHECKERS if other([*GOOD, *more])]
    assert rejects == [check]
    assert {check for check, _ in BAD} == set(CHECKERS)
