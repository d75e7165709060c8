"""How long requests are kept, and when silent members are replaced."""

from __future__ import annotations

import pytest
from larkweir_replication.member_tracker import MemberTracker
from larkweir_replication.membership import Step
from larkweir_replication.timing import Timing
from replication_factories import MEMBERS, state_of

TIMING = Timing(join_interval_ms=100.0, leave_interval_ms=10.0, replace_after_silence_ms=1_000.0)
TARGET = 3


@pytest.fixture
def tracker() -> MemberTracker:
    """The tracker of node `a`, whose term began at 0 ms."""
    return MemberTracker(state_of("a"), TIMING, 0.0)


def test_requests_expire_unless_they_are_repeated(tracker: MemberTracker) -> None:
    tracker.on_join("d", 0.0)
    tracker.on_leave("e", 0.0)
    tracker.drop_expired_requests(30.0)
    assert tracker.recipients() == ["b", "c", "d", "e"]
    tracker.drop_expired_requests(31.0)
    assert tracker.recipients() == ["b", "c", "d"]
    tracker.drop_expired_requests(301.0)
    assert tracker.recipients() == ["b", "c"]


def test_a_newcomer_that_has_become_a_member_no_longer_stands_by(tracker: MemberTracker) -> None:
    tracker.on_join("b", 0.0)
    tracker.drop_expired_requests(0.0)
    tracker.on_leave("c", 0.0)
    assert tracker.next_step(TARGET, 0.0) is None


def test_the_member_that_was_silent_for_longest_is_replaced(tracker: MemberTracker) -> None:
    tracker.on_contact("b", 500.0)
    tracker.on_contact("c", 400.0)
    tracker.on_join("d", 1_500.0)
    assert tracker.next_step(TARGET, 1_399.0) is None
    assert tracker.next_step(TARGET, 1_500.0) == Step(("a", "b", "d"), MEMBERS)
