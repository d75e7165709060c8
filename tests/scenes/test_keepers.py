"""Scenes of owners' keepers: cut into groups, put back to yesterday, all ended at once; and of an owner's successor."""

from __future__ import annotations

import asyncio
import shutil
import signal

from standins.relay import Relay
from tests.scenes.fleet import Fleet, Member
from tests.scenes.stage import Scene, scene


@scene()
async def test_two_groups_meet_again(s: Scene) -> None:
    """The owner is cut off from the other two: its duty rests, and its side has no majority; the other two have, and
    one of them owns the next term. The groups meet again: there is one owner, that of the later term, for all.
    """
    u0 = await s.upstream("u0")
    relay = Relay(s.script, lambda data: None)
    fleet = Fleet(s)
    first = await fleet.owned(u0, relay=relay)
    others = [it for it in fleet.members if it is not first]
    await first.shows(owners="drill:owner:", owners_majority="1")
    relay.cut_off(first.name)
    second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(first=first, second=second, third=third)
    await first.shows(owners="drill:rests:", owners_majority="0")
    await second.says("owned here")
    await third.has_taken(2)
    await first.has_taken(1)
    ann = s.client("ann", first)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()

    s.script.part("They meet again")
    relay.heal()
    await first.says("given up")
    await first.shows(owners=f"drill:watching:{second.address}:", owners_majority="1")
    await second.shows(owners="drill:owner:", owners_majority="1")
    for it in (first, second, third):
        await it.has_taken(2)
    fleet.over()


@scene()
async def test_yesterdays_disk(s: Scene) -> None:
    """A keeper comes back with its disk as it was some effects ago. Others have heard from it what it does not know
    any more: it is lost, says nothing until it has caught up from both, and votes again. The owner and its term stay.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    first = await fleet.owned(u0)
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    disk, saved = s.folder / f"{third.name}-keeper", s.folder / "saved"
    await first.shows(owners="drill:owner:", owners_majority="1")
    s.script.line("operator", third.name, "its keeper's folder is copied")
    shutil.copytree(disk, saved)
    await third.takes_more(10)
    third.gets(signal.SIGKILL)
    await third.ends()
    s.script.line("operator", third.name, "the copy is put in place of its keeper's folder")
    shutil.rmtree(disk)
    saved.rename(disk)
    third = await fleet.again(third, tells="owners: keeper: ")
    await third.says("voting")
    await third.shows(owners_keeper="voting", owners_majority="1")
    await first.takes_more(10)
    await first.shows(owners="drill:owner:", owners_majority="1")
    await first.has_taken(1)
    await third.has_taken(1)
    fleet.over()


@scene()
async def test_all_keepers_at_once(s: Scene) -> None:
    """All three balancers, with all keepers, are killed at once and come back with their disks: one of them owns the
    duty, in a term above the last one, and the effects go on above those that were.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    await fleet.owned(u0)
    for it in fleet.members:
        await it.has_some()
    taken = {it: max(it.taken) for it in fleet.members}
    term = fleet.term(max(taken.values())[0])
    with s.script.untold("manager", "all", f"SIGKILL, in {term}"):
        for it in fleet.members:
            it.gets(signal.SIGKILL)
        for it in fleet.members:
            await it.ends()
    with s.script.untold("manager", "all", "all three start again"):
        old = list(fleet.members)
        for it, fresh in zip(old, await asyncio.gather(*map(fleet.again, old)), strict=True):
            fresh.taken.append(taken[it])
        owner = await fleet.owner()
    second, third = (it for it in fleet.members if it is not owner)
    fleet.called(owner=owner, second=second, third=third)
    await owner.shows(owners="drill:owner:", owners_majority="1", owners_keeper="voting")
    for it in (owner, second, third):
        await it.has_taken(2)
    fleet.over()


@scene()
async def test_owners_successor(s: Scene) -> None:
    """The owner is handed over to a successor: it gives its duty up first, then lets go of the address and of the
    keeper's disk. Another one owns the next term; the successor watches, and its keeper comes to vote.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    first = await fleet.owned(u0)
    others = [it for it in fleet.members if it is not first]
    await first.shows(owners="drill:owner:", owners_majority="1")
    first.gets(signal.SIGUSR2)
    await first.tells("RELOADING")
    await s.discovery.takes()
    await first.hands_over("successor")
    await first.tells("STATUS", "draining")
    await first.tells("READY")
    await s.discovery.takes()
    second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(first=first, second=second, third=third)
    await first.says_each("the successor has taken over", "given up")
    await second.says("owned here")
    await first.tells("STATUS", "stopping")
    await first.leaves()
    await first.shows(owners=f"drill:watching:{second.address}:", owners_majority="1", owners_keeper="voting")
    for it in (second, third):
        await it.has_taken(2)
    fleet.over()


@scene()
async def test_owner_upgraded_beside(s: Scene) -> None:
    """A new process is started beside the owner, with its files. The old one hands its duty over and lets the name go;
    the new one takes part under the same name and votes, while the old one answers what it has.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    first = await fleet.owned(u0, lifecycle='upgrade = "beside"\n')
    others = [it for it in fleet.members if it is not first]
    await first.shows(owners="drill:owner:", owners_majority="1")
    ann = s.client("ann", first)
    await ann.asks("move", "t1")
    out = await u0.takes()

    s.script.part("A new process")
    with s.script.untold("manager", "new", "it starts, and takes over"):
        new = Member(s, "new", files=first.name)
        new.fleet, new.address, new.port = fleet, first.address, first.port
        await new.begin()
        await s.discovery.takes()
        second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(new=new, first=first, second=second, third=third)
    await first.says("a new process has come")
    await first.says_each("the new process accepts", "given up")
    await first.tells("READY")
    await second.says("owned here")
    await new.shows(owners=f"drill:watching:{second.address}:", owners_majority="1", owners_keeper="voting")
    first.gets(signal.SIGTERM)
    await first.tells("STATUS", "draining")
    await out.answers()
    await ann.gets()
    await first.ends()
    for it in (second, third):
        await it.has_taken(2)
    fleet.members.append(new)
    fleet.over()
