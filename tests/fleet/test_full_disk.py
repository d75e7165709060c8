"""A keeper whose disk is full, at real processes: it votes no more, and the others go on."""

from __future__ import annotations

from standins.checkers import Hit, Taken, broken
from standins.plans import Fault, Kind
from standins.together import Together
from tests.upstreams.test_attempts import run


def test_a_keeper_whose_disk_is_full_votes_no_more_until_it_is_started_where_there_is_room() -> None:
    async def play() -> None:
        peers = {"probe_ms": 100.0, "ack_ms": 40.0}
        async with Together(3, 3, peers=peers, owners={"lease_ms": 600.0, "duties": ["drill"]}) as rig:
            for of_owner in (False, True):
                await rig.all_vote()
                at = len(rig.history)
                await rig.until(
                    lambda at=at: any(isinstance(e, Taken) for e in rig.history[at:]), "an effect"
                )
                owner, _ = rig.owner("drill")
                name = owner if of_owner else next(n for n in rig.keepers if n != owner)
                full = Fault(Kind.FULL, 0.0, 0.0, (name,))
                await rig.begin(full)
                await rig.one_fails(name)
                at = len(rig.history)
                others = [n for n in rig.copies if n != name]

                def goes_on(at: int = at, others: list[str] = others) -> bool:
                    new = [e.copy for e in rig.history[at:] if isinstance(e, Taken)]
                    return all(new.count(n) >= 3 for n in others)

                await rig.until(goes_on, "three more effects, of the two that vote")
                assert any("no keeper until the next start" in line for line in rig.copies[name].log)
                await rig.end(full)
            await rig.all_vote()
            await rig.quiet()
            assert broken(rig.history) == []
            assert sum(isinstance(event, Hit) and event.what == "full" for event in rig.history) == 2

    run(play())
