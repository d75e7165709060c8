"""Real processes that fail together: a short run by plan, and what its history must show."""

from __future__ import annotations

from random import Random

from standins.checkers import Asked, GivenUp, Hit, Owned, Ran, Taken, broken
from standins.plans import CUTS, Disk, Fault, Kind, Plan, drawn
from standins.together import Together
from tests.upstreams.test_attempts import run

LEASE_MS = 500.0
PEERS = {"probe_ms": 100.0, "ack_ms": 40.0}
OWNERS = {"lease_ms": LEASE_MS, "duties": ["drill"]}


def test_one_owner_at_a_time_and_the_rules_on_traffic_while_processes_and_ways_fail() -> None:
    async def play() -> None:
        async with Together(5, 1, peers=PEERS, owners=OWNERS) as rig:

            async def one_term_at_all(above: int) -> tuple[str, int]:
                await rig.all_vote()
                at = len(rig.history)

                def same() -> bool:
                    new = [event for event in rig.history[at:] if isinstance(event, Taken)]
                    last = {event.copy: event.term for event in new}
                    term = rig.owner("drill")[1]
                    return term > above and set(last.values()) == {term} and last.keys() == rig.copies.keys()

                await rig.until(same, f"one term above {above} at all")
                return rig.owner("drill")

            owner, term = await one_term_at_all(0)
            every = tuple(rig.copies)
            stopped = Fault(Kind.STOP, 0.0, 3 * LEASE_MS, (owner,))
            late = Fault(Kind.REORDER, 0.0, 3 * LEASE_MS, every, every, chance=0.2, ms=300.0)  # past a step
            await rig.play(Plan((stopped, late), 3 * LEASE_MS))  # an owner that wakes up late
            await rig.until(lambda: rig.taken("drill", term, [owner]), "the woken one follows the new term")
            await rig.until(
                lambda: any(isinstance(event, GivenUp) and event.copy == owner for event in rig.history),
                "the woken one's word that it has given up",
            )

            owner, term = await one_term_at_all(term)
            keeper = next(name for name in rig.keepers if name != owner)
            others = tuple(name for name in rig.copies if name != owner)
            weather = drawn(
                Random(7), list(rig.copies), rig.keepers, 2_000.0, 3, LEASE_MS, (*CUTS, Kind.DELAY)
            )
            scripted = (
                Fault(Kind.KILL, 0.0, 700.0, (keeper,), disk=Disk.OLD),
                Fault(Kind.DISCOVERY, 300.0, 1_000.0),
                Fault(Kind.GROUPS, 1_000.0, 1_900.0, (owner,), others),
            )
            await rig.play(Plan((*scripted, *weather.faults), 2_000.0))
            owner, term = await one_term_at_all(term - 1)

            await rig.begin(Fault(Kind.DRAIN, 0.0, 0.0, (owner,)))
            await rig.until(lambda: rig.owner("drill")[1] > term, "another owner")
            await rig.end(Fault(Kind.DRAIN, 0.0, 0.0, (owner,)))
            await one_term_at_all(term)
            await rig.all_there()
            await rig.quiet()

            history = rig.history
            assert broken(history) == []
            hits = {event.what for event in history if isinstance(event, Hit) and event.copy}
            assert hits == {"start", "stop", "go on", "kill", "drain"}
            assert {event.copy for event in history if isinstance(event, Asked)} == set(rig.copies)
            assert {event.effect for event in history if isinstance(event, Ran)} == {
                "safe",
                "keyed",
                "unsafe",
            }
            assert sum(isinstance(event, Owned) for event in history) >= 3
            assert rig.relay.passed and rig.relay.lost

    run(play())
