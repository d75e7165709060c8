"""Thresholds, bounds, queues, rates and tables: each law for any input."""

from __future__ import annotations

import json
from random import Random

import pytest
from captures_rig import windows_passed
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_captures.coordinator import Coordinator
from larkweir_captures.current_thresholds import CurrentThresholds
from larkweir_captures.max_min_fairness import max_min_rates
from larkweir_captures.messages import Report, ThresholdTable, decode, encode
from larkweir_captures.node import Node
from larkweir_captures.options import Options
from larkweir_captures.output_limits import OutputLimit
from larkweir_captures.propagation import SamplingDecision, parse_answer_field, parse_request_field
from larkweir_captures.records import PendingRecord
from larkweir_captures.sampled_queue import SampledQueue
from larkweir_captures.sampling import (
    CAPTURE_NONE,
    randomness,
    rate_of,
    scaled_threshold,
    threshold_of,
)
from larkweir_captures.triggered_queue import TriggeredQueue

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


@given(RATES, RATES, st.integers(0, 10**9))
def test_a_lower_rate_captures_a_subset(one: float, other: float, seed: int) -> None:
    low, high = sorted((one, other))
    for rv in [randomness(b"%d.%d" % (seed, n)) for n in range(100)]:
        assert (
            SamplingDecision(rv, threshold_of(high)).captured
            or not SamplingDecision(rv, threshold_of(low)).captured
        )
    assert low * (1 - 1 / 2048) - 2.0**-55 <= rate_of(threshold_of(low)) <= low


@given(THRESHOLDS, st.floats(0.0, 1.5), RVS)
def test_a_hop_past_its_bound_captures_a_subset(threshold: int, part: float, rv: int) -> None:
    assert scaled_threshold(threshold, part) >= threshold
    assert rate_of(scaled_threshold(threshold, part)) <= rate_of(threshold) * max(part, 1e-300) or part > 1.0


def test_randomness_is_even() -> None:
    found = [randomness(b"%d" % n) for n in range(20_000)]
    for rate in (0.5, 0.1, 0.01):
        drawn = sum(rv >= threshold_of(rate) for rv in found)
        assert abs(drawn - 20_000 * rate) < 4.0 * (20_000 * rate) ** 0.5


NAMES = st.lists(st.from_regex(r"[0-9a-z.:-]{1,20}", fullmatch=True), max_size=8).map(tuple)


@given(
    RVS, THRESHOLDS, st.integers(0, 2**32 - 1), st.tuples(st.integers(0, 10**9), st.integers(0, 10**9)), NAMES
)
def test_what_travels_says_what_was_decided(
    rv: int, threshold: int, key: int, number: tuple[int, int], above: tuple[str, ...]
) -> None:
    read = parse_request_field(
        SamplingDecision(rv, threshold, key, number, above).request_field("10.0.0.1:1")
    )
    assert read is not None and not read.is_first_hop
    assert (read.rv, read.threshold, read.key, read.table_version) == (rv, threshold, key, number)
    assert read.previous_hops == (*above, "10.0.0.1:1")[-8:]
    told = parse_answer_field(
        SamplingDecision(rv, threshold, next_hops=list(above)).answer_field("10.0.0.1:1")
    )
    assert told == (threshold, ("10.0.0.1:1", *above)[:8])


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


def _drain(drawn: SampledQueue, arrivals: list[tuple[float, int, int, int]]) -> dict[int, float]:
    """Weights by arrival, each (when, randomness, threshold, bytes), when all has gone out."""
    weights: dict[int, float] = {}
    now = 0.0
    for number, (when, rv, threshold, cost) in enumerate(arrivals):
        while drawn.wait_ms(now) <= when - now:
            now += drawn.wait_ms(now)
            if (found := drawn.take(now)) is not None:
                weights[int(found[0].trace_id)] = found[1]
        now = when
        if rv >= threshold:
            drawn.put(PendingRecord(str(number), rv, threshold, b"", cost))
    while len(drawn):
        now += max(drawn.wait_ms(now), 1e-3)
        if (found := drawn.take(now)) is not None:
            weights[int(found[0].trace_id)] = found[1]
            assert (
                found[0].rv >= found[0].threshold - 2**8
            )  # it lies above what its line says, but for rounding
    return weights


