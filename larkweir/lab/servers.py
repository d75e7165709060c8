"""Model of a server and of the calls to it, in simulated time. Pure logic."""

from __future__ import annotations

import math
from collections import deque
from random import Random
from typing import TYPE_CHECKING, Protocol

from larkweir_balancing.interface import Outcome

from larkweir.budget.rules import Account
from larkweir.lab.scenario import Service
from larkweir.lab.service_times import draw

if TYPE_CHECKING:
    from larkweir.lab.model import World


class CallOwner(Protocol):
    """The balancer that a call is from."""

    zone: int

    def ended(self, call: Call, outcome: Outcome) -> None:
        """The call has ended."""


class NextTier(Protocol):
    """A server's balancer before the next tier."""

    def arrive(self, request: int, left_ms: float) -> None:
        """A request that is to be answered within `left_ms`."""


class Call:
    """One attempt of a request at a server."""

    __slots__ = (
        "account",
        "balancer",
        "before",
        "done",
        "kind",
        "left_ms",
        "number",
        "one_way_ms",
        "part",
        "request",
        "sent_ms",
        "server",
        "tag",
        "token",
        "until_ms",
        "work",
    )

    def __init__(self, balancer: CallOwner, request: int, number: int, server: Server, now: float) -> None:
        self.balancer, self.request, self.number = balancer, request, number
        self.server, self.sent_ms = server, now
        self.done = False
        self.before = 0  # calls that were at its server when it arrived
        self.left_ms = 0.0  # of work, at speed 1
        self.until_ms = math.inf  # when its balancer gives it up
        self.part = 0  # of its request's budget
        self.work = 1.0  # times its server's usual service time
        self.kind = (0, 0)  # its class and tenant
        self.one_way_ms = 0.0  # of the network
        self.account: Account | None = None  # of its server's request to the next tier
        self.tag = 0.0
        self.token = 0


