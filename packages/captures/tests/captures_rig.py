"""A fleet of three tiers whose captures are the real rules, on a simulated network, and what it checks.

Requests are timers of their own; only what nodes tell each other goes by the network's datagrams. Truth is kept beside
the rules: which hops each request has reached, and when each line was written.
"""

from __future__ import annotations

import json
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from larkweir_captures.coordinator import Coordinator
from larkweir_captures.messages import encode
from larkweir_captures.node import Node
from larkweir_captures.options import Options
from larkweir_captures.propagation import SamplingDecision
from larkweir_captures.sampling import CAPTURE_NONE, threshold_of
from larkweir_simulated import Network

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")

TIERS, EACH = 3, 10
FRAGMENT = 200  # bytes of an item in one datagram
KINDS = (("buscar", "bulk", 600), ("cobrar", "card", 300), ("mudar", "move", 89), ("auditar", "rare", 1))
OPTIONS = Options(
    records_per_s=40.0, bytes_per_s=40_000.0, stale_after_ms=6_000.0, default_rate=0.05, recent_ms=4_000.0
)

RATES = st.floats(1e-9, 1.0)


RVS = st.integers(0, CAPTURE_NONE - 1)


THRESHOLDS = st.one_of(st.integers(0, CAPTURE_NONE), RATES.map(threshold_of))


class Post:
    """A Mail that keeps what is posted."""

    def __init__(self, *names: str) -> None:
        self.names = names
        self.sent: list[tuple[str, bytes]] = []

    def post(self, to: str, item: bytes) -> bool:
        self.sent.append((to, item))
        return True

    def alive(self) -> tuple[str, ...]:
        return self.names


@dataclass
class Line:
    at_ms: float
    size: int
    trace: int
    weight: float
    why: str


@dataclass
class Truth:
    begun_ms: float
    kind: int
    first: str
    hops: set[str] = field(default_factory=set)
    trouble: bool = False
    rate: float = 0.0  # in the end, at its first hop


