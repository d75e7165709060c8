"""Ramps and evacuations, stepped once for all balancers. Pure logic.

An evacuation is a ramp of the fraction of a zone that drains. The register holds each ramp's step, from 1 to
`Ramp.STEPS`. The owner increments it once the present step has been in force for a twentieth of the ramp's span by its
own clock, counted from when it first saw that step. A new owner counts from when it saw the step, so that a step may
last longer over an owner's crash, never shorter; and since each write is conditional on the state before it, no step is
skipped or undone.

A balancer never goes back. It follows the register's step, a restarted balancer at once. Without heartbeats of an owner
it goes on from its own step by its own clock, as it does without owners; once there is an owner again it waits until
the fleet has caught up. The fleet begins at the lowest step that any balancer reports in the first half second.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from larkweir.coordination.duties.messages import MAX_ROWS, RampReport, RampRow, Report, batches
from larkweir.coordination.duties.replicated import ReplicatedTask, encode_state, retain_keys, state_decoder
from larkweir.coordination.duties.timing import FORGET_MS, OwnerHeartbeat, Resend, heartbeat_due
from larkweir.routes.split import Ramp

MAX_RAMPS = 64  # at a time; further ones are each balancer's own
OPENING_MS = 500.0  # from the first report of a ramp until it is in the register
CHECK_INTERVAL_MS = 250.0  # between two checks of a balancer
LAST_STEP = Ramp.STEPS


class RampStep(msgspec.Struct, frozen=True, array_like=True):
    """One ramp in the register."""

    key: str
    span_ms: float
    step: int


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds."""

    heartbeat_count: int = 0
    ramps: tuple[RampStep, ...] = ()


decode_state = state_decoder(State)


class RampRoutes(Protocol):
    """The routes' side. By key, which is the same wherever the file says the same: name, span, and since when."""

    def ramping(self) -> Mapping[str, tuple[str, float, float]]:
        """The ramps that are under way here: name, span in milliseconds, and since when, by key."""

    def set_step(self, name: str, step: int) -> None:
        """Set a ramp's step."""
        ...


@dataclass(slots=True)
class _LocalRamp:
    step: int
    since_ms: float  # when it came to this step
    due: Resend


@dataclass(slots=True)
class _PendingRamp:
    since_ms: float
    span_ms: float
    step: int


