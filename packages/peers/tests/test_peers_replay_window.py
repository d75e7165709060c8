"""Compares the replay window with a model."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from larkweir_peers.replay_window import ReplayWindow


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 3 * ReplayWindow.SIZE)), max_size=200))
def test_the_replay_window_accepts_a_number_once(numbers: list[tuple[int, int]]) -> None:
    """The model remembers every sequence number."""
    window, seen, top = ReplayWindow(), set[tuple[int, int]](), dict[int, int]()
    process_start = 0
    for start, number in numbers:
        reason = window.check(start, number)
        if start < process_start:
            assert reason == "former_life"
            continue
        process_start = start
        highest = top.get(start, -1)
        if number <= highest - ReplayWindow.SIZE:
            assert reason == "late"
        else:
            assert reason == ("again" if (start, number) in seen else None)
            seen.add((start, number))
            top[start] = max(highest, number)
