"""Collects samples of the two tracks of each running roll-out, to report to the controllers. Pure logic.

Attempts in flight are counted at all times and for every version: a roll-out is not completed before the last attempt
at the old upstreams has ended, even if that attempt began before the order. Everything else is counted from the order
on.
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
    """The key under which an attempt is counted.

    Attributes:
        service: the service of the upstream.
        version: the version of the upstream; empty if unknown.
        route: the name of the request's route, or of a group of similar routes (`RoutingTable.sample_name`).
        upstream: the upstream's id.
    """

    service: str
    version: str
    route: str
    upstream: str


@dataclass(slots=True)
class _Observed:
    """A running roll-out and its report. `revision` is the number of the report's last change."""

    target_version: str
    report: RolloutReport
    revision: int


class _Counters(NamedTuple):
    track: TrackSamples
    route: RouteSamples


class RolloutSamples:
    """Owns the reports of the running roll-outs, by service, and the counts of attempts in flight."""

    def __init__(self) -> None:
        """Start without roll-outs and without attempts in flight."""
        self._in_flight: dict[tuple[str, str], int] = {}  # by service and version; zero counts are removed
        self._observed: dict[str, _Observed] = {}
        self._revision = 0  # increases with every change of any report

    def set_rollouts(self, rollouts: Mapping[str, Rollout]) -> None:
        """Apply the roll-outs of a new configuration. Only running roll-outs are reported."""
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
        """Count an attempt as in flight: an upstream was selected. `on_attempt_ended` must follow."""
        self._add_in_flight(key, 1)

    def on_attempt_ended(self, key: SampleKey) -> None:
        """Count an attempt as ended, whatever its outcome."""
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
        """Whether the service has a running roll-out, so that its answers are counted."""
        return service in self._observed

    def record_first_byte(self, key: SampleKey, duration_ms: float) -> None:
        """Record the time from sending the request to the first byte of the answer's body."""
        counters = self._counters_to_change(key)
        if counters is not None:
            _add_duration(counters.route.first_byte, duration_ms)

    def record_pace(self, key: SampleKey, duration_ms: float) -> None:
        """Record the mean time between a stream's events; for other answers, the time from the request to their end."""
        counters = self._counters_to_change(key)
        if counters is not None:
            _add_duration(counters.route.pace, duration_ms)

    def record_verdict(self, key: SampleKey, verdict: AnswerVerdict) -> None:
        """Record the verdict on an attempt that was sent and has ended."""
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
        """Return the counters for a sample and mark the report as changed; None without a running roll-out."""
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
        """Return the reports that have changed after `revision`, by service; all reports if `revision` is 0."""
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
        """The number of the last change of any report."""
        return self._revision


def _route_samples(report: RolloutReport, track: TrackSamples, route: str) -> RouteSamples:
    """Return the samples of a route on a track. Routes in excess of `MAX_ROUTES` are counted together."""
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
