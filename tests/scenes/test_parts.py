"""Scenes of parts that the operator file switches on."""

from __future__ import annotations

from standins.peers import ok, status
from tests.scenes.stage import Scene, scene

BUDGET = """[budget]
on = true
trust = ["127.0.0.0/8"]
hop = "edge"
"""


@scene()
async def test_loop_refused(s: Scene) -> None:
    """A tier that calls back the tier that called it: the first repeat is refused as never run, and that goes up the
    chain as it is; no attempt is spent on trying again.
    """
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0, operator=BUDGET)
    ann, back = s.client("ann", lb), s.client("u0", lb)
    await ann.asks("move", "t1", X_Budget="3")
    out = await u0.takes()
    passed = {name: out.request.headers[f"x-budget{name}"] for name in ("", "-path")}
    await back.asks("move", "t1.1", X_Budget=passed[""], X_Budget_Path=passed["-path"])
    answer = await back.gets()
    await out.answers(503, b"", **{k: v for k, v in answer.headers.items() if k.startswith(("x-", "retry"))})
    await ann.gets()
    await lb.says("refused")


@scene(1000.0, 60_000.0)
async def test_storm_advice(s: Scene) -> None:
    """No upstream is left: whoever is refused is told when to come back, and is served when one is there again."""
    u0 = await s.upstream("u0")
    lb = await s.balancer(u0, operator="[storms]\non = true\n")
    lb.by_the_clock = ("storm: ",)
    ann, bob = s.client("ann", lb), s.client("bob", lb)
    await ann.asks("look", "t1")
    await (await u0.takes()).answers()
    await ann.gets()
    await s.discovery.tells(2, u0.entry(lifecycle="left"))
    await s.discovery.takes()
    await ann.asks("look", "t2", X_Expires_In_Ms="1000")
    await ann.gets()
    await bob.asks("move", "t3", X_Expires_In_Ms="1000")
    await bob.gets()
    await s.discovery.tells(3, u0.entry())
    await s.discovery.takes()
    await ann.asks("look", "t4")
    await (await u0.takes()).answers()
    await ann.gets()


@scene()
async def test_canary_ended(s: Scene) -> None:
    """A canary that gets half of the requests and fails them all: it is ended, once, and gets nothing any more."""
    u0, canary = await s.upstream("u0"), await s.upstream("canary")
    u0.serves(ok(b"u0"))
    canary.serves(status(500))
    parts = (
        f'[pool.c]\nfixed = ["127.0.0.1:{canary.peer.port}"]\nattempts = 1\n'
        '[route.api]\npath = "/api"\nsplit = ["c 50%"]\nsticky = "request"\n'
    )
    lb = await s.balancer(u0, operator=parts)
    ann = s.client("ann", lb)
    await lb.called("STATUS")
    await ann.asks_often("look", "t", 80)
    u0.told()
    canary.told()
    await lb.says("gets nothing any more")
    await lb.called("STATUS")
    await ann.asks_often("look", "v", 20)
    u0.told()
    canary.told()
