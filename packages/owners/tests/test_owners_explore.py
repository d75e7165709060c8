"""Explores all message orders, losses, crashes and lost flushes for two proposers and three replicas."""

import pytest
from explore_owners import Explorer


@pytest.mark.parametrize(
    ("writes", "rounds", "states"),
    [((1, 1), (1, 1), 1283), ((1, 1), (2, 1), None), ((1, 2), (1, 1), None)],
)
def test_each_version_has_one_value_despite_late_duplicate_or_lost_messages(
    writes: tuple[int, int], rounds: tuple[int, int], states: int | None
) -> None:
    seen, depth, is_complete = Explorer(writes, rounds).run(100)
    print(f"{writes} writes, {rounds} ballots: {seen} states to depth {depth}")
    assert is_complete and (states is None or seen == states)