class Ramps(ReplicatedTask[State]):
    """The duty at one balancer, and at its owner."""

    name = "ramps"

    def __init__(self, incarnation: int, ramping: Callable[[], RampRoutes]) -> None:
        """`ramping`: the present generation of routes."""
        super().__init__(incarnation, decode_state)
        self._routes = ramping
        self._heartbeat = OwnerHeartbeat()
        self._local_ramps: dict[str, _LocalRamp] = {}
        # Of the register's ramps: the step, and when it was seen first.
        self._first_seen: dict[str, tuple[int, float]] = {}
        self._reported_ms: dict[str, float] = {}  # when any balancer reported it
        self._pending: dict[str, _PendingRamp] = {}
        self._heartbeat_ms = float("-inf")
        self._stepped_term = 0

    # ------------------------------------------------ the owner

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """A balancer's ramps: keeps those that the register holds, and opens new ones."""
        if not isinstance(report, RampReport):
            return
        current = {ramp.key for ramp in self.state.ramps}
        for row in report.rows[:MAX_ROWS]:
            if len(row.key) > 64 or not 1 <= row.step <= LAST_STEP or not 0.0 < row.span_ms <= 1e10:
                self.rejected += 1
            elif row.key in current:
                self._reported_ms[row.key] = now_ms
            elif row.key in self._pending:
                pending = self._pending[row.key]
                pending.step = min(pending.step, row.step)
            elif len(self._pending) + len(current) < MAX_RAMPS:
                self._pending[row.key] = _PendingRamp(now_ms, row.span_ms, row.step)
            else:
                self.rejected += 1

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a step or a new ramp, else with a heartbeat."""
        current = decode_state(state)
        self._note_steps(current, now_ms)
        if self._stepped_term != self._term:  # the first step under this term
            self._stepped_term = self._term
            self._reported_ms = {ramp.key: now_ms for ramp in current.ramps}
            self._heartbeat_ms = float("-inf")
        found: list[RampStep] = []
        for ramp in current.ramps:
            if now_ms - self._reported_ms.setdefault(ramp.key, now_ms) >= FORGET_MS:
                del self._reported_ms[ramp.key]
                continue
            due = now_ms - self._first_seen[ramp.key][1] >= ramp.span_ms / LAST_STEP
            found.append(RampStep(ramp.key, ramp.span_ms, min(LAST_STEP, ramp.step + due)))
        for key, pending in list(self._pending.items()):
            if now_ms - pending.since_ms >= OPENING_MS:
                del self._pending[key]
                if key not in self._first_seen and len(found) < MAX_RAMPS:
                    found.append(RampStep(key, pending.span_ms, pending.step))
                    self._reported_ms[key] = now_ms
        is_moving = any(ramp.step < LAST_STEP for ramp in found)
        if tuple(found) == current.ramps and (not is_moving or not heartbeat_due(self._heartbeat_ms, now_ms)):
            return None
        self._heartbeat_ms = now_ms
        return encode_state(State(current.heartbeat_count + 1, tuple(found)))

    def _note_steps(self, current: State, now_ms: float) -> None:
        """Record when each step was seen first: at the first call after it was committed, rather late than early."""
        if len(self._first_seen) != len(current.ramps):
            keys = {ramp.key for ramp in current.ramps}
            self._first_seen = {key: value for key, value in self._first_seen.items() if key in keys}
        for ramp in current.ramps:
            seen = self._first_seen.get(ramp.key)
            if seen is None or seen[0] != ramp.step:
                self._first_seen[ramp.key] = (ramp.step, now_ms)

    # ------------------------------------------------ every balancer

    def _notable_part(self, state: State) -> object:
        return state.ramps

    def _on_state(self, before: State) -> None:
        self._heartbeat.received()

    def on_left_fleet(self) -> None:
        """Each ramp keeps its step, and goes on from there by this balancer's clock."""

    def tick(self, now_ms: float) -> list[Report]:
        """Set the step of each ramp here, and report ramps that are due."""
        self._note_steps(self.state, now_ms)
        has_owner = self._heartbeat.has_owner(now_ms)
        fleet = {ramp.key: ramp.step for ramp in self.state.ramps}
        routes = self._routes()
        ramping = routes.ramping()
        retain_keys(self._local_ramps, ramping)
        rows: list[RampRow] = []
        for key, (name, span, since) in ramping.items():
            local = self._local_ramps.get(key)
            if local is None:
                step = Ramp(1.0, span).step(now_ms - since)
                local = self._local_ramps[key] = _LocalRamp(
                    step, since + (step - 1) * span / LAST_STEP, Resend(now_ms)
                )
            self._advance(local, fleet.get(key), has_owner, span, now_ms)
            routes.set_step(name, local.step)
            if local.due.wants(key in fleet, now_ms):
                rows.append(RampRow(key, span, local.step))
        self.next_ms = now_ms + CHECK_INTERVAL_MS
        return [RampReport(self._incarnation, part) for part in batches(rows)]

    @staticmethod
    def _advance(
        local: _LocalRamp, fleet: int | None, has_owner: bool, span_ms: float, now_ms: float
    ) -> None:
        gap = span_ms / LAST_STEP
        if fleet is not None and fleet > local.step:
            local.step, local.since_ms = fleet, now_ms
        if fleet is not None and has_owner:
            return
        late = now_ms - local.since_ms - gap
        if local.step < LAST_STEP and late >= 0.0:  # one at a time, also after a long stop or wait
            local.step += 1
            local.since_ms = now_ms - late if late < gap else now_ms
