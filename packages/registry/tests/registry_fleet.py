"""An in-memory fleet with faults: controllers with registries, routers that read from them, and upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import msgspec
from larkweir_registry import hint_file
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams

TICK_MS = 50.0
HEARTBEAT_MS = 1_000.0
PAUSE_MS = 9_000.0  # the time for which a paused upstream sends no heartbeat
PAUSE_CHANCE = 0.01  # the probability that an upstream pauses instead of sending a heartbeat
LATE_CHANCE = 0.1  # the probability that a copy of a heartbeat arrives late
CATCH_UP_MS = 2_000.0  # after a fault, until a router must know what the others know


@dataclass
class Controller:
    """A controller: a registry, its failure detector, and the unconfirmed upstreams that routers offered."""

    name: str
    incarnation: int = 0
    up: bool = True
    frozen: bool = False
    registry: Registry = field(init=False)
    detector: FailureDetector = field(init=False)
    unconfirmed: UnconfirmedUpstreams = field(init=False)
    has_history: bool = field(init=False)
    offered_by: set[int] = field(init=False)

    def start(self, now_ms: float, *, loses_hints: bool = False) -> None:
        """Start a new incarnation with the hint file of the previous one, unless that file is lost."""
        saved_hints = hint_file.encode(self.registry) if self.incarnation and not loses_hints else None
        self.incarnation += 1
        self.up = True
        self.registry = Registry(f"{self.name}/{self.incarnation}")
        self.detector = FailureDetector(HEARTBEAT_MS, now_ms)
        self.unconfirmed = UnconfirmedUpstreams(self.registry, self.detector)
        self.has_history = saved_hints is not None
        self.offered_by: set[int] = set()  # routers that have offered their records to this incarnation
        if saved_hints is not None:
            hint_file.restore(self.registry, saved_hints, now_ms)

    @property
    def is_running(self) -> bool:
        return self.up and not self.frozen


@dataclass
class Server:
    """An upstream that sends heartbeats until `ends_ms`, and then crashes or leaves."""

    id: str
    ends_ms: float
    crashes: bool
    sequence: int = 0
    next_ms: float = 0.0
    gone_acknowledged_ms: float | None = None
    dead_ms: float | None = None
    late_heartbeats: list[tuple[float, Upstream]] = field(default_factory=list)  # still in transit


class Fleet:
    """Three controllers, four routers that pull from every controller they reach, and upstreams that start and end."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.controllers = [Controller(f"c{n}") for n in range(3)]
        for controller in self.controllers:
            controller.start(0.0)
        self.routers = [Registry("") for _ in range(4)]
        self.cut: set[tuple[str, str]] = set()
        self.in_contact_since_ms: dict[int, float] = dict.fromkeys(range(4), 0.0)
        self.servers = [self._new_server(number) for number in range(6)]
        self.servers_started = len(self.servers)
        self.has_prompt_heartbeats = False  # if true, upstreams neither pause nor send late copies

    def _new_server(self, number: int) -> Server:
        lifetime_ms = self.rng.uniform(5_000.0, 60_000.0)
        return Server(f"u{number}", self.now_ms + lifetime_ms, self.rng.random() < 0.4, next_ms=self.now_ms)

    def is_linked(self, one: str, other: str) -> bool:
        return (one, other) not in self.cut and (other, one) not in self.cut

    def reaches_majority(self, controller: Controller) -> bool:
        others = [
            one for one in self.controllers if one.is_running and self.is_linked(controller.name, one.name)
        ]
        return len(others) >= 2  # itself included

    def tick(self) -> None:
        self.now_ms += TICK_MS
        for server in self.servers:
            self._send_heartbeat(server)
        self._exchange_deltas()
        self._routers_pull()
        for controller in self.controllers:
            if controller.is_running:
                self._detect_failures(controller)

    def _detect_failures(self, controller: Controller) -> None:
        if not self.reaches_majority(controller):
            controller.detector.reset_observation(self.now_ms)
            return
        registry = controller.registry
        watched = [
            one.id
            for one in registry.upstreams.values()
            if one.state is not UpstreamState.GONE and not one.has_timed_out
        ]
        for id_ in controller.detector.timed_out(watched, self.now_ms):
            known = registry.upstreams[id_]
            sequence = max(known.sequence, controller.detector.last_sequence(id_))
            timed_out = Upstream(known.id, "s", known.address, "z", 1, sequence, known.state, sequence)
            registry.update(timed_out, self.now_ms)
        for known in controller.unconfirmed.take_timed_out(self.now_ms):
            registry.update(msgspec.structs.replace(known, timed_out_sequence=known.sequence), self.now_ms)

    def _send_heartbeat(self, server: Server) -> None:
        self._deliver_late_heartbeats(server)
        if server.dead_ms is not None or self.now_ms < server.next_ms:
            return
        if not self.has_prompt_heartbeats and self.rng.random() < PAUSE_CHANCE:
            server.next_ms = self.now_ms + PAUSE_MS
            return
        server.next_ms = self.now_ms + HEARTBEAT_MS * self.rng.uniform(0.9, 1.1)
        server.sequence += 1
        leaving = self.now_ms >= server.ends_ms
        if leaving and server.crashes:
            server.dead_ms = self.now_ms
            return
        state = UpstreamState.DRAINING if leaving else UpstreamState.READY
        reported = Upstream(server.id, "s", f"a-{server.id}", "z", 1, server.sequence, state)
        if not leaving and not self.has_prompt_heartbeats and self.rng.random() < LATE_CHANCE:
            server.late_heartbeats.append((self.now_ms + self.rng.uniform(500.0, 3_000.0), reported))
        for controller in self.rng.sample(self.controllers, 3):
            if controller.is_running and self._report(controller, reported):
                if leaving:
                    server.gone_acknowledged_ms = server.dead_ms = self.now_ms
                return

    def _deliver_late_heartbeats(self, server: Server) -> None:
        """Deliver late copies of earlier heartbeats to random controllers; they must not undo any later report."""
        for when_ms, reported in list(server.late_heartbeats):
            if self.now_ms >= when_ms:
                server.late_heartbeats.remove((when_ms, reported))
                controller = self.rng.choice(self.controllers)
                if controller.is_running:
                    controller.registry.update(reported, self.now_ms)

    def _report(self, controller: Controller, reported: Upstream) -> bool:
        """Report a heartbeat to a controller and return whether it is acknowledged.

        A departure is acknowledged only once a majority of the controllers has recorded it.
        """
        controller.detector.record_heartbeat(reported.id, reported.sequence, self.now_ms)
        controller.registry.update(reported, self.now_ms)
        if reported.state is UpstreamState.READY:
            return self.reaches_majority(controller)
        self._exchange_deltas()
        knowing = [one for one in self.controllers if one.up and self._knows(one.registry, reported.id)]
        return len(knowing) >= 2 and self.reaches_majority(controller)

    @staticmethod
    def _knows(registry: Registry, id_: str) -> bool:
        known = registry.upstreams.get(id_)
        return known is not None and known.state is not UpstreamState.READY

    def _exchange_deltas(self) -> None:
        for one in self.controllers:
            if not one.is_running:
                continue
            report = one.detector.take_report()
            for other in self.controllers:
                if other is one or not other.is_running or not self.is_linked(one.name, other.name):
                    continue
                delta = one.registry.delta(other.registry.vector)
                changed = other.registry.merge(delta, one.registry.vector, self.now_ms)
                other.detector.record_peer_heartbeats({one.id: one.sequence for one in changed}, self.now_ms)
                other.detector.record_peer_heartbeats(report, self.now_ms)

    def _routers_pull(self) -> None:
        for number, router in enumerate(self.routers):
            for controller in self.controllers:
                if controller.is_running and self.is_linked(f"r{number}", controller.name):
                    delta = controller.registry.delta(router.vector)
                    router.merge(delta, controller.registry.vector, self.now_ms)
                    if not controller.has_history and number not in controller.offered_by:
                        controller.offered_by.add(number)
                        offered = [record.upstream for record in router.delta({})]
                        controller.unconfirmed.add(offered, self.now_ms)

    def check(self) -> None:
        """Check that no router in contact with the controllers selects an upstream whose departure was acknowledged."""
        for number, router in enumerate(self.routers):
            if self.now_ms < self.in_contact_since_ms[number] + CATCH_UP_MS:
                continue
            ready = router.ready_ids("s")
            for server in self.servers:
                acknowledged_ms = server.gone_acknowledged_ms
                if acknowledged_ms is not None and self.now_ms >= acknowledged_ms + 4 * TICK_MS:
                    assert server.id not in ready, f"{server.id} is selected after it left"


