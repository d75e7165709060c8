"""The model's balancers: the real decision module, or a policy to compare it with, in simulated time. Pure logic."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
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

from larkweir.core.ports import Decisions
from larkweir.lab.policies import POLICIES, Policy
from larkweir.lab.servers import Call
from larkweir.storms.storm import Storm
from larkweir.storms.storm_balancer import StormBalancer

if TYPE_CHECKING:
    from larkweir.lab.model import World

STORM_TICK_MS = 250.0  # so that a storm also ends while no request arrives


class LarkweirBalancer:
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
            balancer_count=copies or scenario.balancers,
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
        self._decisions: Decisions = self.decisions
        if scenario.storms and not tier:
            storm = Storm(settings, world.seed * 7_919 + me)
            storm_balancer = StormBalancer(
                self.decisions, storm, lambda request: world.clients.get(request, 0) + 1
            )
            self._decisions = storm_balancer

            def tick() -> None:
                storm_balancer.tick(world.now)
                world.after(STORM_TICK_MS, tick)

            world.after(STORM_TICK_MS, tick)

    def tell(self, event: Event) -> None:
        """Pass an event to the decisions and carry out their actions."""
        for action in self._decisions.handle(self.world.now, event):
            self._act(action)

    def update_servers(self, up: list[int]) -> None:
        """Discovery's whole list: the numbers of the servers that are up."""
        world = self.world
        rows = [
            ServerEntry(n, started_ms=max(0.0, it.started_ms), kind=it.kind, zone=it.zone)
            for n, it in ((n, world.servers[n]) for n in up)
        ]
        self.tell(ListUpdate(ListKind.FULL, 1, rows))

    def arrive(self, request: int, left_ms: float) -> None:
        """A request, which is to be answered within `left_ms`."""
        self._sent[request] = 0
        account = self.world.accounts.get(request)
        cls, tenant = self.world.kinds[request]
        left = None if account is None else account.left
        self.tell(RequestArrived(request, cls, left_ms, tenant=tenant, attempts_left=left))

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
        """A call of this balancer has ended."""
        account = self.world.accounts.get(call.request)
        final = outcome is Outcome.OK and self.world.served(call.request)
        spent = self.world.now - call.sent_ms
        left = None if account is None else account.left
        self.tell(
            AttemptEnded(
                call.request, call.number, call.server.number, outcome, final, spent, attempts_left=left
            )
        )

    def idle(self, server: int) -> None:
        """Ignored: the decisions learn of idle servers by their own calls alone."""
        pass


class PolicyBalancer:
    """A balancer with another policy. It retries at once until its attempts are used up or the aim has passed."""

    def __init__(self, world: World, me: int, zone: int, tier: int = 0, copies: int = 0) -> None:
        self.world, self.tier, self.zone = world, tier, zone
        make = POLICIES[world.scenario.policy]
        assert make is not None
        self.policy: Policy = make(Random(f"{world.seed} policy {tier} {me}"), len(world.servers), world)
        self.up: list[int] = []
        self._sent: dict[int, int] = {}

    def update_servers(self, up: list[int]) -> None:
        """Discovery's whole list: the numbers of the servers that are up."""
        self.up = up

    def arrive(self, request: int, left_ms: float) -> None:
        """A request; its time is bounded by its aim."""
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
        """A call of this balancer has ended: the request is served, given up or tried again."""
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
        """A server has told this balancer that it is idle (JIQ)."""
        self.policy.idle(server)
