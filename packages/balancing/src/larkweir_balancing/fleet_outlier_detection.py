"""Outlier ejection by the fleet: which upstreams are left out for a while, by the outcomes that all routers report.

One router sends an upstream a few requests a minute; all routers together see within a second or two that it fails.
Each router reports the recent outcomes at failing upstreams, and a controller adds them up. An upstream with enough
failures, both in number and as a fraction of its requests, is ejected, for longer each time. At most a fraction of the
upstreams of a service is ejected; if more fail, none of them is, because the cause is then the load or the network.
After an ejection an upstream is on probation: fewer failures eject it again. Pure logic.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

WINDOW_MS = 2_000.0  # older outcomes no longer count
MIN_FAILURES = 3  # with fewer, an upstream is not ejected
MIN_FAILURES_ON_PROBATION = 2
MIN_FAILURE_FRACTION = 0.25  # of its requests; a lossy network fails some at every upstream
MAX_EJECTED_FRACTION = 0.3  # of the upstreams of a service: the others must bear its load
FIRST_EJECTION_MS = 2_000.0  # not under WINDOW_MS: the failures that it was ejected for must not count again
MAX_EJECTION_MS = 12_000.0
PROBATION_MS = 3_000.0
BACKOFF_RESET_MS = 30_000.0  # so long after an ejection, the next one is as short as the first


class OutcomeCounts(NamedTuple):
    """How many requests succeeded and failed at an upstream within the window."""

    succeeded: int
    failed: int


class OutcomeWindow:
    """The recent outcomes at one router, by upstream. Times are monotonic, in milliseconds."""

    def __init__(self) -> None:
        """Start without outcomes."""
        # By upstream: (time, failed) of each request.
        self._outcomes: dict[str, deque[tuple[float, bool]]] = {}
        self._last_failures_ms: dict[str, float] = {}  # by upstream where a request failed within the window

    def record(self, upstream: str, now_ms: float, *, failed: bool) -> None:
        """A request there has ended."""
        outcomes = self._outcomes.get(upstream)
        if outcomes is None:
            self._drop_idle_upstreams(now_ms)
            outcomes = self._outcomes[upstream] = deque()
        _drop_expired(outcomes, now_ms)
        outcomes.append((now_ms, failed))
        if failed:
            self._last_failures_ms[upstream] = now_ms

    def failing_upstreams(self, now_ms: float) -> dict[str, OutcomeCounts]:
        """The counts of the upstreams where a request failed within the window. Costs nothing for the others."""
        found: dict[str, OutcomeCounts] = {}
        for upstream, failed_ms in list(self._last_failures_ms.items()):
            if failed_ms <= now_ms - WINDOW_MS:
                del self._last_failures_ms[upstream]
                continue
            outcomes = self._outcomes[upstream]
            _drop_expired(outcomes, now_ms)
            failures = sum(failed for _, failed in outcomes)
            found[upstream] = OutcomeCounts(len(outcomes) - failures, failures)
        return found

    def _drop_idle_upstreams(self, now_ms: float) -> None:
        """Forget upstreams without a request within the window, so that replaced upstreams do not accumulate."""
        idle = [name for name, outcomes in self._outcomes.items() if outcomes[-1][0] <= now_ms - WINDOW_MS]
        for upstream in idle:
            del self._outcomes[upstream]
            self._last_failures_ms.pop(upstream, None)


def _drop_expired(outcomes: deque[tuple[float, bool]], now_ms: float) -> None:
    while outcomes and outcomes[0][0] <= now_ms - WINDOW_MS:
        outcomes.popleft()


def sum_outcomes(reports: Iterable[Mapping[str, tuple[int, int]]]) -> dict[str, OutcomeCounts]:
    """Add up the reports of several routers by upstream; each report maps an upstream to (succeeded, failed)."""
    total: dict[str, OutcomeCounts] = {}
    for counts in reports:
        for upstream, (succeeded, failed) in counts.items():
            before = total.get(upstream, OutcomeCounts(0, 0))
            total[upstream] = OutcomeCounts(before.succeeded + succeeded, before.failed + failed)
    return total


@dataclass(slots=True)
class _EjectionRecord:
    """The ejections of one upstream."""

    count: int = 0
    until_ms: float = 0.0


class FleetOutlierDetector:
    """Decides which upstreams one controller ejects. Times are monotonic, in milliseconds."""

    def __init__(self) -> None:
        """Start without ejected upstreams."""
        self._records: dict[str, _EjectionRecord] = {}
        self.ejected: frozenset[str] = frozenset()

    def evaluate(
        self, services: Iterable[Sequence[str]], outcomes: Mapping[str, OutcomeCounts], now_ms: float
    ) -> bool:
        """Eject upstreams and restore them; returns whether `ejected` has changed.

        `services`: the ready upstreams of each service. `outcomes`: the sums over the whole fleet.
        """
        if not outcomes and not self._records:
            return False
        ejected: set[str] = set()
        for upstreams in services:
            out = {id_ for id_ in upstreams if self._is_ejected(id_, now_ms)}
            allowed = int(MAX_EJECTED_FRACTION * len(upstreams)) - len(out)
            failing = [id_ for id_ in upstreams if id_ not in out and self._is_failing(id_, outcomes, now_ms)]
            # If more fail, the cause is the load or the network, and the remaining ones could not take over the load.
            if len(failing) <= allowed:
                for id_ in failing:
                    self._eject(id_, now_ms)
                out.update(failing)
            ejected |= out
        changed = self.ejected != ejected
        self.ejected = frozenset(ejected)
        self._records = {
            id_: record
            for id_, record in self._records.items()
            if now_ms < record.until_ms + BACKOFF_RESET_MS
        }
        return changed

    def _is_ejected(self, upstream: str, now_ms: float) -> bool:
        record = self._records.get(upstream)
        return record is not None and now_ms < record.until_ms

    def _is_failing(self, upstream: str, outcomes: Mapping[str, OutcomeCounts], now_ms: float) -> bool:
        counts = outcomes.get(upstream)
        if counts is None:
            return False
        record = self._records.get(upstream)
        on_probation = record is not None and now_ms < record.until_ms + PROBATION_MS
        min_failures = MIN_FAILURES_ON_PROBATION if on_probation else MIN_FAILURES
        if counts.failed < min_failures:
            return False
        return counts.failed >= MIN_FAILURE_FRACTION * (counts.succeeded + counts.failed)

    def _eject(self, upstream: str, now_ms: float) -> None:
        record = self._records.setdefault(upstream, _EjectionRecord())
        record.until_ms = now_ms + min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2.0**record.count)
        record.count += 1
