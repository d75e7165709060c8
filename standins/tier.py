"""A tier in simulated time: copies of the real decision module before upstreams with slots and queues.

A discrete-event script, not a network: what it answers is how a way of limiting behaves (what is served within its
aim, how long queues stand, whether copies swing or crowd one another out), in seconds of work for minutes of load.
Everything is drawn from one seed. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from larkweir_balancing import Balancer, Settings
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    SetTimer,
    TimerFired,
)

AIM_MS = 410.0
DEADLINE_MS = 1000.0


class Upstream:
    """`slots` in work at once, first come first served behind them, at most `queue` of those; one that has been given
    up while it waits is dropped, and costs nothing.
    """

    def __init__(self, world: World, number: int, slots: int, queue: int) -> None:
        self.world = world
        self.number = number
        self.slots = slots
        self.queue = queue
        self.slower = 1.0  # how much longer than drawn each call takes
        self.refusing = False
        self.paused_until = 0.0
        self.busy = 0
        self.waiting: deque[Attempt] = deque()
        self.work_ms = 0.0

    def take(self, attempt: Attempt) -> None:
        if self.refusing or len(self.waiting) >= self.queue:
            self.world.after(1.0, lambda: attempt.end(Outcome.FULL))
        else:
            self.waiting.append(attempt)
            self._next()

    def _next(self) -> None:
        while self.waiting and self.busy < self.slots:
            attempt = self.waiting.popleft()
            if not attempt.over:
                self.busy += 1
                work = (
                    self.world.draw_work(self.number) * self.slower * self.world.heavier.get(attempt.cls, 1.0)
                )
                pause = max(0.0, self.paused_until - self.world.now)
                self.work_ms += work
                self.world.after(pause + work, lambda attempt=attempt: self._done(attempt))  # type: ignore[misc]

    def _done(self, attempt: Attempt) -> None:
        self.busy -= 1
        attempt.end(Outcome.OK)
        self._next()


class Attempt:
    def __init__(self, copy: Copy, action: Send, number: int) -> None:
        self.copy = copy
        self.request = action.request
        self.server = action.server
        self.number = number
        self.cls = copy.asked[action.request].cls
        self.sent = copy.world.now
        self.over = False
        world = copy.world
        world.after(world.way_ms, lambda: world.upstreams[self.server].take(self))
        world.after(action.timeout_ms, lambda: self.end(Outcome.TIMEOUT, 0.0))

    def end(self, outcome: Outcome, way: float | None = None) -> None:
        way = self.copy.world.way_ms if way is None else way
        if way:
            self.copy.world.after(way, lambda: self.end(outcome, 0.0))
        elif not self.over:
            self.over = True
            self.copy.attempt_ended(self, outcome)


@dataclass
class Asked:
    """One request of a caller, and what became of it."""

    at: float
    cls: int
    then: Callable[[str], None]
    tenant: int = 0
    attempts: int = 0
    over: bool = False


class Copy:
    """One balancer. It owes each request an answer by its deadline, as the dispatcher does."""

    def __init__(
        self,
        world: World,
        number: int,
        settings: Settings,
        seed: int,
        limiter: ConcurrencyLimiter | None = None,
    ) -> None:
        self.world = world
        self.number = number
        self.settings = settings
        self.balancer = self._decisions(settings, seed, limiter)
        self.asked: dict[int, Asked] = {}
        self._ids = count(1)
        self.served = 0
        entries = [ServerEntry(up.number) for up in world.upstreams]
        self.handle(ListUpdate(ListKind.FULL, 1, entries))

    def _decisions(self, settings: Settings, seed: int, limiter: ConcurrencyLimiter | None) -> Any:
        return Balancer(settings, seed, limiter)

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.world.now, event):
            self._act(action)

    def ask(self, cls: int, then: Callable[[str], None], tenant: int = 0, left: float | None = None) -> None:
        number = next(self._ids)
        left = self.settings.classes[cls].deadline_ms if left is None else left
        self.asked[number] = Asked(self.world.now, cls, then, tenant)
        self.world.after(left, lambda: self._answer(number, "overdue"))
        self.handle(RequestArrived(number, cls, left, tenant))

    def _act(self, action: Action) -> None:
        if isinstance(action, Send):
            asked = self.asked[action.request]
            Attempt(self, action, asked.attempts)
            asked.attempts += 1
        elif isinstance(action, Refuse):
            self._answer(action.request, "refused")
        elif isinstance(action, Fail):
            self._answer(action.request, "failed")
        elif isinstance(action, SetTimer):
            cookie = action.cookie
            self.world.after(max(0.0, action.delay_ms), lambda: self.handle(TimerFired(cookie)))

    def _answer(self, number: int, what: str) -> None:
        asked = self.asked.get(number)
        if asked is None or asked.over:
            return
        asked.over = True
        if what == "served":
            self.served += 1
        self.world.note(self, asked, what)
        asked.then(what)

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        asked = self.asked[attempt.request]
        over = asked.over
        if outcome is Outcome.OK:
            self._answer(attempt.request, "served")
        spent = self.world.now - attempt.sent
        self.handle(
            AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.server,
                outcome,
                over or asked.over,
                spent,
                upstream_ms=self.world.seen_ms(spent),
            )
        )


@dataclass
class Row:
    """Counts of one span of time."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0
    waits: list[float] = field(default_factory=list)  # of the refused
    spent: list[float] = field(default_factory=list)  # of the served


def quantile(values: Iterable[float], part: float) -> float:
    ordered = sorted(values)
    return ordered[int(part * (len(ordered) - 1))] if ordered else 0.0