@settings(max_examples=12)
@given(st.integers(0, 2**30), st.integers(0, 39), st.sampled_from((0.0, 0.5, 0.9)))
def test_weights_stay_unbiased_when_records_are_let_go(seed: int, at: int, skip: float) -> None:
    """All other hashes held fast, one record's weight is 1 on average over its own: the estimate's law, exactly."""
    rng = Random(seed)
    arrivals = [
        (
            n * 30.0 * rng.random(),
            rng.randrange(CAPTURE_NONE),
            threshold_of(rng.choice((1.0, 0.4))),
            rng.randrange(300, 1500),
        )
        for n in range(40)
    ]
    arrivals.sort()
    when, _, _, cost = arrivals[at]
    threshold, grid, found = threshold_of(1.0 - skip), 200, 0.0
    for step in range(grid):
        arrivals[at] = (when, CAPTURE_NONE * (2 * step + 1) // (2 * grid), threshold, cost)
        found += _drain(SampledQueue(OutputLimit(10.0, 6000.0), 1.0), arrivals).get(at, 0.0)
    assert found / grid == pytest.approx(1.0, abs=0.03 / (1.0 - skip))


def test_after_the_fact_the_most_important_go_first_and_the_same_everywhere() -> None:
    items = [(n % 3 + 1, randomness(b"%d" % n)) for n in range(50)]
    found = []
    for seed in (1, 2):
        Random(seed).shuffle(items)
        after = TriggeredQueue(OutputLimit(1000.0, 1e6), max_records=10)
        for importance, rv in items:
            after.put(PendingRecord("", rv, 0, b"", 10, importance=importance))
        taken = [after.take(0.0) for _ in range(len(after))]
        found.append([(item.importance, item.rv) for item in taken if item])
        assert after.shed_count == 40
    assert found[0] == found[1] == sorted(items, reverse=True)[:10]


LOADS = st.dictionaries(st.integers(1, 8), st.floats(0.01, 1000.0), max_size=8)


@given(LOADS, st.lists(st.tuples(st.one_of(st.just(0.0), st.floats(0.1, 500.0)), LOADS), max_size=6))
def test_rates_are_max_min_fair(begun: dict[int, float], nodes: list[tuple[float, dict[int, float]]]) -> None:
    """No node takes more than it can, and who is not captured whole passes a full node where nobody has more."""
    rates = max_min_rates(begun, nodes)
    sizes = {key: begun.get(key) or max(loads.get(key, 0.0) for _, loads in nodes) for key in rates}
    full = []
    for room, loads in nodes:
        taken = sum(load * rates[key] for key, load in loads.items())
        assert taken <= room + 1e-6 * (1.0 + room)
        full.append(taken >= room - 1e-6 * (1.0 + room))
    for key, rate in rates.items():
        if rate < 1.0:
            mine = rate * sizes[key] * (1.0 + 1e-6)
            assert any(
                held and key in loads and all(rates[other] * sizes[other] <= mine for other in loads)
                for held, (_, loads) in zip(full, nodes, strict=True)
            )


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5), st.integers(0, CAPTURE_NONE)), max_size=20))
def test_tables_never_go_back(tables: list[tuple[int, int, int]]) -> None:
    held, highest = CurrentThresholds(0.1, 1000.0, 0.25), (0, 0)
    for now, (term, number, threshold) in enumerate(tables):
        came = held.offer(ThresholdTable(term, number, "a:1", 1000, threshold, {}), float(now))
        assert came == ((term, number) > highest)
        highest = max(highest, (term, number))
        assert held.version == highest


def test_without_word_the_last_thresholds_hold_then_a_safe_part() -> None:
    held = CurrentThresholds(0.1, 1000.0, 0.25)
    assert held.threshold(5, 10_000.0) == threshold_of(0.1)  # nobody has ever set any
    held.offer(ThresholdTable(1, 1, "a:1", 1000, threshold_of(0.5), {5: threshold_of(0.8)}), 10_000.0)
    assert held.threshold(5, 11_000.0) == threshold_of(0.8)
    assert rate_of(held.threshold(5, 11_001.0)) == pytest.approx(0.2, rel=1e-3)
    assert rate_of(held.threshold(6, 11_001.0)) == pytest.approx(0.125, rel=1e-3)
    held.offer(ThresholdTable(1, 2, "a:1", 1000, threshold_of(0.5), {}), 12_000.0)
    assert held.threshold(5, 12_000.0) == threshold_of(0.5)


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
