"""What a router has seen of the two tracks of a roll-out, as it reports it. Counts only rise within one incarnation.

A track is the upstreams of the target version, or all others of the service. Durations are counted in buckets that grow
by a constant factor, so that the counts of many routers can be added.
"""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_COUNT = 10**9
BUCKET_FACTOR = 1.25  # of the upper bounds of neighbouring buckets
MAX_BUCKET = 128
# Of one report and of all together: a judgement takes time with each, and each needs answers for a median of its own.
MAX_ROUTES = 24
OTHER_ROUTES = ""  # the name under which further ones are counted together

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Bucket = Annotated[int, msgspec.Meta(ge=0, le=MAX_BUCKET)]
Histogram = dict[Bucket, Count]
"""By bucket, how many durations fell into it."""


def bucket_of(duration_ms: float) -> int:
    """Return the bucket of a duration: the first whose upper bound, `BUCKET_FACTOR ** bucket` ms, is not below it."""
    if duration_ms <= 1.0:
        return 0
    return min(MAX_BUCKET, math.ceil(math.log(duration_ms) / math.log(BUCKET_FACTOR)))


class RouteSamples(msgspec.Struct, array_like=True):
    """Answers on one route at one track.

    A duration is counted as soon as it is known, the pace of a stream after its first events: what is slow would be
    seen late if it were counted when it ends. So there are more durations than answers at times.

    Attributes:
        answered: answers that were complete and no failure of the upstream.
        failed: failures of the upstream: a status of 500 or more that may have run, or an answer that broke off.
        first_byte: time from the sending of a request to the first byte of the answer's body, in milliseconds.
        pace: mean time between the events of a stream; for other answers the time from sending to the end.
    """

    answered: Count = 0
    failed: Count = 0
    first_byte: Histogram = {}
    pace: Histogram = {}


def add_route(into: RouteSamples, samples: RouteSamples) -> None:
    """Add the samples of another route."""
    into.answered += samples.answered
    into.failed += samples.failed
    for sums, histogram in ((into.first_byte, samples.first_byte), (into.pace, samples.pace)):
        for bucket, count in histogram.items():
            sums[bucket] = sums.get(bucket, 0) + count


class TrackSamples(msgspec.Struct):
    """Everything at one track.

    Attributes:
        in_flight: requests that are under way there at present.
        routes: by name of the route.
        failures_by_upstream: by id of the upstream; the upstreams without a failure are left out.
    """

    in_flight: Count = msgspec.field(default=0, name="open")
    routes: dict[str, RouteSamples] = {}
    failures_by_upstream: dict[str, Count] = msgspec.field(default_factory=dict, name="failures")


class RolloutReport(msgspec.Struct):
    """What one router reports of one running roll-out, from its order on.

    Attributes:
        order_id: of the roll-out (`Rollout.order_id`).
        target: at the upstreams of the target version.
        others: at all other upstreams of the service.
    """

    order_id: str = msgspec.field(name="order")
    target: TrackSamples = msgspec.field(default_factory=TrackSamples)
    others: TrackSamples = msgspec.field(default_factory=TrackSamples)
