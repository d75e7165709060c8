"""One verdict on a canary, from what the whole fleet has seen of it. Pure logic.

Why it is valid: under the hypothesis "the canary is no worse", each factor's bet of each copy is a non-negative
martingale that starts at 1: at each bad end it is multiplied by a value whose expectation, given everything before,
is at most 1, since no request is in two copies' evidence. So for each factor the product over all copies, in whatever
order their reports arrive, is such a martingale as well, and so is the mean over the factors. (A product of the
copies' mixed stakes would be valid too, but weaker: it pays for the choice of the factor in each copy.) By Ville's
inequality that mean reaches 2/alpha, for one of two kinds of bad ends, with a probability of at most alpha/2, over
all copies together and however often it is checked (products of sequential e-values: Vovk and Wang 2021).

Evidence counts under a term. Each copy reports the growth of its bets since the term began; the owner adds that to
the total at the time it took the term, and writes the new total with its heartbeats. What an owner had received and
not written is lost with it: a bet that pauses stays fair, since the loss of an owner does not depend on how requests
ended. Nothing is counted twice, whichever process crashes or resumes late. Logarithms are rounded down, which is the
safe side.

A copy does not end a canary by itself while the fleet's state names that canary and the owner's heartbeats arrive.
Without them it does as without an owner: each copy by its own alarm.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from larkweir.coordination.duties.messages import (
    MOST_COPIES,
    MOST_ROWS,
    Evidence,
    EvidenceReport,
    Report,
    batches,
)
from larkweir.coordination.duties.replicated import Replicated, encode, keep_only, state_reader
from larkweir.coordination.duties.timing import (
    FORGET_MS,
    LOOK_MS,
    REPORT_MS,
    OwnerHeartbeat,
    Resend,
    heartbeat_due,
)
from larkweir.routes.trial import FACTORS, Trial, nobody, rates

MOST_TRIALS = 24  # at a time; further ones are each copy's own
MOST_ENDED = 16
MOST_WHY = 100  # characters
LOGS = 2 * len(FACTORS)
COUNTS = 6
UNIT = 1000.0  # a report's logarithms are thousandths
MOST_LOG = 1_000_000_000


class Total(msgspec.Struct, frozen=True, array_like=True):
    """One canary in the register: all copies' evidence."""

    key: str
    alpha: float
    logs: tuple[int, ...]
    counts: tuple[int, ...]


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds. `ended`: keys with why, the newest last."""

    beat: int = 0
    totals: tuple[Total, ...] = ()
    ended: tuple[tuple[str, str], ...] = ()


read = state_reader(State)


def stake(logs: tuple[int, ...]) -> float:
    """The value of one kind's bet: the mean over the factors."""
    return sum(math.exp(min(value / UNIT, 700.0)) for value in logs) / len(logs)


def verdict(alpha: float, logs: tuple[int, ...], counts: tuple[int, ...]) -> str:
    """Why a canary ends; empty while it goes on."""
    bar, half = 2.0 / alpha, len(FACTORS)
    if stake(logs[:half]) >= bar:
        return f"the fleet saw that it fails more: {rates(counts[2:4], counts[:2])}"[:MOST_WHY]
    if stake(logs[half:]) >= bar:
        return f"the fleet saw that it is slow more often: {rates(counts[4:6], counts[:2])}"[:MOST_WHY]
    return ""


class Trying(Protocol):
    """The routes' side: canaries on trial at this copy, by a key that is the same wherever the file says the same."""

    def on_trial(self) -> Mapping[str, Trial]:
        """The canaries on trial here, by key."""

    def end(self, key: str, why: str) -> None:
        """Send no more requests to the canary; without effect where it has ended already."""
        ...


@dataclass(slots=True)
class _Row:
    life: int
    number: int
    logs: tuple[int, ...]
    counts: tuple[int, ...]


@dataclass(slots=True)
class _Sum:
    """One canary under the present term, at the owner. `logs` and `counts` are sums over all copies; `rows` by copy."""

    alpha: float
    logs: list[int] = field(default_factory=lambda: [0] * LOGS)
    counts: list[int] = field(default_factory=lambda: [0] * COUNTS)
    rows: dict[str, _Row] = field(default_factory=dict)
    heard_ms: float = 0.0


@dataclass(slots=True)
class _Own:
    """One canary at this copy: its bets when the term began."""

    logs: tuple[float, ...]
    counts: tuple[int, ...]
    due: Resend