class Server:
    """A server that works on up to `slots` calls at a time, first in first out, or on all at once with its speed shared
    among them (processor sharing).
    """

    def __init__(
        self, world: World, number: int, service: Service, slots: int, speed: float, queue: int, shared: bool
    ) -> None:
        self.world, self.number, self.service, self.slots = world, number, service, slots
        self.speed, self.max_waiting, self.shared = speed, queue, shared
        self.rng = Random(f"{world.seed} service {number}")
        self.waiting: deque[Call] = deque()
        self.running: list[Call] = []
        self.slower = 1.0
        self.dead = self.refusing = self.failing = self.stalled = False
        self.started_ms = -math.inf  # when it started; it is cold for a while from then on
        self.draining = False  # discovery does not list it
        self.zone = 0
        self.tier = self.kind = (
            0  # its kind is its row in the scenario, which discovery lists as machine type
        )
        self.below: NextTier | None = None  # its balancer before the next tier, if there is one
        self.holds, self.calls_below = True, 1.0
        self.waiting_below: list[Call] = []  # calls that wait for the next tier and hold no slot
        self.calls = 0
        self.work_ms = 0.0
        self._recent_ms: dict[int, float] = {}  # moving average of call times, by `Call.before`
        self._virtual_work_ms = self._updated_ms = (
            0.0  # processor sharing: work done for each call, and up to when
        )
        self._token = 0

    @property
    def load(self) -> int:
        """Calls here, running and waiting."""
        return len(self.waiting) + len(self.running)

    def latency(self) -> float:
        """Estimate in milliseconds for a call that arrives now, from calls that found as many here (as Prequal's
        servers report it).
        """
        here = self.load
        if here in self._recent_ms or not self._recent_ms:
            return self._recent_ms.get(here, 0.0)
        near = min(self._recent_ms, key=lambda before: (abs(before - here), before))
        return self._recent_ms[near] * (here + 1) / (near + 1)

    def _rate(self) -> float:
        if self.stalled:
            return 0.0
        world = self.world
        age = world.now - self.started_ms
        share = 1.0
        if age < world.cold_ms:
            share = world.cold_share + (1.0 - world.cold_share) * age / world.cold_ms
        return self.speed * share / self.slower

    def take(self, call: Call) -> None:
        """A call has arrived: run it, queue it, or refuse it where the queue is full."""
        if self.refusing or self.load >= self.max_waiting + self.slots:
            self.world.answer(call, Outcome.FULL)
            return
        self.calls += 1
        call.before = self.load
        call.left_ms = draw(self.service, self.rng) * call.work
        self.world.took_effect(call)
        if self.shared:
            self._update_shared()
            call.tag = self._virtual_work_ms + call.left_ms
            self.running.append(call)
            self._next_shared()
        elif len(self.running) < self.slots and not self.stalled:
            self._run(call)
        else:
            self.waiting.append(call)

    def _run(self, call: Call) -> None:
        self.running.append(call)
        spent = call.left_ms / max(self._rate(), 1e-9)
        self.work_ms += spent
        self.world.after(spent, lambda: self._finish(call))

    def _finish(self, call: Call) -> None:
        if call not in self.running:
            return  # the server has crashed meanwhile
        if self.stalled:  # continued when the stall is over
            self.world.after(1.0, lambda: self._finish(call))
            return
        if self.below is None:
            self.running.remove(call)
            self._served(call)
        else:
            if not self.holds:
                self.running.remove(call)
                self.waiting_below.append(call)
            more = int(self.calls_below) + (self.rng.random() < self.calls_below % 1.0)
            self._ask_below(call, more)
        self._start_waiting()

    def _ask_below(self, call: Call, more: int) -> None:
        """Make `more` calls to the next tier, one after another."""
        if more:
            self.world.call_below(
                self,
                call,
                lambda good: self._ask_below(call, more - 1) if good else self._returned(call, False),
            )
        else:
            self._returned(call, True)

    def _returned(self, call: Call, good: bool) -> None:
        """All calls to the next tier for `call` have ended; `good`: all were served."""
        place = self.running if self.holds else self.waiting_below
        if call not in place:
            return  # the server has crashed meanwhile
        place.remove(call)
        if good:
            self._served(call)
        else:
            self.world.answer(call, Outcome.ERROR)
        self._start_waiting()

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.slots and not self.stalled:
            call = self.waiting.popleft()
            if not call.done:  # a call that was given up takes no slot
                self._run(call)
        if not self.load:
            self.world.idle(self)

    def _served(self, call: Call) -> None:
        spent = self.world.now - call.sent_ms
        known = self._recent_ms.get(call.before, spent)
        self._recent_ms[call.before] = known + 0.1 * (spent - known)
        self.world.answer(call, Outcome.ERROR if self.failing else Outcome.OK)

    def _update_shared(self) -> None:
        """Processor sharing: advance the work done for each call up to now."""
        if self.running:
            self._virtual_work_ms += (self.world.now - self._updated_ms) * self._rate() / len(self.running)
            self.work_ms += self.world.now - self._updated_ms
        self._updated_ms = self.world.now

    def _next_shared(self) -> None:
        self._token += 1
        if not self.running:
            return
        token, first = self._token, min(self.running, key=lambda call: (call.tag, call.request))
        rate = self._rate()
        pause = max(0.0, first.tag - self._virtual_work_ms) * len(self.running) / rate if rate else 1.0
        self.world.after(pause, lambda: self._end_shared(token, first))

    def _end_shared(self, token: int, call: Call) -> None:
        if token != self._token:
            return
        self._update_shared()
        if call.tag <= self._virtual_work_ms + 1e-6:
            self.running.remove(call)
            self._served(call)
            if not self.running:
                self.world.idle(self)
        self._next_shared()

    def crash(self) -> None:
        """Stop; calls that are here are reset."""
        self.dead = True
        lost = [*self.running, *self.waiting_below, *self.waiting]
        self.running, self.waiting_below, self.waiting = [], [], deque()
        self._token += 1
        for call in lost:
            if not call.done:
                self.world.answer(call, Outcome.RESET)

    def stall(self, on: bool) -> None:
        """Stop working, or go on."""
        self.stalled = on
        if not on:
            self._start_waiting()

    def restart(self) -> None:
        """Start again, cold."""
        self.dead = False
        self.started_ms = self.world.now
