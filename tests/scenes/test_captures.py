"""Scenes of captures: a verdict down and back, a failure that asks another hop, a coordinator lost, a bound passed."""

from __future__ import annotations

import asyncio
import json
import signal
from itertools import count
from typing import Any

from standins.actors import Client, Exchange, Server
from standins.peers import PATIENCE_S, ok
from tests.scenes.fleet import Fleet, Member
from tests.scenes.stage import Scene, scene

PEERS = {"probe_ms": 200.0, "ack_ms": 100.0}
CARRIED = ("x-budget", "x-budget-path", "x-capture")


def tables(name: str, server: Server) -> str:
    """One hop, whose calls go to this server."""
    return (
        f'[budget]\non = true\ntrust = ["127.0.0.0/8"]\nhop = "{name}"\n'
        f'[pool.below]\nfixed = ["127.0.0.1:{server.peer.port}"]\n[route.api]\npath = "/*"\npool = "below"\n'
    )


class Written:
    """The file that one balancer captures to."""

    def __init__(self, s: Scene, by: Member) -> None:
        self._s, self._by = s, by
        self._path = s.folder / f"{by.name}.jsonl"
        self._seen = 0

    async def has(self, count: int) -> list[dict[str, Any]]:
        """The next lines, told: what of them does not go by the clock."""
        lines: list[str] = []
        async with asyncio.timeout(PATIENCE_S):
            while len(lines) < self._seen + count:
                await asyncio.sleep(0.02)
                lines = self._path.read_text().splitlines() if self._path.exists() else []
        found = [json.loads(line) for line in lines[self._seen : self._seen + count]]
        self._seen += count
        for line in found:
            record = line["record"]
            words = [f"{line['trace']} {line['why']}", f"weight={line['weight']:g}", f"rv={line['rv']}"]
            words += [f"th={line['th']}", f"status={record['status']}"]
            words += [f"{key}={record[key]}" for key in ("above", "below") if key in record]
            words += [f"attempts={','.join(attempt[3] for attempt in record['attempts'])}"]
            self._s.script.line(self._by.name, "captures", " ".join(words))
        return found

    def heaviest(self) -> float:
        """The highest weight of all lines."""
        return max(float(row["weight"]) for row in self._rows())

    def bounded(self, most: int) -> None:
        """Whether a line stands for more than itself, and all were written within the bound, at most so many in any
        second.
        """
        times = [row["mono_ms"] for row in self._rows()]
        kept = all(sum(at - 999.9 <= other <= at for other in times) <= most for at in times)
        words = f"weight={'above 1' if self.heaviest() > 1.0 else 1}"
        order = f"never more than {most} lines in a second" if kept else f"TOO MANY LINES: {times}"
        self._s.script.line(self._by.name, "captures", f"{words}; {order}")

    def _rows(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self._path.read_text().splitlines()]


async def hops(s: Scene, **captures: Any) -> tuple[Server, Server, Member, Member]:
    """`front` calls the shop, and the shop calls `back`, which calls the stock."""
    shop, stock = await s.upstream("shop"), await s.upstream("stock")
    fleet = Fleet(s)
    with s.script.untold("manager", "all", "front and back start; front calls the shop, back the stock"):
        text = {"front": tables("front", shop), "back": tables("back", stock)}
        await fleet.start(shop, names=("front", "back"), text=text, peers=PEERS, captures=captures)
        front, back = fleet.members
        for it in (front, back):
            await it.looks(peers="1/1", captures="whole")
    fleet.called(front=front, back=back)
    return shop, stock, front, back


async def goes_down(
    ann: Client, trace: str, shop: Server, stock: Server, back: Client
) -> tuple[Exchange, dict[str, Any]]:
    """A request to the front, until the shop has its answer from back, which it has called with what came. What is out
    at the shop, and what came back with that answer.
    """
    await ann.asks("look", trace)
    out = await shop.takes()
    carried: dict[str, Any] = {name: value for name, value in out.request.headers.items() if name in CARRIED}
    await back.asks("look", f"{trace}.1", **carried)
    await (await stock.takes()).answers()
    answer = await back.gets()
    return out, {name: value for name, value in answer.headers.items() if name in CARRIED}