class Verdicts(Replicated[State]):
    """The duty at one copy, and at its owner."""

    name = "verdicts"

    def __init__(
        self, life: int, trying: Callable[[], Trying], wake: Callable[[], None] = lambda: None
    ) -> None:
        """`trying`: the present generation of routes. `wake` is called where `next_ms` has become earlier."""
        super().__init__(life, read)
        self._trying = trying
        self._heartbeat = OwnerHeartbeat()
        # As a copy
        self._own: dict[str, _Own] = {}
        self._own_term = 0
        self._number = 0
        self._led = False
        self._wake = wake
        self._looked_ms = float("-inf")
        # As the owner
        self._sums: dict[str, _Sum] = {}
        self._sums_term = 0
        self._base: dict[str, Total] = {}
        self._base_term = 0
        self._beat_ms = float("-inf")

    # ------------------------------------------------ the owner

    def came(self, source: str, report: Report, now_ms: float) -> None:
        """A copy's evidence. Reports of an older term are ignored."""
        if not isinstance(report, EvidenceReport) or report.term < max(self._sums_term, self._term):
            return
        if report.term > self._sums_term:
            self._sums.clear()
            self._sums_term = report.term
        for row in report.rows[:MOST_ROWS]:
            if self._fits(row):
                self._add(source, report, row, now_ms)
            else:
                self.refused += 1

    @staticmethod
    def _fits(row: Evidence) -> bool:
        return (
            len(row.key) <= 64
            and len(row.logs) == LOGS
            and len(row.counts) == COUNTS
            and 0.0 < row.alpha <= 1.0
            and all(abs(value) < MOST_LOG for value in row.logs)
        )

    def _add(self, source: str, report: EvidenceReport, row: Evidence, now_ms: float) -> None:
        found = self._sums.get(row.key)
        if found is None:
            if len(self._sums) >= 2 * MOST_TRIALS:
                self.refused += 1
                return
            found = self._sums[row.key] = _Sum(row.alpha)
        found.heard_ms = now_ms
        old = found.rows.get(source)
        if old is None and len(found.rows) >= MOST_COPIES:
            self.refused += 1
            return
        if old is not None and (report.life, report.number) <= (old.life, old.number):
            return
        # All evidence of a new life is new, and what its former life reported stays in the sum.
        before = old if old is not None and old.life == report.life else None
        for sums, new, last in (
            (found.logs, row.logs, before.logs if before is not None else None),
            (found.counts, row.counts, before.counts if before is not None else None),
        ):
            for at, value in enumerate(new):
                sums[at] += value - (last[at] if last is not None else 0)
        found.rows[source] = _Row(report.life, report.number, row.logs, row.counts)

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a verdict or a new canary, else with a heartbeat."""
        held = read(state)
        if self._base_term != self._term:  # the first step under this term
            self._base_term, self._beat_ms = self._term, float("-inf")
            self._base = {total.key: total for total in held.totals}
            if self._sums_term != self._term:
                self._sums.clear()
                self._sums_term = self._term
            for found in self._sums.values():
                found.heard_ms = now_ms
            for key, total in self._base.items():
                self._sums.setdefault(key, _Sum(total.alpha, heard_ms=now_ms))
        ended = dict(held.ended)
        totals: list[Total] = []
        for key, found in list(self._sums.items()):
            if now_ms - found.heard_ms >= FORGET_MS:
                del self._sums[key]
                self._base.pop(key, None)
            elif key not in ended and len(totals) < MOST_TRIALS:
                total = self._total(key, found)
                if why := verdict(total.alpha, total.logs, total.counts):
                    ended[key] = why
                else:
                    totals.append(total)
        named = {total.key for total in totals} == {total.key for total in held.totals}
        if (
            named
            and len(ended) == len(held.ended)
            and (not totals or not heartbeat_due(self._beat_ms, now_ms))
        ):
            return None
        self._beat_ms = now_ms
        kept = tuple(ended.items())[-MOST_ENDED:]
        return encode(State(held.beat + 1, tuple(totals), kept))

    def _total(self, key: str, found: _Sum) -> Total:
        base = self._base.get(key)
        if base is None:
            return Total(key, found.alpha, tuple(found.logs), tuple(found.counts))
        logs = tuple(one + other for one, other in zip(base.logs, found.logs, strict=True))
        counts = tuple(one + other for one, other in zip(base.counts, found.counts, strict=True))
        return Total(key, base.alpha, logs, counts)

    # ------------------------------------------------ every copy

    def _notable(self, state: State) -> object:
        return state.ended

    def _followed(self, before: State) -> None:
        self._heartbeat.received()

    def alone(self) -> None:
        """Each trial here goes by its own alarm again."""
        for trial in self._trying().on_trial().values():
            trial.alone, trial.grown = True, nobody

    def _grown(self) -> None:
        """A trial has seen a bad end: report it soon."""
        soon = self._looked_ms + REPORT_MS
        if soon < self.next_ms:
            self.next_ms = soon
            self._wake()

    def tick(self, now_ms: float) -> list[Report]:
        """End canaries that have a verdict, and report new evidence."""
        trying = self._trying()
        for key, why in self.state.ended:
            trying.end(key, why)
        trials = trying.on_trial()
        self._led = self._heartbeat.has_owner(now_ms)
        watched = {total.key for total in self.state.totals}
        if self._own_term != self._term:
            self._own_term = self._term
            self._own.clear()
        keep_only(self._own, trials)
        rows: list[Evidence] = []
        self._looked_ms, due_ms = now_ms, now_ms + LOOK_MS
        for key, trial in trials.items():
            trial.grown = self._grown
            trial.alone = not (self._led and key in watched)
            if not self._term:
                continue
            own = self._own.get(key)
            if own is None:
                own = self._own[key] = _Own(trial.logs, trial.counts, Resend(now_ms))
            logs = tuple(
                math.floor((now - then) * UNIT) for now, then in zip(trial.logs, own.logs, strict=True)
            )
            if own.due.wants((logs, key in watched), now_ms):
                counts = tuple(now - then for now, then in zip(trial.counts, own.counts, strict=True))
                rows.append(Evidence(key, trial.alpha, logs, counts))
            due_ms = min(due_ms, own.due.due_ms)
        self.next_ms = min(due_ms, self._heartbeat.until_ms) if self._led else due_ms
        reports: list[Report] = []
        for part in batches(rows):
            self._number += 1
            reports.append(EvidenceReport(self._life, self._term, self._number, part))
        return reports
