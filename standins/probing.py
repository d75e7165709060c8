"""Copies with the real decisions and the real duty "probers" on the simulated network, before servers that are
away for a while. Servers are delays alone: none is ever full.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from functools import partial
from random import Random

from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    AttemptEnded,
    Effect,
    Event,
    ListKind,
    ListUpdate,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from larkweir_balancing.interface import Fail as Failed

from larkweir.config.options import Route
from larkweir.coordination.duties.ports import FleetTask
from larkweir.coordination.duties.probers import Probers
from larkweir.coordination.health_sharing import SharedHealthAdapter
from standins.duties import Copy, Fleet

DEADLINE_MS = 4_000.0
CONNECT_MS = 250.0  # until a connection to who is cut off is given up
REFUSED_MS = 1.0  # the same, of who refuses it
SERVICE_MS = 20.0
PROBE_MS = 2.0


@dataclass(slots=True)
class Server:
    """`cut`: copies that alone can't reach it."""

    number: int
    zone: int
    started_ms: float = 0.0
    state: ServerState = ServerState.READY
    away: bool = False
    mute: bool = False  # it answers probes, and no calls
    cut: set[str] = field(default_factory=set)

    @property
    def address(self) -> tuple[str, int]:
        return f"10.9.{self.zone}.{self.number}", 8080


@dataclass(slots=True)
class Seen:
    """What the world has counted."""

    calls: int = 0
    lost: int = 0  # calls to servers that were away
    trials: int = (
        0  # calls to servers that their copy had left out, and how many of them to such as were away
    )
    trials_away: int = 0
    probes: int = 0
    unserved: int = 0  # requests
    to: list[tuple[float, int, str, bool]] = field(
        default_factory=list
    )  # of watched servers: when, which, who, well
    probed: list[tuple[float, int, str]] = field(default_factory=list)


class Copier(Copy):
    """One balancer."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__(world, name)
        self.world = world
        self._request = 0
        self._sent: dict[int, int] = {}

    def start(self) -> None:
        world = self.world
        self.balancer = Balancer(world.settings, world.rng.getrandbits(31))
        super().start()
        self.tell(ListUpdate(ListKind.FULL, 1, world.list()))
        self.world.network.after(self._pause(), self._again, self.name)

    def duties(self, life: int) -> list[FleetTask]:
        world = self.world
        scout = SharedHealthAdapter(lambda: [self.balancer], lambda: world.servers, self.tell)  # type: ignore[arg-type, return-value]
        return [Probers(life, self.name, scout, scout.probes)]

    def _pause(self) -> float:
        return self.world.rng.expovariate(self.world.per_s / 1000.0)

    def _again(self) -> None:
        self._request += 1
        self._sent[self._request] = 0
        self.tell(RequestArrived(self._request, 0, DEADLINE_MS))
        self.world.network.after(self._pause(), self._again, self.name)

    def tell(self, event: Event) -> None:
        for action in self.balancer.handle(self.world.network.now_ms, event):
            if isinstance(action, Send):
                self._send_call(action)
            elif isinstance(action, SetTimer):
                timer = TimerFired(action.cookie)
                self.world.network.after(action.delay_ms, partial(self.tell, timer), self.name)
            elif isinstance(action, Probe):
                self._probe(action.server)
            elif isinstance(action, Refuse | Failed):
                self.world.seen.unserved += 1
                self._sent.pop(action.request, None)

    def _reaches(self, server: Server) -> bool:
        return not server.away and self.name not in server.cut

    def _send_call(self, action: Send) -> None:
        world, seen = self.world, self.world.seen
        server, number = world.servers[action.server], self._sent[action.request]
        assert server.state is ServerState.READY, "a call to a server that drains"
        self._sent[action.request] += 1
        seen.calls += 1
        trial = self.balancer.table.servers[server.number].ejections > 0
        seen.trials += trial
        seen.trials_away += trial and server.away
        well = self._reaches(server) and not server.mute
        if server.number in world.watched:
            seen.to.append((world.network.now_ms, server.number, self.name, well))
        if well:
            outcome, spent = Outcome.OK, world.rng.expovariate(1.0 / SERVICE_MS)
        else:
            seen.lost += 1
            outcome, spent = (
                (Outcome.TIMEOUT, 1_000.0) if server.mute else (Outcome.CONNECT_FAILED, world.away_ms)
            )
        if spent > action.timeout_ms:
            outcome, spent = Outcome.TIMEOUT, action.timeout_ms
        world.network.after(spent, partial(self._ended, action, number, outcome, spent), self.name)

    def _ended(self, action: Send, number: int, outcome: Outcome, spent_ms: float) -> None:
        final = outcome is Outcome.OK
        if final:
            self._sent.pop(action.request, None)
        self.tell(AttemptEnded(action.request, number, action.server, outcome, final, spent_ms))

    def _probe(self, number: int) -> None:
        world = self.world
        server = world.servers[number]
        assert server.state is ServerState.READY, "a probe of a server that drains"
        world.seen.probes += 1
        world.seen.probed.append((world.network.now_ms, number, self.name))
        well = self._reaches(server)
        spent = PROBE_MS if well else world.away_ms
        outcome = Outcome.OK if well else Outcome.CONNECT_FAILED
        world.network.after(spent, lambda: self.tell(ProbeEnded(number, outcome, spent)), self.name)


class World(Fleet):
    """So many copies before so many servers in three zones. `keepers` 0: each copy alone."""

    def __init__(
        self,
        seed: int,
        copies: int,
        servers: int = 60,
        keepers: int = 3,
        probes: bool = True,
        per_s: float = 20.0,
        lost: float = 0.01,
        cold_ms: float = 30_000.0,
        refuses: bool = False,
    ) -> None:
        """`refuses`: connections to who is away are refused at once, else they are waited for in vain."""
        self.away_ms = REFUSED_MS if refuses else CONNECT_MS
        self.settings = Settings(
            (RequestClass(DEADLINE_MS / 2.0, DEADLINE_MS, Effect.SAFE),),
            zones=3,
            balancer_count=copies,
            max_attempts=3,
            may_probe=probes,
            connect_timeout_ms=CONNECT_MS,
            cold_ms=cold_ms,
        )
        self.servers = {n: Server(n, n % 3) for n in range(1, servers + 1)}
        self.per_s = per_s
        self.seen = Seen()
        self.watched: Collection[int] = ()
        self.rng = Random(seed + 1)
        super().__init__(seed, copies, Route(pool="main"), keepers, lost)

    def make(self, name: str) -> Copy:
        return Copier(self, name)

    def list(self) -> list[ServerEntry]:
        return [ServerEntry(it.number, it.state, it.started_ms, zone=it.zone) for it in self.servers.values()]

    def told(self) -> None:
        """All copies hear the list as it is now."""
        for copy in self.copies.values():
            if isinstance(copy, Copier) and copy.name in self.alive:
                copy.tell(ListUpdate(ListKind.FULL, 1, self.list()))
