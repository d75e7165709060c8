"""A sala that fails and returns cold, in simulated time: callers with habits, balancers, servers that can be pushed
over.

Built on `standins.tier`: the real decision module, and the real rules of `larkweir.storms` where they are on. What is
added is the world that makes storms: servers that start cold and fall over when they are sent more than `FALL` times
what they can do for `FALL_MS`, and clients that come back each in its own way. Everything is drawn from one seed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from larkweir_balancing import Balancer, Settings
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter
from larkweir_balancing.interface import (
    Effect,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    ServerEntry,
    ServerState,
    Tenant,
)

from larkweir.storms.storm import Storm
from larkweir.storms.storm_balancer import StormBalancer
from standins import tier

COLD_SHARE, COLD_MS = 0.32, 8_900.0
FALL, FALL_MS = 3.0, 1_000.0
CLASSES = (
    RequestClass(410.0, 1000.0, Effect.SAFE, worth=1.0, name="consulta"),
    RequestClass(410.0, 1000.0, Effect.KEYED, worth=8.0, memory_ms=4000.0, name="publicar"),
    RequestClass(410.0, 1000.0, Effect.UNSAFE, worth=8.0, name="traspaso"),
)
MIX = (0.60, 0.25, 0.15)
TENANTS = (0.25, 0.24, 0.18, 0.11, 0.08, 0.07, 0.04, 0.03)


class Server(tier.Upstream):
    """One core: cold after each start, refuses connections while it is down, falls over when it is overdriven."""

    def __init__(self, world: Sala, number: int, slots: int, queue: int) -> None:
        super().__init__(world, number, slots, queue)
        self.sala = world
        self.up = True
        self.started_ms = 0.0  # long ago
        self.falls = 0
        self.mute = False  # takes calls and answers none
        self.got: deque[tuple[float, float]] = deque()  # what came lately: when, and its work at full speed
        self._sum = 0.0

    def share(self) -> float:
        if not self.started_ms:
            return 1.0
        age = self.world.now - self.started_ms
        return min(1.0, COLD_SHARE + (1.0 - COLD_SHARE) * age / COLD_MS)

    def take(self, attempt: tier.Attempt) -> None:
        if not self.up:
            self.world.after(0.5, lambda: attempt.end(Outcome.CONNECT_FAILED))
            return
        if self.mute:
            return
        work = self.world.service_ms[self.number]
        self.got.append((self.world.now, work))
        self._sum += work
        while self.got[0][0] < self.world.now - FALL_MS:
            self._sum -= self.got.popleft()[1]
        if self.share() < 1.0 and self._sum > FALL * self.share() * self.slots * FALL_MS:
            self.falls += 1
            self.sala.lose([self.number])
            attempt.end(Outcome.RESET)
            return
        self.slower = 1.0 / self.share()
        super().take(attempt)

    def stop(self) -> None:
        """All that it holds is lost."""
        self.up = False
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            attempt.end(Outcome.RESET)
        self.epoch += 1
        self.busy = 0

    epoch = 0

    def start(self) -> None:
        self.up = True
        self.started_ms = self.world.now
        self.got.clear()
        self._sum = 0.0

    def _next(self) -> None:
        while self.waiting and self.busy < self.slots:
            attempt = self.waiting.popleft()
            if not attempt.over:
                self.busy += 1
                epoch = self.epoch
                work = self.world.draw_work(self.number) * self.slower
                self.world.after(work, lambda a=attempt, e=epoch: self._over(a, e))

    def _over(self, attempt: tier.Attempt, epoch: int) -> None:
        if epoch != self.epoch:
            attempt.end(Outcome.RESET)
            return
        self._done(attempt)


class Copy(tier.Copy):
    """A balancer, with the storms part before its decisions where that is on."""

    storm: Storm | None = None
    sala: Sala

    def _decisions(self, settings: Settings, seed: int, limiter: ConcurrencyLimiter | None) -> Any:
        balancer = Balancer(settings, seed, limiter)
        return (
            balancer
            if self.storm is None
            else StormBalancer(balancer, self.storm, self.fingerprints.__getitem__)
        )

    def ask_as(
        self,
        client: int,
        cls: int,
        then: Callable[[str, float], None],
        tenant: int,
        again: bool,
        left: float,
    ) -> None:
        """`then` is told what became of it, and the word when to come back in milliseconds (0: none)."""
        number = next(self._ids)
        self.clients[number] = then
        self.fingerprints[number] = client
        self.asked[number] = tier.Asked(self.world.now, cls, lambda what: None, tenant)
        self.world.after(left, lambda: self._answer(number, "overdue"))
        self.handle(RequestArrived(number, cls, left, tenant, client_retry=again))

    clients: dict[int, Callable[[str, float], None]]
    fingerprints: dict[int, int]
    advice_ms = 0.0

    def _act(self, action: Any) -> None:
        if isinstance(action, Refuse):
            self.advice_ms = action.wait_ms
        super()._act(action)

    def _answer(self, number: int, what: str) -> None:
        asked = self.asked.get(number)
        if asked is None or asked.over:
            return
        super()._answer(number, what)
        self.clients.pop(number)(what, self.advice_ms if what == "refused" else 0.0)


@dataclass
class Habit:
    """How a client comes back. Times are milliseconds."""

    name: str
    tries: int  # in all
    wait_ms: float = 0.0
    factor: float = 1.0
    jitter: float = 0.0  # of the wait, that is drawn
    honours: bool = False  # waits for as long as it is told, where it is told
    on_the_second: bool = False  # comes at whole seconds of its clock


HABITS = (
    Habit("none", 1),
    Habit("at once", 4, 5.0),
    Habit("fixed", 4, 200.0),
    Habit("exponential", 5, 100.0, 2.0),
    Habit("jittered", 5, 100.0, 2.0, 0.5),
    Habit("honouring", 5, 200.0, 1.0, 0.2, honours=True),
)


@dataclass
class Tally:
    """Of first tries: how many came, and how each ended, after how long since the first try."""

    asked: int = 0
    served: int = 0
    in_aim: int = 0  # the try that was served took no longer than its aim
    tries: int = 0
    waits: list[float] = field(default_factory=list)


class Sala(tier.World):
    """Servers, copies and clients."""

    def __init__(
        self,
        seed: int,
        servers: int = 12,
        copies: int = 6,
        clients: int = 1000,
        service_ms: float = 50.0,
        load: float = 0.7,
        storms: bool = True,
        habits: tuple[Habit, ...] = HABITS,
        weights: list[float] | None = None,
        knows_list: bool = True,
    ) -> None:
        tenants = [Tenant(1000.0 * part, part, f"t{n}") for n, part in enumerate(TENANTS)]
        limits: dict[str, Any] = {
            "cold_share": COLD_SHARE,
            "cold_ms": COLD_MS,
            "fall_multiple": FALL,
            "fall_ms": FALL_MS,
            "retry_advice": True,
            "max_retry_after_ms": 2_000.0,
            "marks_retry": True,
            "allows_hedging": True,
            "may_cancel": True,
            "over_share_worth": 0.2,
        }
        super().__init__(
            seed, upstreams=0, copies=0, service_ms=service_ms, span_ms=250.0, spread="lognormal"
        )
        self.service_ms = [service_ms] * servers
        self.upstreams = [Server(self, n, 1, 64) for n in range(servers)]
        self.listed = set(range(servers))
        self.load = load
        self.falls = 0
        self.late_ms = 500.0  # until discovery has heard of what goes on
        self.log: list[tuple[float, int, str]] = []
        self.copies: list[Any] = []
        self._storms = storms
        self._own = [
            Settings(classes=CLASSES, tenants=tenants, me=n, balancer_count=copies, max_attempts=4, **limits)
            for n in range(copies)
        ]
        for n in range(copies):
            self.copies.append(self._copy(n, seed))
        self.tallies: dict[tuple[str, int], Tally] = {}
        self.spans: dict[tuple[int, int], Tally] = {}  # by second of the first try, and class
        self.habits = habits
        self.clients = clients
        self.weights = weights or [1.0] * copies
        self.per_s = load * servers * 1000.0 / service_ms  # of all clients, warm
        if storms:
            self._keep()

    def _copy(self, n: int, seed: int) -> Copy:
        copy = Copy.__new__(Copy)
        copy.sala, copy.clients, copy.fingerprints = self, {}, {}
        if self._storms:
            copy.storm = Storm(
                self._own[n], seed * 100 + n, log=lambda line: self.log.append((self.now, n, line))
            )
        Copy.__init__(copy, self, n, self._own[n], seed * 1000 + n)
        return copy

    def restart(self, n: int) -> None:
        """It is killed, with all that it holds, and comes up again at once, with the list as discovery has it."""
        old = self.copies[n]
        self.copies[n] = new = self._copy(n, self.rng.randrange(1 << 30))
        entries = [
            ServerEntry(at, ServerState.READY, self.servers[at].started_ms) for at in sorted(self.listed)
        ]
        new.handle(ListUpdate(ListKind.FULL, 2, entries))
        for number in list(old.clients):
            old._answer(number, "lost")

    @property
    def servers(self) -> list[Server]:
        return self.upstreams

    def _keep(self) -> None:
        """The hands' timer."""
        for copy in self.copies:
            copy.balancer.tick(self.now)
        self.after(250.0, self._keep)

    # ------------------------------------------------ what goes wrong

    def publish(self, numbers: list[int], state: ServerState, late_ms: float | None = None) -> None:
        started = {n: self.servers[n].started_ms for n in numbers}

        def told() -> None:
            for n in numbers:
                if state is ServerState.GONE:
                    self.listed.discard(n)
                else:
                    self.listed.add(n)
            entries = [ServerEntry(n, state, started[n]) for n in numbers]
            for at, copy in enumerate(self.copies):
                update = ListUpdate(ListKind.DELTA, int(self.now), entries)
                self.after(self.rng.random() * 200.0 + at * 0.01, lambda c=copy, u=update: c.handle(u))

        self.after(self.late_ms if late_ms is None else late_ms, told)

    def lose(self, numbers: list[int]) -> None:
        """They die; discovery tells so a while later."""
        for n in numbers:
            if self.servers[n].up:
                self.servers[n].stop()
        self.publish(numbers, ServerState.GONE)

    def bring_back(self, numbers: list[int]) -> None:
        """They start, cold, and are listed."""
        for n in numbers:
            if not self.servers[n].up:
                self.servers[n].start()
        self.publish(numbers, ServerState.READY)

    # ------------------------------------------------ clients

    def clients_begin(self, until_ms: float, surge: Callable[[float], float] = lambda now: 1.0) -> None:
        """Every client asks on the mean once in so many seconds, as the load wants; `surge` multiplies that."""
        pause = self.clients / self.per_s * 1000.0
        for n in range(self.clients):
            self.after(self.rng.random() * pause, lambda n=n: self._think(n, pause, until_ms, surge))

    def _think(self, n: int, pause: float, until_ms: float, surge: Callable[[float], float]) -> None:
        if self.now >= until_ms:
            return
        self._first_try(n)
        wait = self.rng.expovariate(1.0) * pause / max(surge(self.now), 0.01)
        self.after(wait, lambda: self._think(n, pause, until_ms, surge))

    def _first_try(self, n: int) -> None:
        rng = Random(n)  # what a client is stays
        tenant = rng.choices(range(len(TENANTS)), TENANTS)[0]
        home = rng.choices(range(len(self.copies)), self.weights)[0]
        habit = self.habits[n % len(self.habits)]
        cls = self.rng.choices(range(3), MIX)[0]
        self._try(n, habit, cls, tenant, home, 1, self.now)

    def _try(self, n: int, habit: Habit, cls: int, tenant: int, home: int, number: int, begun: float) -> None:
        tally = self.tallies.setdefault((habit.name, cls), Tally())
        span = self.spans.setdefault((int(begun // 1000.0), cls), Tally())
        if number == 1:
            tally.asked += 1
            span.asked += 1
        tally.tries += 1
        copy = self.copies[home]
        asked_ms = self.now
        # Its fingerprint, as the hands would take it: who it is and what it asks.
        client = (hash((n, cls)) * 0x9E3779B97F4A7C15) & ((1 << 64) - 1) | 1

        def then(what: str, word_ms: float) -> None:
            if what == "served":
                late = self.now - asked_ms > copy.settings.classes[cls].aim_ms
                for item in (tally, span):
                    item.served += 1
                    item.in_aim += not late
                    item.waits.append(self.now - begun)
                return
            # What may have run is not asked again by a careful client where it must not run twice.
            if number >= habit.tries or (what != "refused" and CLASSES[cls].effect is Effect.UNSAFE):
                return
            wait = habit.wait_ms * habit.factor ** (number - 1)
            wait *= 1.0 - habit.jitter * self.rng.random()
            if habit.honours and word_ms:
                wait = word_ms + 1.0
            if habit.on_the_second:
                wait = 1000.0 - self.now % 1000.0
            self.after(max(0.1, wait), lambda: self._try(n, habit, cls, tenant, home, number + 1, begun))

        copy.ask_as(client, cls, then, tenant, number > 1, copy.settings.classes[cls].deadline_ms)

    # ------------------------------------------------ what is measured

    def span_total(self, since_s: float, until_s: float, classes: Iterable[int] = range(3)) -> Tally:
        """Of first tries that came in that time."""
        return self._sum(
            span for (at, cls), span in self.spans.items() if since_s <= at < until_s and cls in classes
        )

    def of_class(self, cls: int) -> Tally:
        return self._sum(tally for (_, at), tally in self.tallies.items() if at == cls)

    def of_habit(self, name: str) -> Tally:
        return self._sum(tally for (habit, _), tally in self.tallies.items() if habit == name)

    @staticmethod
    def _sum(tallies: Iterable[Tally]) -> Tally:
        whole = Tally()
        for tally in tallies:
            whole.asked += tally.asked
            whole.served += tally.served
            whole.in_aim += tally.in_aim
            whole.tries += tally.tries
            whole.waits += tally.waits
        return whole
