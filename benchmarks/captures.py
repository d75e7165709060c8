"""`python -m benchmarks.captures`: captures over three tiers of thirty processes, the real rules on a simulated net.

Load comes at random (Poisson), 20 to 1 uneven over the ten processes of each tier, 300 requests a second for 30 s, and
ten times as many from 12 s to 17 s; each process may write 40 records a second. A quarter of a per cent of the requests
each fail at the last tier, are slow at a hop, or lose an answer and are sent again. A trace is whole where each hop it
was at has written its record. Days: the burst alone; the burst with the coordinator killed at 13 s, a cut through
the middle from 22 s to 27 s and another coordinator, within one side, at 22 s; the burst where services hand nothing
back; each hop drawing for itself by the same hash, and by a hash of its own. `--scale` reckons the traffic of 30, 200
and 2,000 processes whose loads change every 10 s, without requests. `--cost` times a request's calls. Last comes the
smallest part of whole traces over the plays of the burst alone.
"""

from __future__ import annotations

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from timeit import repeat

ROOT = Path(__file__).resolve().parent.parent / "packages"
sys.path[:0] = [str(path) for path in (*ROOT.glob("*/src"), ROOT / "captures" / "tests")]

from captures_rig import FRAGMENT, OPTIONS, Fleet  # noqa: E402
from larkweir_captures.coordinator import Coordinator  # noqa: E402
from larkweir_captures.messages import encode  # noqa: E402
from larkweir_captures.node import Node, Options  # noqa: E402
from larkweir_simulated import Network  # noqa: E402

DAYS = ("burst", "death and cut", "no way back", "alone, same hash", "alone, own hash")


def play(seed: int, day: str) -> Fleet:
    alone = {"alone, same hash": "hash", "alone, own hash": "dice"}.get(day, "")
    # Alone there is no coordinator: each node asks for all, and its own capacity decides.
    options = replace(OPTIONS, default_rate=1.0, stale_fraction=1.0) if alone else OPTIONS
    fleet = Fleet(seed, options, way_back=day != "no way back" and not alone, alone=alone)
    if not alone:
        fleet.lead(fleet.tiers[1][3], 1)
    fleet.load(0.0, 30_000.0, 300.0)
    fleet.load(12_000.0, 17_000.0, 2_700.0)
    if day == "death and cut":
        fleet.net.run(13_000.0)
        fleet.kill(fleet.tiers[1][3])
        fleet.net.run(22_000.0)
        fleet.lead(fleet.tiers[1][5], 2)
        fleet.net.split([fleet.names[::2], fleet.names[1::2]])
        fleet.net.run(27_000.0)
        fleet.net.heal()
    fleet.net.run(36_000.0)
    return fleet


def figures(seed: int, day: str) -> tuple[list[float], list[float]]:
    """Of one play: its figures; and by how many sigmas each kind's weights are off."""
    fleet = play(seed, day)
    whole, drawn = fleet.whole(5_000.0)
    burst, burst_drawn = fleet.whole(12_000.0, 18_000.0)
    kept, _, trouble = fleet.kept(5_000.0)
    lines = sum(map(len, fleet.lines.values())) / 36.0
    told = fleet.datagrams / 36.0 / len(fleet.names)
    scores = [(found - count) / max(1.0, var) ** 0.5 for found, var, count in fleet.estimates()]
    return (
        [whole / drawn, burst / burst_drawn, drawn, kept / max(1, trouble), told, lines, fleet.passed()],
        scores,
    )


def days(plays: int, first: int, jobs: int) -> float:
    least = 1.0
    seeds = range(first, first + plays)
    with ProcessPoolExecutor(jobs) as pool:
        for day in DAYS:
            found = list(pool.map(figures, seeds, [day] * plays))
            rows = [row for row, _ in found]
            scores = [score for _, some in found for score in some]
            if day == "burst":
                least = min(row[0] for row in rows)
            mean = [sum(column) / plays for column in zip(*rows, strict=True)]
            spread = (sum(score * score for score in scores) / len(scores)) ** 0.5
            print(
                f"{day:16}: whole {mean[0]:.4f} (least {min(row[0] for row in rows):.4f}), of the burst {mean[1]:.4f}"
                f" (least {min(row[1] for row in rows):.4f}); {mean[2]:.0f} traces drawn; trouble kept whole"
                f" {mean[3]:.3f}; windows passed {sum(row[6] for row in rows):.0f}; weights off by"
                f" {sum(scores) / len(scores):+.2f} sigma on average, spread {spread:.2f};"
                f" {mean[4]:.1f} datagrams/s a process, {mean[5]:.0f} lines/s in all",
                flush=True,
            )
    return least


