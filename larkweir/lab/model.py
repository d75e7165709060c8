"""Rules: a fleet in simulated time: balancers with the real decisions, or a peer's policy, before servers that are
models.

One seed makes one play: arrivals and service times are drawn from streams of their own, so that two policies under
one seed meet the same ones. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram

from larkweir.budget.rules import SHARES, Account
from larkweir.core.ports import Decisions
from larkweir.lab.policies import POLICIES, Policy
from larkweir.lab.scenario import Class, Scenario, Service, service_of, time_ms
from larkweir.storms.storm import Storm
from larkweir.storms.watch import Watch
from mulleinhitch import Balancer
from mulleinhitch.interface import (
    NEVER_RAN,
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
    Settings,
    Tenant,
    TimerFired,
)

STORM_TICK_MS = 250.0  # a storm passes also where nothing comes
BUCKET_MS = 250.0  # of the time line
MOST_WAITING = 200_000  # calls in the whole world: past that it is unstable, and the play ends and says so
DRAIN_MS, DOWN_MS = 1_000.0, 1_000.0  # of a deploy: a server takes nothing new, and is not there
LOST_MS = 50.0  # until a call to a crashed server is seen to be refused


def mean_of(service: Service) -> float:
    """Of a call at speed 1."""
    if service.kind != "pareto":
        return service.mean_ms
    # Cut at `most` times the mean of the uncut one.
    alpha, high = service.shape, service.most
    low = (alpha - 1.0) / alpha
    if alpha == 1.0:
        return service.mean_ms
    part = (low / high) ** alpha
    cut = low**alpha / (1.0 - part) * alpha / (alpha - 1.0) * (low ** (1.0 - alpha) - high ** (1.0 - alpha))
    return float(service.mean_ms * cut)


def draw(service: Service, rng: Random) -> float:
    if service.kind == "exponential":
        return rng.expovariate(1.0 / service.mean_ms)
    if service.kind == "deterministic":
        return service.mean_ms
    if service.kind == "lognormal":
        sigma = service.shape
        return rng.lognormvariate(math.log(service.mean_ms) - sigma * sigma / 2.0, sigma)
    alpha, high = service.shape, service.most
    low = (alpha - 1.0) / alpha
    part = (low / high) ** alpha
    return float(service.mean_ms * low / (1.0 - rng.random() * (1.0 - part)) ** (1.0 / alpha))


def _share(asked: int, good: int) -> float | None:
    return round(good / asked, 6) if asked else None


class Call:
    """One attempt."""

    __slots__ = (
        "account",
        "balancer",
        "before",
        "done",
        "kind",
        "left_ms",
        "number",
        "part",
        "request",
        "sent_ms",
        "server",
        "tag",
        "token",
        "until_ms",
        "way",
        "work",
    )

    def __init__(self, balancer: Any, request: int, number: int, server: Server, now: float) -> None:
        self.balancer, self.request, self.number = balancer, request, number
        self.server, self.sent_ms = server, now
        self.done = False
        self.before = 0  # calls that it found at its server
        self.left_ms = 0.0  # of work
        self.until_ms = math.inf  # when its caller gives it up
        self.part = 0  # of its request's budget
        self.work = 1.0  # times the usual
        self.kind = (0, 0)  # its class and tenant
        self.way = 0.0  # one way
        self.account: Account | None = None  # of what its server has asked below
        self.tag = 0.0
        self.token = 0


class Server:
    """In order with `slots` at once, or all at once with its speed shared."""

    def __init__(
        self, world: World, number: int, service: Service, slots: int, speed: float, queue: int, shared: bool
    ) -> None:
        self.world, self.number, self.service, self.slots = world, number, service, slots
        self.speed, self.most, self.shared = speed, queue, shared
        self.rng = Random(f"{world.seed} service {number}")
        self.waiting: deque[Call] = deque()
        self.running: list[Call] = []
        self.slower = 1.0
        self.dead = self.refusing = self.failing = self.stalled = False
        self.started_ms = -math.inf  # cold from then on
        self.draining = False  # no list names it
        self.zone = 0
        self.tier = self.kind = 0  # its kind is the row that it is of, as discovery tells machine types
        self.below: Any = None  # its balancer before the next tier, if there is one
        self.holds, self.calls_below = True, 1.0
        self.away: list[Call] = []  # that wait for the next tier and hold no slot
        self.calls = 0
        self.work_ms = 0.0
        self._lately: dict[int, float] = {}  # mean time of late, by how many were there before
        self._virtual = self._since = 0.0  # of sharing: work that each has had
        self._token = 0

    @property
    def load(self) -> int:
        return len(self.waiting) + len(self.running)

    def latency(self) -> float:
        """What a call that came now would take, by those that found as many here (as Prequal's servers tell)."""
        here = self.load
        if here in self._lately or not self._lately:
            return self._lately.get(here, 0.0)
        near = min(self._lately, key=lambda before: (abs(before - here), before))
        return self._lately[near] * (here + 1) / (near + 1)

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
        if self.refusing or self.load >= self.most + self.slots:
            self.world.answer(call, Outcome.FULL)
            return
        self.calls += 1
        call.before = self.load
        call.left_ms = draw(self.service, self.rng) * call.work
        self.world.runs(call)
        if self.shared:
            self._share()
            call.tag = self._virtual + call.left_ms
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
            return  # it crashed meanwhile
        if self.stalled:  # it goes on when the stall is over
            self.world.after(1.0, lambda: self._finish(call))
            return
        if self.below is None:
            self.running.remove(call)
            self._served(call)
        else:
            if not self.holds:
                self.running.remove(call)
                self.away.append(call)
            more = int(self.calls_below) + (self.rng.random() < self.calls_below % 1.0)
            self._ask_below(call, more)
        self._go_on()

    def _ask_below(self, call: Call, more: int) -> None:
        """So many calls of the next tier, one after another."""
        if more:
            self.world.call_below(
                self,
                call,
                lambda good: self._ask_below(call, more - 1) if good else self._returned(call, False),
            )
        else:
            self._returned(call, True)

    def _returned(self, call: Call, good: bool) -> None:
        """The tier below has answered for a call."""
        place = self.running if self.holds else self.away
        if call not in place:
            return  # it crashed meanwhile
        place.remove(call)
        if good:
            self._served(call)
        else:
            self.world.answer(call, Outcome.ERROR)
        self._go_on()

    def _go_on(self) -> None:
        while self.waiting and len(self.running) < self.slots and not self.stalled:
            call = self.waiting.popleft()
            if not call.done:  # one that was given up costs nothing
                self._run(call)
        if not self.load:
            self.world.idle(self)

    def _served(self, call: Call) -> None:
        spent = self.world.now - call.sent_ms
        known = self._lately.get(call.before, spent)
        self._lately[call.before] = known + 0.1 * (spent - known)
        self.world.answer(call, Outcome.ERROR if self.failing else Outcome.OK)

    def _share(self) -> None:
        """Bring the work that each has had up to now."""
        if self.running:
            self._virtual += (self.world.now - self._since) * self._rate() / len(self.running)
            self.work_ms += self.world.now - self._since
        self._since = self.world.now

    def _next_shared(self) -> None:
        self._token += 1
        if not self.running:
            return
        token, first = self._token, min(self.running, key=lambda call: (call.tag, call.request))
        rate = self._rate()
        pause = max(0.0, first.tag - self._virtual) * len(self.running) / rate if rate else 1.0
        self.world.after(pause, lambda: self._end_shared(token, first))

    def _end_shared(self, token: int, call: Call) -> None:
        if token != self._token:
            return
        self._share()
        if call.tag <= self._virtual + 1e-6:
            self.running.remove(call)
            self._served(call)
            if not self.running:
                self.world.idle(self)
        self._next_shared()

    def crash(self) -> None:
        self.dead = True
        lost = [*self.running, *self.away, *self.waiting]
        self.running, self.away, self.waiting = [], [], deque()
        self._token += 1
        for call in lost:
            if not call.done:
                self.world.answer(call, Outcome.RESET)

    def restart(self) -> None:
        self.dead = False
        self.started_ms = self.world.now


class Real:
    """A balancer with the real decision module."""

    def __init__(self, world: World, me: int, zone: int, tier: int = 0, copies: int = 0) -> None:
        self.world, self.tier, self.zone = world, tier, zone
        scenario = world.scenario
        settings = Settings(
            tuple(
                RequestClass(
                    world.aims[n],
                    world.deadlines[n],
                    Effect.UNSAFE if row.effect == "unsafe" else Effect.SAFE,
                    worth=row.worth,
                    name=row.name,
                )
                for n, row in enumerate(world.classes)
            ),
            tenants=tuple(Tenant(row.share, name=row.name) for row in scenario.tenants),
            zones=len(world.zone_names),
            my_zone=zone,
            price_cross_zone=scenario.crossing_price,
            me=me,
            copies=copies or scenario.balancers,
            tier=tier,
            tiers=world.tiers,
            max_attempts=scenario.attempts,
            retry_advice=world.advice_ms > 0.0,
            max_retry_after_ms=world.advice_ms,
            cold_share=scenario.cold_share,
            cold_ms=world.cold_ms,
        )
        self.decisions = Balancer(settings, world.seed * 100_003 + me + tier * 50_021)
        self._sent: dict[int, int] = {}
        self._ears: Decisions = self.decisions
        if scenario.storms and not tier:
            storm = Storm(settings, world.seed * 7_919 + me)
            watch = Watch(self.decisions, storm, lambda request: world.clients.get(request, 0) + 1)
            self._ears = watch

            def tick() -> None:
                watch.tick(world.now)
                world.after(STORM_TICK_MS, tick)

            world.after(STORM_TICK_MS, tick)

    def tell(self, event: Event) -> None:
        for action in self._ears.handle(self.world.now, event):
            self._act(action)

    def list(self, up: list[int]) -> None:
        world = self.world
        rows = [
            ServerEntry(n, started_ms=max(0.0, it.started_ms), kind=it.kind, zone=it.zone)
            for n, it in ((n, world.servers[n]) for n in up)
        ]
        self.tell(ListUpdate(ListKind.FULL, 1, rows))

    def arrive(self, request: int, left_ms: float) -> None:
        self._sent[request] = 0
        account = self.world.accounts.get(request)
        cls, tenant = self.world.kinds[request]
        left = None if account is None else account.left
        self.tell(RequestArrived(request, cls, left_ms, tenant=tenant, attempts=left))

    def _act(self, action: Action) -> None:
        world = self.world
        if isinstance(action, Send):
            number = self._sent[action.request]
            self._sent[action.request] += 1
            world.send(self, action.request, number, action.server, action.timeout_ms)
        elif isinstance(action, SetTimer):
            cookie = action.cookie
            world.after(max(0.0, action.delay_ms), lambda: self.tell(TimerFired(cookie)))
        elif isinstance(action, Refuse | Fail):
            world.refused(action.request, action.wait_ms if isinstance(action, Refuse) else 0.0)

    def ended(self, call: Call, outcome: Outcome) -> None:
        account = self.world.accounts.get(call.request)
        final = outcome is Outcome.OK and self.world.served(call.request)
        spent = self.world.now - call.sent_ms
        left = None if account is None else account.left
        self.tell(
            AttemptEnded(call.request, call.number, call.server.number, outcome, final, spent, left=left)
        )

    def idle(self, server: int) -> None:
        pass


class Peer:
    """A balancer with a peer's policy, which tries again at once until its attempts or the aim are over."""

    def __init__(self, world: World, me: int, zone: int, tier: int = 0, copies: int = 0) -> None:
        self.world, self.tier, self.zone = world, tier, zone
        make = POLICIES[world.scenario.policy]
        assert make is not None
        self.policy: Policy = make(Random(f"{world.seed} policy {tier} {me}"), len(world.servers), world)
        self.up: list[int] = []
        self._sent: dict[int, int] = {}

    def list(self, up: list[int]) -> None:
        self.up = up

    def arrive(self, request: int, left_ms: float) -> None:
        self._sent[request] = 0
        self._try(request)

    def _try(self, request: int) -> None:
        world = self.world
        left = world.due[request] - world.now
        account = world.accounts.get(request)
        spent = self._sent[request] >= world.scenario.attempts or (account is not None and account.left < 1)
        if not self.up or left <= 0.0 or spent:
            del self._sent[request]
            world.refused(request)
            return
        server = self.policy.choose(self.up, world.now)
        number = self._sent[request]
        self._sent[request] += 1
        self.policy.sent(server, world.now)
        world.send(self, request, number, server, left)

    def ended(self, call: Call, outcome: Outcome) -> None:
        world = self.world
        self.policy.ended(call.server.number, world.now, outcome is Outcome.OK, world.now - call.sent_ms)
        if outcome is Outcome.OK:
            self._sent.pop(call.request, None)
            world.served(call.request)
        elif call.request in self._sent:
            cls = world.classes[call.kind[0]]
            if cls.effect == "unsafe" and outcome not in NEVER_RAN:  # it may have run
                del self._sent[call.request]
                world.refused(call.request)
            else:
                self._try(call.request)

    def idle(self, server: int) -> None:
        self.policy.idle(server)


class World:
    """One play."""

    def __init__(
        self, scenario: Scenario, seed: int, recorded: list[tuple[float, int]] | None = None
    ) -> None:
        """`recorded` are the arrivals, each with its balancer; else they are drawn."""
        self.scenario, self.seed = scenario, seed
        self._recorded = iter(recorded) if recorded is not None else None
        self.now = 0.0
        self.span_ms = time_ms(scenario.span, "span")
        self.warm_ms = time_ms(scenario.warm, "warm")
        self.classes = scenario.classes or (Class("look"),)
        self.aims = [time_ms(row.aim or scenario.aim, "aim") for row in self.classes]
        self.deadlines = [time_ms(row.deadline or scenario.deadline, "deadline") for row in self.classes]
        self._class_parts = [(row.share, n) for n, row in enumerate(self.classes)]
        self._tenant_parts = [(row.asks or row.share, n) for n, row in enumerate(scenario.tenants)]
        self._traffic = Random(f"{seed} traffic")
        self.kinds: dict[int, tuple[int, int]] = {}  # by request: its class and its tenant
        self._ran: dict[int, int] = {}  # of unsafe requests that are open: how often they have run
        self.ran_twice = self._sent = self._crossed = 0
        self.by_class = {row.name: [0, 0] for row in self.classes}  # asked, in time
        self.by_tenant = {row.name: [0, 0] for row in scenario.tenants}
        self.zone_names = sorted({row.zone for row in scenario.servers})
        self.advice_ms = time_ms(scenario.advice, "advice")
        self.clients: dict[int, int] = {}  # by request that is open: the client's first try
        self._crossing = time_ms(scenario.crossing, "crossing")
        self._profile = [(time_ms(at, "profile"), times) for at, times in scenario.profile]
        self.cold_ms, self.cold_share = time_ms(scenario.cold, "cold"), scenario.cold_share
        self._way = time_ms(scenario.network, "network")
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()
        self.events = 0
        self.servers: list[Server] = []
        self.zones: list[str] = []
        self.tiers = 1 + max(row.tier for row in scenario.servers)
        able = [0.0] * self.tiers
        for kind, row in enumerate(scenario.servers):
            service = service_of(row.service, "service")
            for _ in range(row.count * scenario.scale):
                self.servers.append(
                    Server(
                        self,
                        len(self.servers),
                        service,
                        row.slots,
                        row.speed,
                        row.queue,
                        row.discipline == "shared",
                    )
                )
                self.servers[-1].tier, self.servers[-1].kind = row.tier, kind
                self.servers[-1].holds, self.servers[-1].calls_below = row.holds, row.calls
                self.servers[-1].zone = self.zone_names.index(row.zone)
                self.zones.append(row.zone)
                slots = 1 if row.discipline == "shared" else row.slots
                able[row.tier] += slots * row.speed / mean_of(service)
        parts = sum(row.share for row in self.classes)
        mean_work = sum(row.share * row.work for row in self.classes) / parts
        self._most = max((times for _, times in self._profile), default=1.0)
        self._rate = (
            self._most * scenario.load / mean_work * min(able)
        )  # requests a millisecond, by what the tightest tier can do
        self._arrivals = Random(f"{seed} arrivals")
        make = Real if scenario.policy == "larkweir" else Peer
        self.balancers: list[Any] = [
            make(self, me, me % len(self.zone_names)) for me in range(scenario.balancers)
        ]
        self._before: list[list[Any]] = [self.balancers]  # the balancers before each tier
        for tier in range(1, self.tiers):
            above = [server for server in self.servers if server.tier == tier - 1]
            for me, server in enumerate(above):
                server.below = make(self, me, server.zone, tier, len(above))
            self._before.append([server.below for server in above])
        self._ears = Random(f"{seed} ears")
        # Requests
        self.due: dict[int, float] = {}
        self._began: dict[int, float] = {}
        self._tries: dict[int, int] = {}  # by the client, before this one
        self._inner: dict[int, Callable[[bool], None]] = {}  # who waits for a request of a server
        self.accounts: dict[int, Account] = {}  # by request, where there are budgets
        self._client_wait = time_ms(scenario.client_wait, "client_wait")
        self._next = 1
        self.latency = HdrHistogram(1, 100_000_000, 3)  # microseconds
        self.counts = dict.fromkeys(("asked", "served", "in_time", "refused", "attempts"), 0)
        self.line: list[list[int]] = [
            [0, 0, 0] for _ in range(math.ceil(self.span_ms / BUCKET_MS) + 1)
        ]  # asked, in time, attempts
        self.unstable = ""

    # ------------------------------------------------ time

    def after(self, pause: float, call: Callable[[], None]) -> None:
        heappush(self._queue, (self.now + pause, next(self._serial), call))

    def play(self) -> dict[str, Any]:
        self._list()
        for n, fault in enumerate(self.scenario.faults):
            self._plan(n, fault)
        if self._recorded is not None:
            self._await()
        elif self._rate > 0.0:
            self.after(self._arrivals.expovariate(self._rate), self._arrive)
        until = self.span_ms + max(self.deadlines)
        while self._queue and self._queue[0][0] <= until and not self.unstable:
            self.now, _, call = heappop(self._queue)
            self.events += 1
            call()
            if len(self._queue) > MOST_WAITING:
                self.unstable = f"over {MOST_WAITING:,} calls and timers wait at {self.now / 1000.0:.1f} s"
        return self.result()

    def _arrive(self) -> None:
        if self.now >= self.span_ms:
            return
        self.after(self._arrivals.expovariate(self._rate), self._arrive)
        balancer = int(self._arrivals.random() * len(self.balancers))
        if not self._profile or self._traffic.random() * self._most < self._times():
            self._ask(balancer)

    def _times(self) -> float:
        """Of the load, now, by the profile."""
        before = self._profile[0]
        for after in self._profile:
            if after[0] > self.now:
                part = (self.now - before[0]) / max(1e-9, after[0] - before[0])
                return before[1] + (after[1] - before[1]) * max(0.0, part)
            before = after
        return before[1]

    def _drawn(self, rows: Sequence[tuple[float, int]]) -> int:
        """A place, by the parts."""
        at = self._traffic.random() * sum(part for part, _ in rows)
        for part, place in rows:
            at -= part
            if at < 0.0:
                return place
        return rows[-1][1]

    def _await(self) -> None:
        """The next of the recorded arrivals."""
        assert self._recorded is not None
        found = next(self._recorded, None)
        if found is not None and found[0] < self.span_ms:
            self.after(max(0.0, found[0] - self.now), lambda: self._recall(found[1]))

    def _recall(self, balancer: int) -> None:
        self._ask(balancer % len(self.balancers))
        self._await()

    def _ask(self, balancer: int) -> None:
        request = self._new(self.scenario.budget)
        cls = self._drawn(self._class_parts) if len(self.classes) > 1 else 0
        tenant = self._drawn(self._tenant_parts) if self._tenant_parts else 0
        self.kinds[request] = (cls, tenant)
        self._began[request] = self.now
        self._count("asked", request)
        self._note(request, 0)
        self.line[int(self.now / BUCKET_MS)][0] += 1
        self.due[request] = self.now + self.aims[cls]
        self.balancers[balancer].arrive(request, self.deadlines[cls])

    def _note(self, request: int, what: int) -> None:
        """Asked (0) or in time (1), of its class and its tenant."""
        if self._began[request] >= self.warm_ms:
            cls, tenant = self.kinds[request]
            self.by_class[self.classes[cls].name][what] += 1
            if self.by_tenant:
                self.by_tenant[self.scenario.tenants[tenant].name][what] += 1

    def _new(self, budget: int, tier: int = 0) -> int:
        request = self._next
        self._next += 1
        if budget:
            self.accounts[request] = Account(budget, tier == self.tiers - 1, SHARES["most"])
        return request

    def _ask_again(self, began: float, tries: int, kind: tuple[int, int], client: int) -> None:
        """The client of a request that was not served tries once more, as a new one, at any balancer."""
        request = self._new(self.scenario.budget)
        self._began[request], self._tries[request], self.kinds[request] = began, tries, kind
        self.clients[request] = client
        self.due[request] = self.now + self.aims[kind[0]]
        self.balancers[int(self._ears.random() * len(self.balancers))].arrive(
            request, self.deadlines[kind[0]]
        )

    def call_below(self, server: Server, call: Call, then: Callable[[bool], None]) -> None:
        """A server that has done its own work asks the next tier, with the time and the budget that its call has."""
        left = min(self.deadlines[call.kind[0]], call.until_ms - self.now)
        part = call.part if self.scenario.budget else 0
        if left <= 0.0 or (self.scenario.budget and part < 1):
            then(False)
            return
        request = self._new(part, server.tier + 1)
        self._inner[request] = then
        self.kinds[request] = call.kind
        self.due[request] = self.now + left
        if part:
            call.account = self.accounts[request]
        server.below.arrive(request, left)

    def _count(self, name: str, request: int) -> None:
        if self._began[request] >= self.warm_ms:
            self.counts[name] += 1

    # ------------------------------------------------ calls

    def send(self, balancer: Any, request: int, number: int, server: int, timeout_ms: float) -> None:
        call = Call(balancer, request, number, self.servers[server], self.now)
        account = self.accounts.get(request)
        if account is not None:
            call.part = account.grant(number, max(1, self.scenario.attempts - number))
            if call.part < 1:
                self.after(0.0, lambda: self._end(call, Outcome.MOOT))
                return
        call.kind = self.kinds.get(request, (0, 0))
        call.work = self.classes[call.kind[0]].work
        away = call.server.zone != balancer.zone
        self._sent, self._crossed = self._sent + 1, self._crossed + away
        call.way = self._way + self._crossing * away
        call.until_ms = self.now + timeout_ms if timeout_ms > 0.0 else math.inf
        if request in self._began:
            self._count("attempts", request)
            self.line[int(self._began[request] / BUCKET_MS)][2] += 1
        if call.server.dead:
            self.after(min(LOST_MS, 2.0 * self._way), lambda: self._end(call, Outcome.CONNECT_FAILED))
            return
        self.after(call.way, lambda: self._reach(call))
        if timeout_ms > 0.0:
            self.after(timeout_ms, lambda: self._end(call, Outcome.TIMEOUT))

    def _reach(self, call: Call) -> None:
        if call.server.dead:
            self.answer(call, Outcome.CONNECT_FAILED)
        elif not call.done:
            call.server.take(call)

    def answer(self, call: Call, outcome: Outcome) -> None:
        self.after(call.way, lambda: self._end(call, outcome))

    def _end(self, call: Call, outcome: Outcome) -> None:
        if call.done:
            return
        call.done = True
        account = self.accounts.get(call.request)
        if account is not None:
            # What comes back says what it has cost below; what is given up is taken for all that it had.
            heard = outcome in (Outcome.OK, Outcome.ERROR)
            told = (0 if call.account is None else call.account.reported) if heard else None
            account.settle(call.number, told, outcome in NEVER_RAN)
        call.balancer.ended(call, outcome)

    def served(self, request: int) -> bool:
        """It has its answer; whether it had none before."""
        waits = self._inner.pop(request, None)
        if waits is not None:
            self._forget(request)
            waits(True)
            return True
        began = self._began.get(request)
        if began is None:
            return False
        spent = self.now - began
        self._count("served", request)
        if spent <= self.aims[self.kinds[request][0]]:
            self._count("in_time", request)
            self._note(request, 1)
            self.line[int(began / BUCKET_MS)][1] += 1
        if began >= self.warm_ms:
            self.latency.record_value(max(1, round(spent * 1000.0)))
        self._forget(request)
        return True

    def refused(self, request: int, wait_ms: float = 0.0) -> None:
        """It is over without an answer; a client that may tries again, after its own pause or what it was told."""
        waits = self._inner.pop(request, None)
        if waits is not None:
            self._forget(request)
            waits(False)
        elif request in self._began:
            began, tries = self._began[request], self._tries.get(request, 0) + 1
            if tries < self.scenario.client_tries:
                pause = max(self._client_wait, wait_ms if self.scenario.client_heeds else 0.0)
                kind, client = self.kinds[request], self.clients.get(request, request)
                self.after(pause, lambda: self._ask_again(began, tries, kind, client))
            else:
                self._count("refused", request)
            self._forget(request)

    def _forget(self, request: int) -> None:
        self._began.pop(request, None)
        self.kinds.pop(request, None)
        self.clients.pop(request, None)
        self._ran.pop(request, None)
        self._tries.pop(request, None)
        self.due.pop(request, None)
        self.accounts.pop(request, None)

    def runs(self, call: Call) -> None:
        """It takes effect: an unsafe one may do so once."""
        if self.classes[call.kind[0]].effect == "unsafe" and call.request in self.kinds:
            times = self._ran[call.request] = self._ran.get(call.request, 0) + 1
            self.ran_twice += times == 2

    def idle(self, server: Server) -> None:
        if not server.dead:
            before = self._before[server.tier]
            before[int(self._ears.random() * len(before))].idle(server.number)

    # What policies may ask (`larkweir.lab.policies.View`).

    def queue_of(self, server: int) -> int:
        return self.servers[server].load

    def latency_of(self, server: int) -> float:
        return self.servers[server].latency()

    def speed_of(self, server: int) -> float:
        return self.servers[server].speed

    # ------------------------------------------------ faults

    def _list(self) -> None:
        for tier, before in enumerate(self._before):
            up = [
                server.number
                for server in self.servers
                if server.tier == tier and not server.dead and not server.draining
            ]
            for balancer in before:
                balancer.list(up)

    def _plan(self, n: int, fault: Any) -> None:
        rng = Random(f"{self.seed} fault {n}")
        if fault.server >= 0:
            struck = [self.servers[fault.server]]
        elif fault.zone:
            struck = [
                server for server, zone in zip(self.servers, self.zones, strict=True) if zone == fault.zone
            ]
        else:
            struck = rng.sample(self.servers, max(1, round(fault.part * len(self.servers))))
        at = time_ms(fault.at, "at")
        if fault.kind == "deploy":
            step = (time_ms(fault.until, "until") - at) / len(struck)
            for place, server in enumerate(struck):
                self.after(at + place * step, lambda server=server: self._release(server))  # type: ignore[misc]
            return
        self.after(at, lambda: self._strike(struck, fault, True))
        if fault.until:
            self.after(time_ms(fault.until, "until"), lambda: self._strike(struck, fault, False))

    def _release(self, server: Server) -> None:
        """Off the list, then down for a moment, then back and cold."""
        server.draining = True
        self._list()

        def down() -> None:
            server.crash()
            self.after(DOWN_MS, back)

        def back() -> None:
            server.draining = False
            server.restart()
            self._list()

        self.after(DRAIN_MS, down)

    def _strike(self, struck: list[Server], fault: Any, on: bool) -> None:
        for server in struck:
            if fault.kind == "stall":
                server.stalled = on
                if not on:
                    server._go_on()
            elif fault.kind == "slow":
                server.slower = fault.factor if on else 1.0
            elif fault.kind == "refuse":
                server.refusing = on
            elif fault.kind == "fail":
                server.failing = on
            elif on:
                server.crash()
            else:
                server.restart()
        if fault.kind == "crash":
            self.after(1_000.0, self._list)  # discovery hears of it a second later

    # ------------------------------------------------ what came of it

    def _worth(self) -> float | None:
        """Of the worth that was asked for, what was served in time."""
        rows = [(row.worth, *self.by_class[row.name]) for row in self.classes]
        asked = sum(worth * count for worth, count, _ in rows)
        return round(sum(worth * good for worth, _, good in rows) / asked, 6) if asked else None

    def _last_calls(self) -> float | None:
        """Of the last tier, for each request that a client asked."""
        asked = sum(row[0] for row in self.line)
        calls = sum(server.calls for server in self.servers if server.tier == self.tiers - 1)
        return round(calls / asked, 6) if asked else None

    def result(self) -> dict[str, Any]:
        counted = self.counts["asked"]
        latency = self.latency
        some = latency.get_total_count() > 0
        quantiles = {
            f"p{name}": latency.get_value_at_percentile(value) / 1000.0 if some else None
            for name, value in (("50", 50.0), ("90", 90.0), ("99", 99.0), ("999", 99.9))
        }
        busy = [server.work_ms / self.span_ms / server.slots for server in self.servers]
        return {
            "in_time": round(self.counts["in_time"] / counted, 6) if counted else None,
            "served": round(self.counts["served"] / counted, 6) if counted else None,
            "refused": round(self.counts["refused"] / counted, 6) if counted else None,
            "attempts": round(self.counts["attempts"] / counted, 6) if counted else None,
            "mean_ms": round(latency.get_mean_value() / 1000.0, 4) if some else None,
            **quantiles,
            "asked": counted,
            "busiest": round(max(busy), 4),
            "calls": [server.calls for server in self.servers],
            "last_calls": self._last_calls(),
            "worth": self._worth(),
            "by_class": {name: _share(*row) for name, row in self.by_class.items()},
            "by_tenant": {name: _share(*row) for name, row in self.by_tenant.items()},
            "crossed": round(self._crossed / self._sent, 6) if self._sent else None,
            "ran_twice": self.ran_twice,
            "line": self.line,
            "latency": latency.encode().decode(),
            "unstable": self.unstable,
        }


def play(scenario: Scenario, seed: int, recorded: list[tuple[float, int]] | None = None) -> dict[str, Any]:
    return World(scenario, seed, recorded).play()
