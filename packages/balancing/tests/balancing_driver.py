"""Feeds valid event sequences to a balancer and checks its actions against the four rules.

It does not use the internals of the balancer: it sees only the actions, and fails on the first one that breaks a rule.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from larkweir_balancing.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    Cancel,
    Effect,
    Event,
    Fail,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    Probe,
    ProbeEnded,
    Reconfigured,
    Refuse,
    RequestArrived,
    RequestBodyReceived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from larkweir_balancing.policy import Balancer

NEVER_RAN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT}


@dataclass
class TrackedAttempt:
    server: int
    zone: int
    cell: int
    sent: float
    expires: float
    timeout: float = 0.0
    outcome: Outcome | None = None


@dataclass
class TrackedRequest:
    cls: RequestClass  # the class and `max_attempts` are those of the settings at the request's arrival
    max_attempts: int
    deadline: float
    left: float = 0.0
    body_incomplete: bool = False  # its last byte has not arrived yet
    started: bool = False  # a long response has started
    attempts: list[TrackedAttempt] = field(default_factory=list)
    answers: int = 0
    over: bool = False


class Driver:
    def __init__(self, settings: Settings, seed: int = 1, start: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = start
        self.listed: dict[int, ServerEntry] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.unsettled: list[int] = []  # requests that are not finished, or have attempts in flight
        self.timers: list[tuple[float, int]] = []
        self.probes: list[int] = []
        self.actions: list[Action] = []
        self.next_id = 0
        self.cold_sends = 0
        self.cold_allowance = 0.0

    # Events

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._check_action(action)
        self.actions.extend(actions)
        return actions

    def list(self, kind: ListKind, entries: tuple[ServerEntry, ...]) -> list[Action]:
        if kind is not ListKind.DELTA:
            self.listed = {}
        for entry in entries:
            self.listed[entry.server] = entry
        return self.feed(ListUpdate(kind, 1, entries))

    def request(
        self, class_index: int = 0, left: float | None = None, tenant: int = 0, body_incomplete: bool = False
    ) -> list[Action]:
        cls = self.settings.classes[class_index]
        left = cls.deadline_ms if left is None else left
        self.next_id += 1
        self.unsettled.append(self.next_id)
        deadline = math.inf if body_incomplete else self.now + left
        self.requests[self.next_id] = TrackedRequest(
            cls, self.settings.max_attempts, deadline, left, body_incomplete
        )
        ready = [e for e in self.listed.values() if e.state is ServerState.READY]
        cold = [e for e in ready if self.is_cold(e)]
        if cold:
            share = self.settings.cold_share
            grown = sum(share + (1 - share) * (self.now - e.started_ms) / self.settings.cold_ms for e in cold)
            self.cold_allowance += grown / len(ready)
        return self.feed(
            RequestArrived(self.next_id, class_index, left, tenant, body_incomplete=body_incomplete)
        )

    def receive_body(self, request: int) -> list[Action]:
        """The last byte arrives: the time limits of the request and of its attempt in flight start now."""
        tracked = self.requests[request]
        tracked.body_incomplete = False
        tracked.deadline = self.now + tracked.left
        for attempt in tracked.attempts:
            if attempt.outcome is None:
                attempt.expires = min(tracked.deadline, self.now + attempt.timeout)
        return self.feed(RequestBodyReceived(request))

    def start_answer(self, request: int, attempt: int) -> list[Action]:
        """A long response starts: it is the answer to the request, and has no deadline."""
        tracked = self.requests[request]
        tracked.answers += 1
        tracked.over = tracked.started = True
        tracked.attempts[attempt].expires = math.inf
        return self.feed(AnswerStarted(request, attempt, tracked.attempts[attempt].server))

    def reconfigure(self, settings: Settings) -> list[Action]:
        self.settings = settings
        return self.feed(Reconfigured(settings))

    def is_cold(self, entry: ServerEntry) -> bool:
        return entry.started_ms > 0 and self.now - entry.started_ms < self.settings.cold_ms

    def open_attempts(self) -> list[tuple[int, int]]:
        return [
            (r, n)
            for r in self.unsettled
            for n, t in enumerate(self.requests[r].attempts)
            if t.outcome is None
        ]

    def end(self, request: int, attempt: int, outcome: Outcome) -> list[Action]:
        tracked = self.requests[request]
        ended = tracked.attempts[attempt]
        assert ended.outcome is None
        ended.outcome = outcome
        if outcome is Outcome.OK and not tracked.over:
            tracked.answers += 1
            tracked.over = True
        left = 0 if tracked.body_incomplete else None  # a part of its body can't be sent again
        spent = self.now - ended.sent
        return self.feed(
            AttemptEnded(request, attempt, ended.server, outcome, tracked.over, spent, attempts_left=left)
        )

    def end_probe(self, report: tuple[float, ...], outcome: Outcome = Outcome.OK) -> list[Action]:
        return self.feed(ProbeEnded(self.probes.pop(0), outcome, 1.0, report))

    def advance(self, ms: float) -> None:
        """Advance the time from event to event: timers fire and attempts time out."""
        end = self.now + ms
        while self.now < end:
            self.unsettled = [r for r in self.unsettled if not self._settled(self.requests[r])]
            due = [t for t, _ in self.timers] + [
                self.requests[r].attempts[n].expires for r, n in self.open_attempts()
            ]
            step = min([end, *due], default=end)
            self.now = max(self.now, min(step, end))
            for request, attempt in self.open_attempts():
                if self.requests[request].attempts[attempt].expires <= self.now:
                    self.end(request, attempt, Outcome.TIMEOUT)
            due_timers = sorted(item for item in self.timers if item[0] <= self.now)
            self.timers = [item for item in self.timers if item[0] > self.now]
            for _, cookie in due_timers:
                self.feed(TimerFired(cookie))
            self.check_answers()

    @staticmethod
    def _settled(tracked: TrackedRequest) -> bool:
        return tracked.over and all(t.outcome is not None for t in tracked.attempts)

    # Checks

    def check_answers(self) -> None:
        slack = self.settings.answer_slack_ms
        for request in self.unsettled:
            tracked = self.requests[request]
            assert tracked.answers <= 1, f"request {request} answered twice"
            assert tracked.over or self.now <= tracked.deadline + slack, f"request {request} lost"

    def _check_action(self, action: Action) -> None:
        if isinstance(action, Send):
            self._check_send(action)
        elif isinstance(action, Refuse):
            tracked = self.requests[action.request]
            self._record_answer(tracked, action.request)
            cls = tracked.cls
            ran = [t for t in tracked.attempts if t.outcome not in NEVER_RAN]
            harmless = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
            assert harmless or not ran, "refused although it may have run"
        elif isinstance(action, Fail):
            self._record_answer(self.requests[action.request], action.request)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + max(action.delay_ms, self.settings.tick_ms), action.cookie))
        elif isinstance(action, Probe):
            assert self.settings.may_probe
            assert action.server in self.listed
            self.probes.append(action.server)
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.requests[action.request].attempts)

    def _record_answer(self, tracked: TrackedRequest, request: int) -> None:
        assert not tracked.over, f"request {request} answered after it was finished"
        tracked.answers += 1
        tracked.over = True

    def _check_send(self, action: Send) -> None:
        tracked = self.requests[action.request]
        cls = tracked.cls
        entry = self.listed.get(action.server)
        assert not tracked.over, "sent for a request that is finished"
        assert (
            entry is not None and entry.state is ServerState.READY
        ), "sent to a server that is draining or gone"
        assert len(tracked.attempts) < tracked.max_attempts, "more attempts than allowed"
        if not self.settings.allows_hedging:
            assert all(t.outcome is not None for t in tracked.attempts), "two attempts at once"
        ran = [t for t in tracked.attempts if t.outcome not in NEVER_RAN]
        if cls.effect is Effect.UNSAFE:
            assert not ran, "unsafe request sent again although it may have run"
        if cls.effect is Effect.KEYED and ran:
            assert self.now < ran[0].sent + cls.memory_ms, "keyed request sent again after `memory_ms`"
            if cls.group is Group.ZONE:
                assert all(t.zone == entry.zone for t in ran), "keyed request sent again outside its zone"
            if cls.group is Group.CELL:
                assert all(
                    (t.zone, t.cell) == (entry.zone, entry.cell) for t in ran
                ), "keyed request sent again outside its cell"
        if self.is_cold(entry):
            self.cold_sends += 1
            # An independent bound: the cold servers' fair part of the traffic, scaled by their capacity, plus a few
            # requests at the start.
            assert self.cold_sends <= 4 + 1.1 * self.cold_allowance, "cold server overloaded"
        expires = (
            tracked.deadline
            if action.timeout_ms <= 0
            else min(tracked.deadline, self.now + action.timeout_ms)
        )
        if tracked.body_incomplete:
            assert not tracked.attempts or all(t.outcome in NEVER_RAN for t in tracked.attempts)
            expires = math.inf
        tracked.attempts.append(
            TrackedAttempt(entry.server, entry.zone, entry.cell, self.now, expires, action.timeout_ms)
        )

    def check_counts(self) -> None:
        """The balancer counts as in flight exactly the attempts that may be running at a server."""
        out = sum(
            not (self.requests[r].body_incomplete or self.requests[r].started)
            for r, _ in self.open_attempts()
        )
        others = sum(
            self.requests[r].started and self.requests[r].attempts[n].expires < math.inf
            for r, n in self.open_attempts()
        )
        assert self.balancer.table.in_flight == out + others
