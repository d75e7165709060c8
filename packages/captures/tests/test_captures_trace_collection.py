"""Hops that ask each other to retain traces, over a bad network."""

from __future__ import annotations

import json
from collections import Counter
from itertools import pairwise

from captures_rig import TIERS
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from larkweir_captures import trace_collection
from larkweir_captures.node import Node
from larkweir_captures.options import Options

HOPS = [f"10.3.{tier}.{n}:7946" for tier in range(TIERS) for n in range(2)]


SOON = settings(max_examples=40, stateful_step_count=30)


class AskMachine(RuleBasedStateMachine):
    """Requests over three tiers; some are troubled. Items between hops wait, are doubled, dropped, and come in any
    order; hops are killed. A line is only of a record that was there, once; what is open stays bounded; and if nothing
    was dropped or killed, each hop of a troubled request has kept it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.transport: list[tuple[str, str, bytes]] = []
        self.nodes = {
            name: Node(name, Options(default_rate=1e-15, recent_ms=60_000.0), self.post(name))
            for name in HOPS
        }
        self.records: Counter[tuple[str, str]] = Counter()
        self.lines: Counter[tuple[str, str]] = Counter()
        self.wanted: list[tuple[str, tuple[str, ...]]] = []
        self.queried: Counter[str] = Counter()
        self.sound = True
        self.count = 0

    def post(self, me: str) -> AskMachine._Post:
        return self._Post(self, me)

    class _Post:
        def __init__(self, machine: AskMachine, me: str) -> None:
            self.machine, self.me = machine, me

        def post(self, to: str, item: bytes) -> bool:
            self.machine.transport.append((self.me, to, item))
            self.machine.queried[self.me] += 1
            return True

        def alive(self) -> list[str]:
            return list(self.machine.nodes)

    @rule(
        picks=st.tuples(*[st.integers(0, 1)] * 3),
        trouble=st.sets(st.sampled_from(("failed", "slow", "again")), max_size=2),
        at=st.integers(0, 2),
        lost=st.sampled_from((None, None, 0, 1)),
        order=st.permutations(range(3)),
        between=st.booleans(),
    )
    def request(
        self,
        picks: tuple[int, ...],
        trouble: set[str],
        at: int,
        lost: int | None,
        order: list[int],
        between: bool,
    ) -> None:
        path = [HOPS[2 * tier + pick] for tier, pick in enumerate(picks)]
        if any(name not in self.nodes for name in path):
            return
        self.count += 1
        trace = f"t{self.count}"
        nodes = [self.nodes[name] for name in path]
        verdicts = [nodes[0].first_hop(trace.encode(), "r", "c", "t", self.now)]
        for upper, lower in pairwise(nodes):
            came = lower.later_hop(upper.request_field(verdicts[-1]), self.now, trace.encode())
            assert came is not None
            verdicts.append(came)
        for tier in (1, 0):
            if tier != lost:
                nodes[tier].on_answer(verdicts[tier], nodes[tier + 1].answer_field(verdicts[tier + 1]))
        marks = {mark: True for mark in trouble}
        for tier in order:  # records come in any order: who sent may be done before who was asked
            mine = marks if tier == at else {}
            nodes[tier].record(verdicts[tier], b"{}", self.now, lost=tier == lost, **mine)
            self.records[path[tier], trace] += 1
            if between:
                self.tick(60.0)
                self.deliver_all()
        if trouble:
            self.wanted.append((trace, tuple(path)))

    @rule(gap=st.sampled_from((50.0, 60.0, 300.0)))
    def tick(self, gap: float) -> None:
        self.now += gap
        for name, node in self.nodes.items():
            for line in node.tick(self.now):
                read = json.loads(line)
                assert read["weight"] == 0.0 and read["hop"] == name
                self.lines[name, read["trace"]] += 1

    @rule(at=st.integers(0, 1000), how=st.sampled_from(("deliver", "deliver", "double", "drop")))
    def one(self, at: int, how: str) -> None:
        if self.transport:
            source, to, item = self.transport[at % len(self.transport)]
            if how != "double":
                del self.transport[at % len(self.transport)]
            self.sound = self.sound and how != "drop"
            if how != "drop" and to in self.nodes:
                self.nodes[to].on_message(source, item, self.now)

    @rule()
    def deliver_all(self) -> None:
        waiting, self.transport[:] = list(self.transport), []
        for source, to, item in waiting:
            if to in self.nodes:
                self.nodes[to].on_message(source, item, self.now)

    @rule(name=st.sampled_from(HOPS))
    def kill(self, name: str) -> None:
        if len(self.nodes) > 5:
            del self.nodes[name]
            self.sound = False

    @invariant()
    def nothing_is_made_up(self) -> None:
        assert all(count <= self.records[key] for key, count in self.lines.items())

    def teardown(self) -> None:
        for _ in range(60):
            self.tick(100.0)
            self.deliver_all()
        for node in self.nodes.values():
            assert not len(node.trace_collection) and not len(node.triggered)
        if self.sound:
            for trace, path in self.wanted:
                assert all(self.lines[name, trace] for name in path), (trace, path)
        most = (
            trace_collection.MAX_ATTEMPTS
            * (trace_collection.MAX_TRACE_HOPS + 2 * trace_collection.MAX_FALLBACK_HOPS)
            * max(1, self.count)
            * 3
        )
        assert all(count <= most for count in self.queried.values())


TestAsks = AskMachine.TestCase


TestAsks.settings = SOON
