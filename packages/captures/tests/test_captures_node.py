"""One node: malformed input, tables, the output limits in any window, and weights under overload."""

from __future__ import annotations

import json
from random import Random

from captures_rig import Post, windows_passed
from hypothesis import given
from hypothesis import strategies as st
from larkweir_captures.messages import ThresholdTable, decode
from larkweir_captures.node import Node
from larkweir_captures.options import Options
from larkweir_captures.sampling import threshold_of


@given(st.text(max_size=600), st.binary(max_size=9000))
def test_what_makes_no_sense_is_counted(text: str, item: bytes) -> None:
    node = Node("a:1", Options(), Post("b:1"))
    assert node.later_hop(text, 0.0) is None and node.unreadable == 1
    assert decode(item) is None or item[0] == 1
    node.on_message("b:1", item, 0.0)
    node.on_message("b:1", b"\x01" + item, 0.0)


def test_a_table_s_thresholds_and_number_hold_together_and_at_once() -> None:
    node, rng, seen = (
        Node("a:1", Options(default_rate=0.5, records_per_s=1e5, bytes_per_s=1e8), Post()),
        Random(3),
        0,
    )
    for number in range(1, 200):
        rate = rng.random()
        node.follow(ThresholdTable(1, number, "c", 1000, threshold_of(rate), {}), float(number))
        for _ in range(rng.randrange(3)):  # as most requests, not drawn: nothing is promised in between
            verdict = node.first_hop(b"%d" % rng.getrandbits(64), "r", "look", "acme", float(number))
            assert (verdict.table_version, verdict.threshold) == ((1, number), threshold_of(rate))
            seen += 1
    node.tick(1000.0)
    assert seen > 100 and sum(node.loads.first_hops_per_s.values()) == seen


STEPS = st.lists(st.tuples(st.sampled_from((0.0, 1.0, 50.0, 333.3, 990.0)), st.integers(0, 40)), max_size=40)


@given(STEPS, st.integers(0, 2**30), st.integers(10, 60), st.sampled_from((20_000.0, 90_000.0)))
def test_no_window_passes_the_bound(
    steps: list[tuple[float, int]], seed: int, per_s: int, bytes_per_s: float
) -> None:
    rng = Random(seed)
    node = Node(
        "a:1",
        Options(records_per_s=per_s, bytes_per_s=bytes_per_s, default_rate=1.0, triggered_traces_per_s=1e6),
        Post(),
    )
    now, lines = 0.0, list[tuple[float, int]]()
    for gap, count in (*steps, *[(50.0, 0)] * 40):
        now += gap
        for n in range(count):
            verdict = node.first_hop(b"%d.%d" % (seed, rng.getrandbits(40)), "r", "c", "t", now)
            body = json.dumps({"n": n, "x": "y" * rng.randrange(1500)}).encode()
            node.record(verdict, body, now, failed=rng.random() < 0.3)
        lines += [(now, len(line)) for line in node.tick(now)]
    assert lines or not any(count for _, count in steps) or now < 100.0
    for window in (1000.0, 1700.0, 6000.0):
        assert not windows_passed(lines, per_s, bytes_per_s, window)


def test_weights_tell_of_a_node_that_lowered_its_own() -> None:
    """Ten times what it may write, for 20 s: the lines still stand for all requests."""
    node, found, variance = Node("a:1", Options(records_per_s=40.0, default_rate=1.0), Post()), 0.0, 0.0
    lines: list[bytes] = []
    for n in range(6000):
        now = n * 20_000.0 / 6000
        verdict = node.first_hop(b"own%d" % n, "r", "c", "t", now)
        variance += 1.0 / verdict.rate - 1.0
        node.record(verdict, b"{}", now)
        lines += node.tick(now)
    for step in range(100):
        lines += node.tick(20_000.0 + 50.0 * step)
    found = sum(json.loads(line)["weight"] for line in lines)
    assert len(lines) < 30.0 * 25.0
    assert abs(found - 6000.0) < 4.5 * variance**0.5
    assert variance**0.5 < 600.0
