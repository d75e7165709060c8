"""Which members the next step chooses, from what the primary knows."""

from __future__ import annotations

import pytest
from larkweir_replication.membership import Candidates, Step, next_step
from larkweir_replication.messages import Snapshot
from replication_factories import EPOCH, MEMBERS, snapshot

TARGET = 3


def candidates(
    *, standby: str = "", leaving: str = "", replaceable: str = "", removable: str = ""
) -> Candidates:
    """Builds candidates from strings with one letter per node."""
    return Candidates(list(standby), list(leaving), list(replaceable), list(removable))


@pytest.mark.parametrize(
    ("members", "known", "following"),
    [
        ("abc", candidates(), None),
        ("abc", candidates(standby="d"), None),
        ("abc", candidates(leaving="b"), None),
        ("abc", candidates(standby="de", leaving="b"), "acd"),
        ("abc", candidates(standby="d", replaceable="c"), "abd"),
        ("abc", candidates(standby="d", leaving="b", replaceable="c"), "acd"),
        ("abc", candidates(standby="b", leaving="c"), None),
        ("ab", candidates(), None),
        ("ab", candidates(standby="cd"), "abc"),
        ("abcd", candidates(), "abc"),
        ("abcd", candidates(removable="b"), "acd"),
        ("abcd", candidates(leaving="c", removable="b"), "abd"),
    ],
)
def test_one_member_changes_at_a_time(members: str, known: Candidates, following: str | None) -> None:
    step = next_step(snapshot(members=tuple(members)), TARGET, "a", known)
    assert step == (None if following is None else Step(tuple(following), tuple(members)))


def test_the_primary_is_not_dropped_as_surplus() -> None:
    step = next_step(snapshot(members=("a", "b", "c", "d")), TARGET, "d", candidates())
    assert step == Step(("a", "b", "d"), ("a", "b", "c", "d"))


def test_a_change_is_completed_before_the_next() -> None:
    changing = Snapshot(EPOCH, 1, ("a", "b", "d"), MEMBERS)
    assert next_step(changing, TARGET, "a", candidates(standby="e", leaving="b")) == Step(("a", "b", "d"))
