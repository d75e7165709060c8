"""Scenes of route edits that merge: edges cut off and met again, conflicts, what is deleted, lifted, old and unseen."""

from __future__ import annotations

import shutil
import signal
from typing import Any

from standins.actors import Server
from standins.relay import Relay
from tests.scenes.fleet import Fleet, Member
from tests.scenes.stage import Scene, scene

ROUTES = '[pool.main]\n[route.a]\npath = "/a"\npool = "main"\n[route.b]\npath = "/b"\npool = "main"\n'
PEERS = {"probe_ms": 200.0, "ack_ms": 100.0}


async def edges(s: Scene, *upstreams: Server, third: tuple[str, ...] = (), **edits: float) -> tuple[Any, ...]:
    """Two or three that have met, with the same file: the fleet, its relay, and they."""
    fleet, relay = Fleet(s), Relay(s.script, lambda data: None)
    names = ("north", "south", *third)
    with s.script.untold("manager", "all", f"{', '.join(names)} start, with one file: /a and /b go to main"):
        await fleet.start(*upstreams, names=names, relay=relay, text=ROUTES, peers=PEERS, edits=dict(edits))
    await fleet.agree(0)
    return fleet, relay, *fleet.members


async def served(s: Scene, by: Member, trace: str, target: str, u0: Server) -> None:
    ann = s.client("ann", by)
    await ann.asks("look", trace, target)
    await (await u0.takes()).answers()
    await ann.gets()


async def unknown(s: Scene, by: Member, trace: str, target: str) -> None:
    ann = s.client("ann", by)
    await ann.asks("look", trace, target)
    await ann.gets()


@scene()
async def test_edges_meet_again(s: Scene) -> None:
    """Two edges are cut off from each other, and each edits: one makes a route, the other a limit. Each edit counts
    where it was made; when they meet, both count at both, though neither file says both.
    """
    u0 = await s.upstream("u0")
    fleet, relay, north, south = await edges(s, u0)
    relay.cut(north.name, south.name)
    await north.reloads("[route.a]", '[route.n]\npath = "/n"\npool = "main"\n[route.a]', edits=1)
    await south.reloads("[pool.main]\n", "[pool.main]\nattempts = 1\n", edits=1)
    await served(s, north, "t1", "/n", u0)
    await unknown(s, south, "t2", "/n")

    s.script.part("They meet")
    relay.heal()
    await fleet.agree(2)
    await served(s, south, "t3", "/n", u0)
    ann = s.client("ann", north)
    await ann.asks("look", "t4", "/a")
    await (await u0.takes()).answers(500)
    await ann.gets()
    for it in (north, south):
        await it.shows(edits_told="0", edits_differs="1")


@scene()
async def test_conflict_settled(s: Scene) -> None:
    """Both edges move one route while they are cut off. They meet: it is a conflict, told at both, and the path that
    both had counts again. Staff agree, and the edge whose file is right says so by `settle`: it counts at both.
    """
    u0 = await s.upstream("u0")
    fleet, relay, north, south = await edges(s, u0)
    relay.cut(north.name, south.name)
    await north.reloads('path = "/a"', 'path = "/north"', edits=1)
    await south.reloads('path = "/a"', 'path = "/south"', edits=1)
    await served(s, north, "t1", "/north", u0)
    await served(s, south, "t2", "/south", u0)

    s.script.part("They meet")
    relay.heal()
    await fleet.agree(2)
    for it in (north, south):
        await it.says("conflict")
        await it.shows(edits_told="1", edits_of="route.a.match")
    await unknown(s, north, "t3", "/north")
    await served(s, south, "t4", "/a", u0)

    s.script.part("It is settled")
    await north.reloads("[edits]\n", '[edits]\nsettle = ["route.a.path"]\n', edits=1)
    await fleet.agree(3)
    for it in (north, south):
        await it.says("settled")
        await it.shows(edits_told="0", edits_of="none")
    await served(s, south, "t5", "/north", u0)
    await unknown(s, north, "t6", "/a")


