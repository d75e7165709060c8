"""Which copy probes an ejected server for all others, and what it found. Pure logic.

A server is taken up once two copies have ejected it, and dropped once it was found healthy. Of the copies that have
ejected it the owner gives one the turn, by rendezvous hashing; the next one has it after three bad findings, or when
the owner does not hear from its prober. So a prober that has crashed, or that alone is cut off from the server,
spoils one turn. Where the platform's settings allow no probes, findings are the outcomes of the probers' own calls;
as these are sent there by chance, two copies have the turn at once.

A finding has an age: since when it was found, as far as that is known. It travels with the owner's state, and each
copy's decisions weigh it (`larkweir_balancing/hearsay.py`). A late state may make it seem younger by as long as the
state took: it keeps a server out, or has it tried, for no longer than the decisions allow for one finding.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from larkweir.coordination.duties.messages import MOST_ROWS, Report, Sighting, SightingReport, batches
from larkweir.coordination.duties.ports import Known, Scouting
from larkweir.coordination.duties.replicated import Replicated, encode, keep_only, state_reader
from larkweir.coordination.duties.timing import (
    FORGET_MS,
    HEARTBEAT_INTERVAL_MS,
    OWNER_TIMEOUT_MS,
    REFRESH_MS,
    Resend,
    heartbeat_due,
)

MOST_SERVERS = 64  # at a time; further ones are each copy's own
MOST_SEEN = 2 * MOST_SERVERS  # of which the owner has heard
MOST_CANDIDATES = 8  # of a server: the first by rendezvous
MOST_COPIES = 4096  # of which the owner has heard
QUORUM = 2  # copies that have left a server out before it is the fleet's matter
BY_CALL = 2  # that have the turn at once where probes are not allowed
TURN = 3  # bad findings, after which the next has the turn
HERE_MS = 1_000.0  # from word to word of whose turn it is
DEAF_MS = 2_500.0  # a prober that is not heard of for so long has lost it
SOON_MS = 500.0  # between two states
CLOSE_MS = 4_000.0  # a server that was found well is let go after that
LOOK_MS = 250.0  # between two looks of a copy
KEY = 8  # bytes
TAG = 4  # bytes that stand for a copy; two that share theirs both have the turn, which does no harm
NOTHING, BAD, PROBED, SERVED = range(4)


def key_of(name: str) -> bytes:
    """A server's key, the same at all copies; `name` is where it listens."""
    return blake2b(name.encode(), digest_size=KEY).digest()


def tag_of(copy: str) -> bytes:
    """The bytes that stand for a copy in a state."""
    return blake2b(copy.encode(), digest_size=TAG).digest()


def rank(key: bytes, copy: str) -> bytes:
    """A copy's place in the order of turns; the lowest is first."""
    return blake2b(copy.encode(), digest_size=KEY, key=key).digest()


