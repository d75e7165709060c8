"""A fleet in simulated time: balancers, with the real decision module or a policy to compare it with, before modelled
servers. A discrete-event simulation; pure logic. Times are milliseconds.

A seed determines a run. Arrivals and service times have random generators of their own, so that two policies under
one seed meet the same ones.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from larkweir_balancing.interface import NEVER_RAN, Outcome

from larkweir.budget.rules import SHARES, Account
from larkweir.lab.balancers import LarkweirBalancer, PolicyBalancer
from larkweir.lab.faults import Faults
from larkweir.lab.measures import Measures
from larkweir.lab.scenario import Class, Scenario, service_of, time_ms
from larkweir.lab.servers import Call, CallOwner, Server
from larkweir.lab.service_times import mean_of
from larkweir.lab.traffic import Arrivals, Traffic

MAX_PENDING_EVENTS = 200_000  # past that the fleet is unstable, and the run ends and says so
REFUSED_CONNECTION_MS = 50.0  # until a call to a crashed server is seen to be refused

Balancers = list[LarkweirBalancer | PolicyBalancer]


class World:
    """One run: its event queue, its servers and balancers, and the requests that are open."""

    def __init__(self, scenario: Scenario, seed: int, recorded: Arrivals | None = None) -> None:
        """`recorded` are the arrivals, each with its balancer; else they are drawn."""
        self.scenario, self.seed = scenario, seed
        self.now = 0.0
        self.span_ms = time_ms(scenario.span, "span")
        warm_ms = time_ms(scenario.warm, "warm")
        self.classes = scenario.classes or (Class("look"),)
        self.aims = [time_ms(row.aim or scenario.aim, "aim") for row in self.classes]
        self.deadlines = [time_ms(row.deadline or scenario.deadline, "deadline") for row in self.classes]
        self.advice_ms = time_ms(scenario.advice, "advice")
        self.cold_ms, self.cold_share = time_ms(scenario.cold, "cold"), scenario.cold_share
        self._cross_zone_ms = time_ms(scenario.crossing, "crossing")
        self._network_ms = time_ms(scenario.network, "network")
        self._client_wait_ms = time_ms(scenario.client_wait, "client_wait")
        self._client_rng = Random(f"{seed} ears")
        # Events
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self.events = 0
        self.unstable = ""
        # Requests that are open, by number
        self._next = 1
        self.kinds: dict[int, tuple[int, int]] = {}  # class and tenant
        self.clients: dict[int, int] = {}  # the client's first try
        self.accounts: dict[int, Account] = {}  # where there are budgets
        self.due: dict[int, float] = {}
        self._began: dict[int, float] = {}
        self._tries: dict[int, int] = {}  # by the client, before this one
        self._callbacks: dict[int, Callable[[bool], None]] = {}  # of a server that waits for its request
        self._ran: dict[int, int] = {}  # of unsafe ones: how often they have run
        # The fleet
        self.zone_names = sorted({row.zone for row in scenario.servers})
        self.tiers = 1 + max(row.tier for row in scenario.servers)
        self.servers: list[Server] = []
        self.zones: list[str] = []
        capacity = self._make_servers()
        self.balancers, self._balancers_before = self._make_balancers()
        self._faults = Faults(self)
        self._traffic = Traffic(self, self.classes, capacity, recorded, self._ask)
        self.measures = Measures(scenario, self.classes, self.span_ms, warm_ms)

    def _make_servers(self) -> float:
        """Returns the calls a millisecond that the tightest tier can do."""
        able = [0.0] * self.tiers
        for kind, row in enumerate(self.scenario.servers):
            service, shared = service_of(row.service, "service"), row.discipline == "shared"
            for _ in range(row.count * self.scenario.scale):
                server = Server(self, len(self.servers), service, row.slots, row.speed, row.queue, shared)
                server.tier, server.kind = row.tier, kind
                server.holds, server.calls_below = row.holds, row.calls
                server.zone = self.zone_names.index(row.zone)
                self.servers.append(server)
                self.zones.append(row.zone)
                able[row.tier] += (1 if shared else row.slots) * row.speed / mean_of(service)
        return min(able)

    def _make_balancers(self) -> tuple[Balancers, list[Balancers]]:
        """The balancers that clients reach, and those before each tier."""
        make: type[LarkweirBalancer | PolicyBalancer] = (
            LarkweirBalancer if self.scenario.policy == "larkweir" else PolicyBalancer
        )
        first: Balancers = [
            make(self, me, me % len(self.zone_names)) for me in range(self.scenario.balancers)
        ]
        before = [first]
        for tier in range(1, self.tiers):
            above = [server for server in self.servers if server.tier == tier - 1]
            row: Balancers = [
                make(self, me, server.zone, tier, len(above)) for me, server in enumerate(above)
            ]
            for server, balancer in zip(above, row, strict=True):
                server.below = balancer
            before.append(row)
        return first, before

    # ------------------------------------------------ time

    def after(self, pause: float, call: Callable[[], None]) -> None:
        """Call `call` after `pause` milliseconds of simulated time."""
        heappush(self._queue, (self.now + pause, next(self._serial), call))

    def play(self) -> dict[str, Any]:
        """Run to the end and return the result (`Measures.result`)."""
        self.list_servers()
        for n, fault in enumerate(self.scenario.faults):
            self._faults.schedule(n, fault)
        self._traffic.begin()
        until = self.span_ms + max(self.deadlines)
        while self._queue and self._queue[0][0] <= until and not self.unstable:
            self.now, _, call = heappop(self._queue)
            self.events += 1
            call()
            if len(self._queue) > MAX_PENDING_EVENTS:
                self.unstable = (
                    f"over {MAX_PENDING_EVENTS:,} calls and timers wait at {self.now / 1000.0:.1f} s"
                )
        return self.measures.result(self.servers, self.tiers, self.unstable)

    def list_servers(self) -> None:
        """Tell each balancer the servers before it that are up."""
        for tier, before in enumerate(self._balancers_before):
            up = [
                server.number
                for server in self.servers
                if server.tier == tier and not server.dead and not server.draining
            ]
            for balancer in before:
                balancer.update_servers(up)

    # ------------------------------------------------ requests

    def _ask(self, balancer: int) -> None:
        request = self._new(self.scenario.budget)
        kind = self.kinds[request] = self._traffic.draw_kind()
        self._began[request] = self.now
        self.measures.asked(self.now, kind)
        self.due[request] = self.now + self.aims[kind[0]]
        self.balancers[balancer].arrive(request, self.deadlines[kind[0]])

    def _new(self, budget: int, tier: int = 0) -> int:
        request = self._next
        self._next += 1
        if budget:
            self.accounts[request] = Account(budget, tier == self.tiers - 1, SHARES["most"])
        return request

    def _retry_by_client(self, began: float, tries: int, kind: tuple[int, int], client: int) -> None:
        """A client retries a request that was not served: as a new request, at any balancer."""
        request = self._new(self.scenario.budget)
        self._began[request], self._tries[request], self.kinds[request] = began, tries, kind
        self.clients[request] = client
        self.due[request] = self.now + self.aims[kind[0]]
        self.balancers[int(self._client_rng.random() * len(self.balancers))].arrive(
            request, self.deadlines[kind[0]]
        )

    def call_below(self, server: Server, call: Call, then: Callable[[bool], None]) -> None:
        """A server that has done its own work calls the next tier, within its call's remaining time and retry budget;
        `then` is called with whether it was served.
        """
        left = min(self.deadlines[call.kind[0]], call.until_ms - self.now)
        part = call.part if self.scenario.budget else 0
        if left <= 0.0 or (self.scenario.budget and part < 1):
            then(False)
            return
        request = self._new(part, server.tier + 1)
        self._callbacks[request] = then
        self.kinds[request] = call.kind
        self.due[request] = self.now + left
        if part:
            call.account = self.accounts[request]
        assert server.below is not None
        server.below.arrive(request, left)

    # ------------------------------------------------ calls

    def send(self, balancer: CallOwner, request: int, number: int, server: int, timeout_ms: float) -> None:
        """A balancer sends the `number`th attempt of a request; `timeout_ms`: 0 for none."""
        call = Call(balancer, request, number, self.servers[server], self.now)
        account = self.accounts.get(request)
        if account is not None:
            call.part = account.grant(number, max(1, self.scenario.attempts - number))
            if call.part < 1:
                self.after(0.0, lambda: self._end(call, Outcome.MOOT))
                return
        call.kind = self.kinds.get(request, (0, 0))
        call.work = self.classes[call.kind[0]].work
        crosses_zone = call.server.zone != balancer.zone
        self.measures.sent(crosses_zone)
        call.one_way_ms = self._network_ms + self._cross_zone_ms * crosses_zone
        call.until_ms = self.now + timeout_ms if timeout_ms > 0.0 else math.inf
        if request in self._began:
            self.measures.attempted(self._began[request])
        if call.server.dead:
            self.after(
                min(REFUSED_CONNECTION_MS, 2.0 * self._network_ms),
                lambda: self._end(call, Outcome.CONNECT_FAILED),
            )
            return
        self.after(call.one_way_ms, lambda: self._reach(call))
        if timeout_ms > 0.0:
            self.after(timeout_ms, lambda: self._end(call, Outcome.TIMEOUT))

    def _reach(self, call: Call) -> None:
        if call.server.dead:
            self.answer(call, Outcome.CONNECT_FAILED)
        elif not call.done:
            call.server.take(call)

    def answer(self, call: Call, outcome: Outcome) -> None:
        """A server answers a call; the answer arrives after the network's delay."""
        self.after(call.one_way_ms, lambda: self._end(call, outcome))

    def _end(self, call: Call, outcome: Outcome) -> None:
        if call.done:
            return
        call.done = True
        account = self.accounts.get(call.request)
        if account is not None:
            # An answer reports what it has cost in the tiers below; a call without one counts with all it was given.
            answered = outcome in (Outcome.OK, Outcome.ERROR)
            reported = (0 if call.account is None else call.account.reported) if answered else None
            account.settle(call.number, reported, outcome in NEVER_RAN)
        call.balancer.ended(call, outcome)

    def served(self, request: int) -> bool:
        """A request was served; returns whether it was still open."""
        callback = self._callbacks.pop(request, None)
        if callback is not None:
            self._forget(request)
            callback(True)
            return True
        began = self._began.get(request)
        if began is None:
            return False
        spent = self.now - began
        kind = self.kinds[request]
        self.measures.served(began, kind, spent, in_time=spent <= self.aims[kind[0]])
        self._forget(request)
        return True

    def refused(self, request: int, wait_ms: float = 0.0) -> None:
        """A request has ended without an answer. Its client may retry, after its own pause or `wait_ms`, which the
        refusal advises.
        """
        callback = self._callbacks.pop(request, None)
        if callback is not None:
            self._forget(request)
            callback(False)
        elif request in self._began:
            began, tries = self._began[request], self._tries.get(request, 0) + 1
            if tries < self.scenario.client_tries:
                pause = max(self._client_wait_ms, wait_ms if self.scenario.client_heeds else 0.0)
                kind, client = self.kinds[request], self.clients.get(request, request)
                self.after(pause, lambda: self._retry_by_client(began, tries, kind, client))
            else:
                self.measures.refused(began)
            self._forget(request)

    def _forget(self, request: int) -> None:
        self._began.pop(request, None)
        self.kinds.pop(request, None)
        self.clients.pop(request, None)
        self._ran.pop(request, None)
        self._tries.pop(request, None)
        self.due.pop(request, None)
        self.accounts.pop(request, None)

    def took_effect(self, call: Call) -> None:
        """A server has begun to work on a call; an unsafe request may be worked on once."""
        if self.classes[call.kind[0]].effect == "unsafe" and call.request in self.kinds:
            times = self._ran[call.request] = self._ran.get(call.request, 0) + 1
            self.measures.ran_twice += times == 2

    def idle(self, server: Server) -> None:
        """A server has run out of work, and tells one of the balancers before it."""
        if not server.dead:
            before = self._balancers_before[server.tier]
            before[int(self._client_rng.random() * len(before))].idle(server.number)

    # ------------------------------------------------ the policies' view (`larkweir.lab.policies.View`)

    def queue_of(self, server: int) -> int:
        """The calls at a server, running and waiting."""
        return self.servers[server].load

    def latency_of(self, server: int) -> float:
        """The server's own estimate for a call now, in milliseconds."""
        return self.servers[server].latency()

    def speed_of(self, server: int) -> float:
        """The server's relative speed."""
        return self.servers[server].speed


def play(scenario: Scenario, seed: int, recorded: list[tuple[float, int]] | None = None) -> dict[str, Any]:
    """Run a scenario under one seed; the result is that of `Measures.result`."""
    return World(scenario, seed, recorded).play()
