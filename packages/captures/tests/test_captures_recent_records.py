"""The ring buffer of recent records, against a model of it."""

from __future__ import annotations

from collections import deque

import captures_rig  # noqa: F401 - it loads the hypothesis profile
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from larkweir_captures.recent_records import RecentRecords
from larkweir_captures.records import PendingRecord

SOON = settings(max_examples=40, stateful_step_count=30)


class RingMachine(RuleBasedStateMachine):
    """What was put last and fits, is young enough and was not taken, is there; nothing else is."""

    @initialize(records=st.integers(1, 6), size=st.integers(60, 200))
    def begin(self, records: int, size: int) -> None:
        self.ring = RecentRecords(100.0, records, size)
        self.model: deque[tuple[float, PendingRecord]] = deque()
        self.taken: set[str] = set()
        self.count = 0
        self.now = 0.0

    @rule(rv=st.integers(0, 4), cost=st.integers(1, 60), gap=st.sampled_from((0.0, 10.0, 60.0)))
    def put(self, rv: int, cost: int, gap: float) -> None:
        self.now += gap
        self.count += 1
        item = PendingRecord(str(self.count), rv, 0, b"", cost)
        self.ring.put(item, self.now)
        self.ring.expire(self.now)
        self.model.append((self.now, item))
        while (
            len(self.model) > self.ring.max_records
            or sum(item.line_bytes for _, item in self.model) > self.ring.max_bytes
            or self.now - self.model[0][0] > 100.0
        ):
            self.model.popleft()

    @rule(rv=st.integers(0, 4))
    def take(self, rv: int) -> None:
        there = [item for _, item in self.model if item.rv == rv and item.trace_id not in self.taken]
        assert [item.trace_id for item in self.ring.take(rv)] == [item.trace_id for item in there]
        self.taken |= {item.trace_id for item in there}

    @invariant()
    def is_bounded(self) -> None:
        if hasattr(self, "ring"):
            assert len(self.ring) <= self.ring.max_records and self.ring.bytes <= self.ring.max_bytes
            for rv in range(5):
                there = any(item.rv == rv and item.trace_id not in self.taken for _, item in self.model)
                assert self.ring.has(rv) == there


TestRing = RingMachine.TestCase


TestRing.settings = SOON
