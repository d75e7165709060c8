"""Which upstreams the fleet leaves out, by how calls there have ended."""

from __future__ import annotations

from larkweir_balancing.ejection import (
    BAD_LEAST,
    FIRST_MS,
    PROBATION_MS,
    WINDOW_MS,
    Ejections,
    EndingCounts,
    Endings,
    summed,
)

SERVICE = [f"u{n}" for n in range(10)]
FAILING = Endings(good=2, bad=BAD_LEAST)


def test_calm_routers_tell_nothing_and_failures_are_told_while_they_are_fresh() -> None:
    counts = EndingCounts()
    counts.ended("u0", 0.0, bad=False)
    assert counts.told(1.0) == {}
    counts.ended("u0", 100.0, bad=True)
    counts.ended("u1", 100.0, bad=False)
    assert counts.told(200.0) == {"u0": Endings(1, 1)}
    assert counts.told(WINDOW_MS + 50.0) == {"u0": Endings(0, 1)}
    assert counts.told(WINDOW_MS + 100.0) == {}


def test_what_one_router_sees_is_not_enough_and_all_together_is() -> None:
    one = {"u0": Endings(0, 1)}
    judge = Ejections()
    assert not judge.judge([SERVICE], summed([one] * (BAD_LEAST - 1)), 0.0)
    assert judge.judge([SERVICE], summed([one] * BAD_LEAST), 0.0)
    assert judge.ejected == {"u0"}


def test_an_upstream_that_mostly_succeeds_stays() -> None:
    judge = Ejections()
    assert not judge.judge([SERVICE], {"u0": Endings(good=40, bad=5)}, 0.0)


def test_no_more_are_ejected_than_the_others_can_bear() -> None:
    judge = Ejections()
    judge.judge([SERVICE, ["v0", "v1"]], dict.fromkeys(("u0", "u1", "u2", "v0"), FAILING), 0.0)
    assert judge.ejected == {"u0", "u1", "u2"}
    judge.judge([SERVICE], {"u3": FAILING}, 1.0)
    assert judge.ejected == {"u0", "u1", "u2"}


def test_where_too_many_fail_it_is_the_load_and_none_is_ejected() -> None:
    judge = Ejections()
    judge.judge([SERVICE], dict.fromkeys(SERVICE[:4], FAILING), 0.0)
    assert judge.ejected == set()


def test_it_comes_back_on_probation_and_is_out_for_longer_the_next_time() -> None:
    judge = Ejections()
    judge.judge([SERVICE], {"u0": FAILING}, 0.0)
    assert not judge.judge([SERVICE], {}, FIRST_MS - 1.0)
    assert judge.judge([SERVICE], {}, FIRST_MS)
    assert judge.ejected == set()
    assert judge.judge([SERVICE], {"u0": Endings(1, BAD_LEAST - 1)}, FIRST_MS + PROBATION_MS / 2)
    back_ms = FIRST_MS + PROBATION_MS / 2 + 2 * FIRST_MS
    assert not judge.judge([SERVICE], {}, back_ms - 1.0)
    assert judge.judge([SERVICE], {}, back_ms)


def test_a_gone_upstream_takes_no_place_of_the_ejected() -> None:
    judge = Ejections()
    judge.judge([SERVICE], {id_: FAILING for id_ in ("u0", "u1", "u2")}, 0.0)
    assert len(judge.ejected) == 3
    left = SERVICE[3:]
    judge.judge([left], {"u5": FAILING}, 1.0)
    assert judge.ejected == {"u5"}
