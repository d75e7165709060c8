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
BAD_LEAST = 3  # endings, from which an upstream is judged
BAD_LEAST_ON_PROBATION = 2
BAD_PART = 0.25  # of its calls; a lossy network spoils some at every upstream
EJECTED_PART = 0.3  # of the upstreams of a service, at the most: the others must bear its load
FIRST_MS = 2_000.0  # not under WINDOW_MS: what it was ejected for must not count again
LONGEST_MS = 12_000.0
PROBATION_MS = 3_000.0
FORGIVEN_MS = 30_000.0  # without an ejection, after which the next one is short again


class Endings(NamedTuple):
    """How many calls at an upstream have ended well, and badly, within the window."""

    good: int
    bad: int


class EndingCounts:
    """How calls of one router have ended lately. In calm times there is nothing to tell."""

    def __init__(self) -> None:
        """No call has ended yet."""
        self._ended: dict[str, deque[tuple[float, bool]]] = {}  # by upstream: when, and whether badly

    def ended(self, upstream: str, now_ms: float, *, bad: bool) -> None:
        """One call has."""
        self._ended.setdefault(upstream, deque()).append((now_ms, bad))

    def told(self, now_ms: float) -> dict[str, Endings]:
        """Of the upstreams where calls ended badly within the window."""
        found: dict[str, Endings] = {}
        for upstream, ended in list(self._ended.items()):
            while ended and ended[0][0] <= now_ms - WINDOW_MS:
                ended.popleft()
            if not ended:
                del self._ended[upstream]
                continue
            bad = sum(is_bad for _, is_bad in ended)
            if bad:
                found[upstream] = Endings(len(ended) - bad, bad)
        return found


def summed(told: Iterable[Mapping[str, Endings]]) -> dict[str, Endings]:
    """What several routers tell, together."""
    total: dict[str, Endings] = {}
    for counts in told:
        for upstream, (good, bad) in counts.items():
            before = total.get(upstream, Endings(0, 0))
            total[upstream] = Endings(before.good + good, before.bad + bad)
    return total


@dataclass(slots=True)
class _Record:
    """The ejections of one upstream."""

    count: int = 0
    until_ms: float = 0.0


class Ejections:
    """The judgement of one observer. Times are milliseconds that only rise."""

    def __init__(self) -> None:
        """Nothing is known of any upstream."""
        self._records: dict[str, _Record] = {}
        self.ejected: frozenset[str] = frozenset()

    def judge(self, services: Iterable[Sequence[str]], endings: Mapping[str, Endings], now_ms: float) -> bool:
        """Ejects upstreams and takes them back; whether anything has changed.

        `services`: the ready upstreams of each. `endings`: of the whole fleet.
        """
        if not endings and not self._records:
            return False
        ejected: set[str] = set()
        for upstreams in services:
            out = {id_ for id_ in upstreams if self._is_out(id_, now_ms)}
            room = int(EJECTED_PART * len(upstreams)) - len(out)
            suspects = [id_ for id_ in upstreams if id_ not in out and self._is_bad(id_, endings, now_ms)]
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
            id_: record for id_, record in self._records.items() if now_ms < record.until_ms + FORGIVEN_MS
        }
        return changed

    def _is_out(self, upstream: str, now_ms: float) -> bool:
        record = self._records.get(upstream)
        return record is not None and now_ms < record.until_ms

    def _is_bad(self, upstream: str, endings: Mapping[str, Endings], now_ms: float) -> bool:
        counted = endings.get(upstream)
        if counted is None:
            return False
        record = self._records.get(upstream)
        on_probation = record is not None and now_ms < record.until_ms + PROBATION_MS
        least = BAD_LEAST_ON_PROBATION if on_probation else BAD_LEAST
        return counted.bad >= least and counted.bad >= BAD_PART * (counted.good + counted.bad)

    def _eject(self, upstream: str, now_ms: float) -> None:
        record = self._records.setdefault(upstream, _Record())
        record.until_ms = now_ms + min(LONGEST_MS, FIRST_MS * 2.0**record.count)
        record.count += 1
