"""Judges a version by the routers' samples, in comparison with the other upstreams of its service at the same time.

In each window of the pooled samples, failures and durations are tested over all routes and for each route. Each test
yields an e-value. Their weighted mean is the evidence against the version. See `docs/design/rollouts.md`.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from larkweir_rollouts.eprocess import e_value
from larkweir_rollouts.pooling import PooledSamples, Window, count_answers, count_failures
from larkweir_rollouts.samples import BUCKET_FACTOR, Histogram, RouteSamples, TrackSamples

FALSE_ALARM_PROBABILITY = 0.001  # upper bound for a version that satisfies the null hypotheses
BAD_EVIDENCE = 1.0 / FALSE_ALARM_PROBABILITY
SUSPECT_EVIDENCE = 10.0
# The evidence before any answer. A good version drops below it with its first answers and stays there.
DOUBT_EVIDENCE = 1.0

MIN_CONTROL = 10  # answers from the others on a route; with fewer answers they do not serve as the control
FAILURE_FLOOR = 0.01  # share of failures that is always tolerated
FAILURE_FACTOR = 2.0  # tolerated share of failures, relative to the others' share
PAST_CONTROL_FLOOR = 0.1  # the same if the others have answered only earlier, or get no requests any more
NO_CONTROL_FLOOR = 0.3  # the same if the others have never answered
MAX_NULL_PROBABILITY = 0.95

# An answer is slow if its duration exceeds a factor times the others' median. A floor is the share of slow answers that
# is always tolerated.
SLOW_FACTOR = 3.0
COLD_CACHE_FACTOR = 6.0  # for first bytes; a new upstream has to process whole prompts at first
SLOW_FLOOR = 0.15
COLD_CACHE_FLOOR = 0.3
PAST_CONTROL_SLOW_FLOOR = 0.35  # if the others get no requests any more
PAST_CONTROL_COLD_CACHE_FLOOR = 0.6
VERY_SLOW_FACTOR = 5.0  # a cold cache or a busy canary rarely explains such durations
VERY_SLOW_COLD_CACHE_FACTOR = 10.0
VERY_SLOW_FLOOR = 0.04
PAST_CONTROL_VERY_SLOW_FLOOR = 0.08
# The tolerated share of slow answers is at least this factor times the others' share, plus the margin.
SLOW_SHARE_FACTOR = 2.0
SLOW_SHARE_MARGIN = 0.05
VERY_SLOW_SHARE_MARGIN = 0.02

OUTLIER_FACTOR = 3  # failures of one upstream or router count up to this multiple of those of all others
MULTIPLE_UPSTREAMS = 2  # assumed number of other upstreams; failures of a single one of several are outliers

EQUAL_WEIGHT_WINDOWS = 5  # number of windows after the first that have equal weights

# Weights of the tests in the mean. Half of each is for the test over all routes, half is split evenly among the routes.
FAILURES_WEIGHT = 0.5
PACE_WEIGHT = 0.15
VERY_SLOW_PACE_WEIGHT = 0.2
FIRST_BYTE_WEIGHT = 0.1
VERY_SLOW_FIRST_BYTE_WEIGHT = 0.05

_NO_SAMPLES = RouteSamples()


class Verdict(msgspec.Struct, frozen=True):
    """The evidence against a version, and its consequences.

    Attributes:
        is_bad: whether the version is to be rolled back.
        is_suspect: whether its weight is limited and it may not be completed for now.
        reason: one line about the test with the strongest evidence; empty if there is no evidence against the version.
        evidence: the e-value against the version.
        target_answers: number of answers from the target version that the verdict is based on.
    """

    is_bad: bool = False
    is_suspect: bool = False
    reason: str = ""
    evidence: float = 1.0
    target_answers: int = 0

    @property
    def is_doubtful(self) -> bool:
        """Whether the version's weight may not grow for now."""
        return self.is_suspect or self.evidence > DOUBT_EVIDENCE


@dataclass(frozen=True, slots=True)
class _Finding:
    """The result of one test, and its weight in the mean."""

    evidence: float
    weight: float
    reason: str


@dataclass(frozen=True, slots=True)
class _Outcomes:
    """Number of answers and of failed answers in one track. Outlier failures may have been subtracted."""

    failed: float
    answers: int


class _Duration(StrEnum):
    """A measured duration of an answer. The values appear in reasons."""

    PACE = "pace"
    FIRST_BYTE = "first byte"


@dataclass(frozen=True, slots=True)
class _SlownessTest:
    """Defines when an answer is slow, and which share of slow answers is tolerated.

    Attributes:
        duration: the duration that is tested.
        weight: weight of the test in the mean.
        slow_factor: answers are slow if their duration exceeds this factor times the others' median.
        floor: share of slow answers that is always tolerated.
        margin: tolerated share of slow answers beyond `SLOW_SHARE_FACTOR` times the others' share.
    """

    duration: _Duration
    weight: float
    slow_factor: float
    floor: float
    margin: float = SLOW_SHARE_MARGIN


