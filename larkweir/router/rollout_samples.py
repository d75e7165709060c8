"""What this router sees of the two tracks of each running roll-out, for the controllers. Pure logic.

Attempts in flight are counted for every version at all times, since a roll-out is not completed before the last one at
the old upstreams has ended, whenever that began. Everything else is counted from a roll-out's order on.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from larkweir_rollouts.samples import (
    MAX_ROUTES,
    OTHER_ROUTES,
    Histogram,
    RolloutReport,
    RouteSamples,
    TrackSamples,
    bucket_of,
)
from larkweir_rollouts.state import Rollout

from larkweir.router.answer_verdict import AnswerVerdict


class SampleKey(NamedTuple):
    """What an attempt is counted under.

    Attributes:
        service: of the upstream.
        version: of the upstream; empty where it is not known.
        route: the name of the request's route, or of routes like it (`RoutingTable.sample_name`).
        upstream: the upstream's id.
    """

    service: str
    version: str
    route: str
    upstream: str


@dataclass(slots=True)
class _Observed:
    """A running roll-out, and its report. `revision`: of the last change."""

    target_version: str
    report: RolloutReport
    revision: int


class _Counters(NamedTuple):
    track: TrackSamples
    route: RouteSamples


class RolloutSamples:
    """Owns the reports of the running roll-outs, by service, and the count of attempts in flight."""

    def __init__(self) -> None:
        """Know no roll-out, and nothing is in flight."""
        self._in_flight: dict[tuple[str, str], int] = {}  # by service and version; none is 0
        self._observed: dict[str, _Observed] = {}
        self._revision = 0  # rises with every change of any report

    def set_rollouts(self, rollouts: Mapping[str, Rollout]) -> None:
        """Put the roll-outs of another configuration in force: only those that are running are reported."""
        observed = {}
        for service, rollout in rollouts.items():
            if not rollout.is_running:
                continue
            known = self._observed.get(service)
            if known is None or known.report.order_id != rollout.order_id:
                report = RolloutReport(rollout.order_id)
                known = _Observed(rollout.target_version, report, self._next_revision())
            observed[service] = known
        self._observed = observed

    def on_attempt_started(self, key: SampleKey) -> None:
        """An upstream was selected; `on_attempt_ended` follows."""
        self._add_in_flight(key, 1)

    def on_attempt_ended(self, key: SampleKey) -> None:
        """The attempt is over, in whatever way."""
        self._add_in_flight(key, -1)

    def _add_in_flight(self, key: SampleKey, count: int) -> None:
        service_version = (key.service, key.version)
        in_flight = self._in_flight.get(service_version, 0) + count
        if in_flight:
            self._in_flight[service_version] = in_flight
        else:
            del self._in_flight[service_version]
        observed = self._observed.get(key.service)
        if observed is not None:
            observed.revision = self._next_revision()

    def is_observed(self, service: str) -> bool:
        """Whether that service has a running roll-out, so that its answers count."""
        return service in self._observed

    def record_first_byte(self, key: SampleKey, duration_ms: float) -> None:
        """The body of an answer began, so long after the request was sent."""
        counters = self._counters_to_change(key)
        if counters is not None:
            _add_duration(counters.route.first_byte, duration_ms)

    def record_pace(self, key: SampleKey, duration_ms: float) -> None:
        """The events of a stream come so far apart; or another answer was complete, so long after it was sent."""
        counters = self._counters_to_change(key)
        if counters is not None:
            _add_duration(counters.route.pace, duration_ms)

    def record_verdict(self, key: SampleKey, verdict: AnswerVerdict) -> None:
        """An attempt that was sent is over."""
        if verdict is AnswerVerdict.NO_EVIDENCE:
            return
        counters = self._counters_to_change(key)
        if counters is None:
            return
        if verdict is AnswerVerdict.ANSWERED:
            counters.route.answered += 1
        else:
            counters.route.failed += 1
            failures = counters.track.failures_by_upstream
            failures[key.upstream] = failures.get(key.upstream, 0) + 1

    def _counters_to_change(self, key: SampleKey) -> _Counters | None:
        """Where a sample is to be counted, which is then a change; None where its service has no running roll-out."""
        observed = self._observed.get(key.service)
        if observed is None:
            return None
        observed.revision = self._next_revision()
        report = observed.report
        track = report.target if key.version == observed.target_version else report.others
        return _Counters(track, _route_samples(report, track, key.route))

    def _next_revision(self) -> int:
        self._revision += 1
        return self._revision

    def changed_since(self, revision: int) -> dict[str, RolloutReport]:
        """The reports that have changed since `revision` was current; 0 for all of them."""
        changed = {}
        for service, observed in self._observed.items():
            if observed.revision > revision:
                changed[service] = observed.report
                self._fill_in_flight(service, observed)
        return changed

    def _fill_in_flight(self, service: str, observed: _Observed) -> None:
        at_target = self._in_flight.get((service, observed.target_version), 0)
        in_all = sum(
            count for (counted_service, _), count in self._in_flight.items() if counted_service == service
        )
        observed.report.target.in_flight = at_target
        observed.report.others.in_flight = in_all - at_target

    @property
    def revision(self) -> int:
        """The number of the last change."""
        return self._revision


def _route_samples(report: RolloutReport, track: TrackSamples, route: str) -> RouteSamples:
    """The samples of a route on a track; those of further routes than `MAX_ROUTES` are counted together."""
    samples = track.routes.get(route)
    if samples is not None:
        return samples
    known = report.target.routes.keys() | report.others.routes.keys()
    if route not in known and len(known) >= MAX_ROUTES - 1:
        route = OTHER_ROUTES
    return track.routes.setdefault(route, RouteSamples())


def _add_duration(histogram: Histogram, duration_ms: float) -> None:
    bucket = bucket_of(duration_ms)
    histogram[bucket] = histogram.get(bucket, 0) + 1
