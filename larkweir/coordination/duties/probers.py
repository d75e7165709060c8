"""Which balancer probes an ejected server for all others, and what it found. Pure logic.

A server is taken up once two balancers have ejected it, and dropped once it was found healthy. Of the balancers that
have ejected it the owner gives one the turn, by rendezvous hashing; the next one has it after three bad findings, or
when the prober's reports stop. So a prober that has crashed, or that alone is cut off from the server, spoils one turn.
Where the platform's settings allow no probes, findings are the outcomes of the probers' own calls; as these are sent
there by chance, two balancers have the turn at once.

A finding has an age: since when it was found, as far as that is known. It travels with the owner's state, and each
balancer's decisions weigh it (`larkweir_balancing/shared_health.py`). A late state may make it seem younger by as
long as the state took: it keeps a server out, or has it tried, for no longer than the decisions allow for one
finding.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from larkweir.coordination.duties.messages import MAX_ROWS, Report, Sighting, SightingReport, batches
from larkweir.coordination.duties.ports import HealthSharing, LocalSighting
from larkweir.coordination.duties.replicated import ReplicatedTask, encode_state, retain_keys, state_decoder
from larkweir.coordination.duties.timing import (
    FORGET_MS,
    HEARTBEAT_INTERVAL_MS,
    OWNER_TIMEOUT_MS,
    REFRESH_MS,
    Resend,
    heartbeat_due,
)

MAX_SERVERS = 64  # at a time; further ones are each balancer's own
MAX_TRACKED_SERVERS = 2 * MAX_SERVERS  # that the owner keeps account of
MAX_CANDIDATES = 8  # of a server: the first by rendezvous
MAX_BALANCERS = 4096  # that the owner keeps account of
MIN_EJECTIONS = 2  # balancers that have ejected a server before the fleet probes it together
PROBERS_BY_CALL = 2  # that have the turn at once where probes are not allowed
MAX_BAD_FINDINGS = 3  # bad findings, after which the next has the turn
PROBER_REPORT_MS = 1_000.0  # from report to report of the prober
PROBER_TIMEOUT_MS = 2_500.0  # a prober without a report for so long loses its turn
MIN_STATE_INTERVAL_MS = 500.0  # between two states
CLOSE_AFTER_MS = 4_000.0  # a server that was found healthy is dropped after that
CHECK_INTERVAL_MS = 250.0  # between two checks of a balancer
KEY_BYTES = 8  # bytes
TAG_BYTES = 4  # bytes that stand for a balancer; two that share theirs both have the turn, which does no harm
NOTHING, FAILING, PROBED, SERVED = range(4)


def key_of(name: str) -> bytes:
    """A server's key, the same at all balancers; `name` is where it listens."""
    return blake2b(name.encode(), digest_size=KEY_BYTES).digest()


def tag_of(balancer: str) -> bytes:
    """The bytes that stand for a balancer in a state."""
    return blake2b(balancer.encode(), digest_size=TAG_BYTES).digest()


def prober_rank(key: bytes, balancer: str) -> bytes:
    """A balancer's place in the order of turns; the lowest is first."""
    return blake2b(balancer.encode(), digest_size=KEY_BYTES, key=key).digest()