@scene()
async def test_deleted_and_edited(s: Scene) -> None:
    """A route is deleted at one edge and edited at the other, which are cut off. They meet: it stays, and both are
    told. Who has deleted it does so again, and has seen the edit now: it is gone at both.
    """
    u0 = await s.upstream("u0")
    fleet, relay, north, south = await edges(s, u0)
    relay.cut(north.name, south.name)
    await north.reloads('[route.b]\npath = "/b"\npool = "main"\n', "", edits=1)
    await south.reloads("[route.b]\n", "[route.b]\nalarm = 0.005\n", edits=1)
    await unknown(s, north, "t1", "/b")

    s.script.part("They meet")
    relay.heal()
    await fleet.agree(2)
    for it in (north, south):
        await it.says("it stays")
    await served(s, north, "t2", "/b", u0)

    s.script.part("It is deleted again")
    await north.reloads("[edits]\n", '[edits]\nsettle = ["route.b"]\n', edits=1)
    await fleet.agree(3)
    for it in (north, south):
        await it.says("settled")
    await unknown(s, south, "t3", "/b")


@scene()
async def test_evacuation_lifted_unseen(s: Scene) -> None:
    """North evacuates a zone. South, which is cut off, has evacuated it as well and lifts that again: of north's it has
    not seen. They meet, and the zone stays empty at both, until one who has seen both says that it is lifted.
    """
    u0, far = await s.upstream("u0"), await s.upstream("far", zone="south")
    fleet, relay, north, south = await edges(s, u0, far)
    relay.cut(north.name, south.name)
    empty = '[pool.main]\nevacuated = ["south"]\n'
    await north.reloads("[pool.main]\n", empty, edits=1)
    await south.reloads("[pool.main]\n", empty, edits=1)
    await south.shows(pools="default:2,main:1")
    await south.reloads(empty, "[pool.main]\n", edits=1)
    await south.shows(pools="default:2,main:2")

    s.script.part("They meet")
    relay.heal()
    await fleet.agree(3)
    for it in (north, south):
        await it.shows(pools="default:2,main:1")

    s.script.part("It is lifted")
    await south.reloads("[edits]\n", '[edits]\nsettle = ["pool.main.evacuated"]\n', edits=1)
    await fleet.agree(4)
    for it in (north, south):
        await it.shows(pools="default:2,main:2")


@scene()
async def test_old_log(s: Scene) -> None:
    """An edge is killed and started from a copy of its disk, file and edits, that was made before its last edit. The
    other has that one and gives it back, and the old file undoes nothing; what the edge edits from then on is new to
    all, and counts at both.
    """
    u0 = await s.upstream("u0")
    fleet, _, north, south = await edges(s, u0)
    await north.reloads('path = "/a"', 'path = "/a1"', edits=1)
    await fleet.agree(1)
    s.script.line("operator", north.name, "its disk is copied")
    folder, saved, text = s.folder / "north-edits", s.folder / "saved", north.operator_path.read_text()
    shutil.copytree(folder, saved)
    await north.reloads('path = "/a1"', 'path = "/a2"', edits=1)
    await fleet.agree(2)
    north.gets(signal.SIGKILL)
    await north.ends()
    s.script.line("operator", north.name, "the copy is put in place of its disk")
    shutil.rmtree(folder)
    saved.rename(folder)
    north.operator_path.write_text(text)
    north = await fleet.again(north)
    await fleet.agree(2)
    await served(s, north, "t1", "/a2", u0)
    await north.shows(edits_told="0", edits_differs="1")
    await north.reloads('path = "/a1"', 'path = "/a3"', edits=1)
    await fleet.agree(3)
    await served(s, south, "t2", "/a3", u0)


@scene()
async def test_newcomer_after_long_absence(s: Scene) -> None:
    """South is cut off for longer than the other two wait for it, and edits. It comes back as a newcomer: what
    the others have counts, and what south alone had is a proposal, told at all, until staff say it anew.
    """
    u0 = await s.upstream("u0")
    fleet, relay, north, south, west = await edges(s, u0, third=("west",), away_ms=10_000.0)
    relay.cut_off(south.name)
    await south.reloads('path = "/a"', 'path = "/south"', edits=1)
    await north.reloads('path = "/a"', 'path = "/north"', edits=1)
    for it in (north, west):
        await it.shows(edits="1", edits_away="1", edits_waiting="0")

    s.script.part("They meet")
    relay.heal()
    for it in (north, west, south):
        await it.says("route.a.match: proposal")
    await fleet.agree()
    await served(s, south, "t1", "/north", u0)

    s.script.part("It is said anew")
    await south.reloads("[edits]\n", '[edits]\nsettle = ["route.a"]\n', edits=1)
    for it in (north, west, south):
        await it.says("route.a.match: settled")
    await fleet.agree()
    await served(s, north, "t2", "/south", u0)
