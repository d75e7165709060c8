"""One verdict on a canary, from what the whole fleet has seen of it. Pure logic.

Why it is valid: under the hypothesis "the canary is no worse", each factor's bet of each balancer is a non-negative
martingale that starts at 1: at each bad end it is multiplied by a value whose expectation, given everything before, is
at most 1, since no request is in two balancers' evidence. So for each factor the product over all balancers, in
whatever order their reports arrive, is such a martingale as well, and so is the mean over the factors. (A product of
the balancers' mixed stakes would be valid too, but weaker: it pays for the choice of the factor in each balancer.) By
Ville's inequality that mean reaches 2/alpha, for one of two kinds of bad ends, with a probability of at most alpha/2,
over all balancers together and however often it is checked (products of sequential e-values: Vovk and Wang 2021).

Evidence counts under a term. Each balancer reports the growth of its bets since the term began; the owner adds that to
the total at the time it took the term, and writes the new total with its heartbeats. What an owner had received and not
written is lost with it: a bet that pauses stays fair, since the loss of an owner does not depend on how requests ended.
Nothing is counted twice, whichever process crashes or resumes late. Logarithms are rounded down, which is the safe
side.

A balancer does not end a canary by itself while the fleet's state names that canary and the owner's heartbeats arrive.
Without them it does as without an owner: each balancer by its own alarm.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from larkweir.coordination.duties.messages import (
    MAX_BALANCERS,
    MAX_ROWS,
    Evidence,
    EvidenceReport,
    Report,
    batches,
)
from larkweir.coordination.duties.replicated import ReplicatedTask, encode_state, retain_keys, state_decoder
from larkweir.coordination.duties.timing import (
    CHECK_INTERVAL_MS,
    FORGET_MS,
    REPORT_MS,
    OwnerHeartbeat,
    Resend,
    heartbeat_due,
)
from larkweir.routes.trial import FACTORS, Trial, ignore_bad_end, rates

MAX_TRIALS = 24  # at a time; further ones are each balancer's own
MAX_ENDED = 16
MAX_REASON_CHARS = 100  # characters
LOG_COUNT = 2 * len(FACTORS)
COUNT_FIELDS = 6
LOG_UNIT = 1000.0  # a report's logarithms are thousandths
MAX_LOG = 1_000_000_000


class CanaryTotal(msgspec.Struct, frozen=True, array_like=True):
    """One canary in the register: all balancers' evidence."""

    key: str
    alpha: float
    logs: tuple[int, ...]
    counts: tuple[int, ...]


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds. `ended`: keys with why, the newest last."""

    heartbeat_count: int = 0
    totals: tuple[CanaryTotal, ...] = ()
    ended: tuple[tuple[str, str], ...] = ()


decode_state = state_decoder(State)


def stake(logs: tuple[int, ...]) -> float:
    """The value of one kind's bet: the mean over the factors."""
    return sum(math.exp(min(value / LOG_UNIT, 700.0)) for value in logs) / len(logs)


def verdict(alpha: float, logs: tuple[int, ...], counts: tuple[int, ...]) -> str:
    """Why a canary ends; empty while it goes on."""
    bar, half = 2.0 / alpha, len(FACTORS)
    if stake(logs[:half]) >= bar:
        return f"the fleet saw that it fails more: {rates(counts[2:4], counts[:2])}"[:MAX_REASON_CHARS]
    if stake(logs[half:]) >= bar:
        return f"the fleet saw that it is slow more often: {rates(counts[4:6], counts[:2])}"[
            :MAX_REASON_CHARS
        ]
    return ""


class CanaryTrials(Protocol):
    """The routes' side: canaries on trial at this balancer, by a key that is the same wherever the file says the
    same.
    """

    def on_trial(self) -> Mapping[str, Trial]:
        """The canaries on trial here, by key."""

    def end_trial(self, key: str, reason: str) -> None:
        """Send no more requests to the canary; without effect where it has ended already."""
        ...


