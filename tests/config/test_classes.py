"""Classes that come and go: a place of its own for each name, for as long as requests may be held by it."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.interface import Effect, RequestClass

from larkweir.config.classes import MOST_GONE, places


def cls(name: str, aim: float = 400.0) -> RequestClass:
    return RequestClass(aim, 1000.0, Effect.SAFE, name=name)


def test_a_class_keeps_its_place_and_takes_its_new_figures() -> None:
    found = places([cls("a"), cls("b")], [cls("b", 9.0), cls("c")])
    assert [(item.name, item.aim_ms) for item in found] == [("a", 400.0), ("b", 9.0), ("c", 400.0)]


@given(st.lists(st.sets(st.integers(0, 400), min_size=1, max_size=30), max_size=12))
def test_places_stay_and_their_number_is_bounded(rounds: list[set[int]]) -> None:
    held: tuple[RequestClass, ...] = (cls("0"),)
    for names in rounds:
        told = [cls(str(name)) for name in names]
        before, held = held, places(held, told)
        at = {item.name: n for n, item in enumerate(held)}
        assert len(at) == len(held)  # no name twice
        for n, item in enumerate(before):
            if item.name in at:
                assert at[item.name] == n
        assert {item.name for item in told} <= set(at)
        assert len(held) <= MOST_GONE + 1 + max(len(names), 30)
