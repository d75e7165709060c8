"""Scenes of discovery: drains, silence, an outage."""

from __future__ import annotations

import signal

from tests.scenes.stage import Balancer, Scene, scene, settings


@scene(400.0, 60_000.0)
async def test_drain(s: Scene) -> None:
    """An upstream is told to drain: what it has goes on to its end, what is new goes to the other; and once the
    other has gone too and the grace is over, nobody is asked.
    """
    u0, u1 = await s.upstream("u0"), await s.upstream("u1")
    lb = await s.balancer(u0, settings=settings(Guarantees__DrainGraceMs=0))
    ann, bob, cid = s.client("ann", lb), s.client("bob", lb), s.client("cid", lb)
    await ann.asks("move", "t1")
    out = await u0.takes()
    await s.discovery.tells(2, u0.entry(lifecycle="leaving"), u1.entry())
    await s.discovery.takes()
    await bob.asks("move", "t2")
    await (await u1.takes()).answers(200, b"from u1")
    await bob.gets()
    await out.answers(200, b"from u0")
    await ann.gets()

    s.script.part("Both leave")
    await s.discovery.tells(3, u1.entry(lifecycle="leaving"))
    await s.discovery.takes()
    await cid.asks("look", "t3", X_Expires_In_Ms="400")
    await cid.gets()


@scene()
async def test_silent_watch(s: Scene) -> None:
    """Discovery takes a watch and never answers: the balancer gives it up, asks for the whole list, on a further
    connection too while that is silent as well, and serves meanwhile. The first answer counts.
    """
    u0, u1 = await s.upstream("u0"), await s.upstream("u1")
    s.discovery.silent = True
    lb = await s.balancer(u0, by_the_clock=())
    ann = s.client("ann", lb)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()
    await s.discovery.taken.sees_end()
    await lb.says("silent")
    await s.discovery.takes()
    await s.discovery.is_asked_again()
    await s.discovery.tells(2, u1.entry(), whole=True)
    await lb.says("answers again")
    await s.discovery.takes()
    await ann.asks("look", "t2")
    await (await u1.takes()).answers()
    await ann.gets()


STORE = """[store]
on = true
path = "{folder}"
every_ms = 10.0
[remembered]
identity = "Instance"
"""


@scene()
async def test_discovery_outage(s: Scene) -> None:
    """Back while discovery is away: it serves from the list that it remembers. A safe request goes first; what may
    not run twice goes out once an upstream has said who it is; and discovery's first list counts when it comes.
    """
    u0, u1 = await s.upstream("u0"), await s.upstream("u1")
    store = STORE.format(folder=s.folder / "store")
    first = await s.balancer(u0, name="first", operator=store, known={})
    first.gets(signal.SIGTERM)
    await first.ends()

    s.script.part("Back, and discovery is away")
    s.discovery.stop()
    lb = Balancer(s, "lb", files="first")
    lb.by_the_clock = ("discovery: silent",)
    await lb.begin(listed=False)
    ann = s.client("ann", first, "lb")
    await lb.says("refused")
    await lb.called("STATUS")
    await ann.asks("look", "t1")
    await (await u0.takes()).answers(instance='"u0";zone="north";cell=0')
    await ann.gets()
    await ann.asks("move", "t2")
    await (await u0.takes()).answers(instance='"u0";zone="north";cell=0')
    await ann.gets()
    await lb.called("STATUS")

    s.script.part("Discovery is back")
    s.discovery.holds(7, u0.entry(lifecycle="leaving"), u1.entry())
    await s.discovery.start()
    await s.discovery.takes()
    await s.discovery.takes()
    await lb.says("discovery lists")
    await lb.says("answers again")
    await ann.asks("look", "t3")
    await (await u1.takes()).answers(instance='"u1";zone="north";cell=0')
    await ann.gets()
