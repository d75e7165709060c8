"""Aggregates the reports of many routers on one service's roll-out.

Reports are cumulative, so lost, repeated and late reports do no harm. In addition to the sums since the order, sums
over later windows are kept: a version that turns bad late stands out in a window that begins late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from larkweir_rollouts.samples import (
    MAX_ROUTES,
    OTHER_ROUTES,
    RolloutReport,
    RouteSamples,
    TrackSamples,
    add_route,
)

FIRST_WINDOW_ANSWERS = 20  # answers from the target until the second window begins
WINDOW_GROWTH = 1.25  # growth of the number of answers between the starts of consecutive windows
MAX_LATER_WINDOWS = 8  # windows after the first; the latest ones are kept

Key = TypeVar("Key")
FailuresByRouter = dict[str, int]
_EMPTY_REPORT = RolloutReport("")
_EMPTY_ROUTE = RouteSamples()


@dataclass(frozen=True, slots=True)
class Window:
    """Everything that was reported since the window began.

    Attributes:
        index: 0 for the window that begins at the order; later windows are numbered by their start.
        totals: sums over all routers.
        target_failures: failures at the target version by router.
        others_failures: failures at the other upstreams by router.
        router_count: number of routers that have reported.
    """

    index: int
    totals: RolloutReport
    target_failures: FailuresByRouter
    others_failures: FailuresByRouter
    router_count: int


@dataclass(slots=True)
class _Sums:
    """Sums over routers. Failure counts of 0 are not stored."""

    totals: RolloutReport
    target_failures: FailuresByRouter = field(default_factory=dict)
    others_failures: FailuresByRouter = field(default_factory=dict)

    def replace(self, router: str, known: RolloutReport, report: RolloutReport) -> None:
        """Replace a router's report `known` by `report`. The cost depends only on the routes that have changed."""
        _replace_track(self.totals.target, known.target, report.target)
        _replace_track(self.totals.others, known.others, report.others)
        _add(self.target_failures, router, count_failures(report.target) - count_failures(known.target))
        _add(self.others_failures, router, count_failures(report.others) - count_failures(known.others))

    def since(self, begin: _Sums) -> _Sums:
        """Return the difference to the earlier sums `begin`, as a copy that shares no data with either."""
        target = _track_since(self.totals.target, begin.totals.target)
        others = _track_since(self.totals.others, begin.totals.others)
        return _Sums(
            RolloutReport(self.totals.order_id, target, others),
            _counts_since(self.target_failures, begin.target_failures),
            _counts_since(self.others_failures, begin.others_failures),
        )


_ZERO_SUMS = _Sums(RolloutReport(""))


