"""The samples that a router reports on the two tracks of a roll-out. Counts only increase within one incarnation.

One track is the upstreams of the target version, the other track is all other upstreams of the service. Durations are
counted in buckets that grow by a constant factor, so that the counts of many routers can be added.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_COUNT = 10**9
BUCKET_FACTOR = 1.25  # ratio of the upper bounds of adjacent buckets
MAX_BUCKET = 128
# Limit per report and for all reports together: every route adds to the cost of a verdict, and every route needs enough
# answers for its own median.
MAX_ROUTES = 24
OTHER_ROUTES = ""  # routes beyond the limit are counted together under this name

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Bucket = Annotated[int, msgspec.Meta(ge=0, le=MAX_BUCKET)]
Histogram = dict[Bucket, Count]
"""Number of durations by bucket."""


def bucket_of(duration_ms: float) -> int:
    """Return the first bucket whose upper bound, `BUCKET_FACTOR ** bucket` ms, is at least the duration."""
    if duration_ms <= 1.0:
        return 0
    return min(MAX_BUCKET, math.ceil(math.log(duration_ms) / math.log(BUCKET_FACTOR)))


class RouteSamples(msgspec.Struct, array_like=True):
    """Answers on one route in one track.

    A duration is counted as soon as it is known, and the pace of a stream after its first events. Slow answers would be
    detected late if they were counted only at their end. The number of durations may therefore exceed the number of
    answers.

    Attributes:
        answered: complete answers that are not failures of the upstream.
        failed: failures of the upstream: a status of 500 or more where the request may have been executed, or an
            answer that broke off.
        first_byte: time from sending a request to the first byte of the answer's body, in milliseconds.
        pace: mean time between the events of a stream; for other answers the time from sending the request to the end
            of the answer. In milliseconds.
    """

    answered: Count = 0
    failed: Count = 0
    first_byte: Histogram = {}
    pace: Histogram = {}


def add_route(into: RouteSamples, samples: RouteSamples) -> None:
    """Add samples of a route to `into`."""
    into.answered += samples.answered
    into.failed += samples.failed
    for sums, histogram in ((into.first_byte, samples.first_byte), (into.pace, samples.pace)):
        for bucket, count in histogram.items():
            sums[bucket] = sums.get(bucket, 0) + count


class TrackSamples(msgspec.Struct):
    """The samples of one track.

    Attributes:
        in_flight: current number of requests in flight.
        routes: samples by route name.
        failures_by_upstream: number of failures by upstream id; upstreams without a failure are omitted.
    """

    in_flight: Count = msgspec.field(default=0, name="open")
    routes: dict[str, RouteSamples] = {}
    failures_by_upstream: dict[str, Count] = msgspec.field(default_factory=dict, name="failures")


class RolloutReport(msgspec.Struct):
    """One router's report on a running roll-out, with everything that it has counted since the order.

    Attributes:
        order_id: the order of the roll-out (`Rollout.order_id`).
        target: samples from the upstreams of the target version.
        others: samples from all other upstreams of the service.
    """

    order_id: str = msgspec.field(name="order")
    target: TrackSamples = msgspec.field(default_factory=TrackSamples)
    others: TrackSamples = msgspec.field(default_factory=TrackSamples)