class Row(msgspec.Struct, frozen=True, array_like=True):
    """`probers`: by `tag_of`. `age_ms`: of what was found, when this was written."""

    key: bytes
    found: int
    age_ms: int
    probers: tuple[bytes, ...]


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds."""

    beat: int = 0
    rows: tuple[Row, ...] = ()


read = state_reader(State)


@dataclass(slots=True)
class _Server:
    """One server, at the owner."""

    told_ms: float  # when any copy last said that it has left it out
    candidates: dict[bytes, str] = field(default_factory=dict)  # by rank, with who it is
    heard: dict[str, float] = field(default_factory=dict)  # when each of them last told of it
    found: int = NOTHING
    found_ms: float = float("-inf")
    turns: int = 0  # that are over
    since_ms: float = 0.0  # when the present one began
    bad: int = 0  # findings in it
    probers: tuple[str, ...] = ()
    open: bool = False


class Probers(Replicated[State]):
    """The duty at one copy, and at its owner."""

    name = "probers"

    def __init__(self, life: int, me: str, scouting: Scouting, probes: Callable[[], bool]) -> None:
        """`probes`: whether the platform's settings allow them."""
        super().__init__(life, read)
        self._scouting, self._probes = scouting, probes
        self._tag = tag_of(me)
        self._fresh = False
        self._took_ms = float("-inf")
        # As a copy
        self._due: dict[bytes, Resend] = {}
        self._said: dict[bytes, tuple[int, float, float]] = {}  # in its turn: what, found when, told when
        self._named: set[bytes] = set()
        self._number = 0
        # As the owner
        self._servers: dict[bytes, _Server] = {}
        self._last: dict[str, tuple[int, int]] = {}  # of each copy: life, and number of its last report
        self._base_term = 0
        self._stepped_ms = float("-inf")

    # ------------------------------------------------ the owner

    def came(self, source: str, report: Report, now_ms: float) -> None:
        """A copy's report on ejected servers; an older one than the last is ignored."""
        if not isinstance(report, SightingReport):
            return
        last = self._last.pop(source, None)
        if last is not None and (report.life, report.number) <= last:
            self._last[source] = last
            return
        self._last[source] = (report.life, report.number)
        if len(self._last) > MOST_COPIES:
            del self._last[next(iter(self._last))]
        for row in report.rows[:MOST_ROWS]:
            if len(row.key) != KEY or not NOTHING <= row.found <= SERVED or row.age_ms < 0:
                self.refused += 1
            else:
                self._add(source, row, now_ms)

    def _add(self, source: str, row: Sighting, now_ms: float) -> None:
        server = self._servers.get(row.key)
        if server is None:
            if not row.out:
                return
            if len(self._servers) >= MOST_SEEN:
                self.refused += 1
                return
            server = self._servers[row.key] = _Server(now_ms)
        place = rank(row.key, source)
        if row.out:
            server.told_ms = now_ms
            server.candidates[place] = source
            if len(server.candidates) > MOST_CANDIDATES:
                server.heard.pop(server.candidates.pop(max(server.candidates)), None)
        else:
            server.candidates.pop(place, None)
        if place in server.candidates:
            server.heard[source] = now_ms
        else:
            server.heard.pop(source, None)
        found_ms = now_ms - row.age_ms
        if row.found == NOTHING or found_ms <= server.found_ms:
            return
        # Of others a call that was served tells, and one that was not where a probe had said that all is well.
        prober = source in server.probers
        if prober or row.found == SERVED or (row.found == BAD and server.found == PROBED):
            server.bad += prober and row.found == BAD
            server.found, server.found_ms = row.found, found_ms

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a change, else with a heartbeat."""
        held = read(state)
        if self._base_term != self._term:  # the first step under this term
            self._base_term, self._stepped_ms = self._term, float("-inf")
            self._go_on_from(held, now_ms)
        if now_ms - self._stepped_ms < SOON_MS:
            return None
        for key, server in list(self._servers.items()):
            if self._over(server, now_ms):
                del self._servers[key]
        opened = sum(server.open for server in self._servers.values())
        for key, server in self._servers.items():
            if not server.open and len(server.candidates) >= QUORUM and opened < MOST_SERVERS:
                server.open, server.found = True, NOTHING
                opened += 1
            if server.open:
                self._give(key, server, now_ms)
        rows = tuple(
            Row(
                key,
                server.found,
                int(min(FORGET_MS, now_ms - server.found_ms)),
                tuple(map(tag_of, server.probers)),
            )
            for key, server in self._servers.items()
            if server.open
        )
        new = State(held.beat + 1, rows)
        if not rows and not held.rows:
            return None
        if _matter(new) == _matter(held) and not heartbeat_due(self._stepped_ms, now_ms):
            return None
        self._stepped_ms = now_ms
        return encode(new)

    def _go_on_from(self, held: State, now_ms: float) -> None:
        """Take over from the former owner: its state, with what copies have reported since. They report their ejected
        servers anew, and then turns are given.
        """
        since_ms = now_ms - self._took_ms if self._took_ms > float("-inf") else 0.0
        lately = {key: it for key, it in self._servers.items() if now_ms - it.told_ms < DEAF_MS}
        self._servers = {}
        for row in held.rows[:MOST_SERVERS]:
            server = self._servers[row.key] = lately.pop(row.key, _Server(now_ms))
            server.found, server.found_ms = row.found, now_ms - since_ms - row.age_ms
            server.open, server.since_ms, server.probers = True, now_ms, ()
        for key, server in lately.items():
            server.open = False
            self._servers[key] = server

    @staticmethod
    def _over(server: _Server, now_ms: float) -> bool:
        if server.open and server.found > BAD:
            return now_ms - server.found_ms >= CLOSE_MS
        told = server.candidates or now_ms - server.since_ms < DEAF_MS
        return not told or now_ms - server.told_ms >= REFRESH_MS + DEAF_MS

    def _give(self, key: bytes, server: _Server, now_ms: float) -> None:
        """Choose who has the turn."""
        many = 1 if self._probes() else BY_CALL
        few = len(server.probers) < min(many, len(server.candidates))
        whole = server.bad < TURN and not few
        for name in server.probers:
            if now_ms - max(server.since_ms, server.heard.get(name, 0.0)) >= DEAF_MS:
                server.candidates.pop(
                    rank(key, name), None
                )  # it comes back when it tells of the server again
            whole = whole and rank(key, name) in server.candidates
        if whole:
            return
        ranked = [server.candidates[at] for at in sorted(server.candidates)]
        server.turns += server.bad >= TURN
        first = server.turns % max(1, len(ranked))
        server.probers = tuple((ranked[first:] + ranked[:first])[:many])
        server.since_ms, server.bad = now_ms, 0

    # ------------------------------------------------ every copy

    def _notable(self, state: State) -> object:
        return {row.key for row in state.rows}

    def _followed(self, before: State) -> None:
        # A renewed lease brings the same state under a later version: nothing in it is any newer for that.
        self._fresh = self._fresh or self.state.beat != before.beat

    def alone(self) -> None:
        """Findings lose their weight with age by themselves."""

    def tick(self, now_ms: float) -> list[Report]:
        """Pass findings to the decisions, and report what this copy knows."""
        if self._fresh:
            self._took_ms = now_ms
        held, late = self.state, now_ms - self._took_ms
        known = self._scouting.known(now_ms)
        named = {row.key for row in held.rows}
        for key in self._named - named:  # let go; where it is still left out here, that is said anew
            self._due.pop(key, None)
        self._named = named
        turns: set[bytes] = set()
        for row in held.rows if late < OWNER_TIMEOUT_MS else ():
            if row.key not in known:
                continue
            if self._tag in row.probers:
                turns.add(row.key)
                self._scouting.hear(row.key, NOTHING, 0.0, True)
            if self._fresh and row.found != NOTHING:
                self._scouting.hear(row.key, row.found, row.age_ms, False)
        self._fresh = False
        keep_only(self._due, known)
        keep_only(self._said, turns)
        rows = [
            Sighting(key, item.out, item.found, int(min(FORGET_MS, item.age_ms)))
            for key, item in known.items()
            if self._wants(key, item, key in turns, now_ms)
        ]
        self.next_ms = now_ms + (LOOK_MS if known or held.rows or self._servers else HEARTBEAT_INTERVAL_MS)
        reports: list[Report] = []
        for part in batches(rows):
            self._number += 1
            reports.append(SightingReport(self._life, self._number, part))
        return reports

    def _wants(self, key: bytes, item: Known, turn: bool, now_ms: float) -> bool:
        """Whether to report a server now. A copy that has the turn reports each finding, and every `HERE_MS` that it is
        there; the others report changes.
        """
        said = self._said.get(key)
        found_ms = round(now_ms - item.age_ms, 3) if item.found else 0.0
        if turn:
            if said is not None and said[:2] == (item.found, found_ms) and now_ms - said[2] < HERE_MS:
                return False
            self._said[key] = (item.found, found_ms, now_ms)
            return True
        served = item.found == SERVED
        return self._due.setdefault(key, Resend(now_ms)).wants((self._term, item.out, served), now_ms)


def _matter(state: State) -> object:
    """The part of a state that copies must have at once when it changes."""
    return [(row.key, row.found > BAD, bool(row.probers)) for row in state.rows]