class _Mail:
    def __init__(self, fleet: Fleet, me: str) -> None:
        self._fleet, self._me = fleet, me

    def post(self, to: str, item: bytes) -> bool:
        self._fleet.posted += 1
        self._fleet.datagrams += -(-len(item) // FRAGMENT)
        self._fleet.net.send(self._me, to, item)
        return True

    def alive(self) -> Sequence[str]:
        return [name for name in self._fleet.names if name not in self._fleet.gone]


class Fleet:
    """`way_back`: services hand back what a hop says with its answer. `alone`: nothing travels, and each hop draws for
    itself, by the same hash (`hash`) or by one of its own (`dice`).
    """

    def __init__(
        self,
        seed: int,
        options: Options = OPTIONS,
        way_back: bool = True,
        trouble: float = 0.005,
        alone: str = "",
    ) -> None:
        self.net = Network(seed, delay_ms=(1.0, 10.0), loss_rate=0.02)
        self.rng = self.net.rng
        self.seed = seed
        self.options = options
        self.way_back = way_back
        self.trouble = trouble
        self.alone = alone
        self.posted = self.datagrams = 0
        self.gone: set[str] = set()
        self.tiers = [[f"10.3.{tier}.{n}:7946" for n in range(EACH)] for tier in range(TIERS)]
        self.names = [name for tier in self.tiers for name in tier]
        self.weights = [20.0 ** (-n / (EACH - 1)) for n in range(EACH)]  # 20 to 1
        self.nodes = {name: Node(name, options, _Mail(self, name)) for name in self.names}
        self.leaders: dict[str, Coordinator] = {}
        self.lines: dict[str, list[Line]] = defaultdict(list)
        self.truth: list[Truth] = []
        for name in self.names:
            self.net.listen(name, lambda source, data, name=name: self._came(name, source, data))
            self.net.after(self.rng.uniform(0.0, 50.0), lambda name=name: self._tick(name), owner=name)

    def lead(self, name: str, term: int) -> None:
        last = self.nodes[name].thresholds.table if term > 1 else None
        transport = _Mail(self, name)
        self.leaders[name] = Coordinator(
            name,
            term,
            transport,
            self.net.now_ms,
            self.options.stale_after_ms,
            self.options.default_rate,
            last,
        )

    def kill(self, name: str) -> None:
        self.gone.add(name)
        self.leaders.pop(name, None)
        self.net.kill(name)

    def _came(self, name: str, source: str, data: bytes) -> None:
        report = self.nodes[name].on_message(source, data, self.net.now_ms)
        if report is not None and name in self.leaders:
            self.leaders[name].on_report(source, report, self.net.now_ms)

    def _tick(self, name: str) -> None:
        now, node = self.net.now_ms, self.nodes[name]
        leader = self.leaders.get(name)
        if leader is not None:
            leader.tick(now)
            node.on_message(name, _table(leader), now)
        for line in node.tick(now):
            read = json.loads(line)
            trace = int(read["trace"].partition("t")[2])
            self.lines[name].append(Line(now, len(line), trace, read["weight"], read["why"]))
        self.net.after(max(1.0, node.next_ms - now), lambda: self._tick(name), owner=name)

    # Requests

    def load(self, begin_ms: float, end_ms: float, per_s: float) -> None:
        """Requests at random, from one time until another."""

        def arrive() -> None:
            if self.net.now_ms < end_ms:
                self._begin()
                self.net.after(self.rng.expovariate(per_s) * 1000.0, arrive)

        self.net.at(begin_ms, arrive)

    def _pick(self, tier: int, but: str = "") -> str:
        while True:
            name = self.rng.choices(self.tiers[tier], self.weights)[0]
            if name not in self.gone and name != but:
                return name

    def _id(self, number: int) -> bytes:
        return b"%dt%d" % (self.seed, number)

    def _begin(self) -> None:
        kind = self.rng.choices(range(len(KINDS)), [share for _, _, share in KINDS])[0]
        number = len(self.truth)
        name = self._pick(0)
        self.truth.append(Truth(self.net.now_ms, kind, name))
        route, cls, _ = KINDS[kind]
        verdict = self.nodes[name].first_hop(self._id(number), route, cls, "any", self.net.now_ms)
        self._at(number, 0, name, verdict, lambda *_: None)

    def _at(self, number: int, tier: int, name: str, verdict: SamplingDecision, answer: object) -> None:
        """A request is at a hop: it goes on to the next tier, or is served here."""
        truth, node, net = self.truth[number], self.nodes[name], self.net
        truth.hops.add(name)
        state = {"again": False, "lost": False}

        def end(failed: bool) -> None:
            slow = self.rng.random() < self.trouble / 2.0
            marks = failed or slow or state["again"]
            truth.trouble = truth.trouble or marks
            body = b'{"tier":%d,"pad":"%s"}' % (tier, b"x" * self.rng.randrange(50, 400))
            truth.rate = verdict.rate
            node.record(verdict, body, net.now_ms, failed, slow, state["again"], state["lost"])
            answer(failed, node.answer_field(verdict))  # type: ignore[operator]

        def ask(but: str = "") -> None:
            there = self._pick(tier + 1, but)
            lost = self.rng.random() < self.trouble / 2.0
            text = node.request_field(verdict)

            def arrive() -> None:
                came = self._came_to(there, text, number)
                assert came is not None
                self._at(number, tier + 1, there, came, back)

            def back(failed: bool, told: str) -> None:
                if lost:
                    return
                net.after(self.rng.uniform(0.5, 3.0), lambda: came_back(failed, told), owner=name)

            def came_back(failed: bool, told: str) -> None:
                if self.way_back:
                    node.on_answer(verdict, told)
                end(failed)

            def give_up() -> None:
                state["lost"] = state["again"] = True
                ask(there)

            net.after(self.rng.uniform(0.5, 3.0), arrive, owner=there)
            if lost:
                net.after(300.0, give_up, owner=name)

        if tier + 1 < TIERS:
            ask()
        else:
            served = lambda: end(self.rng.random() < self.trouble / 2.0)  # noqa: E731
            net.after(self.rng.expovariate(1 / 20.0), served, owner=name)

    def _came_to(self, name: str, text: str, number: int) -> SamplingDecision | None:
        node, now, trace = self.nodes[name], self.net.now_ms, self._id(number)
        if not self.alone:
            return node.later_hop(text, now, trace)
        route, cls, _ = KINDS[self.truth[number].kind]
        salt = name.encode() + b"|" if self.alone == "dice" else b""
        return node.first_hop(salt + trace, route, cls, "any", now)

    # What is checked

    def whole(self, begin_ms: float = 0.0, end_ms: float = float("inf")) -> tuple[int, int]:
        """Of traces with a drawn line, how many have one of each hop that they were at; and how many there are."""
        drawn: dict[int, set[str]] = defaultdict(set)
        for name, lines in self.lines.items():
            for line in lines:
                if line.weight:
                    drawn[line.trace].add(name)
        return self._count(drawn, begin_ms, end_ms)

    def kept(self, begin_ms: float = 0.0, end_ms: float = float("inf")) -> tuple[int, int, int]:
        """Of traces with trouble: those with a line of each hop, those with any, and all."""
        found: dict[int, set[str]] = defaultdict(set)
        for name, lines in self.lines.items():
            for line in lines:
                if self.truth[line.trace].trouble:
                    found[line.trace].add(name)
        trouble = sum(t.trouble and begin_ms <= t.begun_ms < end_ms for t in self.truth)
        return (*self._count(found, begin_ms, end_ms), trouble)

    def _count(self, found: dict[int, set[str]], begin_ms: float, end_ms: float) -> tuple[int, int]:
        counted = [n for n in found if begin_ms <= self.truth[n].begun_ms < end_ms]
        return sum(found[n] >= self.truth[n].hops - self.gone for n in counted), len(counted)

    def passed(self) -> int:
        """Windows of one second, from each line on, with more records or bytes than stated."""
        over = 0
        for lines in self.lines.values():
            over += windows_passed(
                [(line.at_ms, line.size) for line in lines],
                self.options.records_per_s,
                self.options.bytes_per_s,
            )
        return over

    def estimates(self) -> list[tuple[float, float, int]]:
        """For each kind: requests by the weights of their first hops' lines, the variance of that, the truth.

        The variance is that of a sum of independent draws (Horvitz and Thompson), each at the rate that held.
        """
        sums = [[0.0, 0.0, 0.0] for _ in KINDS]
        for truth in self.truth:
            if truth.first not in self.gone:
                sums[truth.kind][1] += 1.0 / truth.rate - 1.0 if truth.rate else 0.0
                sums[truth.kind][2] += 1
        for name in self.tiers[0]:
            for line in self.lines[name] if name not in self.gone else ():
                if line.weight:
                    sums[self.truth[line.trace].kind][0] += line.weight
        return [(found, variance, int(count)) for found, variance, count in sums]


def windows_passed(
    lines: Sequence[tuple[float, int]], records: float, size: float, window_ms: float = 1000.0
) -> int:
    """How many windows, each ending with a line, hold more than so many records or bytes a second."""
    records, size = records * window_ms / 1000.0, size * window_ms / 1000.0
    times = [at for at, _ in lines]
    sums = [0]
    for _, cost in lines:
        sums.append(sums[-1] + cost)
    over = 0
    for end, at in enumerate(times):
        begin = bisect_left(times, at - window_ms)
        over += end + 1 - begin > records or sums[end + 1] - sums[begin] > size
    return over


def _table(leader: Coordinator) -> bytes:
    return encode(leader.table)
