"""Joins what many routers report of one service's roll-out.

Reports are cumulative, so one that is lost, repeated or late does no harm. Beside the sums since the order, sums since
some later moments are kept: a version that turns bad late stands out in a sum that begins late.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples

FIRST_WINDOW_ANSWERS = 20  # at the target, until the second window begins
WINDOW_GROWTH = 1.25  # of the answers between the beginnings of neighbouring windows
MAX_LATER_WINDOWS = 8  # the latest ones are kept

Key = TypeVar("Key")
FailuresByRouter = dict[str, int]


@dataclass(frozen=True, slots=True)
class Window:
    """Everything that was reported since some moment.

    Attributes:
        index: 0 for the window that begins at the order, then in order of beginning.
        totals: sums over the routers.
        target_failures: at the target version, by router.
        others_failures: at the other upstreams, by router.
        router_count: how many routers have reported.
    """

    index: int
    totals: RolloutReport
    target_failures: FailuresByRouter
    others_failures: FailuresByRouter
    router_count: int


@dataclass(slots=True)
class _Sums:
    """Sums over routers; only what is not 0 is held."""

    totals: RolloutReport
    target_failures: FailuresByRouter = field(default_factory=dict)
    others_failures: FailuresByRouter = field(default_factory=dict)

    def add(self, router: str, report: RolloutReport, sign: int = 1) -> None:
        """Add a router's report, or take it away with `sign` -1."""
        _add_track(self.totals.target, report.target, sign)
        _add_track(self.totals.others, report.others, sign)
        _add_counts(self.target_failures, {router: failed(report.target)}, sign)
        _add_counts(self.others_failures, {router: failed(report.others)}, sign)

    def copy(self) -> _Sums:
        """Return a copy that shares nothing with this one."""
        copied = _Sums(RolloutReport(self.totals.order_id))
        copied.add_sums(self)
        return copied

    def add_sums(self, other: _Sums, sign: int = 1) -> None:
        """Add another one's sums, or take them away with `sign` -1."""
        _add_track(self.totals.target, other.totals.target, sign)
        _add_track(self.totals.others, other.totals.others, sign)
        _add_counts(self.target_failures, other.target_failures, sign)
        _add_counts(self.others_failures, other.others_failures, sign)


class PooledSamples:
    """The reports of all routers on the running roll-out of one service."""

    def __init__(self, order_id: str = "") -> None:
        """Create a pool for an order."""
        self._forget_all(order_id)

    @property
    def order_id(self) -> str:
        """Of the order whose reports are joined."""
        return self._sums.totals.order_id

    @property
    def router_count(self) -> int:
        """How many routers have reported; one that started anew counts once."""
        return len({_router_of(incarnation) for incarnation in self._reports})

    def begin(self, order_id: str) -> None:
        """Join reports of this order from now on, and forget those of others."""
        if order_id != self.order_id:
            self._forget_all(order_id)

    def record(self, incarnation: str, report: RolloutReport) -> None:
        """Replace what an incarnation of a router (`NAME/...`) has reported.

        A report of another order, or one that is older than the known one, is ignored.
        """
        if report.order_id != self.order_id:
            return
        known = self._reports.get(incarnation)
        if known is not None:
            if _total(report) < _total(known):
                return
            self._sums.add(_router_of(incarnation), known, -1)
        self._reports[incarnation] = report
        self._sums.add(_router_of(incarnation), report)
        self._begin_window()

    def disconnected(self, incarnation: str) -> None:
        """Count none of this incarnation's requests as under way, until it reports again. Its counts stay."""
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
        return self._sums.copy().totals

    def windows(self) -> list[Window]:
        """Return the sums since the order, and since some moments after it."""
        begins = [(0, _Sums(RolloutReport(self.order_id))), *self._later]
        return [self._window(index, begin) for index, begin in begins]

    def _forget_all(self, order_id: str) -> None:
        self._sums = _Sums(RolloutReport(order_id))
        self._reports: dict[str, RolloutReport] = {}  # by incarnation
        self._later: list[tuple[int, _Sums]] = []  # index of a window, and the sums where it began
        self._next_begin = FIRST_WINDOW_ANSWERS

    def _window(self, index: int, begin: _Sums) -> Window:
        sums = self._sums.copy()
        sums.add_sums(begin, -1)
        return Window(index, sums.totals, sums.target_failures, sums.others_failures, self.router_count)

    def _begin_window(self) -> None:
        """Begin a window where enough answers have come since the last one began; the counts alone decide."""
        answers = answered(self._sums.totals.target)
        if answers < self._next_begin:
            return
        index = self._later[-1][0] + 1 if self._later else 1
        self._later = [*self._later, (index, self._sums.copy())][-MAX_LATER_WINDOWS:]
        self._next_begin = round(answers * WINDOW_GROWTH) + FIRST_WINDOW_ANSWERS


def answered(track: TrackSamples) -> int:
    """Count the answers at a track, failed ones too."""
    return sum(route.answered + route.failed for route in track.routes.values())


def failed(track: TrackSamples) -> int:
    """Count the failed answers at a track."""
    return sum(route.failed for route in track.routes.values())


def _total(report: RolloutReport) -> int:
    return answered(report.target) + answered(report.others)


def _router_of(incarnation: str) -> str:
    return incarnation.rpartition("/")[0] or incarnation


def _add_track(into: TrackSamples, track: TrackSamples, sign: int) -> None:
    into.in_flight += sign * track.in_flight
    for name, route in track.routes.items():
        sums = into.routes.setdefault(name, RouteSamples())
        sums.answered += sign * route.answered
        sums.failed += sign * route.failed
        _add_counts(sums.first_byte, route.first_byte, sign)
        _add_counts(sums.pace, route.pace, sign)
    _add_counts(into.failures_by_upstream, track.failures_by_upstream, sign)


def _add_counts(into: dict[Key, int], counts: dict[Key, int], sign: int) -> None:
    for key, count in counts.items():
        changed = into.get(key, 0) + sign * count
        if changed:
            into[key] = changed
        else:
            into.pop(key, None)
