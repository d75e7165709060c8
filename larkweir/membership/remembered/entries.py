"""The upstreams of a restored list: which are in use, the confidence in each, which is to be probed, and what becomes
of them when discovery answers. Pure logic: it reads no clock and sends nothing. Upstreams are named by their
instance ids.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from larkweir_balancing.interface import Outcome
from larkweir_balancing.restored_trust import MIN_CONFIDENCE, ObservedEvidence, RestoredTrust

from larkweir.membership.remembered.evidence import (
    NEVER_SEEN,
    Churn,
    Evidence,
    EvidenceKind,
    Source,
    after_failure,
    confidence,
)
from larkweir.membership.remembered.identity import UpstreamIdentity
from larkweir.membership.remembered.plan import opened, order

PROBE_RETRY_MS = 250.0  # after one that failed, and twice as long after each further one
MIN_PROBE_PAUSE_MS = 50.0  # after one that has answered and left something open
MAX_ANONYMOUS_ANSWERS = 4  # after which no probe is sent to learn which upstream it is
REVIEW_INTERVAL_MS = 10_000.0  # from review to review of all confidence
RECOVERY_FACTOR = 2.0  # of what refusals have left, from review to review
MIN_LISTED_SHARE = 0.5  # of what answers here: a first list that names less is not believed at once
MIN_CONFIDENCE_CHANGE = 0.02  # that is reported to the decisions


class Place(NamedTuple):
    """Where an upstream is, as restored or as its answers say."""

    zone: str
    cell: int


@dataclass(slots=True)
class Entry:
    """One upstream that was brought into use."""

    name: str
    place: Place
    evidence: Evidence
    confidence_by_age: float = 0.0  # as of the last review
    failure_factor: float = 1.0  # what refusals and failures have left of it
    seen: ObservedEvidence = ObservedEvidence.NOTHING
    is_identified: bool = False  # an answer has confirmed its instance id
    is_place_reported: bool = False  # an answer has reported its place
    is_other_instance: bool = False  # an answer has shown that another instance is at its address
    is_probing: bool = False  # a probe is in flight
    failed: int = 0  # probes in a row
    anonymous_answers: int = 0  # answers without an instance id
    due_ms: float = 0.0  # when its next probe is due; 0: none is
    announced: RestoredTrust | None = None  # what was last reported to the decisions

    @property
    def confidence(self) -> float:
        """0 to 1."""
        return 1.0 if self.seen is ObservedEvidence.ANSWER else self.confidence_by_age * self.failure_factor

    @property
    def is_lost(self) -> bool:
        """Whether it is not used, for now."""
        return self.is_other_instance or self.confidence < MIN_CONFIDENCE


class Change(NamedTuple):
    """What is to be reported to the decisions of one upstream."""

    name: str
    trust: RestoredTrust | None  # None: it is not used any more
    place: Place


class Counts(NamedTuple):
    """How many upstreams are in which state."""

    listed: int
    in_use: int
    answered: int
    lost: int
    distrusted: int  # not used for want of confidence


@dataclass(slots=True)
class RestoredEntries:
    """The upstreams of one restored list, at balancer `me` of `balancer_count`. `can_probe`: the settings allow probes.
    `identifies`: upstreams report their instance ids in answers.
    """

    me: int
    balancer_count: int
    can_probe: bool
    identifies: bool
    churn: Churn = NEVER_SEEN
    source: Source = Source.STORED
    is_uncertain: bool = False  # how the clocks of the two processes relate
    entries: dict[str, Entry] = field(default_factory=dict)  # those in use, or that were
    _rows: Mapping[str, tuple[Place, Evidence]] = field(default_factory=dict)  # of the whole list
    _order: list[str] = field(default_factory=list)
    _distrusted: int = 0
    _next: int = 0  # in the order
    _due: list[tuple[float, str]] = field(default_factory=list)  # probes, a heap
    _answered: set[str] = field(default_factory=set)  # of those in use
    _lost: set[str] = field(default_factory=set)  # of those that were brought into use
    _open: int = 0
    _reviewed: int = 0  # of those in use, in this review

    # ------------------------------------------------ the start

    def load(self, rows: Mapping[str, tuple[Place, Evidence]], now_ms: float) -> list[Change]:
        """The restored list; returns what is used of it from the first moment on."""
        self._rows = rows
        self._order = order(rows, self.me, self.balancer_count)
        return self._open_more(now_ms)

    def _open_more(self, now_ms: float) -> list[Change]:
        """Bring the next ones into use, as far as those before them were answered for or lost."""
        found = []
        while self._next < len(self._order) and self._open < opened(
            len(self._order), len(self._answered), len(self._lost)
        ):
            name = self._order[self._next]
            self._next += 1
            place, evidence = self._rows[name]
            entry = Entry(name, place, evidence)
            entry.confidence_by_age = self._confidence_by_age(entry, now_ms)
            if entry.confidence_by_age < MIN_CONFIDENCE:
                self._distrusted += 1
                continue
            self.entries[name] = entry
            self._open += 1
            if self._wants_probe(entry):
                self._schedule_probe(entry, now_ms)
            self._classify(entry)
            found.append(self._announce(entry))
        return found

    def _wants_probe(self, entry: Entry) -> bool:
        """Whether a probe could show something that is not known yet."""
        if not self.can_probe or entry.is_other_instance:
            return False
        return (
            entry.is_lost
            or entry.seen is ObservedEvidence.NOTHING
            or (
                self.identifies
                and not entry.is_identified
                and entry.anonymous_answers < MAX_ANONYMOUS_ANSWERS
            )
        )

    def _announce(self, entry: Entry) -> Change:
        entry.announced = None
        if not entry.is_lost:
            entry.announced = RestoredTrust(
                entry.confidence,
                entry.seen,
                entry.is_identified,
                entry.is_place_reported,
                self._wants_probe(entry),
            )
        return Change(entry.name, entry.announced, entry.place)

    def _classify(self, entry: Entry) -> None:
        lost = entry.is_lost
        (self._lost.add if lost else self._lost.discard)(entry.name)
        (
            self._answered.add
            if not lost and entry.seen is not ObservedEvidence.NOTHING
            else self._answered.discard
        )(entry.name)

    def _changes_of(self, entry: Entry) -> list[Change]:
        """What is to be reported of it; nothing where its confidence has changed by little."""
        self._classify(entry)
        before = entry.announced
        change = self._announce(entry)
        after = change.trust
        if before is None or after is None:
            return [] if before is after else [change]
        if (
            before._replace(confidence=0.0) == after._replace(confidence=0.0)
            and abs(before.confidence - after.confidence) < MIN_CONFIDENCE_CHANGE
        ):
            entry.announced = before
            return []
        return [change]

    # ------------------------------------------------ probes and answers

    def due_probes(self, now_ms: float, max_count: int) -> list[str]:
        """Upstreams to be probed now; each counts as being probed until `on_ended` is called for it."""
        found: list[str] = []
        while self._due and self._due[0][0] <= now_ms and len(found) < max_count:
            at, name = heappop(self._due)
            entry = self.entries[name]
            if entry.due_ms != at:
                continue
            entry.due_ms = 0.0
            if not entry.is_probing and self._wants_probe(entry):
                entry.is_probing = True
                found.append(name)
        return found

    def next_probe_ms(self) -> float:
        """When the next probe is due; infinite if none is."""
        return self._due[0][0] if self._due else inf

    def on_ended(
        self, name: str, probe: bool, outcome: Outcome, identity: UpstreamIdentity | None, now_ms: float
    ) -> tuple[bool, list[Change]]:
        """A request or a probe has ended. Returns whether its answer may count, which another instance's does not, and
        what is to be reported to the decisions.
        """
        entry = self.entries.get(name)
        if entry is None:
            return True, []
        if probe:
            entry.is_probing = False
        if outcome is Outcome.OK:
            if identity is not None and identity.instance != name:
                entry.is_other_instance = True
                return False, self._changes_of(entry) + self._open_more(now_ms)
            self._record_answer(
                entry, ObservedEvidence.PROBE if probe else ObservedEvidence.ANSWER, identity, now_ms
            )
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR):
            if entry.seen is not ObservedEvidence.ANSWER:  # of one that has served, ejection is the judge
                entry.failure_factor = after_failure(entry.failure_factor, outcome is Outcome.CONNECT_FAILED)
            entry.failed += probe
        if self._wants_probe(entry) and (probe or not entry.is_probing):
            if outcome is Outcome.OK:
                pause = MIN_PROBE_PAUSE_MS
            else:
                pause = PROBE_RETRY_MS * 2.0 ** min(max(0, entry.failed - 1), 8)
            self._schedule_probe(entry, now_ms + pause)
        return True, self._changes_of(entry) + self._open_more(now_ms)

    def _schedule_probe(self, entry: Entry, at_ms: float) -> None:
        if entry.due_ms <= at_ms and entry.due_ms:
            return  # one is due before
        entry.due_ms = at_ms
        heappush(self._due, (at_ms, entry.name))

    def _record_answer(
        self, entry: Entry, seen: ObservedEvidence, identity: UpstreamIdentity | None, now_ms: float
    ) -> None:
        entry.seen = max(entry.seen, seen)
        entry.failed = 0
        if identity is not None and self.identifies:
            entry.is_identified = True
            if identity.zone is not None:  # its own report has precedence over the list
                entry.is_place_reported = True
                entry.place = Place(
                    identity.zone, entry.place.cell if identity.cell is None else identity.cell
                )
        else:
            entry.anonymous_answers += self.identifies
        entry.evidence = entry.evidence._replace(served_ms=now_ms, kind=self._kind_of(entry, seen))
        entry.confidence_by_age = self._confidence_by_age(entry, now_ms)
        # It is there; what it failed is not forgotten.
        entry.failure_factor = max(entry.failure_factor, 2.0 * MIN_CONFIDENCE)

    @staticmethod
    def _kind_of(entry: Entry, seen: ObservedEvidence) -> EvidenceKind:
        if entry.is_identified:
            return EvidenceKind.SHOWN
        return EvidenceKind.ANSWERED if seen is ObservedEvidence.ANSWER else EvidenceKind.PROBED

    def review(self, now_ms: float, max_count: int = 500) -> tuple[bool, list[Change]]:
        """Review the confidence in all, `max_count` a call. Returns whether that was the last of them, and what is
        to be reported to the decisions. Confidence decreases with time where nothing is observed, and recovers slowly
        from refused connections, so that an outage of the upstreams themselves does not drop them for good.
        """
        found = []
        names = self._order[self._reviewed : min(self._next, self._reviewed + max_count)]
        for name in names:
            entry = self.entries.get(name)
            if (
                entry is not None
                and entry.seen is not ObservedEvidence.ANSWER
                and not entry.is_other_instance
            ):
                entry.failure_factor = min(1.0, RECOVERY_FACTOR * entry.failure_factor)
                entry.confidence_by_age = self._confidence_by_age(entry, now_ms)
                if self._wants_probe(entry) and not entry.is_probing:
                    self._schedule_probe(entry, now_ms + PROBE_RETRY_MS)
                found += self._changes_of(entry)
        self._reviewed += len(names)
        last = self._reviewed >= self._next
        if last:
            self._reviewed = 0
            found += self._open_more(now_ms)
        return last, found

    def _confidence_by_age(self, entry: Entry, now_ms: float) -> float:
        seen = entry.seen is not ObservedEvidence.NOTHING  # by this process, and its clock
        return confidence(
            entry.evidence,
            self.churn,
            Source.STORED if seen else self.source,
            self.is_uncertain and not seen,
            now_ms,
        )

    def counts(self) -> Counts:
        """How many upstreams are in which state."""
        return Counts(len(self._order), self._open, len(self._answered), len(self._lost), self._distrusted)

    # ------------------------------------------------ discovery answers

    def missing_from(self, listed: Collection[str], left: Collection[str]) -> list[str]:
        """Upstreams that discovery's first list after the outage lacks, although they answer here: empty where the
        list is believed. A list that names fewer than half of those that answer is from a discovery that has itself
        just restarted; what it reports to have left has left.
        """
        answer = [
            name
            for name, entry in self.entries.items()
            if entry.seen is not ObservedEvidence.NOTHING and not entry.is_lost
        ]
        missing = [name for name in answer if name not in listed and name not in left]
        if not answer or len(answer) - len(missing) >= MIN_LISTED_SHARE * len(answer):
            return []
        return missing


def still_drained(
    lifecycles: Mapping[str, str], listed: Mapping[str, str], generation: int, restored: int
) -> set[str]:
    """Upstreams that an older list than the restored one calls active, although a later one has reported their drain:
    `lifecycles` is the restored lifecycle by name, `listed` the list's.
    """
    if generation >= restored:
        return set()
    return {name for name, state in lifecycles.items() if state == "leaving" and listed.get(name) == "active"}
