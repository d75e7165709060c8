"""Tests of verdicts: which samples make a version bad or suspect, and which are no evidence against it."""

from __future__ import annotations

from collections import Counter
from math import comb
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_rollouts.eprocess import e_value
from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples
from larkweir_rollouts.verdict import Verdict, judge, window_weight

ORDER = "v2/1"
FAST, SLOW, VERY_SLOW = 10, 16, 19  # buckets: the duration of the control, about four and seven times as long
FailureRow = tuple[int, int, int]  # router, upstream, number of failures


def track(answers: int, failures: list[FailureRow], router: int, bucket: int = FAST) -> TrackSamples:
    """Return one of four routers' samples of a track: a quarter of the good answers, and this router's failures."""
    here = [(upstream, count) for at, upstream, count in failures if at == router]
    good = answers // 4 + (router < answers % 4)
    samples = RouteSamples(good, sum(count for _, count in here), {bucket: good}, {bucket: good})
    by_upstream = Counter[str]()
    for upstream, count in here:
        by_upstream[f"u-{upstream}"] += count
    return TrackSamples(0, {"ask": samples}, dict(by_upstream))


def verdict(
    target: int,
    failures: list[FailureRow],
    others: int = 120,
    others_failures: list[FailureRow] | None = None,
    bucket: int = FAST,
    upstreams: int = 4,
) -> Verdict:
    """Judge a pool of four routers' reports."""
    pool = PooledSamples(ORDER)
    for router in range(4):
        target_track = track(target, failures, router, bucket)
        others_track = track(others, others_failures or [], router)
        pool.record(f"router-{router}/a", RolloutReport(ORDER, target_track, others_track))
    return judge(pool, upstreams)


SPREAD: list[FailureRow] = [(0, 0, 1), (1, 1, 1), (2, 0, 1), (3, 1, 1)]


def spread(failures: int) -> list[FailureRow]:
    """Return failures that are spread evenly over routers and upstreams."""
    return [(number % 4, number // 4 % 4, 1) for number in range(failures)]


@pytest.mark.parametrize(
    ("result", "is_bad", "is_suspect"),
    [
        (verdict(6, SPREAD), True, True),
        (verdict(10, []), False, False),
        (verdict(0, []), False, False),
        (verdict(400, [(0, 0, 1), (1, 1, 1)], others=4_000), False, False),
        (verdict(6, [(0, 0, 2), (1, 1, 1)]), False, True),
        (verdict(30, [(number, 0, 5) for number in range(4)]), False, False),
        (verdict(30, [(0, number, 5) for number in range(4)]), False, False),
        (verdict(30, [(number, 0, 5) for number in range(4)], upstreams=1), True, True),
        (verdict(80, spread(20), others_failures=spread(30)), False, False),
        (verdict(40, spread(24), others_failures=[(0, 0, 60)]), True, True),
        (verdict(30, [], bucket=SLOW), True, True),
        (verdict(4, [], bucket=SLOW), False, True),
        (verdict(30, [], bucket=VERY_SLOW), True, True),
        (verdict(30, [], bucket=SLOW, others=4), False, False),
        (verdict(8, spread(32), others=4), True, True),
        (verdict(30, [], bucket=FAST + 4), False, False),
    ],
    ids=[
        "4 of 10 failed",
        "none failed",
        "no answer",
        "2 of 402 failed",
        "3 of 9 failed",
        "one upstream failed",
        "one router had failures",
        "the only upstream failed",
        "the others fail as well",
        "one of the others crashed",
        "four times slower",
        "four slow answers",
        "seven times slower",
        "slow without control",
        "failing without control",
        "a little slower",
    ],
)
def test_the_verdict_on_typical_samples(result: Verdict, is_bad: bool, is_suspect: bool) -> None:
    assert (result.is_bad, result.is_suspect) == (is_bad, is_suspect), result
    assert bool(result.reason) == result.is_doubtful


def test_the_reason_names_the_strongest_test() -> None:
    assert verdict(6, SPREAD).reason == "all routes: 4 of 10 answers failed, 0 of 120 at the others"
    slow = verdict(30, [], bucket=SLOW).reason
    assert (
        slow == "all routes: 30 of 30 answers, pace over 3 times the others' median, 0 of 120 at the others"
    )


def test_a_cold_cache_does_not_count_as_slow() -> None:
    pool = PooledSamples(ORDER)
    for router in range(4):
        target, others = track(10, [], router), track(40, [], router)
        target.routes["ask"].first_byte = {SLOW + 1: 10}  # about five times the control's duration
        pool.record(f"router-{router}/a", RolloutReport(ORDER, target, others))
    assert not judge(pool, 4).is_suspect


def test_a_version_that_turns_bad_late_is_condemned_despite_its_earlier_answers() -> None:
    pool = PooledSamples(ORDER)
    for answers in range(0, 400, 10):
        pool.record("router-0/a", RolloutReport(ORDER, track(4 * answers, [], 0), track(6_000, [], 0)))
    assert not judge(pool, 4).is_suspect
    late = [(0, number, 5) for number in range(4)]
    pool.record("router-0/a", RolloutReport(ORDER, track(1_600, late, 0), track(6_400, [], 0)))
    assert judge(pool, 4).is_bad, "20 of 30 failed since the last window began"


def test_a_fault_on_one_route_condemns_the_version() -> None:
    pool = PooledSamples(ORDER)
    for router in range(4):
        target, others = track(200, spread(12), router), track(2_000, [], router)
        failing = target.routes.pop("ask")
        target.routes |= {"ask": RouteSamples(0, failing.failed), "brief": RouteSamples(failing.answered)}
        others.routes["brief"] = others.routes["ask"]
        pool.record(f"router-{router}/a", RolloutReport(ORDER, target, others))
    assert judge(pool, 4).reason.startswith("ask: ")


def test_the_weights_of_all_windows_sum_to_at_most_one() -> None:
    assert 0.99 < sum(window_weight(index) for index in range(10_000)) <= 1.0


@given(st.integers(0, 50), st.integers(0, 50), st.floats(0.01, 0.9))
def test_more_hits_are_stronger_evidence(hits: int, misses: int, null: float) -> None:
    trials = hits + misses + 1
    assert e_value(hits, trials, null) < e_value(hits + 1, trials, null)


@settings(max_examples=20)
@given(st.floats(0.01, 0.5), st.integers(1, 40))
def test_the_mean_of_the_evidence_is_at_most_one_under_the_hypothesis(null: float, trials: int) -> None:
    """Calculates the exact mean from the binomial distribution.

    By Ville's inequality, a martingale with mean 1 bounds the probability of a false alarm at any time.
    """
    mean = sum(
        comb(trials, hits) * null**hits * (1.0 - null) ** (trials - hits) * e_value(hits, trials, null)
        for hits in range(trials + 1)
    )
    assert mean <= 1.0 + 1e-9


@pytest.mark.parametrize("null", [0.01, 0.1, 0.3])
def test_continuous_monitoring_bounds_false_alarms(null: float) -> None:
    rng, crossings, runs = Random(3), 0, 400
    for _ in range(runs):
        hits = 0
        for trials in range(1, 120):
            hits += rng.random() < null
            if e_value(hits, trials, null) >= 20.0:
                crossings += 1
                break
    assert crossings <= runs / 20 * 1.3