def jain(values: list[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where one has everything."""
    square = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * square) if square else 1.0


class World:
    """The clock, the upstreams, the copies, and the counts by spans of `span_ms`."""

    def __init__(
        self,
        seed: int,
        upstreams: int = 3,
        slots: int = 4,
        service_ms: float = 50.0,
        spread: str = "fixed",
        queue: int = 1000,
        copies: int = 1,
        classes: tuple[RequestClass, ...] = (),
        way_ms: float = 0.2,
        span_ms: float = 100.0,
        limiter: Callable[[Settings, Random], Any] | None = None,
        **settings: Any,
    ) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.way_ms = way_ms
        self.spread = spread
        self.service_ms = [service_ms] * upstreams
        self.span_ms = span_ms
        self.heavier: dict[int, float] = {}  # by class: how much more work its requests are than drawn
        self.lag_ms = 0.0  # of `spent`, what the copy's own process added and can tell
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self.upstreams = [Upstream(self, n, slots, queue) for n in range(upstreams)]
        self.rows: dict[int, Row] = {}
        classes = classes or (RequestClass(AIM_MS, DEADLINE_MS, Effect.SAFE, name="look"),)
        self.copies = []
        for n in range(copies):
            own = Settings(classes=classes, me=n, balancer_count=copies, max_attempts=4, **settings)
            other = limiter(own, Random(seed * 1000 + n)) if limiter is not None else None
            if other is not None:
                other.now_ms = lambda: self.now
            self.copies.append(Copy(self, n, own, seed * 1000 + n, other))

    @property
    def capacity_per_s(self) -> float:
        return sum(
            up.slots * 1000.0 / (self.service_ms[up.number] * up.slower)
            for up in self.upstreams
            if not up.refusing
        )

    def draw_work(self, number: int) -> float:
        mean = self.service_ms[number]
        if self.spread == "fixed":
            return mean
        if self.spread == "exponential":
            return self.rng.expovariate(1.0 / mean)
        return mean * math.exp(self.rng.gauss(-0.125, 0.5))  # lognormal, sigma 0.5

    def seen_ms(self, spent: float) -> float | None:
        return max(0.0, spent - self.lag_ms)

    def after(self, delay: float, call: Callable[[], None]) -> None:
        heappush(self._heap, (self.now + delay, next(self._serial), call))

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, call = heappop(self._heap)
            call()
        self.now = until

    def row(self) -> Row:
        return self.rows.setdefault(int(self.now // self.span_ms), Row())

    def note(self, copy: Copy, asked: Asked, what: str) -> None:
        row = self.row()
        spent = self.now - asked.at
        if what == "served":
            row.served += 1
            row.in_aim += spent <= copy.settings.classes[asked.cls].aim_ms
            row.spent.append(spent)
        elif what == "refused":
            row.refused += 1
            row.waits.append(spent)
        else:
            row.failed += 1

    def total(self, since: float, until: float) -> Row:
        whole = Row()
        for at, row in self.rows.items():
            if since <= at * self.span_ms < until:
                whole.asked += row.served + row.refused + row.failed
                whole.served += row.served
                whole.in_aim += row.in_aim
                whole.refused += row.refused
                whole.failed += row.failed
                whole.waits += row.waits
                whole.spent += row.spent
        return whole

    # ------------------------------------------------ callers

    def closed(
        self, callers: int, think_ms: float = 0.0, after_refusal_ms: float = 50.0, cls: int = 0
    ) -> Callable[[], None]:
        """Callers that ask again once answered; call what is returned to end them."""
        going = [True]

        def begin(n: int) -> None:
            copy = self.copies[n % len(self.copies)]

            def again(what: str) -> None:
                wait = think_ms if what == "served" else think_ms + after_refusal_ms
                # Never at once: events of one moment must not nest.
                self.after(max(wait, 0.01) * (0.5 + self.rng.random()), ask)

            def ask() -> None:
                if going[0]:
                    copy.ask(cls, again)

            self.after(self.rng.random(), ask)

        for n in range(callers):
            begin(n)

        def end() -> None:
            going[0] = False

        return end

    def poisson(
        self,
        per_s: float,
        until: float,
        cls: int = 0,
        tenant: int = 0,
        weights: list[float] | None = None,
    ) -> None:
        """Open arrivals over all copies; `weights` says how unevenly."""
        choices = list(range(len(self.copies)))

        def arrive() -> None:
            if self.now >= until:
                return
            copy = self.copies[self.rng.choices(choices, weights)[0] if weights else self.rng.choice(choices)]
            self.after(self.rng.expovariate(per_s / 1000.0), arrive)
            copy.ask(cls, lambda what: None, tenant)

        self.after(self.rng.expovariate(per_s / 1000.0), arrive)


def best_possible(
    seed: int,
    upstreams: int,
    slots: int,
    service_ms: float,
    times: float,
    until: float,
    aim_ms: float = AIM_MS,
) -> float:
    """What no rule can surpass under Poisson arrivals of so many times the capacity: the part of the capacity served
    within the aim, if every slot is known and takes the next request that can still be in time, the moment it is free.
    """
    rng = Random(seed)
    free = [0.0] * (upstreams * slots)  # when each slot is free; a heap
    per_ms = times * upstreams * slots / service_ms
    now, served = 0.0, 0
    while now < until:
        now += rng.expovariate(per_ms)
        begin = max(now, free[0])
        if begin + service_ms <= now + aim_ms:
            heappop(free)
            heappush(free, begin + service_ms)
            served += 1
    return served * service_ms / (until * upstreams * slots)
