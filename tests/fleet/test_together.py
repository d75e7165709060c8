"""Real processes that fail together: a short run by plan, and what its history must show."""

from __future__ import annotations

from random import Random

from standins.checkers import Asked, Hit, Ran, broken
from standins.plans import CUTS, Fault, Kind, Plan, drawn
from standins.together import Together
from tests.upstreams.test_attempts import run

LEASE_MS = 600.0
PEERS = {"probe_ms": 100.0, "ack_ms": 40.0}


def test_processes_find_each_other_again_after_faults_and_keep_the_rules_on_traffic() -> None:
    async def play() -> None:
        async with Together(5, 1, peers=PEERS) as rig:
            await rig.all_there()
            weather = drawn(
                Random(7), list(rig.copies), rig.keepers, 3_000.0, 4, LEASE_MS, (*CUTS, Kind.DELAY)
            )
            scripted = (
                Fault(Kind.STOP, 100.0, 1_900.0, ("c1",)),
                Fault(Kind.KILL, 600.0, 1_200.0, ("c2",)),
                Fault(Kind.DISCOVERY, 800.0, 1_500.0),
                Fault(Kind.DRAIN, 1_400.0, 2_000.0, ("c3",)),
            )
            await rig.play(Plan((*scripted, *weather.faults), 3_000.0))
            await rig.all_there()
            await rig.quiet()
            assert broken(rig.history) == []
            assert {event.what for event in rig.history if isinstance(event, Hit) and event.copy} == {
                "start",
                "stop",
                "go on",
                "kill",
                "drain",
            }
            assert {event.copy for event in rig.history if isinstance(event, Asked)} == set(rig.copies)
            assert {event.effect for event in rig.history if isinstance(event, Ran)} == {
                "safe",
                "keyed",
                "unsafe",
            }
            assert rig.relay.passed and rig.relay.lost

    run(play())
