"""Scenes of what one balancer does for all: verdicts on canaries, ramps, zones that empty."""

from __future__ import annotations

import signal

from standins.actors import Server
from standins.peers import ok, status
from standins.relay import Relay
from tests.scenes.fleet import Fleet, Member
from tests.scenes.stage import Scene, scene


class Parts:
    """An upstream that serves, a canary that has a fifth and fails all, and the tables that say so."""

    def __init__(self, s: Scene, u0: Server, canary: Server) -> None:
        self._s, self.u0, self.canary = s, u0, canary
        u0.serves(ok(b"u0"))
        canary.serves(status(500))

    def text(self, more: str = "") -> str:
        return (
            f'[pool.c]\nfixed = ["127.0.0.1:{self.canary.peer.port}"]\nattempts = 1\n'
            f'[route.api]\npath = "/api"\nsplit = ["c 20%"]\nsticky = "request"\n{more}'
        )

    async def asked(self, by: Member, prefix: str, count: int) -> None:
        """One request after the other, and where they went: by their ids, which are the script's own."""
        await asked(self._s, by, prefix, count, self.u0, self.canary)


async def asked(s: Scene, by: Member, prefix: str, count: int, *servers: Server) -> None:
    await s.client("ann", by).asks_often("look", prefix, count)
    for it in servers:
        it.told(by.name)


async def canary(s: Scene) -> Parts:
    return Parts(s, await s.upstream("u0"), await s.upstream("canary"))


# Of these ids 4, 2 and 5 go to the canary. That is too little for each alone to end it, and for all without the very
# last one of the third's, which is the one that is enough: so nothing is asked while the verdict comes.
ENOUGH = (("t0.", 9), ("t1.", 5), ("t2.", 14))


@scene()
async def test_one_verdict(s: Scene) -> None:
    """A canary fails what it gets. No balancer has seen enough of it to end it; what all three have seen is enough: the
    fleet ends it once, everywhere, and nothing goes to it any more. One that starts anew hears so too.
    """
    parts, fleet = await canary(s), Fleet(s)
    first = await fleet.owned(parts.u0, duty="verdicts", text=parts.text())
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    for it in (first, second, third):
        await it.is_led()
    for it, (prefix, count) in zip((first, second, third), ENOUGH, strict=True):
        await parts.asked(it, prefix, count)
    for it in (first, second, third):
        await it.says("the fleet saw")
    for it in (first, second, third):
        await parts.asked(it, "v", 20)

    s.script.part("The third starts anew")
    third.gets(signal.SIGKILL)
    await third.ends()
    third = await fleet.again(third)
    await third.says("the fleet saw")
    await parts.asked(third, "v", 20)
    fleet.over()


@scene()
async def test_verdict_half_told(s: Scene) -> None:
    """The third is cut off when the fleet's verdict falls, and has not heard it when the owner dies: it still gives the
    canary its part. The second knows the verdict; once the third is there again, it hears it, and one of the two owns
    the next term.
    """
    parts, fleet = await canary(s), Fleet(s)
    relay = Relay(s.script, lambda data: None)
    first = await fleet.owned(parts.u0, duty="verdicts", text=parts.text(), relay=relay)
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    for it in (first, second, third):
        await it.is_led()
    relay.cut_off(third.name)
    await parts.asked(first, "t0.", 14)
    await parts.asked(second, "t2.", 14)
    for it in (first, second):
        await it.says("the fleet saw")
    fleet.over()
    first.gets(signal.SIGKILL)
    await first.ends()
    fleet.members.remove(first)
    await parts.asked(third, "t1.", 5)

    s.script.part("The third is there again")
    relay.heal()
    await third.says("the fleet saw")
    await parts.asked(third, "v", 20)
    with s.script.untold("operator", "all", "STATUS: one of the two owns the verdicts, and both say so"):
        await fleet.owner("verdicts")


@scene()
async def test_each_alone(s: Scene) -> None:
    """The other two keepers are not up: nobody owns the verdicts, and a balancer ends the canary by what it sees
    itself. The others come up: they have not seen it fail, and give it its part.
    """
    parts, fleet = await canary(s), Fleet(s)
    rows = {"lease_ms": 3000.0, "duties": ["verdicts"]}
    await fleet.plan(parts.u0, text=parts.text(), owners=rows, names=("lone", "second", "third"))
    await fleet.rest(1)
    (lone,) = fleet.members
    await lone.shows(owners_majority="0", owners_keeper="new")
    await parts.asked(lone, "t0.", 29)
    await lone.says("gets nothing any more")
    await parts.asked(lone, "v", 20)

    s.script.part("The others come up")
    with s.script.untold("manager", "all", "second and third start; one of the three owns the verdicts"):
        await fleet.rest()
        await fleet.owner("verdicts")
    _, second, third = fleet.members
    await parts.asked(lone, "w", 20)
    await parts.asked(second, "t1.", 5)
    await parts.asked(third, "t2.", 9)
    fleet.over()


@scene()
async def test_ramp_goes_on(s: Scene) -> None:
    """A part grows at all balancers alike, led by the ramp's owner. That one is killed in the middle: another goes on
    from where it was, and no balancer takes a step back.
    """
    parts, fleet = await canary(s), Fleet(s)
    first = await fleet.owned(parts.u0, duty="ramps", text=parts.text("ramp_ms = 8000.0\n"))
    others = [it for it in fleet.members if it is not first]
    with s.script.untold("operator", "all", "STATUS: the canary has 4% or more"):
        for it in fleet.members:
            await it.has_taken(1)
            await it.grows(0.04)
    first.gets(signal.SIGKILL)
    await first.ends()
    second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(first=first, second=second, third=third)
    await second.says("owned here")
    for it in (second, third):
        await it.grows(0.2)
        await it.has_taken(2)
    fleet.over()


EVACUATED = ("[pool.main]\n", '[pool.main]\nevacuated = ["south"]\n')


@scene()
async def test_zone_empties(s: Scene) -> None:
    """A zone is evacuated by a reload at two balancers: led by one owner, it empties by and by, and at the end nothing
    goes there. The third is not told, and goes on; started anew with that file, it sends nothing there from its first
    request on. Lifted, the zone is used again at once.
    """
    u0, far = await s.upstream("u0"), await s.upstream("far", zone="south")
    u0.serves(ok(b"u0"))
    far.serves(ok(b"far"))
    text = '[pool.main]\n[route.api]\npath = "/api"\npool = "main"\n'
    fleet = Fleet(s)
    first = await fleet.owned(u0, far, duty="ramps", text=text, owners={"evacuate_ms": 2000.0})
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    for it in (first, second):
        await it.reloads(*EVACUATED)
    for it in (first, second):
        await it.shows(pools="default:2,main:1")
        await asked(s, it, "v", 20, u0, far)
    await third.shows(pools="default:2,main:2")

    s.script.part("The third starts anew")
    third.gets(signal.SIGTERM)
    await third.ends()
    third.operator_path.write_text(third.operator_path.read_text().replace(*EVACUATED))
    third = await fleet.again(third)
    await asked(s, third, "v", 20, u0, far)

    s.script.part("Lifted")
    await first.reloads(EVACUATED[1], EVACUATED[0])
    await first.shows(pools="default:2,main:2")
    fleet.over()
