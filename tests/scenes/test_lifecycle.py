"""Scenes of a balancer's life: reload, pause, handover, upgrade, stop."""

from __future__ import annotations

import signal

from tests.scenes.stage import Balancer, Scene, scene, settings


@scene()
async def test_pause_and_resume(s: Scene) -> None:
    """An operator pauses a balancer. Whoever looks whether it is ready hears no, kept connections that are idle end,
    and what comes all the same is served.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0)
    ann, bob, cid, front = (s.client(name, lb) for name in ("ann", "bob", "cid", "front"))
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()
    await bob.asks("move", "t2")
    out = await u0.takes()

    s.script.part("Paused")
    await lb.called("PAUSE")
    await lb.says("pause: emptying")
    await lb.tells("STATUS")
    await ann.sees_end()
    await front.asks_ready()
    await front.gets()
    await front.sees_end()
    await cid.asks("look", "t3")
    await (await u0.takes()).answers()
    await cid.gets()
    await lb.called("STATUS")
    await out.answers()
    await bob.gets()

    s.script.part("Resumed")
    await lb.called("RESUME")
    await lb.says("pause: over")
    await lb.tells("STATUS")
    front = s.client("front", lb)
    await front.asks_ready()
    await front.gets()


@scene(800.0, 60_000.0)
async def test_retune_by_sighup(s: Scene) -> None:
    """A class is given 800 ms, by the platform's file and SIGHUP: what comes after has them, what is out keeps its
    own. Then a file that is no good: one line, and all stays as it was.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0)
    ann, bob = s.client("ann", lb), s.client("bob", lb)
    await ann.asks("look", "t1")
    out = await u0.takes()

    s.script.part("look has 800 ms")
    short = settings()
    short["Categories"][0] |= {"AimMs": 800, "HardLimitMs": 800}
    lb.write(settings=short)
    lb.gets(signal.SIGHUP)
    await lb.tells("RELOADING")
    await lb.says("reload: discovery is")
    await lb.tells("READY")
    await bob.asks("look", "t2")
    await (await u0.takes()).sees_end()
    await bob.gets()
    await out.answers()
    await ann.gets()

    s.script.part("A file that is no good")
    lb.write(settings=short | {"Categories": [{"Name": "look", "Effect": "whatever"}]})
    lb.gets(signal.SIGHUP)
    await lb.tells("RELOADING")
    await lb.says("what was read before stays")
    await lb.tells("READY")
    await ann.asks("look", "t3")
    await (await u0.takes()).sees_end()
    await ann.gets()


@scene()
async def test_sigterm_under_kept_connections(s: Scene) -> None:
    """SIGTERM while one caller waits, one has a kept connection, and one comes late: all are served, each answer is
    the last of its connection, and the exit code is 0.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0, accept_ms=2000.0)
    ann, bob, cid = s.client("ann", lb), s.client("bob", lb), s.client("cid", lb)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()
    await bob.asks("move", "t2")
    out = await u0.takes()

    lb.gets(signal.SIGTERM)
    await lb.tells("STOPPING")
    await cid.asks("look", "t3")
    await (await u0.takes()).answers()
    await cid.gets()
    await cid.sees_end()
    await ann.asks("look", "t4")
    await (await u0.takes()).answers()
    await ann.gets()
    await ann.sees_end()
    await out.answers()
    await bob.gets()
    await bob.sees_end()
    await lb.ends()


@scene()
async def test_handover(s: Scene) -> None:
    """A successor takes the sockets over. What is out is answered by the life that took it, an id that is open there
    is refused by the successor too, and what is new is the successor's.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0, control=False)
    ann, bob, cid = (s.client(name, lb, "service") for name in ("ann", "bob", "cid"))
    await ann.asks("move", "t1")
    out = await u0.takes()

    lb.gets(signal.SIGUSR2)
    await lb.tells("RELOADING")
    await s.discovery.takes()
    await lb.says("the successor has taken over")
    await lb.hands_over("successor")
    await lb.tells("STATUS", "draining")
    await lb.tells("READY")
    await s.discovery.takes()
    await bob.asks("move", "t1")
    await bob.gets()
    await cid.asks("move", "t2")
    await (await u0.takes()).answers()
    await cid.gets()
    await out.answers()
    await ann.gets()
    await lb.tells("STATUS", "stopping")
    await lb.leaves()


@scene()
async def test_upgrade_beside(s: Scene) -> None:
    """`run` once more under the same address. The new process takes over; the old one answers what it has, and goes."""
    u0 = await s.upstream("u0")
    old = await s.balancer(u0, name="old", operator='upgrade = "beside"\n')
    ann, bob, cid = (s.client(name, old, "service") for name in ("ann", "bob", "cid"))
    await ann.asks("move", "t1")
    out = await u0.takes()

    s.script.part("A new process")
    new = await Balancer(s, "new", files="old").begin()
    await s.discovery.takes()
    await old.says("the new process accepts")
    await old.tells("READY")
    await old.called("STATUS")
    await new.called("STATUS")
    await bob.asks("move", "t1")
    await bob.gets()
    await cid.asks("move", "t2")
    await (await u0.takes()).answers()
    await cid.gets()

    s.script.part("The old one goes")
    old.gets(signal.SIGTERM)
    await old.tells("STATUS", "draining")
    await out.answers()
    await ann.gets()
    await old.ends()
    await new.called("STATUS")
