"""Connections to upstreams that are cut, late and reset in the midst of answers: the four rules on all traffic."""

from __future__ import annotations

from standins.checkers import UNSAFE, Answered, Ran, broken
from standins.plans import Fault, Kind, Plan
from standins.together import Together
from tests.upstreams.test_attempts import run


def test_no_unsafe_request_runs_twice_while_connections_are_cut_late_and_reset() -> None:
    async def play() -> None:
        async with Together(3, 4, keepers=0, pause_s=0.005, streams=True) as rig:
            every = rig.servers
            held = [
                Fault(Kind.DELAY, 0.0, 3_900.0, every, ms=20.0),  # so that answers are on their way
                Fault(Kind.CUT, 1_500.0, 2_200.0, every[:2]),
            ]
            resets = [Fault(Kind.RESET, at_ms, at_ms + 10.0, every) for at_ms in range(200, 3_600, 70)]
            await rig.play(Plan((*held, *resets), 4_000.0))
            await rig.quiet()
            assert broken(rig.history) == []
            ran = {event.trace for event in rig.history if isinstance(event, Ran) and event.effect == UNSAFE}
            failed = {e.trace for e in rig.history if isinstance(e, Answered) and e.status >= 500}
            assert ran & failed  # it ran, its answer was reset, and nobody ran it again

    run(play())
