"""Scenes of several balancers that are peers, and have owners."""

from __future__ import annotations

import asyncio
import shutil
import signal
import socket
import sys
from collections import Counter

from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.messages import REFUTATION_BITS, Ping, encode

from standins.manager import ROOT
from tests.scenes.fleet import Fleet, written
from tests.scenes.stage import Scene, scene, settings

PEERS = {"on": True, "listen": "127.0.0.1:7946", "peers": ["127.0.0.1:7946", "127.0.0.1:7947"]}


async def checked(s: Scene, about: str, operator: str) -> None:
    """`check` of an operator file beside the platform's file of the scene's balancer."""
    (s.folder / "other.toml").write_text(operator)
    command = (sys.executable, "-m", "larkweir", "check", "other.toml", "lb.json")
    s.script.line("operator", "check", f"other.toml and lb.json, {about}")
    env = {"PYTHONPATH": str(ROOT)}
    check = await asyncio.create_subprocess_exec(
        *command, cwd=s.folder, env=env, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    said = (await check.communicate())[0].decode()
    for line in said.splitlines():
        s.script.line("check", "operator", line)
    s.script.line("check", "operator", f"exit {check.returncode}")


@scene()
async def test_peers_refused(s: Scene) -> None:
    """Peers where the platform's settings forbid them, and owners without peers: check says so beforehand; a reload
    that brings the first is refused, and requests go on being served.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0, settings=settings(PolicyLimits__Peers=False))
    owners = {
        "on": True,
        "keepers": ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"],
        "folder": "/keeper",
    }
    await checked(s, "which forbids peers; [peers] on", written({"peers": PEERS}))
    await checked(s, "which forbids peers; [peers] off", written({"peers": PEERS | {"on": False}}))
    lb.operator_path.write_text(lb.operator_path.read_text() + written({"peers": PEERS}))
    lb.gets(signal.SIGHUP)
    await lb.tells("RELOADING")
    await lb.says("peers")
    await lb.tells("READY")
    ann = s.client("ann", lb)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()

    s.script.part("The platform allows peers")
    lb.write(settings=settings())
    await checked(s, "which allows peers; [peers] on", written({"peers": PEERS}))
    await checked(s, "which allows peers; [owners] on, no [peers]", written({"owners": owners}))
    await checked(s, "which allows peers; a keeper is no peer", written({"peers": PEERS, "owners": owners}))


@scene()
async def test_peers_forged(s: Scene) -> None:
    """Datagrams from an address that is not listed, with another key, of another release, and under another's name:
    dropped and counted by their causes, and nobody is held to be there for them.
    """
    u0 = await s.upstream("u0")
    key = s.folder / "peers.key"
    key.write_text("a key for this scene alone\n")
    key.chmod(0o600)
    fleet = Fleet(s)
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as listed,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger,
    ):
        listed.bind(("127.0.0.1", 0))
        stranger.bind(("127.0.0.1", 0))
        third = f"127.0.0.1:{listed.getsockname()[1]}"
        await fleet.start(u0, names=("north", "south"), more=(third,), peers={"key_file": str(key)})
        north, south = fleet.members
        await north.shows(peers="1/2", drop_forged="0")
        mallory = DatagramAuthenticator([b"a key of somebody else"])
        right = DatagramAuthenticator([key.read_bytes().strip()])
        me, it, other = pack_address(third), pack_address(north.address), pack_address(south.address)
        host, _, port = north.address.rpartition(":")
        datagrams = (
            ("stranger", "from an address that is not listed", stranger, b"good morning"),
            ("forged", "no tag", listed, b"good morning"),
            ("forged", "a ping with another key's tag", listed, mallory.sign(it, ping(me))),
            ("forged", "a ping to south", listed, right.sign(other, ping(me))),
            ("version", "of another release", listed, right.sign(it, bytes((99,)) + ping(me)[1:])),
            ("not_itself", "a ping in south's name", listed, right.sign(it, ping(other))),
        )
        seen = Counter[str]()
        for cause, what, sock, data in datagrams:
            s.script.line("mallory", "north", what)
            sock.sendto(data, (host, int(port)))
            seen[cause] += 1
            await north.shows(**{f"drop_{cause}": str(seen[cause])})
        await north.shows(peers="1/2")
        await south.shows(peers="1/2")
    ann = s.client("ann", north)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()


def ping(sender: bytes) -> bytes:
    return encode(Ping(sender, 1 << REFUTATION_BITS, 0, 1, []))


@scene()
async def test_peers_lost(s: Scene) -> None:
    """Three start and hear of each other; one is killed, and the other two hold it to be lost; it comes back in a new
    life, and all three are there again. Requests are served all the while.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    await fleet.start(u0, names=("north", "south", "west"), peers={"probe_ms": 200.0, "ack_ms": 100.0})
    north, south, west = fleet.members
    for it in fleet.members:
        await it.shows(peers="2/2", peers_dead="0")

    s.script.part("West is killed")
    west.gets(signal.SIGKILL)
    await west.ends()
    await north.shows(peers="1/2", peers_dead="1")
    await south.shows(peers="1/2", peers_dead="1")
    ann = s.client("ann", north)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()

    s.script.part("It comes back")
    await fleet.again(west)
    for it in fleet.members:
        await it.shows(peers="2/2", peers_dead="0")


OWNERS = {"lease_ms": 3000.0}


@scene()
async def test_owner_drains(s: Scene) -> None:
    """The drill's owner is told to end: it hands over first, another owns the next term, and effects go on."""
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "three start, all are keepers; the first owns the drill"):
        await fleet.start(u0, owners=OWNERS)
        first = await fleet.owner()
    await first.shows(owners="drill:owner:", owners_majority="1", owners_keeper="voting")
    first.gets(signal.SIGTERM)
    others = [it for it in fleet.members if it is not first]
    second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(first=first, second=second, third=third)
    await first.tells("STOPPING")
    await first.says("given up")
    await second.says("owned here")
    await first.ends()
    await second.shows(owners="drill:owner:", owners_majority="1")
    for it in (second, third):
        await it.has_taken(2)
    fleet.over()