@dataclass(frozen=True, slots=True)
class _SlownessCounts:
    """Number of durations and of slow durations in both tracks."""

    target_slow: int = 0
    target: int = 0
    control_slow: int = 0
    control: int = 0


_SLOWNESS_TESTS = (
    _SlownessTest(_Duration.PACE, PACE_WEIGHT, SLOW_FACTOR, SLOW_FLOOR),
    _SlownessTest(
        _Duration.PACE, VERY_SLOW_PACE_WEIGHT, VERY_SLOW_FACTOR, VERY_SLOW_FLOOR, VERY_SLOW_SHARE_MARGIN
    ),
    _SlownessTest(_Duration.FIRST_BYTE, FIRST_BYTE_WEIGHT, COLD_CACHE_FACTOR, COLD_CACHE_FLOOR),
    _SlownessTest(
        _Duration.FIRST_BYTE,
        VERY_SLOW_FIRST_BYTE_WEIGHT,
        VERY_SLOW_COLD_CACHE_FACTOR,
        VERY_SLOW_FLOOR,
        VERY_SLOW_SHARE_MARGIN,
    ),
)
_PAST_CONTROL_SLOWNESS_TESTS = (
    _SlownessTest(_Duration.PACE, PACE_WEIGHT, SLOW_FACTOR, PAST_CONTROL_SLOW_FLOOR),
    _SlownessTest(_Duration.PACE, VERY_SLOW_PACE_WEIGHT, VERY_SLOW_FACTOR, PAST_CONTROL_VERY_SLOW_FLOOR),
    _SlownessTest(_Duration.FIRST_BYTE, FIRST_BYTE_WEIGHT, COLD_CACHE_FACTOR, PAST_CONTROL_COLD_CACHE_FLOOR),
)


def judge(samples: PooledSamples, target_upstream_count: int = 2, *, is_control_live: bool = True) -> Verdict:
    """Judge the target version by everything that was reported since its order.

    Args:
        samples: the reports of all routers.
        target_upstream_count: the largest number of upstreams that the target has had. If there are several, failures
            of a single one are treated as outliers.
        is_control_live: whether the others still get requests. If not, their answers do not reveal a current
            disturbance that affects all versions.
    """
    windows = samples.windows()
    findings = [
        finding
        for window in windows
        for finding in _findings(window, windows[0], target_upstream_count, is_control_live=is_control_live)
    ]
    evidence = sum(finding.weight * finding.evidence for finding in findings)
    strongest = max(findings, key=lambda finding: finding.weight * finding.evidence, default=None)
    return Verdict(
        is_bad=evidence >= BAD_EVIDENCE,
        is_suspect=evidence >= SUSPECT_EVIDENCE,
        reason=strongest.reason if strongest is not None and evidence > DOUBT_EVIDENCE else "",
        evidence=evidence,
        target_answers=count_answers(windows[0].totals.target),
    )


def window_weight(index: int) -> float:
    """Return a window's weight in the mean: half for the window since the order, the rest for all later windows."""
    if index == 0:
        return 0.5
    if index <= EQUAL_WEIGHT_WINDOWS:
        return 0.25 / EQUAL_WEIGHT_WINDOWS
    # The number of windows is unlimited, so the weights form a convergent series.
    return 0.25 * EQUAL_WEIGHT_WINDOWS / (index * (index - 1))


def _findings(
    window: Window, since_order: Window, upstream_count: int, *, is_control_live: bool
) -> Iterator[_Finding]:
    """Run all tests in one window."""
    weight = window_weight(window.index)
    target, others, earlier = window.totals.target, window.totals.others, since_order.totals.others
    target_outliers = _outlier_failures(target, window.target_failures, window.router_count, upstream_count)
    others_outliers = _outlier_failures(
        others, window.others_failures, window.router_count, MULTIPLE_UPSTREAMS
    )
    earlier_outliers = _outlier_failures(
        earlier, since_order.others_failures, window.router_count, MULTIPLE_UPSTREAMS
    )

    def failures(route: str | None, test_weight: float) -> _Finding:
        outcomes = _outcomes(target, route)
        outcomes = _Outcomes(max(0.0, outcomes.failed - target_outliers), outcomes.answers)
        control = (
            _without_outliers(_outcomes(others, route), others_outliers, others)
            if is_control_live
            else _Outcomes(0.0, 0)
        )
        past_control = _without_outliers(_outcomes(earlier, route), earlier_outliers, earlier)
        return _test_failures(route or "all routes", test_weight, outcomes, control, past_control)

    route_weight = 0.5 * weight / max(1, len(target.routes))
    yield failures(None, 0.5 * weight * FAILURES_WEIGHT)
    yield from (failures(route, route_weight * FAILURES_WEIGHT) for route in target.routes)
    for test in _SLOWNESS_TESTS if is_control_live else _PAST_CONTROL_SLOWNESS_TESTS:
        counts = {
            route: _slowness_counts(test, samples, others.routes.get(route), earlier.routes.get(route))
            for route, samples in target.routes.items()
        }
        yield _test_slowness(test, "all routes", 0.5 * weight, list(counts.values()))
        yield from (_test_slowness(test, route, route_weight, [count]) for route, count in counts.items())