class PooledSamples:
    """The aggregated reports of all routers on the running roll-out of one service."""

    def __init__(self, order_id: str = "") -> None:
        """Create a pool for an order."""
        self._reset(order_id)

    @property
    def order_id(self) -> str:
        """The order whose reports are aggregated."""
        return self._sums.totals.order_id

    @property
    def router_count(self) -> int:
        """Number of routers that have reported. A router that was restarted counts once."""
        return len(self._routers)

    def begin(self, order_id: str) -> None:
        """Accept reports on this order from now on, and discard those on any other order."""
        if order_id != self.order_id:
            self._reset(order_id)

    def record(self, incarnation: str, report: RolloutReport) -> None:
        """Replace the previous report of a router's incarnation (`NAME/...`).

        Reports on another order, and reports older than the previous one, are ignored.
        """
        if report.order_id != self.order_id:
            return
        known = self._reports.get(incarnation, _EMPTY_REPORT)
        if _count_all_answers(report) < _count_all_answers(known):
            return
        report = RolloutReport(
            report.order_id,
            self._merge_excess_routes(report.target),
            self._merge_excess_routes(report.others),
        )
        self._reports[incarnation] = report
        self._routers.add(_router_of(incarnation))
        self._sums.replace(_router_of(incarnation), known, report)
        self._begin_window_if_due()

    def _merge_excess_routes(self, track: TrackSamples) -> TrackSamples:
        """Return the track with all routes beyond the first `MAX_ROUTES` counted together as `OTHER_ROUTES`."""
        unknown = [name for name in track.routes if name not in self._route_names]
        self._route_names.update(unknown[: MAX_ROUTES - len(self._route_names)])
        if track.routes.keys() <= self._route_names:
            return track
        routes: dict[str, RouteSamples] = {}
        for name, samples in track.routes.items():
            counted_name = name if name in self._route_names else OTHER_ROUTES
            add_route(routes.setdefault(counted_name, RouteSamples()), samples)
        return msgspec.structs.replace(track, routes=routes)

    def disconnected(self, incarnation: str) -> None:
        """Count no requests of this incarnation as in flight until it reports again. Its other counts are kept."""
        known = self._reports.get(incarnation)
        if known is None:
            return
        self._sums.totals.target.in_flight -= known.target.in_flight
        self._sums.totals.others.in_flight -= known.others.in_flight
        target = msgspec.structs.replace(known.target, in_flight=0)
        others = msgspec.structs.replace(known.others, in_flight=0)
        self._reports[incarnation] = RolloutReport(known.order_id, target, others)

    def totals(self) -> RolloutReport:
        """Return the sums since the order."""
        return self._sums.since(_ZERO_SUMS).totals

    def windows(self) -> list[Window]:
        """Return the window since the order, followed by the later windows."""
        router_count, windows = self.router_count, []
        for index, begin in [(0, _ZERO_SUMS), *self._begins]:
            sums = self._sums.since(begin)
            window = Window(index, sums.totals, sums.target_failures, sums.others_failures, router_count)
            windows.append(window)
        return windows

    def _reset(self, order_id: str) -> None:
        self._sums = _Sums(RolloutReport(order_id))
        self._reports: dict[str, RolloutReport] = {}  # by incarnation
        self._routers: set[str] = set()
        # Never shrinks, so that a route is always counted under the same name.
        self._route_names = {OTHER_ROUTES}
        self._begins: list[tuple[int, _Sums]] = []  # index of a later window, and the sums when it began
        self._next_window_answers = FIRST_WINDOW_ANSWERS

    def _begin_window_if_due(self) -> None:
        """Begin a window if enough answers have arrived since the last one began. Time plays no role."""
        answers = count_answers(self._sums.totals.target)
        if answers < self._next_window_answers:
            return
        index = self._begins[-1][0] + 1 if self._begins else 1
        self._begins = [*self._begins, (index, self._sums.since(_ZERO_SUMS))][-MAX_LATER_WINDOWS:]
        self._next_window_answers = round(answers * WINDOW_GROWTH) + FIRST_WINDOW_ANSWERS


def count_answers(track: TrackSamples) -> int:
    """Count the answers of a track, including failed ones."""
    return sum(route.answered + route.failed for route in track.routes.values())


def count_failures(track: TrackSamples) -> int:
    """Count the failed answers of a track."""
    return sum(route.failed for route in track.routes.values())


def _count_all_answers(report: RolloutReport) -> int:
    return count_answers(report.target) + count_answers(report.others)


def _router_of(incarnation: str) -> str:
    return incarnation.rpartition("/")[0] or incarnation


def _replace_track(into: TrackSamples, known: TrackSamples, track: TrackSamples) -> None:
    into.in_flight += track.in_flight - known.in_flight
    for name in known.routes.keys() | track.routes.keys():
        before, after = known.routes.get(name, _EMPTY_ROUTE), track.routes.get(name, _EMPTY_ROUTE)
        if before != after:
            sums = into.routes.setdefault(name, RouteSamples())
            sums.answered += after.answered - before.answered
            sums.failed += after.failed - before.failed
            _replace_counts(sums.first_byte, before.first_byte, after.first_byte)
            _replace_counts(sums.pace, before.pace, after.pace)
    _replace_counts(into.failures_by_upstream, known.failures_by_upstream, track.failures_by_upstream)


def _replace_counts(into: dict[Key, int], before: dict[Key, int], after: dict[Key, int]) -> None:
    for key in before.keys() - after.keys():
        _add(into, key, -before[key])
    for key, count in after.items():
        if change := count - before.get(key, 0):
            _add(into, key, change)


def _add(into: dict[Key, int], key: Key, change: int) -> None:
    changed = into.get(key, 0) + change
    if changed:
        into[key] = changed
    else:
        into.pop(key, None)


def _track_since(track: TrackSamples, begin: TrackSamples) -> TrackSamples:
    """Return the counts added since `begin`. The number of requests in flight is the current one."""
    routes = {}
    for name, route in track.routes.items():
        before = begin.routes.get(name, _EMPTY_ROUTE)
        routes[name] = RouteSamples(
            route.answered - before.answered,
            route.failed - before.failed,
            _counts_since(route.first_byte, before.first_byte),
            _counts_since(route.pace, before.pace),
        )
    failures = _counts_since(track.failures_by_upstream, begin.failures_by_upstream)
    return TrackSamples(track.in_flight, routes, failures)


def _counts_since(counts: dict[Key, int], begin: dict[Key, int]) -> dict[Key, int]:
    return {key: left for key, count in counts.items() if (left := count - begin.get(key, 0))}
