"""Rules: the upstreams that are only remembered: which are in use, how far each is trusted, which is to be probed, and
what becomes of them when discovery speaks again.

The book is told of everything and answers with what has changed; it reads no clock and sends nothing. Upstreams are
named as discovery names them.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf
from typing import NamedTuple

from larkweir.membership.remembered.evidence import NEVER_SEEN, Churn, How, Row, Source, shaken, trust
from larkweir.membership.remembered.plan import opened, order
from larkweir.membership.remembered.shown import Shown
from mulleinhitch.interface import Outcome
from mulleinhitch.proof import FLOOR, Proof, Seen

PROBE_AGAIN_MS = 250.0  # after one that failed, and twice as long after each further one
LEAST_PROBE_MS = 50.0  # after one that has answered and left something open
MUTE = 4  # answers that show nothing, after which no probe is sent to be shown it
LOOK_MS = 10_000.0  # from look to look at all trust
HEAL = 2.0  # of what refusals have left, from look to look
PANIC = 0.5  # of what answers here: a first list that names less is not believed at once


class Place(NamedTuple):
    """Where an upstream is, as remembered or as it has shown itself."""

    zone: str
    cell: int


@dataclass(slots=True)
class Entry:
    name: str
    place: Place
    row: Row
    base: float = 0.0  # trust by age, as of the last look
    shake: float = 1.0  # what refusals and failures of this life have left of it
    seen: Seen = Seen.NOTHING
    belongs: bool = False
    placed: bool = False
    stranger: bool = False  # at its address is another
    probing: bool = False  # a probe is out
    failed: int = 0  # probes in a row
    mute: int = 0  # answers that did not show which one it is
    due_ms: float = 0.0  # when its next probe is due; 0: none is
    told: Proof | None = None  # as the decisions have it

    @property
    def trust(self) -> float:
        return 1.0 if self.seen is Seen.ANSWER else self.base * self.shake

    @property
    def lost(self) -> bool:
        """Not used, as things stand."""
        return self.stranger or self.trust < FLOOR


class Change(NamedTuple):
    """What the decisions are to be told of one upstream."""

    name: str
    proof: Proof | None  # None: it is not used any more
    place: Place


class Counts(NamedTuple):
    listed: int
    open: int
    proved: int
    lost: int
    distrusted: int  # of those whose turn has come, that were not used


@dataclass(slots=True)
class Book:
    """`probes`: the settings allow them; `names`: upstreams show which one they are."""

    me: int
    copies: int
    probes: bool
    shows: bool
    churn: Churn = NEVER_SEEN
    source: Source = Source.KEPT
    doubt: bool = False  # of the clock
    entries: dict[str, Entry] = field(default_factory=dict)  # those in use, or that were
    _rows: Mapping[str, tuple[Place, Row]] = field(default_factory=dict)  # of the whole list
    _order: list[str] = field(default_factory=list)
    _distrusted: int = 0  # of those whose turn has come
    _next: int = 0  # in the order
    _due: list[tuple[float, str]] = field(default_factory=list)  # probes, a heap
    _proved: set[str] = field(default_factory=set)  # of those in use
    _lost: set[str] = field(default_factory=set)  # of those that were brought into use
    _open: int = 0
    _aged: int = 0  # of those in use, looked at in this round

    # ------------------------------------------------ the start

    def take(self, rows: Mapping[str, tuple[Place, Row]], now_ms: float) -> list[Change]:
        """The list as remembered; what is used of it from the first moment on."""
        self._rows = rows
        self._order = order(rows, self.me, self.copies)
        return self._go_on(now_ms)

    def _go_on(self, now_ms: float) -> list[Change]:
        """Bring the next ones into use, as far as those before them have come to something."""
        found = []
        while self._next < len(self._order) and self._open < opened(
            len(self._order), len(self._proved), len(self._lost)
        ):
            name = self._order[self._next]
            self._next += 1
            place, row = self._rows[name]
            entry = Entry(name, place, row)
            entry.base = self._base(entry, now_ms)
            if entry.base < FLOOR:
                self._distrusted += 1
                continue
            self.entries[name] = entry
            self._open += 1
            if self._wants_probe(entry):
                self._ask(entry, now_ms)
            self._sort(entry)
            found.append(self._tell(entry))
        return found

    def _wants_probe(self, entry: Entry) -> bool:
        """Where a probe tells something that is not known yet."""
        if not self.probes or entry.stranger:
            return False
        return (
            entry.lost
            or entry.seen is Seen.NOTHING
            or (self.shows and not entry.belongs and entry.mute < MUTE)
        )

    def _tell(self, entry: Entry) -> Change:
        entry.told = None
        if not entry.lost:
            entry.told = Proof(entry.trust, entry.seen, entry.belongs, entry.placed, self._wants_probe(entry))
        return Change(entry.name, entry.told, entry.place)

    def _sort(self, entry: Entry) -> None:
        lost = entry.lost
        (self._lost.add if lost else self._lost.discard)(entry.name)
        (self._proved.add if not lost and entry.seen is not Seen.NOTHING else self._proved.discard)(
            entry.name
        )

    def _changed(self, entry: Entry) -> list[Change]:
        """Tell of it where that matters: a trust that has moved a little does not."""
        self._sort(entry)
        before = entry.told
        change = self._tell(entry)
        after = change.proof
        if before is None or after is None:
            return [] if before is after else [change]
        if before._replace(trust=0.0) == after._replace(trust=0.0) and abs(before.trust - after.trust) < 0.02:
            entry.told = before
            return []
        return [change]

    # ------------------------------------------------ what is seen

    def due(self, now_ms: float, most: int) -> list[str]:
        """Upstreams to be probed now; each counts as out until `probed` tells of it."""
        found: list[str] = []
        while self._due and self._due[0][0] <= now_ms and len(found) < most:
            at, name = heappop(self._due)
            entry = self.entries[name]
            if entry.due_ms != at:
                continue
            entry.due_ms = 0.0
            if not entry.probing and self._wants_probe(entry):
                entry.probing = True
                found.append(name)
        return found

    def next_ms(self) -> float:
        """When the next probe is due."""
        return self._due[0][0] if self._due else inf

    def ended(
        self, name: str, probe: bool, outcome: Outcome, told: Shown | None, now_ms: float
    ) -> tuple[bool, list[Change]]:
        """A request or a probe has ended there. Whether its answer may count: that of a stranger does not."""
        entry = self.entries.get(name)
        if entry is None:
            return True, []
        if probe:
            entry.probing = False
        if outcome is Outcome.OK:
            if told is not None and told.instance != name:
                entry.stranger = True
                return False, self._changed(entry) + self._go_on(now_ms)
            self._prove(entry, Seen.PROBE if probe else Seen.ANSWER, told, now_ms)
        elif outcome in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET, Outcome.ERROR):
            if entry.seen is not Seen.ANSWER:  # of one that has served, ejection is the judge
                entry.shake = shaken(entry.shake, outcome is Outcome.CONNECT_FAILED)
            entry.failed += probe
        if self._wants_probe(entry) and (probe or not entry.probing):
            if outcome is Outcome.OK:
                pause = LEAST_PROBE_MS
            else:
                pause = PROBE_AGAIN_MS * 2.0 ** min(max(0, entry.failed - 1), 8)
            self._ask(entry, now_ms + pause)
        return True, self._changed(entry) + self._go_on(now_ms)

    def _ask(self, entry: Entry, at_ms: float) -> None:
        if entry.due_ms <= at_ms and entry.due_ms:
            return  # one is due before
        entry.due_ms = at_ms
        heappush(self._due, (at_ms, entry.name))

    def _prove(self, entry: Entry, seen: Seen, told: Shown | None, now_ms: float) -> None:
        entry.seen = max(entry.seen, seen)
        entry.failed = 0
        if told is not None and self.shows:
            entry.belongs = True
            if told.zone is not None:  # where it has moved, what it says itself goes before the list
                entry.placed = True
                entry.place = Place(told.zone, entry.place.cell if told.cell is None else told.cell)
        else:
            entry.mute += self.shows  # it answers and shows nothing: it is not asked for ever
        how = How.SHOWN if entry.belongs else How.ANSWERED if seen is Seen.ANSWER else How.PROBED
        entry.row = entry.row._replace(proved_ms=now_ms, how=how)
        entry.base = self._base(entry, now_ms)
        entry.shake = max(entry.shake, 2.0 * FLOOR)  # it is there; what it failed is not forgotten

    def age(self, now_ms: float, most: int = 500) -> tuple[bool, list[Change]]:
        """Look at all trust again, so many a call; whether that was the last of them. It falls with time where
        nothing is seen, and what was refused is forgiven slowly, so that an outage of the upstreams themselves is not
        the end of them here.
        """
        found = []
        names = self._order[self._aged : min(self._next, self._aged + most)]
        for name in names:
            entry = self.entries.get(name)
            if entry is not None and entry.seen is not Seen.ANSWER and not entry.stranger:
                entry.shake = min(1.0, HEAL * entry.shake)
                entry.base = self._base(entry, now_ms)
                if self._wants_probe(entry) and not entry.probing:
                    self._ask(entry, now_ms + PROBE_AGAIN_MS)
                found += self._changed(entry)
        self._aged += len(names)
        last = self._aged >= self._next
        if last:
            self._aged = 0
            found += self._go_on(now_ms)
        return last, found

    def _base(self, entry: Entry, now_ms: float) -> float:
        seen = entry.seen is not Seen.NOTHING  # in this life, by this clock
        return trust(
            entry.row, self.churn, Source.KEPT if seen else self.source, self.doubt and not seen, now_ms
        )

    def counts(self) -> Counts:
        return Counts(len(self._order), self._open, len(self._proved), len(self._lost), self._distrusted)

    # ------------------------------------------------ discovery speaks again

    def missed(self, listed: Collection[str], left: Collection[str]) -> list[str]:
        """Upstreams that discovery's first list after the outage lacks, although they answer here: empty where the
        list is believed. A list that names fewer than half of those that answer is one of a discovery that has itself
        just come back; what it says has left has left.
        """
        answer = [
            name for name, entry in self.entries.items() if entry.seen is not Seen.NOTHING and not entry.lost
        ]
        lacks = [name for name in answer if name not in listed and name not in left]
        if not answer or len(answer) - len(lacks) >= PANIC * len(answer):
            return []
        return lacks


def still_drained(
    lifecycles: Mapping[str, str], listed: Mapping[str, str], generation: int, remembered: int
) -> set[str]:
    """Upstreams that an older list than the remembered one calls active, although a later one has told of their drain:
    `lifecycles` is the remembered word by name, `listed` the list's.
    """
    if generation >= remembered:
        return set()
    return {name for name, word in lifecycles.items() if word == "leaving" and listed.get(name) == "active"}