class _Counted:
    def __init__(self, net: Network, me: str, names: list[str]) -> None:
        self.net, self.me, self.names, self.datagrams = net, me, names, 0

    def post(self, to: str, item: bytes) -> bool:
        self.datagrams += -(-len(item) // FRAGMENT)
        self.net.send(self.me, to, item)
        return True

    def alive(self) -> list[str]:
        return self.names


def scale(count: int, seed: int) -> None:
    """What is told in 60 s where 20 kinds of request have other loads every 10 s."""
    net = Network(seed, delay_ms=(1.0, 10.0), loss_rate=0.02)
    names = [f"10.{n // 250}.{n % 250}.1:7946" for n in range(count)]
    mails = {name: _Counted(net, name, names) for name in names}
    nodes = {name: Node(name, Options(), mails[name]) for name in names}
    leader = Coordinator(names[0], 1, mails[names[0]], 0.0, 30_000.0, 0.01)
    longest, reached = 0.0, []

    def tick(name: str) -> None:
        nonlocal longest
        now = net.now_ms
        if name == names[0]:
            begun = time.perf_counter()
            leader.tick(now)
            longest = max(longest, time.perf_counter() - begun)
            nodes[name].on_message(name, encode(leader.table), now)
        node = nodes[name]
        node.loads.tick = lambda *_: None  # type: ignore[method-assign]
        node.tick(now)
        net.after(200.0, lambda: tick(name), owner=name)

    def came(name: str, source: str, data: bytes) -> None:
        report = nodes[name].on_message(source, data, net.now_ms)
        if report is not None and name == names[0]:
            leader.on_report(source, report, net.now_ms)

    def loads() -> None:
        for node in nodes.values():
            for held in (node.loads.first_hops_per_s, node.loads.forwarded_per_s):
                held.update({key: net.rng.expovariate(1.0) * 400.0 / key for key in range(1, 21)})
        net.after(10_000.0, loads)

    def look() -> None:
        held = sum(node.thresholds.version >= (1, leader.table.number) for node in nodes.values())
        reached.append(held / count)
        net.after(1_000.0, look)

    for name in names:
        net.listen(name, lambda source, data, name=name: came(name, source, data))
        net.after(net.rng.uniform(0.0, 200.0), lambda name=name: tick(name), owner=name)
    loads()
    net.at(20_000.0, look)
    net.run(60_000.0)
    each = sorted(transport.datagrams / 60.0 for name, transport in mails.items() if name != names[0])
    print(
        f"{count} processes: {sum(each) / len(each):.2f} datagrams/s each (most {each[-1]:.2f}), coordinator"
        f" {mails[names[0]].datagrams / 60.0:.1f}; newest table at {sum(reached) / len(reached):.3f} of them on"
        f" average; longest reckoning {longest * 1000.0:.0f} ms",
        flush=True,
    )


def cost() -> None:
    """Microseconds of a request at its first hop, and at a later one, drawn one in a hundred."""
    net = Network(1)
    names = ["a:1", "b:1"]
    one, two = (Node(name, Options(), _Counted(net, name, names)) for name in names)
    body = b'{"class":"bulk","attempts":[{"upstream":"10.0.0.1:80","ms":12.5,"outcome":"OK"}],"ms":14.1}'
    best = [float("inf")] * 2
    plain = min(repeat("f(1)", "def f(x): return x", number=100_000)) * 10.0
    for turn in range(5):
        spent = [0.0, 0.0]
        for n in range(20_000):
            now = turn * 100_000.0 + n * 2.0
            begun = time.perf_counter()
            first = one.first_hop(b"%d-%d" % (turn, n), "buscar", "bulk", "any", now)
            down = one.request_field(first)
            middle = time.perf_counter()
            later = two.later_hop(down, now, b"%d-%d" % (turn, n))
            assert later is not None
            up = two.answer_field(later)
            two.record(later, body, now)
            end = time.perf_counter()
            one.on_answer(first, up)
            one.record(first, body, now)
            if not n % 25:
                one.tick(now)
            spent[0] += middle - begun + time.perf_counter() - end
            spent[1] += end - middle
        best = [min(a, b / 20_000 * 1e6) for a, b in zip(best, spent, strict=True)]
    print(
        f"a request costs {best[0]:.1f} us at its first hop, {best[1]:.1f} us at a later one;"
        f" a plain call costs {plain:.3f} us here"
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--plays", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1, help="the first")
    parser.add_argument("--jobs", type=int, default=4, help="plays side by side")
    parser.add_argument("--scale", action="store_true")
    parser.add_argument("--cost", action="store_true")
    args = parser.parse_args()
    if args.cost:
        cost()
    if args.scale:
        for count in (30, 200, 2000):
            scale(count, args.seed)
    if not args.cost and not args.scale:
        print(f"{days(args.plays, args.seed, args.jobs):.4f}")


if __name__ == "__main__":
    main()
