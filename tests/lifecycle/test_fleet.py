"""Thirty real processes, cycled under steady callers: the short form of `benchmarks.fleet_cycle`."""

from __future__ import annotations

import asyncio

import uvloop

from standins.fleet import Fleet


def test_a_fleet_that_is_cycled_keeps_every_promise() -> None:
    """Guards all lives together: reload, handover, restart and kill, with drains meanwhile. Each request has one
    final answer, no unsafe or keyed effect comes twice, nothing that ran is refused, no connection is refused
    in service, and nothing new goes to a drained upstream past its grace.
    """

    async def work() -> Fleet:
        fleet = Fleet(instances=30, nodos=8, callers=1, pause_s=0.2, seed=7)
        try:
            async with asyncio.timeout(240):
                await fleet.start()
                await fleet.run(cycles=60, at_once=4)
        finally:
            await fleet.stop()
        return fleet

    fleet = uvloop.run(work())
    assert fleet.faults() == []
    assert sum(fleet.cycles.values()) == 60 and len(fleet.cycles) == len(Fleet.KINDS)
    assert sum(fleet.answers.values()) + fleet.lost_to_kill == fleet.requests
    assert fleet.answers[200] > 0.8 * fleet.requests
    fleet.close()


def test_the_rig_sees_each_broken_promise() -> None:
    """Guards the verdict above: each kind of fault, put in by hand, is found and named."""
    fleet = Fleet(instances=1, nodos=1, callers=1, pause_s=0.1, seed=1)
    (fleet.instances[0].folder / "log").write_text("larkweir n0: discovery: TimeoutError\n")
    fleet.judge("0-0-1", "traspaso", 200, b"0-0-1", 5.0)
    fleet.ledger.unsafe["0-0-1"] = 1
    assert fleet.faults() == []
    fleet.judge("0-0-2", "traspaso", 200, b"0-0-1", 5.0)
    fleet.judge("0-0-3", "traspaso", 404, b"", 5.0)
    fleet.judge("0-0-4", "traspaso", 502, b"", 60_000.0)
    fleet.judge("0-0-5", "traspaso", 503, b"", 5.0)
    fleet.judge("0-0-6", "publicar", 503, b"", 5.0)
    fleet.ledger.unsafe.update({"0-0-5": 1, "0-0-7": 2})
    fleet.ledger.keyed.update({"0-0-6": 1, "0-0-8": 2})
    fleet.ledger.faults.append("0-0-9: sent")
    fleet.lost.append("0-0-10")
    fleet.refused.append("0-0-11")
    (fleet.instances[0].folder / "log").write_text("Traceback\n")
    found = fleet.faults()
    for words in (
        "0-0-2: answered with",
        "0-0-3: answered 404",
        "0-0-4: answered after",
        "refused what ran: 0-0-5",
        "refused what ran: 0-0-6",
        "twice: 0-0-7",
        "twice: key 0-0-8",
        "drain: 0-0-9",
        "lost without an answer: 0-0-10",
        "while in service: 0-0-11",
        "log: Traceback",
    ):
        assert sum(words in item for item in found) == 1, words
    assert len(found) == 11
    fleet.close()
