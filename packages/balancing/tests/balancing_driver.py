"""Feeds a balancer legal event sequences and keeps its own account of the four rules.

It knows nothing of the module's insides: it sees actions only and fails on the first one that breaks a rule.
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

UNRUN = {Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT}


@dataclass
class Try:
    server: int
    zone: int
    cell: int
    sent: float
    expires: float
    timeout: float = 0.0
    outcome: Outcome | None = None


@dataclass
class Owed:
    cls: RequestClass  # as the settings had it when the request came, like the number of attempts
    most: int
    deadline: float
    left: float = 0.0
    coming: bool = False  # its last byte is still to come
    started: bool = False  # a long answer has begun
    tries: list[Try] = field(default_factory=list)
    answers: int = 0
    over: bool = False


class Driver:
    def __init__(self, settings: Settings, seed: int = 1, start: float = 1000.0) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = start
        self.told: dict[int, ServerEntry] = {}
        self.owed: dict[int, Owed] = {}
        self.alive: list[int] = []  # requests not settled yet
        self.timers: list[tuple[float, int]] = []
        self.probes: list[int] = []
        self.actions: list[Action] = []
        self.next_id = 0
        self.cold_sends = 0
        self.cold_allowance = 0.0

    # what may be done

    def feed(self, event: Event) -> list[Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self._take(action)
        self.actions.extend(actions)
        return actions

    def list(self, kind: ListKind, entries: tuple[ServerEntry, ...]) -> list[Action]:
        if kind is not ListKind.DELTA:
            self.told = {}
        for entry in entries:
            self.told[entry.server] = entry
        return self.feed(ListUpdate(kind, 1, entries))

    def request(
        self, class_index: int = 0, left: float | None = None, tenant: int = 0, coming: bool = False
    ) -> list[Action]:
        cls = self.settings.classes[class_index]
        left = cls.deadline_ms if left is None else left
        self.next_id += 1
        self.alive.append(self.next_id)
        deadline = math.inf if coming else self.now + left
        self.owed[self.next_id] = Owed(cls, self.settings.max_attempts, deadline, left, coming)
        ready = [e for e in self.told.values() if e.state is ServerState.READY]
        cold = [e for e in ready if self.is_cold(e)]
        if cold:
            share = self.settings.cold_share
            grown = sum(share + (1 - share) * (self.now - e.started_ms) / self.settings.cold_ms for e in cold)
            self.cold_allowance += grown / len(ready)
        return self.feed(RequestArrived(self.next_id, class_index, left, tenant, body_incomplete=coming))

    def body_came(self, request: int) -> list[Action]:
        """The last byte: the request's time runs from here, and so does that of the attempt that carries it."""
        owed = self.owed[request]
        owed.coming = False
        owed.deadline = self.now + owed.left
        for one in owed.tries:
            if one.outcome is None:
                one.expires = min(owed.deadline, self.now + one.timeout)
        return self.feed(RequestBodyReceived(request))

    def start_answer(self, request: int, attempt: int) -> list[Action]:
        """A long answer begins: it is the answer, and has no deadline."""
        owed = self.owed[request]
        owed.answers += 1
        owed.over = owed.started = True
        owed.tries[attempt].expires = math.inf
        return self.feed(AnswerStarted(request, attempt, owed.tries[attempt].server))

    def retune(self, settings: Settings) -> list[Action]:
        self.settings = settings
        return self.feed(Reconfigured(settings))

    def is_cold(self, entry: ServerEntry) -> bool:
        return entry.started_ms > 0 and self.now - entry.started_ms < self.settings.cold_ms

    def open_tries(self) -> list[tuple[int, int]]:
        return [(r, n) for r in self.alive for n, t in enumerate(self.owed[r].tries) if t.outcome is None]

    def end(self, request: int, attempt: int, outcome: Outcome) -> list[Action]:
        owed = self.owed[request]
        one = owed.tries[attempt]
        assert one.outcome is None
        one.outcome = outcome
        if outcome is Outcome.OK and not owed.over:
            owed.answers += 1
            owed.over = True
        left = 0 if owed.coming else None  # a part of its body is gone
        spent = self.now - one.sent
        return self.feed(
            AttemptEnded(request, attempt, one.server, outcome, owed.over, spent, attempts_left=left)
        )

    def echo(self, report: tuple[float, ...], outcome: Outcome = Outcome.OK) -> list[Action]:
        return self.feed(ProbeEnded(self.probes.pop(0), outcome, 1.0, report))

    def advance(self, ms: float) -> None:
        """Let time pass a tick at a time: timers fire and attempts run into their time-outs."""
        end = self.now + ms
        while self.now < end:
            self.alive = [r for r in self.alive if not self._settled(self.owed[r])]
            due = [t for t, _ in self.timers] + [self.owed[r].tries[n].expires for r, n in self.open_tries()]
            step = min([end, *due], default=end)
            self.now = max(self.now, min(step, end))
            for request, attempt in self.open_tries():
                if self.owed[request].tries[attempt].expires <= self.now:
                    self.end(request, attempt, Outcome.TIMEOUT)
            ripe = sorted(item for item in self.timers if item[0] <= self.now)
            self.timers = [item for item in self.timers if item[0] > self.now]
            for _, cookie in ripe:
                self.feed(TimerFired(cookie))
            self.check_answers()

    @staticmethod
    def _settled(owed: Owed) -> bool:
        return owed.over and all(t.outcome is not None for t in owed.tries)

    # the account

    def check_answers(self) -> None:
        slack = self.settings.answer_slack_ms
        for request in self.alive:
            owed = self.owed[request]
            assert owed.answers <= 1, f"request {request} answered twice"
            assert owed.over or self.now <= owed.deadline + slack, f"request {request} lost"

    def _take(self, action: Action) -> None:
        if isinstance(action, Send):
            self._take_send(action)
        elif isinstance(action, Refuse):
            owed = self.owed[action.request]
            self._answer(owed, action.request)
            cls = owed.cls
            ran = [t for t in owed.tries if t.outcome not in UNRUN]
            harmless = cls.effect is Effect.SAFE or (cls.effect is Effect.KEYED and cls.group is Group.ALL)
            assert harmless or not ran, "refused though it may have run"
        elif isinstance(action, Fail):
            self._answer(self.owed[action.request], action.request)
        elif isinstance(action, SetTimer):
            assert action.delay_ms >= 0
            self.timers.append((self.now + max(action.delay_ms, self.settings.tick_ms), action.cookie))
        elif isinstance(action, Probe):
            assert self.settings.may_probe
            assert action.server in self.told
            self.probes.append(action.server)
        elif isinstance(action, Cancel):
            assert self.settings.may_cancel
            assert action.attempt < len(self.owed[action.request].tries)

    def _answer(self, owed: Owed, request: int) -> None:
        assert not owed.over, f"request {request} answered after its end"
        owed.answers += 1
        owed.over = True

    def _take_send(self, action: Send) -> None:
        owed = self.owed[action.request]
        cls = owed.cls
        entry = self.told.get(action.server)
        assert not owed.over, "sent for a request that is over"
        assert (
            entry is not None and entry.state is ServerState.READY
        ), "sent to a server that drains or is gone"
        assert len(owed.tries) < owed.most, "more attempts than allowed"
        if not self.settings.allows_hedging:
            assert all(t.outcome is not None for t in owed.tries), "two attempts at once"
        ran = [t for t in owed.tries if t.outcome not in UNRUN]
        if cls.effect is Effect.UNSAFE:
            assert not ran, "unsafe sent again though it may have run"
        if cls.effect is Effect.KEYED and ran:
            assert self.now < ran[0].sent + cls.memory_ms, "keyed sent again after its memory"
            if cls.group is Group.ZONE:
                assert all(t.zone == entry.zone for t in ran), "keyed sent again outside its zone"
            if cls.group is Group.CELL:
                assert all(
                    (t.zone, t.cell) == (entry.zone, entry.cell) for t in ran
                ), "keyed outside its cell"
        if self.is_cold(entry):
            self.cold_sends += 1
            # Own bound: the cold servers' fair part of the traffic, cut to their capacity, and a little to
            # begin with.
            assert self.cold_sends <= 4 + 1.1 * self.cold_allowance, "cold server pushed"
        expires = (
            owed.deadline if action.timeout_ms <= 0 else min(owed.deadline, self.now + action.timeout_ms)
        )
        if owed.coming:
            assert not owed.tries or all(t.outcome in UNRUN for t in owed.tries)
            expires = math.inf
        owed.tries.append(Try(entry.server, entry.zone, entry.cell, self.now, expires, action.timeout_ms))

    def check_counts(self) -> None:
        """What the module counts as out is what may be at work at a server."""
        out = sum(not (self.owed[r].coming or self.owed[r].started) for r, _ in self.open_tries())
        others = sum(
            self.owed[r].started and self.owed[r].tries[n].expires < math.inf for r, n in self.open_tries()
        )
        assert self.balancer.table.in_flight == out + others