@dataclass(slots=True)
class _BalancerEvidence:
    incarnation: int
    number: int
    logs: tuple[int, ...]
    counts: tuple[int, ...]


@dataclass(slots=True)
class _FleetEvidence:
    """One canary under the present term, at the owner. `logs` and `counts` are sums over all balancers; `rows` by
    balancer.
    """

    alpha: float
    logs: list[int] = field(default_factory=lambda: [0] * LOG_COUNT)
    counts: list[int] = field(default_factory=lambda: [0] * COUNT_FIELDS)
    rows: dict[str, _BalancerEvidence] = field(default_factory=dict)
    reported_ms: float = 0.0


@dataclass(slots=True)
class _Baseline:
    """One canary at this balancer: its bets when the term began."""

    logs: tuple[float, ...]
    counts: tuple[int, ...]
    due: Resend


class Verdicts(ReplicatedTask[State]):
    """The duty at one balancer, and at its owner."""

    name = "verdicts"

    def __init__(
        self, incarnation: int, routes: Callable[[], CanaryTrials], wake: Callable[[], None] = lambda: None
    ) -> None:
        """`trying`: the present generation of routes. `wake` is called where `next_ms` has become earlier."""
        super().__init__(incarnation, decode_state)
        self._routes = routes
        self._heartbeat = OwnerHeartbeat()
        # As a balancer
        self._baselines: dict[str, _Baseline] = {}
        self._baselines_term = 0
        self._number = 0
        self._has_owner = False
        self._wake = wake
        self._checked_ms = float("-inf")
        # As the owner
        self._evidence: dict[str, _FleetEvidence] = {}
        self._evidence_term = 0
        self._base: dict[str, CanaryTotal] = {}
        self._base_term = 0
        self._heartbeat_ms = float("-inf")

    # ------------------------------------------------ the owner

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A balancer's evidence. Reports of an older term are ignored."""
        if not isinstance(report, EvidenceReport) or report.term < max(self._evidence_term, self._term):
            return
        if report.term > self._evidence_term:
            self._evidence.clear()
            self._evidence_term = report.term
        for row in report.rows[:MAX_ROWS]:
            if self._is_valid(row):
                self._add_evidence(source, report, row, now_ms)
            else:
                self.rejected += 1

    @staticmethod
    def _is_valid(row: Evidence) -> bool:
        return (
            len(row.key) <= 64
            and len(row.logs) == LOG_COUNT
            and len(row.counts) == COUNT_FIELDS
            and 0.0 < row.alpha <= 1.0
            and all(abs(value) < MAX_LOG for value in row.logs)
        )

    def _add_evidence(self, source: str, report: EvidenceReport, row: Evidence, now_ms: float) -> None:
        found = self._evidence.get(row.key)
        if found is None:
            if len(self._evidence) >= 2 * MAX_TRIALS:
                self.rejected += 1
                return
            found = self._evidence[row.key] = _FleetEvidence(row.alpha)
        found.reported_ms = now_ms
        old = found.rows.get(source)
        if old is None and len(found.rows) >= MAX_BALANCERS:
            self.rejected += 1
            return
        if old is not None and (report.incarnation, report.number) <= (old.incarnation, old.number):
            return
        # All evidence of a new incarnation is new, and what the former one reported stays in the sum.
        before = old if old is not None and old.incarnation == report.incarnation else None
        for sums, new, last in (
            (found.logs, row.logs, before.logs if before is not None else None),
            (found.counts, row.counts, before.counts if before is not None else None),
        ):
            for at, value in enumerate(new):
                sums[at] += value - (last[at] if last is not None else 0)
        found.rows[source] = _BalancerEvidence(report.incarnation, report.number, row.logs, row.counts)

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a verdict or a new canary, else with a heartbeat."""
        current = decode_state(state)
        if self._base_term != self._term:  # the first step under this term
            self._base_term, self._heartbeat_ms = self._term, float("-inf")
            self._base = {total.key: total for total in current.totals}
            if self._evidence_term != self._term:
                self._evidence.clear()
                self._evidence_term = self._term
            for found in self._evidence.values():
                found.reported_ms = now_ms
            for key, total in self._base.items():
                self._evidence.setdefault(key, _FleetEvidence(total.alpha, reported_ms=now_ms))
        ended = dict(current.ended)
        totals: list[CanaryTotal] = []
        for key, found in list(self._evidence.items()):
            if now_ms - found.reported_ms >= FORGET_MS:
                del self._evidence[key]
                self._base.pop(key, None)
            elif key not in ended and len(totals) < MAX_TRIALS:
                total = self._total(key, found)
                if reason := verdict(total.alpha, total.logs, total.counts):
                    ended[key] = reason
                else:
                    totals.append(total)
        named = {total.key for total in totals} == {total.key for total in current.totals}
        if (
            named
            and len(ended) == len(current.ended)
            and (not totals or not heartbeat_due(self._heartbeat_ms, now_ms))
        ):
            return None
        self._heartbeat_ms = now_ms
        recent = tuple(ended.items())[-MAX_ENDED:]
        return encode_state(State(current.heartbeat_count + 1, tuple(totals), recent))

    def _total(self, key: str, found: _FleetEvidence) -> CanaryTotal:
        base = self._base.get(key)
        if base is None:
            return CanaryTotal(key, found.alpha, tuple(found.logs), tuple(found.counts))
        logs = tuple(one + other for one, other in zip(base.logs, found.logs, strict=True))
        counts = tuple(one + other for one, other in zip(base.counts, found.counts, strict=True))
        return CanaryTotal(key, base.alpha, logs, counts)

    # ------------------------------------------------ every balancer

    def _notable_part(self, state: State) -> object:
        return state.ended

    def _on_state(self, before: State) -> None:
        self._heartbeat.received()

    def on_left_fleet(self) -> None:
        """Each trial here goes by its own alarm again."""
        for trial in self._routes().on_trial().values():
            trial.ends_locally, trial.on_bad_end = True, ignore_bad_end

    def _on_bad_end(self) -> None:
        """A trial has seen a bad end: report it soon."""
        soon = self._checked_ms + REPORT_MS
        if soon < self.next_ms:
            self.next_ms = soon
            self._wake()

    def tick(self, now_ms: float) -> list[Report]:
        """End canaries that have a verdict, and report new evidence."""
        routes = self._routes()
        for key, reason in self.state.ended:
            routes.end_trial(key, reason)
        trials = routes.on_trial()
        self._has_owner = self._heartbeat.has_owner(now_ms)
        watched = {total.key for total in self.state.totals}
        if self._baselines_term != self._term:
            self._baselines_term = self._term
            self._baselines.clear()
        retain_keys(self._baselines, trials)
        rows: list[Evidence] = []
        self._checked_ms, due_ms = now_ms, now_ms + CHECK_INTERVAL_MS
        for key, trial in trials.items():
            trial.on_bad_end = self._on_bad_end
            trial.ends_locally = not (self._has_owner and key in watched)
            if not self._term:
                continue
            baseline = self._baselines.get(key)
            if baseline is None:
                baseline = self._baselines[key] = _Baseline(trial.logs, trial.counts, Resend(now_ms))
            logs = tuple(
                math.floor((now - then) * LOG_UNIT)
                for now, then in zip(trial.logs, baseline.logs, strict=True)
            )
            if baseline.due.wants((logs, key in watched), now_ms):
                counts = tuple(now - then for now, then in zip(trial.counts, baseline.counts, strict=True))
                rows.append(Evidence(key, trial.alpha, logs, counts))
            due_ms = min(due_ms, baseline.due.due_ms)
        self.next_ms = min(due_ms, self._heartbeat.until_ms) if self._has_owner else due_ms
        reports: list[Report] = []
        for part in batches(rows):
            self._number += 1
            reports.append(EvidenceReport(self._incarnation, self._term, self._number, part))
        return reports
