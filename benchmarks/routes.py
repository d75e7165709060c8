"""`python -m benchmarks.routes`: what routes and pools cost, and what the rules of splits and subsets come to.

First, CPU of one request through the intake, the routes and the decisions (sockets left out; one upstream answers at
once), at 1, 100 and 10,000 routes and at 1, 10 and 100 pools, in turn in one run, beside the same without routes; and
the memory of a pool. Then the trial of a canary: of 200 seeds that are no worse, through a ramp and an outage, how
many are ended, and after how many requests one with a planted 5% error is. Then subsets at 30, 200 and 2,000
balancers by 200 and 2,000 upstreams: connections by balancer, most over mean load of an upstream, and the part of all
places that move when one upstream goes. Last comes the cost at 100 routes by that at one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
import tracemalloc
from collections import Counter
from random import Random
from statistics import median
from typing import Any

from larkweir_balancing.interface import ListKind, Outcome, ServerEntry

from benchmarks.hot_path import SETTINGS
from larkweir.config.options import Operator, Pool, Route
from larkweir.config.platform import decode
from larkweir.core.body_stream import BodyStream
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Listing
from larkweir.lifecycle.node import Node
from larkweir.routes.subsets import STRATEGIES
from larkweir.routes.trial import Trial


class Nobody:
    streams = False
    peer = "x"

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        assert status == 200, status

    def begin(self, status: int, headers: Headers, body: BodyStream) -> None:
        pass

    def gone(self) -> bool:
        return False


class Answers:
    """Stands for the upstreams: each call ends well, in a turn of its own."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.calls: list[Any] = []
        node.upstreams.call = self.call  # type: ignore[method-assign,assignment]

    def call(self, target: int, message: Message, until: float, owner: Any, **more: Any) -> Any:
        self.calls.append(owner)
        return Done()

    def end(self) -> None:
        answer = Message()
        answer.status = 200
        for owner in self.calls:
            owner.ended(Outcome.OK, answer)
        self.calls.clear()


class Done:
    written_ms = connect_ms = 0.0

    def time_out(self) -> None: ...

    def on_body_received(self, until_ms: float) -> None: ...

    def end(self, outcome: Outcome, answer: Message | None = None) -> None: ...


def node_of(routes: int, pools: int) -> Node:
    data = {
        "name": "r",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "limits": {"cores": 1.0, "memory_mb": 190, "sockets": 1024},
        "settings": SETTINGS,
    }
    config = decode(json.dumps(data), {})
    options = None
    if routes:
        names = [f"p{n}" for n in range(pools)] if pools > 1 else ["default"]
        rows = {"api": Route(path="/api", pool=names[0])}
        for n in range(routes - 1):
            rows[f"r{n}"] = Route(path=f"/s{n % 100}/t{n // 100}/{{id}}", pool=names[n % len(names)])
        options = Operator(routes=rows, pools={name: Pool() for name in names if name != "default"})
    node = Node(config, asyncio.get_running_loop(), options=options)
    entries = tuple(ServerEntry(n) for n in range(1, 9))
    tell = node.dispatcher.on_listing if node.routes is None else node.routes.on_listing
    tell(Listing(ListKind.FULL, 1, entries, tuple(("127.0.0.1", 9) for _ in entries)))
    return node


def cost(node: Node, serial: int, count: int) -> float:
    """Microseconds of CPU a request."""
    stands, caller = Answers(node), Nobody()
    begun = time.process_time()
    for n in range(count):
        message = Message()
        message.method, message.target = b"GET", b"/api"
        message.headers = [
            (b"Host", b"a.example"),
            (b"X-Trace-Id", b"%d-%d" % (serial, n)),
            (b"X-Qos", b"look"),
            (b"X-Customer", b"acme"),
        ]
        node.request_handler.handle(caller, message)  # type: ignore[arg-type]
        stands.end()
    return (time.process_time() - begun) / count * 1e6


async def costs(rounds: int, count: int) -> float:
    kinds = [(0, 0), (1, 1), (100, 1), (10_000, 1), (100, 10), (1_000, 100)]
    nodes = {kind: node_of(*kind) for kind in kinds}
    found: dict[tuple[int, int], list[float]] = {kind: [] for kind in kinds}
    for serial in range(rounds):
        for kind, node in nodes.items():
            found[kind].append(cost(node, serial, count))
    for (routes, pools), rows in found.items():
        name = f"{routes:6} routes, {pools:3} pools" if routes else "without routes"
        print(f"{name:26}: {median(rows):6.1f} us a request")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    many = node_of(100, 100)
    after = tracemalloc.get_traced_memory()[0]
    one = node_of(100, 1)
    last = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"memory of a pool over 8 upstreams: {((after - before) - (last - after)) / 99 / 1024:.0f} KiB")
    for node in (*nodes.values(), many, one):
        node.close()
    ratios = [two / first for first, two in zip(found[1, 1], found[100, 1], strict=True)]
    return median(ratios)


def trial(seed: int, count: int, part: float, main: float, canary: float, hard: bool) -> int:
    rng, it = Random(seed), Trial(0.05)
    for at in range(count):
        to = rng.random() < (part * at / count if hard else part)
        rate = canary if to else main
        if hard and 0.4 < at / count < 0.5:
            rate = 0.7
        if it.record(to, rng.random() < rate, rng.lognormvariate(3.0, 0.5)):
            return at
    return count


def trials(seeds: int) -> None:
    ended = sum(trial(seed, 5_000, 0.2, 0.01, 0.01, True) < 5_000 for seed in range(seeds))
    print(f"no worse, 5,000 requests, a ramp to 20% and an outage: {ended} of {seeds} ended (alpha 5%)")
    for part in (0.05, 0.2):
        found = sorted(trial(seed, 40_000, part, 0.005, 0.055, False) for seed in range(50))
        print(
            f"5% more errors at {part:.0%}: ended after {found[25]} requests in the middle of 50, {found[47]} at p95"
        )


def subsets() -> None:
    for upstreams, copies, size in ((200, 30, 20), (200, 200, 20), (2_000, 200, 40), (2_000, 2_000, 40)):
        names = [f"s{n}" for n in range(upstreams)]
        for way, choose in STRATEGIES.items():
            some = range(0, copies, max(1, copies // 100))
            load: Counter[str] = Counter()
            if way != "rendezvous" or copies * upstreams <= 400_000:
                for me in range(copies):
                    load.update(choose(names, me, copies, size))
            moved = sum(
                len(set(choose(names[1:], me, copies, size)) - set(choose(names, me, copies, size)))
                for me in some
            )
            uneven = f"{max(load.values()) / (copies * size / upstreams):.2f}" if load else "not played"
            unused = upstreams - len(load) if load else 0
            print(
                f"{copies:5} balancers x {upstreams:5} upstreams, {size} each, {way:10}: most over mean {uneven}, "
                f"unused {unused}, moved by one that goes {moved / (len(some) * size):.2%}"
            )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--costs", action="store_true", help="only what a request costs")
    options = parser.parse_args()
    ratio = asyncio.run(costs(options.rounds, options.requests))
    if not options.costs:
        trials(200)
        subsets()
    print(f"cost at 100 routes by that at one: {ratio:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
