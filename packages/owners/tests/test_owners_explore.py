"""Every order of messages, losses, crashes and lost flushes, for two proposers and three keepers, exhaustively."""

import pytest
from explore_owners import Explorer


@pytest.mark.parametrize(
    ("writes", "rounds", "states"),
    [((1, 1), (1, 1), 1283), ((1, 1), (2, 1), None), ((1, 2), (1, 1), None)],
)
def test_one_value_a_version_whatever_comes_late_twice_or_never(
    writes: tuple[int, int], rounds: tuple[int, int], states: int | None
) -> None:
    seen, depth, whole = Explorer(writes, rounds).run(100)
    print(f"{writes} writes, {rounds} ballots: {seen} states to depth {depth}")
    assert whole and (states is None or seen == states)