@scene()
async def test_no_majority(s: Scene) -> None:
    """Two keepers of three stand still: the owner's duty rests, its STATUS says so, and it goes on to serve requests.
    They wake up, and the duty goes on in the term that nobody else has taken.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "three start, all are keepers; the first owns the drill"):
        await fleet.start(u0, owners=OWNERS)
        first = await fleet.owner()
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    await first.shows(owners="drill:owner:", owners_majority="1")

    s.script.part("Two stand still")
    second.gets(signal.SIGSTOP)
    third.gets(signal.SIGSTOP)
    await first.shows(owners="drill:rests:", owners_majority="0", owners_keeper="voting")
    before = {it: len(it.taken) for it in fleet.members}
    ann = s.client("ann", first)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()

    s.script.part("They wake up")
    second.gets(signal.SIGCONT)
    third.gets(signal.SIGCONT)
    await first.shows(owners="drill:owner:", owners_majority="1")
    for it in (first, second, third):
        await it.has_taken(1, more_than=before[it])
    fleet.over()


@scene()
async def test_owner_wakes_late(s: Scene) -> None:
    """The drill's owner is stopped, and another owns the next term. The first wakes up, finds that it stood still, and
    gives up: no effect of the old term comes after one of the new, at anybody.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "three start, all are keepers; the first owns the drill"):
        await fleet.start(u0, owners=OWNERS)
        first = await fleet.owner()
    await first.shows(owners="drill:owner:", owners_majority="1")
    first.gets(signal.SIGSTOP)
    others = [it for it in fleet.members if it is not first]
    second = await fleet.next_owner(*others)
    (third,) = (it for it in others if it is not second)
    fleet.called(first=first, second=second, third=third)
    await second.says("owned here")
    await third.has_taken(2)

    s.script.part("The first wakes up")
    first.gets(signal.SIGCONT)
    await first.says("given up")
    await first.shows(owners=f"drill:watching:{second.address}:", owners_majority="1")
    await second.shows(owners="drill:owner:", owners_majority="1")
    for it in (first, second, third):
        await it.has_taken(2)
    fleet.over()


@scene()
async def test_keeper_without_disk(s: Scene) -> None:
    """A keeper is back without its disk while another stands still: it is new, has nothing to say, and the duty rests.
    The other wakes up: from both the new one catches up, and then it votes.
    """
    u0 = await s.upstream("u0")
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "three start, all are keepers; the first owns the drill"):
        await fleet.start(u0, owners=OWNERS)
        first = await fleet.owner()
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    second.gets(signal.SIGSTOP)
    third.gets(signal.SIGKILL)
    await third.ends()
    s.script.line("operator", third.name, "its keeper's folder is gone")
    shutil.rmtree(s.folder / f"{third.name}-keeper")
    third = await fleet.again(third, tells="owners: keeper: ")
    await third.says("keeper")
    await first.shows(owners="drill:rests:", owners_majority="0")
    await third.shows(peers="1/2", owners_keeper="new")

    s.script.part("The second wakes up")
    second.gets(signal.SIGCONT)
    await third.says("voting")
    await third.shows(owners_keeper="voting")
    await first.shows(owners="drill:owner:", owners_majority="1")
    fleet.over()
