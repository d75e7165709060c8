"""Ramps and evacuations, stepped once for all copies. Pure logic.

An evacuation is a ramp of the fraction of a zone that drains. The register holds each ramp's step, from 1 to
`Ramp.STEPS`. The owner increments it once the present step has been in force for a twentieth of the ramp's span by
its own clock, counted from when it first saw that step. A new owner counts from when it saw the step, so that a step
may last longer over an owner's crash, never shorter; and since each write is conditional on the state before it, no
step is skipped or undone.

A copy never goes back. It follows the register's step, a restarted copy at once. Without heartbeats of an owner it
goes on from its own step by its own clock, as it does without owners; once there is an owner again it waits until the
fleet has caught up. The fleet begins at the lowest step that any copy reports in the first half second.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import msgspec

from larkweir.coordination.duties.messages import MOST_ROWS, Report, Wish, WishReport, batches
from larkweir.coordination.duties.replicated import Replicated, encode, keep_only, state_reader
from larkweir.coordination.duties.timing import FORGET_MS, OwnerHeartbeat, Resend, heartbeat_due
from larkweir.routes.split import Ramp

MOST_RAMPS = 64  # at a time; further ones are each copy's own
OPEN_MS = 500.0  # from the first word of a ramp until it counts
LOOK_MS = 250.0  # between two looks of a copy
LAST = Ramp.STEPS


class Stepped(msgspec.Struct, frozen=True, array_like=True):
    """One ramp in the register."""

    key: str
    span_ms: float
    step: int


class State(msgspec.Struct, frozen=True, array_like=True):
    """What the register holds."""

    beat: int = 0
    ramps: tuple[Stepped, ...] = ()


read = state_reader(State)


class Ramping(Protocol):
    """The routes' side. By key, which is the same wherever the file says the same: name, span, and since when."""

    def ramping(self) -> Mapping[str, tuple[str, float, float]]:
        """The ramps that are under way here: name, span in milliseconds, and since when, by key."""

    def stand(self, name: str, step: int) -> None:
        """Set a ramp's step."""
        ...


@dataclass(slots=True)
class _Own:
    step: int
    at_ms: float  # when it came to this step
    due: Resend


@dataclass(slots=True)
class _Opening:
    since_ms: float
    span_ms: float
    step: int


class Ramps(Replicated[State]):
    """The duty at one copy, and at its owner."""

    name = "ramps"

    def __init__(self, life: int, ramping: Callable[[], Ramping]) -> None:
        """`ramping`: the present generation of routes."""
        super().__init__(life, read)
        self._ramping = ramping
        self._heartbeat = OwnerHeartbeat()
        self._own: dict[str, _Own] = {}
        self._seen: dict[str, tuple[int, float]] = {}  # of the register: the step, and when it was seen first
        self._heard: dict[str, float] = {}  # when any copy told of it
        self._opening: dict[str, _Opening] = {}
        self._beat_ms = float("-inf")
        self._stepped_term = 0

    # ------------------------------------------------ the owner

    def came(self, source: str, report: Report, now_ms: float) -> None:
        """A copy's ramps: keeps those that the register holds, and opens new ones."""
        if not isinstance(report, WishReport):
            return
        held = {ramp.key for ramp in self.state.ramps}
        for row in report.rows[:MOST_ROWS]:
            if len(row.key) > 64 or not 1 <= row.step <= LAST or not 0.0 < row.span_ms <= 1e10:
                self.refused += 1
            elif row.key in held:
                self._heard[row.key] = now_ms
            elif row.key in self._opening:
                opening = self._opening[row.key]
                opening.step = min(opening.step, row.step)
            elif len(self._opening) + len(held) < MOST_RAMPS:
                self._opening[row.key] = _Opening(now_ms, row.span_ms, row.step)
            else:
                self.refused += 1

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """The next state: at once for a step or a new ramp, else with a heartbeat."""
        held = read(state)
        self._see(held, now_ms)
        if self._stepped_term != self._term:  # the first step under this term
            self._stepped_term = self._term
            self._heard = {ramp.key: now_ms for ramp in held.ramps}
            self._beat_ms = float("-inf")
        found: list[Stepped] = []
        for ramp in held.ramps:
            if now_ms - self._heard.setdefault(ramp.key, now_ms) >= FORGET_MS:
                del self._heard[ramp.key]
                continue
            due = now_ms - self._seen[ramp.key][1] >= ramp.span_ms / LAST
            found.append(Stepped(ramp.key, ramp.span_ms, min(LAST, ramp.step + due)))
        for key, opening in list(self._opening.items()):
            if now_ms - opening.since_ms >= OPEN_MS:
                del self._opening[key]
                if key not in self._seen and len(found) < MOST_RAMPS:
                    found.append(Stepped(key, opening.span_ms, opening.step))
                    self._heard[key] = now_ms
        going = any(ramp.step < LAST for ramp in found)
        if tuple(found) == held.ramps and (not going or not heartbeat_due(self._beat_ms, now_ms)):
            return None
        self._beat_ms = now_ms
        return encode(State(held.beat + 1, tuple(found)))

    def _see(self, held: State, now_ms: float) -> None:
        """Record when each step was seen first: at the first call after it was taken, so rather late than early."""
        if len(self._seen) != len(held.ramps):
            keys = {ramp.key for ramp in held.ramps}
            self._seen = {key: value for key, value in self._seen.items() if key in keys}
        for ramp in held.ramps:
            seen = self._seen.get(ramp.key)
            if seen is None or seen[0] != ramp.step:
                self._seen[ramp.key] = (ramp.step, now_ms)

    # ------------------------------------------------ every copy

    def _notable(self, state: State) -> object:
        return state.ramps

    def _followed(self, before: State) -> None:
        self._heartbeat.received()

    def alone(self) -> None:
        """Each ramp keeps its step, and goes on from there by this copy's clock."""

    def tick(self, now_ms: float) -> list[Report]:
        """Set the step of each ramp here, and report ramps that are due."""
        self._see(self.state, now_ms)
        led = self._heartbeat.has_owner(now_ms)
        fleet = {ramp.key: ramp.step for ramp in self.state.ramps}
        routes = self._ramping()
        ramping = routes.ramping()
        keep_only(self._own, ramping)
        rows: list[Wish] = []
        for key, (name, span, since) in ramping.items():
            own = self._own.get(key)
            if own is None:
                step = Ramp(1.0, span).step(now_ms - since)
                own = self._own[key] = _Own(step, since + (step - 1) * span / LAST, Resend(now_ms))
            self._go(own, fleet.get(key), led, span, now_ms)
            routes.stand(name, own.step)
            if own.due.wants(key in fleet, now_ms):
                rows.append(Wish(key, span, own.step))
        self.next_ms = now_ms + LOOK_MS
        return [WishReport(self._life, part) for part in batches(rows)]

    @staticmethod
    def _go(own: _Own, fleet: int | None, led: bool, span_ms: float, now_ms: float) -> None:
        gap = span_ms / LAST
        if fleet is not None and fleet > own.step:
            own.step, own.at_ms = fleet, now_ms
        if fleet is not None and led:
            return
        late = now_ms - own.at_ms - gap
        if own.step < LAST and late >= 0.0:  # one at a time, also after a long stop or wait
            own.step += 1
            own.at_ms = now_ms - late if late < gap else now_ms
