"""The coordinator's thresholds, from nodes' reports."""

from __future__ import annotations

import pytest
from captures_rig import Post
from larkweir_captures.coordinator import Coordinator
from larkweir_captures.messages import Report, encode
from larkweir_captures.sampling import rate_of


def test_the_scarcest_node_sets_the_rate_and_a_new_term_keeps_it() -> None:
    post = Post("a:1", "b:1")
    leader = Coordinator("a:1", 1, post, 0.0, 30_000.0, 0.5)
    for second in range(12):
        for name, room in (("a:1", 100_000), ("b:1", 10_000)):
            load = {7: 200_000, 8: 1_000} if name == "b:1" else {7: 100_000}
            report = Report(1, leader.table.number, room, False, {7: 100_000, 8: 500}, load)
            leader.on_report(name, report, second * 1000.0)
        leader.tick(second * 1000.0)
    rates = {key: rate_of(value) for key, value in leader.table.thresholds.items()}
    assert rates[8] == 1.0  # rare, and captured whole
    assert 200.0 * rates[7] + 1.0 == pytest.approx(9.0, rel=0.01)
    later = Coordinator("b:1", 2, post, 20_000.0, 30_000.0, 0.5, leader.table)
    later.tick(20_000.0)
    assert (later.table.term, later.table.number) == (2, 1)
    assert later.table.thresholds == leader.table.thresholds
    post.sent.clear()
    later.on_report("c:1", Report(1, 9, 1000, False, {}, {}), 20_001.0)  # goes by the old term's
    assert post.sent == [("c:1", encode(later.table))]
