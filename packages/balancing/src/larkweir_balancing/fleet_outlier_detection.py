"""Rules: which upstreams are left out for a while, by how calls there have ended in the whole fleet (outlier ejection).

One router sees an upstream a few times a minute; all of them together see within a second or two that it fails. Each
tells how its calls at failing upstreams have ended lately, and that is summed up. An upstream with enough bad endings,
and enough of all that it was asked, is ejected: for longer each time, and never more than a part of its service: where
more than that fail, none is, as it is the load then or the network that makes them fail. What comes back is on
probation: less evidence ejects it again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

WINDOW_MS = 2_000.0  # evidence that is older counts no longer
MIN_FAILURES = 3  # endings, from which an upstream is judged
MIN_FAILURES_ON_PROBATION = 2
MIN_FAILURE_FRACTION = 0.25  # of its calls; a lossy network spoils some at every upstream
MAX_EJECTED_FRACTION = 0.3  # of the upstreams of a service, at the most: the others must bear its load
FIRST_EJECTION_MS = 2_000.0  # not under WINDOW_MS: what it was ejected for must not count again
MAX_EJECTION_MS = 12_000.0
PROBATION_MS = 3_000.0
BACKOFF_RESET_MS = 30_000.0  # without an ejection, after which the next one is short again


class OutcomeCounts(NamedTuple):
    """How many calls at an upstream have ended well, and badly, within the window."""

    succeeded: int
    failed: int


class OutcomeWindow:
    """How calls of one router have ended lately. In calm times there is nothing to tell."""

    def __init__(self) -> None:
        """No call has ended yet."""
        self._outcomes: dict[str, deque[tuple[float, bool]]] = {}  # by upstream: when, and whether badly

    def record(self, upstream: str, now_ms: float, *, failed: bool) -> None:
        """One call has."""
        self._outcomes.setdefault(upstream, deque()).append((now_ms, failed))

    def failing_upstreams(self, now_ms: float) -> dict[str, OutcomeCounts]:
        """Of the upstreams where calls ended badly within the window."""
        found: dict[str, OutcomeCounts] = {}
        for upstream, ended in list(self._outcomes.items()):
            while ended and ended[0][0] <= now_ms - WINDOW_MS:
                ended.popleft()
            if not ended:
                del self._outcomes[upstream]
                continue
            bad = sum(is_bad for _, is_bad in ended)
            if bad:
                found[upstream] = OutcomeCounts(len(ended) - bad, bad)
        return found


def sum_outcomes(reports: Iterable[Mapping[str, OutcomeCounts]]) -> dict[str, OutcomeCounts]:
    """What several routers tell, together."""
    total: dict[str, OutcomeCounts] = {}
    for counts in reports:
        for upstream, (good, bad) in counts.items():
            before = total.get(upstream, OutcomeCounts(0, 0))
            total[upstream] = OutcomeCounts(before.succeeded + good, before.failed + bad)
    return total


@dataclass(slots=True)
class _EjectionRecord:
    """The ejections of one upstream."""

    count: int = 0
    until_ms: float = 0.0


class FleetOutlierDetector:
    """The judgement of one observer. Times are milliseconds that only rise."""

    def __init__(self) -> None:
        """Nothing is known of any upstream."""
        self._records: dict[str, _EjectionRecord] = {}
        self.ejected: frozenset[str] = frozenset()

    def evaluate(
        self, services: Iterable[Sequence[str]], outcomes: Mapping[str, OutcomeCounts], now_ms: float
    ) -> bool:
        """Ejects upstreams and takes them back; whether anything has changed.

        `services`: the ready upstreams of each. `endings`: of the whole fleet.
        """
        if not outcomes and not self._records:
            return False
        ejected: set[str] = set()
        for upstreams in services:
            out = {id_ for id_ in upstreams if self._is_ejected(id_, now_ms)}
            room = int(MAX_EJECTED_FRACTION * len(upstreams)) - len(out)
            suspects = [
                id_ for id_ in upstreams if id_ not in out and self._is_failing(id_, outcomes, now_ms)
            ]
            if (
                len(suspects) <= room
            ):  # where more fail, it is the load or the network, and the others can't bear it
                for id_ in suspects:
                    self._eject(id_, now_ms)
                out.update(suspects)
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
        counted = outcomes.get(upstream)
        if counted is None:
            return False
        record = self._records.get(upstream)
        on_probation = record is not None and now_ms < record.until_ms + PROBATION_MS
        least = MIN_FAILURES_ON_PROBATION if on_probation else MIN_FAILURES
        return counted.failed >= least and counted.failed >= MIN_FAILURE_FRACTION * (
            counted.succeeded + counted.failed
        )

    def _eject(self, upstream: str, now_ms: float) -> None:
        record = self._records.setdefault(upstream, _EjectionRecord())
        record.until_ms = now_ms + min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2.0**record.count)
        record.count += 1
