"""The replay window against a model that remembers every number."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.replay_window import ReplayWindow


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * ReplayWindow.SIZE)), max_size=200))
def test_the_window_takes_a_number_once(came: list[tuple[int, int]]) -> None:
    """Against a model that remembers all."""
    window, seen, top = ReplayWindow(), set[tuple[int, int]](), dict[int, int]()
    life = 0
    for each, number in came:
        fault = window.check(each, number)
        if each < life:
            assert fault == "former_life"
            continue
        life = each
        highest = top.get(each, -1)
        if number <= highest - ReplayWindow.SIZE:
            assert fault == "late"
        else:
            assert fault == ("again" if (each, number) in seen else None)
            seen.add((each, number))
            top[each] = max(highest, number)