@scene()
async def test_verdict_down_and_back(s: Scene) -> None:
    """Half of all are captured. The front draws by the request's id, and its verdict goes down with the request and
    comes back with the answer: what is drawn is written at both hops, with one randomness, threshold and weight, and
    who was above and below; of the other there is no line at either.
    """
    shop, stock, front, back = await hops(s, rest=0.5)
    ann, shops = s.client("ann", front), s.client("shop", back)
    lines = [Written(s, it) for it in (front, back)]
    for trace in ("t2", "t3"):  # their hashes are 0x67..., below the threshold, and 0xd5..., above it
        out, answered = await goes_down(ann, trace, shop, stock, shops)
        await out.answers(**answered)
        await ann.gets()
    for it in lines:
        await it.has(1)


@scene()
async def test_failed_request_asks(s: Scene) -> None:
    """Next to nothing is captured. One request goes well; of the next the shop's answer is an error, and it is sent
    again. That one is kept after the fact, at the front and, since the front asks, at the hop below as well; its lines
    stand for no other request.
    """
    shop, stock, front, back = await hops(s, rest=0.000001)
    ann, shops = s.client("ann", front), s.client("shop", back)
    lines = [Written(s, it) for it in (front, back)]
    out, answered = await goes_down(ann, "t1", shop, stock, shops)
    await out.answers(**answered)
    await ann.gets()
    out, answered = await goes_down(ann, "t2", shop, stock, shops)
    await out.answers(500, b"", **answered)
    await (await shop.takes()).answers(**answered)
    await ann.gets()
    for it in lines:
        await it.has(1)


@scene()
async def test_coordinator_lost(s: Scene) -> None:
    """The coordinator and another stand still: nobody sets thresholds. The third goes on by the last ones for as long
    as it is told to, then by a safe part of them, a quarter, and says so; the weights of its lines tell which. They
    wake up, and all is captured again.
    """
    u0 = await s.upstream("u0")
    u0.serves(ok(b"u0"))
    fleet = Fleet(s)
    # Up to a third of it may be over at the SIGSTOP: 8 s at the least are left for three requests.
    rows = {"rest": 1.0, "hold_ms": 12_000.0}
    first = await fleet.owned(u0, duty="captures", captures=rows, peers=PEERS)
    second, third = (it for it in fleet.members if it is not first)
    fleet.called(first=first, second=second, third=third)
    for it in (first, second, third):
        await it.looks(captures="whole")
    await third.shows(captures="whole")
    ann, lines = s.client("ann", third), Written(s, third)
    await ann.asks_often("look", "t", 3)
    await lines.has(3)

    s.script.part("Two stand still")
    for it in (first, second):
        it.gets(signal.SIGSTOP)
    await ann.asks_often("look", "u", 3)
    await lines.has(3)
    await third.says("alone")
    await third.shows(captures="whole,alone")
    await ann.asks_often("look", "v", 8)  # of these hashes v0's alone lies in the highest quarter
    await lines.has(1)

    s.script.part("They wake up")
    fleet.over()
    for it in (first, second, third):
        it.by_the_clock += ("captures: ",)
    for it in (first, second):
        it.gets(signal.SIGCONT)
    await third.shows(captures="whole")
    await ann.asks_often("look", "w", 3)
    await lines.has(3)


@scene()
async def test_bound_passed(s: Scene) -> None:
    """All requests are to be captured, and two a second is all that may be drawn. A burst comes: the balancer says that
    it is short, lowers its own rate, and what it captures then stands for more requests than itself.
    """
    u0 = await s.upstream("u0")
    u0.serves(ok(b"u0"))
    path = s.folder / "lb.jsonl"
    few = f'[captures]\non = true\npath = "{path}"\nrest = 1.0\nrecords_per_s = 4.0\nafter = 0.5\n'
    lb = await s.balancer_of(Member, u0, operator=few)
    ann, lines = s.client("ann", lb), Written(s, lb)
    await ann.asks_often("look", "t", 1)
    await lines.has(1)
    await ann.asks_often("look", "v", 40)
    await lb.says("short")
    lb.by_the_clock += ("captures: ",)
    with s.script.untold("ann", "lb", "more bursts, until a line stands for more than itself"):
        async with asyncio.timeout(PATIENCE_S):
            for n in count():
                if lines.heaviest() > 1.0:
                    break
                await ann.asks_often("look", f"w{n}-", 40)
                await asyncio.sleep(0.2)
    lines.bounded(4)