class FaultInjector:
    """Injects random faults of controllers and links; `inject` returns how long a fault lasts until `clear`."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng

    def inject(self) -> float:
        fleet, controller = self.fleet, self.rng.choice(self.fleet.controllers)
        nodes = [one.name for one in fleet.controllers] + [f"r{n}" for n in range(len(fleet.routers))]
        kind = self.rng.choice(
            ["cut", "cut_all", "freeze", "restart", "restart_all", "lose_all", "halves", "router_cut"]
        )
        if kind == "cut":
            fleet.cut = {(controller.name, one.name) for one in fleet.controllers if one is not controller}
        elif kind == "cut_all":
            fleet.cut = {(controller.name, node) for node in nodes if node != controller.name}
        elif kind == "freeze":
            controller.frozen = True
        elif kind == "restart":
            controller.start(fleet.now_ms)
        elif kind == "restart_all":
            for one in fleet.controllers:
                one.start(fleet.now_ms)
        elif kind == "lose_all":
            for one in fleet.controllers:
                one.start(fleet.now_ms, loses_hints=True)
        elif kind == "halves":
            fleet.cut = {("c0", "c1"), ("c0", "c2")}
        else:
            number = self.rng.randrange(len(fleet.routers))
            fleet.cut = {(f"r{number}", one.name) for one in fleet.controllers}
            fleet.in_contact_since_ms[number] = float("inf")
        if kind in ("restart_all", "lose_all", "cut_all"):
            fleet.in_contact_since_ms = dict.fromkeys(fleet.in_contact_since_ms, fleet.now_ms)
        return self.rng.choice([300.0, 2_000.0, 8_000.0, 20_000.0])

    def clear(self) -> None:
        fleet = self.fleet
        fleet.cut = set()
        for controller in fleet.controllers:
            if controller.frozen:
                controller.frozen = False
                controller.detector.reset_observation(fleet.now_ms)
        fleet.in_contact_since_ms = dict.fromkeys(fleet.in_contact_since_ms, fleet.now_ms)


def run(fleet: Fleet, duration_ms: float) -> None:
    end_ms = fleet.now_ms + duration_ms
    while fleet.now_ms < end_ms:
        fleet.tick()
        fleet.check()