def _test_failures(
    name: str, weight: float, target: _Outcomes, control: _Outcomes, past_control: _Outcomes
) -> _Finding:
    """Test whether more answers fail at the target than the others' pessimistically estimated failure share allows."""
    if control.answers >= MIN_CONTROL:
        null_probability = max(FAILURE_FLOOR, FAILURE_FACTOR * _pessimistic_share(control))
    elif past_control.answers >= MIN_CONTROL:
        null_probability = max(PAST_CONTROL_FLOOR, FAILURE_FACTOR * _pessimistic_share(past_control))
    else:
        null_probability = NO_CONTROL_FLOOR
    evidence = e_value(target.failed, target.answers, min(MAX_NULL_PROBABILITY, null_probability))
    reason = f"{name}: {target.failed:.0f} of {target.answers} answers failed"
    return _Finding(evidence, weight, f"{reason}, {control.failed:.0f} of {control.answers} at the others")


def _slowness_counts(
    test: _SlownessTest, target: RouteSamples, control: RouteSamples | None, past: RouteSamples | None
) -> _SlownessCounts:
    """Count slow durations on one route by the others' median there. All counts are 0 if the others hardly answered."""
    histograms = [_durations(test, samples) for samples in (control, past) if samples is not None]
    control_histogram = next(
        (histogram for histogram in histograms if sum(histogram.values()) >= MIN_CONTROL), None
    )
    if control_histogram is None:
        return _SlownessCounts()
    limit = _median_bucket(control_histogram) + round(math.log(test.slow_factor) / math.log(BUCKET_FACTOR))
    durations = _durations(test, target)
    return _SlownessCounts(
        _count_above(durations, limit),
        sum(durations.values()),
        _count_above(control_histogram, limit),
        sum(control_histogram.values()),
    )


def _test_slowness(test: _SlownessTest, name: str, weight: float, counts: list[_SlownessCounts]) -> _Finding:
    """Test whether the target has a larger share of durations far above the others' median than the others have."""
    slow, total = sum(count.target_slow for count in counts), sum(count.target for count in counts)
    control_slow, control = (
        sum(count.control_slow for count in counts),
        sum(count.control for count in counts),
    )
    share = control_slow / max(1, control)
    null_probability = max(test.floor, SLOW_SHARE_FACTOR * share + test.margin)
    evidence = e_value(slow, total, min(MAX_NULL_PROBABILITY, null_probability))
    reason = f"{name}: {slow} of {total} answers, {test.duration} over {test.slow_factor:.0f} times the others' median"
    return _Finding(evidence, weight * test.weight, f"{reason}, {control_slow} of {control} at the others")


def _outlier_failures(
    track: TrackSamples, by_router: dict[str, int], router_count: int, upstream_count: int
) -> float:
    """Count the failures of one upstream or router that far exceed those of all others together.

    A crashed upstream or a router with a bad network is no evidence against a version.
    """
    total, outliers = count_failures(track), 0
    for counts, sources in ((track.failures_by_upstream, upstream_count), (by_router, router_count)):
        if sources > 1:
            largest = max(counts.values(), default=0)
            rest = sum(counts.values()) - largest
            outliers = max(outliers, total - rest - min(largest, max(1, OUTLIER_FACTOR * rest)))
    return outliers


def _without_outliers(outcomes: _Outcomes, outliers: float, track: TrackSamples) -> _Outcomes:
    """Subtract a control's outlier failures evenly from all of its routes, so that they do not excuse a bad target."""
    shared_fraction = 1.0 - outliers / max(1, count_failures(track))
    return _Outcomes(outcomes.failed * shared_fraction, outcomes.answers)


def _outcomes(track: TrackSamples, route: str | None) -> _Outcomes:
    """Count a track's answers on one route, or on all routes if `route` is None."""
    chosen = track.routes.values() if route is None else [track.routes.get(route, _NO_SAMPLES)]
    failures = sum(samples.failed for samples in chosen)
    return _Outcomes(failures, failures + sum(samples.answered for samples in chosen))


def _pessimistic_share(control: _Outcomes) -> float:
    """Return the control's share of failures plus about one standard deviation."""
    return (control.failed + math.sqrt(control.failed) + 0.5) / control.answers


def _durations(test: _SlownessTest, samples: RouteSamples) -> Histogram:
    return samples.pace if test.duration is _Duration.PACE else samples.first_byte


def _median_bucket(histogram: Histogram) -> int:
    """Return the bucket of the median; of the upper median for an even number of durations."""
    left = sum(histogram.values()) // 2
    for bucket in sorted(histogram):
        left -= histogram[bucket]
        if left < 0:
            return bucket
    return 0


def _count_above(histogram: Histogram, limit: int) -> int:
    return sum(count for bucket, count in histogram.items() if bucket > limit)