class ServerRow(msgspec.Struct, frozen=True, array_like=True):
    """`probers`: by `tag_of`. `age_ms`: of what was found, when this was written."""

    key: bytes
    finding: int
    age_ms: int
    probers: tuple[bytes, ...]


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds."""

    heartbeat_count: int = 0
    rows: tuple[ServerRow, ...] = ()


decode_state = state_decoder(State)


@dataclass(slots=True)
class _Server:
    """One server, at the owner."""

    ejected_report_ms: float  # when any balancer last reported it as ejected
    candidates: dict[bytes, str] = field(default_factory=dict)  # names by rank
    reported_ms: dict[str, float] = field(default_factory=dict)  # when each of them last reported it
    finding: int = NOTHING
    finding_ms: float = float("-inf")
    turns: int = 0  # that have ended
    turn_began_ms: float = 0.0  # when the present turn began
    bad_findings: int = 0  # in the present turn
    probers: tuple[str, ...] = ()
    is_open: bool = False


class Probers(ReplicatedTask[State]):
    """The duty at one balancer, and at its owner."""

    name = "probers"

    def __init__(self, incarnation: int, me: str, health: HealthSharing, probes: Callable[[], bool]) -> None:
        """`probes`: whether the platform's settings allow them."""
        super().__init__(incarnation, decode_state)
        self._health, self._probes = health, probes
        self._tag = tag_of(me)
        self._has_new_state = False
        self._state_ms = float("-inf")
        # As a balancer
        self._resends: dict[bytes, Resend] = {}
        # As the prober of a server: what was reported, when it was found, when it was reported.
        self._sent: dict[bytes, tuple[int, float, float]] = {}
        self._known_keys: set[bytes] = set()
        self._number = 0
        # As the owner
        self._servers: dict[bytes, _Server] = {}
        self._last_reports: dict[str, tuple[int, int]] = {}  # incarnation and number, by balancer
        self._base_term = 0
        self._written_ms = float("-inf")

    # ------------------------------------------------ the owner

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A balancer's report on ejected servers; an older one than the last is ignored."""
        if not isinstance(report, SightingReport):
            return
        last = self._last_reports.pop(source, None)
        if last is not None and (report.incarnation, report.number) <= last:
            self._last_reports[source] = last
            return
        self._last_reports[source] = (report.incarnation, report.number)
        if len(self._last_reports) > MAX_BALANCERS:
            del self._last_reports[next(iter(self._last_reports))]
        for row in report.rows[:MAX_ROWS]:
            if len(row.key) != KEY_BYTES or not NOTHING <= row.finding <= SERVED or row.age_ms < 0:
                self.rejected += 1
            else:
                self._add_sighting(source, row, now_ms)

    def _add_sighting(self, source: str, row: Sighting, now_ms: float) -> None:
        server = self._servers.get(row.key)
        if server is None:
            if not row.is_ejected:
                return
            if len(self._servers) >= MAX_TRACKED_SERVERS:
                self.rejected += 1
                return
            server = self._servers[row.key] = _Server(now_ms)
        rank = prober_rank(row.key, source)
        if row.is_ejected:
            server.ejected_report_ms = now_ms
            server.candidates[rank] = source
            if len(server.candidates) > MAX_CANDIDATES:
                server.reported_ms.pop(server.candidates.pop(max(server.candidates)), None)
        else:
            server.candidates.pop(rank, None)
        if rank in server.candidates:
            server.reported_ms[source] = now_ms
        else:
            server.reported_ms.pop(source, None)
        finding_ms = now_ms - row.age_ms
        if row.finding == NOTHING or finding_ms <= server.finding_ms:
            return
        # Of others only a served call counts, and a failed one where a probe had found the server healthy.
        prober = source in server.probers
        if prober or row.finding == SERVED or (row.finding == FAILING and server.finding == PROBED):
            server.bad_findings += prober and row.finding == FAILING
            server.finding, server.finding_ms = row.finding, finding_ms

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a change, else with a heartbeat."""
        current = decode_state(state)
        if self._base_term != self._term:  # the first step under this term
            self._base_term, self._written_ms = self._term, float("-inf")
            self._go_on_from(current, now_ms)
        if now_ms - self._written_ms < MIN_STATE_INTERVAL_MS:
            return None
        for key, server in list(self._servers.items()):
            if self._is_done(server, now_ms):
                del self._servers[key]
        open_count = sum(server.is_open for server in self._servers.values())
        for key, server in self._servers.items():
            if not server.is_open and len(server.candidates) >= MIN_EJECTIONS and open_count < MAX_SERVERS:
                server.is_open, server.finding = True, NOTHING
                open_count += 1
            if server.is_open:
                self._assign_probers(key, server, now_ms)
        rows = tuple(
            ServerRow(
                key,
                server.finding,
                int(min(FORGET_MS, now_ms - server.finding_ms)),
                tuple(map(tag_of, server.probers)),
            )
            for key, server in self._servers.items()
            if server.is_open
        )
        new = State(current.heartbeat_count + 1, rows)
        if not rows and not current.rows:
            return None
        if _urgent_part(new) == _urgent_part(current) and not heartbeat_due(self._written_ms, now_ms):
            return None
        self._written_ms = now_ms
        return encode_state(new)

    def _go_on_from(self, current: State, now_ms: float) -> None:
        """Take over from the former owner: its state, with what balancers have reported since. They report their
        ejected servers anew, and then turns are given.
        """
        state_age_ms = now_ms - self._state_ms if self._state_ms > float("-inf") else 0.0
        recent = {
            key: it for key, it in self._servers.items() if now_ms - it.ejected_report_ms < PROBER_TIMEOUT_MS
        }
        self._servers = {}
        for row in current.rows[:MAX_SERVERS]:
            server = self._servers[row.key] = recent.pop(row.key, _Server(now_ms))
            server.finding, server.finding_ms = row.finding, now_ms - state_age_ms - row.age_ms
            server.is_open, server.turn_began_ms, server.probers = True, now_ms, ()
        for key, server in recent.items():
            server.is_open = False
            self._servers[key] = server

    @staticmethod
    def _is_done(server: _Server, now_ms: float) -> bool:
        if server.is_open and server.finding > FAILING:
            return now_ms - server.finding_ms >= CLOSE_AFTER_MS
        is_reported = server.candidates or now_ms - server.turn_began_ms < PROBER_TIMEOUT_MS
        return not is_reported or now_ms - server.ejected_report_ms >= REFRESH_MS + PROBER_TIMEOUT_MS

    def _assign_probers(self, key: bytes, server: _Server, now_ms: float) -> None:
        """Choose the probers."""
        prober_count = 1 if self._probes() else PROBERS_BY_CALL
        has_too_few = len(server.probers) < min(prober_count, len(server.candidates))
        is_complete = server.bad_findings < MAX_BAD_FINDINGS and not has_too_few
        for name in server.probers:
            if now_ms - max(server.turn_began_ms, server.reported_ms.get(name, 0.0)) >= PROBER_TIMEOUT_MS:
                # It is a candidate again when it reports the server again.
                server.candidates.pop(prober_rank(key, name), None)
            is_complete = is_complete and prober_rank(key, name) in server.candidates
        if is_complete:
            return
        ranked = [server.candidates[at] for at in sorted(server.candidates)]
        server.turns += server.bad_findings >= MAX_BAD_FINDINGS
        first = server.turns % max(1, len(ranked))
        server.probers = tuple((ranked[first:] + ranked[:first])[:prober_count])
        server.turn_began_ms, server.bad_findings = now_ms, 0

    # ------------------------------------------------ every balancer

    def _notable_part(self, state: State) -> object:
        return {row.key for row in state.rows}

    def _on_state(self, before: State) -> None:
        # A renewed lease brings the same state under a later version: it is no newer for that.
        self._has_new_state = self._has_new_state or self.state.heartbeat_count != before.heartbeat_count

    def on_left_fleet(self) -> None:
        """Findings lose their weight with age by themselves."""

    def tick(self, now_ms: float) -> list[Report]:
        """Pass findings to the decisions, and report what this balancer knows."""
        if self._has_new_state:
            self._state_ms = now_ms
        current, late = self.state, now_ms - self._state_ms
        known = self._health.sightings(now_ms)
        named = {row.key for row in current.rows}
        # Dropped by the fleet; where a server is still ejected here, that is reported anew.
        for key in self._known_keys - named:
            self._resends.pop(key, None)
        self._known_keys = named
        turns: set[bytes] = set()
        for row in current.rows if late < OWNER_TIMEOUT_MS else ():
            if row.key not in known:
                continue
            if self._tag in row.probers:
                turns.add(row.key)
                self._health.on_finding(row.key, NOTHING, 0.0, True)
            if self._has_new_state and row.finding != NOTHING:
                self._health.on_finding(row.key, row.finding, row.age_ms, False)
        self._has_new_state = False
        retain_keys(self._resends, known)
        retain_keys(self._sent, turns)
        rows = [
            Sighting(key, item.is_ejected, item.finding, int(min(FORGET_MS, item.age_ms)))
            for key, item in known.items()
            if self._should_report(key, item, key in turns, now_ms)
        ]
        self.next_ms = now_ms + (
            CHECK_INTERVAL_MS if known or current.rows or self._servers else HEARTBEAT_INTERVAL_MS
        )
        reports: list[Report] = []
        for part in batches(rows):
            self._number += 1
            reports.append(SightingReport(self._incarnation, self._number, part))
        return reports

    def _should_report(self, key: bytes, item: LocalSighting, turn: bool, now_ms: float) -> bool:
        """Whether to report a server now. A balancer that has the turn reports each finding, and every
        `PROBER_REPORT_MS` that it is there; the others report changes.
        """
        sent = self._sent.get(key)
        finding_ms = round(now_ms - item.age_ms, 3) if item.finding else 0.0
        if turn:
            if (
                sent is not None
                and sent[:2] == (item.finding, finding_ms)
                and now_ms - sent[2] < PROBER_REPORT_MS
            ):
                return False
            self._sent[key] = (item.finding, finding_ms, now_ms)
            return True
        served = item.finding == SERVED
        return self._resends.setdefault(key, Resend(now_ms)).wants(
            (self._term, item.is_ejected, served), now_ms
        )


def _urgent_part(state: State) -> object:
    """The part of a state that balancers must have at once when it changes."""
    return [(row.key, row.finding > FAILING, bool(row.probers)) for row in state.rows]
