"""The deadlines of a replica, and the bounds of their random parts."""

from __future__ import annotations

from random import Random

from larkweir_replication.election_timer import ElectionTimer
from larkweir_replication.timing import Timing

TIMING = Timing()


def test_waits_are_restarted_or_extended() -> None:
    timer = ElectionTimer(TIMING, Random(1), 100.0)
    assert timer.is_due(100.0)
    timer.restart(100.0, 50.0)
    timer.extend(100.0, 20.0)
    assert not timer.is_due(149.0)
    timer.extend(100.0, 60.0)
    assert not timer.is_due(159.0)
    timer.restart(100.0, 10.0)
    assert timer.is_due(110.0)


def test_random_waits_are_within_their_bounds() -> None:
    timer = ElectionTimer(TIMING, Random(1), 0.0)
    for _ in range(200):
        assert 350.0 <= timer.draw_election_timeout_ms(is_leaving=False) < 600.0
        assert 850.0 <= timer.draw_election_timeout_ms(is_leaving=True) < 1_100.0
        assert 300.0 <= timer.draw_campaign_timeout_ms() < 600.0
        assert 60.0 <= timer.draw_connect_grace_ms() < 120.0
        assert 0.0 <= timer.draw_succession_delay_ms() < 80.0
