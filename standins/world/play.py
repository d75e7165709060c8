"""One day of the world: its machines put together, its faults carried out, its end, what is wrong with it."""

from __future__ import annotations

import asyncio
import gc
import sys
import warnings
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any

from standins.world import checks
from standins.world.agents import PORT, Agent, Registry
from standins.world.air import Air, Ways
from standins.world.balancers import Balancer
from standins.world.callers import Caller
from standins.world.days import Day, Fault, drawn
from standins.world.kernel import End, Machine, Net
from standins.world.loop import ProcessLoop, SteadyTask
from standins.world.operators import Operator
from standins.world.scheduler import Scheduler
from standins.world.settings import (
    COLD_S,
    COLD_SHARE,
    DEADLINE_S,
    GRACE_S,
    SHORT_DEADLINE_S,
    SHORT_MEMORY_S,
    ZONES,
    settings,
    with_changing,
    with_deadlines,
    with_memory,
    without_changing,
)
from standins.world.story import Story
from standins.world.system import START_S, installed
from standins.world.upstreams import Habits, Upstream, Zone

QUIET_S = 9.0  # at a day's end, for what is under way and for what is forgotten later
RESTART_S = 1.0  # until a service manager starts again what has ended
END_S = 12.0  # for a drain
SECOND_PORT = PORT + 1  # of the agent that a reload moves to


@dataclass(frozen=True, slots=True)
class Outcome:
    seed: int
    day: str
    digest: str
    wrong: tuple[str, ...]
    faults: tuple[Fault, ...]
    asked: int
    awaited: int  # by clients that stay for the answer
    answered: int  # of these
    events: int
    simulated_s: float
    lines: tuple[str, ...] = ()


class Play:
    def __init__(
        self, day: Day, seed: int, faults: Sequence[Fault] | None = None, keep: bool = False
    ) -> None:
        self.day, self.seed = day, seed
        self.clock = Scheduler(f"{day.name}/{seed}/world", keep)
        self.faults = list(drawn(day, Random(f"{day.name}/{seed}/faults")) if faults is None else faults)
        self.air = Air(Random(f"{day.name}/{seed}/air"), Ways(loss=day.loss, double=day.loss, late=day.loss))
        self.net = Net(self.clock, self.air, send=day.receive, receive=day.receive)
        self.story = Story(crowded=day.descriptors < 4 * day.callers)
        self.registry = Registry(self.net)
        self.zones = {zone: Zone(day.memory_s) for zone in ZONES}
        self.habits = Habits(
            spoilt=day.spoilt, reset=day.reset, closes=day.closes, cold_s=COLD_S, cold_share=COLD_SHARE
        )
        self.machines: dict[str, Machine] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.lives: dict[str, int] = {}
        for n in range(day.upstreams):
            self.machines[f"u{n}"] = self.net.machine(f"u{n}")
            self._upstream(f"u{n}", cold=False)
        places = [self.net.machine(f"b{n}") for n in range(day.balancers)]
        peers = [f"{machine.ip}:7946" for machine in places]
        self.balancers: dict[str, Balancer] = {}
        self.second_agents: dict[str, Agent] = {}
        self.operators: dict[str, Operator] = {}
        for n, machine in enumerate(places):
            name = f"b{n}"
            self.machines[name] = machine
            agent = Agent(self.registry, machine, name, self.story, day.omits)
            if "reload discovery" in day.kinds:
                self.second_agents[name] = Agent(
                    self.registry, machine, name, self.story, day.omits, SECOND_PORT
                )
            tables = self._tables(peers, n) if day.keepers else ""
            if day.lifecycle:
                tables += f"[lifecycle]\n{day.lifecycle}\n"
            facts = settings(day.memory_s, day.discovery, day.changing)
            self.balancers[name] = Balancer(
                name, machine, agent, facts, self.story, tables, day.descriptors, day.slow
            )
            home = ProcessLoop(self.net, machine, f"operator-{name}")
            self.operators[name] = Operator(name, home, self.balancers[name].control, self.story)
        self._by_ip = {item.machine.ip: item for item in self.balancers.values()}
        self.callers: list[Caller] = []
        self.effects = dict.fromkeys(self.balancers, "read_like")  # of the changing class

    def _tables(self, peers: list[str], n: int) -> str:
        listed = ", ".join(f'"{peer}"' for peer in peers)
        keepers = ", ".join(f'"{peer}"' for peer in peers[: self.day.keepers])
        folder = 'folder = "/keeper"\n' if n < self.day.keepers else ""
        return (
            f'[peers]\non = true\nlisten = "{peers[n]}"\npeers = [{listed}]\nprobe_ms = 200.0\nack_ms = 60.0\n'
            f'[owners]\non = true\nkeepers = [{keepers}]\n{folder}lease_ms = 1000.0\nduties = ["drill"]\n'
        )

    # ------------------------------------------------ upstreams

    def _who(self, end: End) -> tuple[str, int]:
        """The copy at the other end of a connection, and its life."""
        assert end.peer is not None
        return self._by_ip[end.remote[0]].name, end.peer.owner.life

    def _row(self, name: str, lifecycle: str) -> dict[str, Any]:
        place = name.partition(".")[0]
        upstream = self.upstreams[place]
        return {
            "instanceId": name,
            "hostPort": f"{self.machines[place].ip}:{upstream.port}",
            "zone": ZONES[int(place[1:]) % 2],
            "machineType": "box",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0 if upstream.started_s < 0 else int((START_S + upstream.started_s) * 1000),
        }

    def _upstream(self, place: str, cold: bool, port: int = 9_000) -> None:
        """A new life of it, under an id of its own."""
        self.lives[place] = self.lives.get(place, 0) + 1
        name = f"{place}.{self.lives[place]}"
        loop = ProcessLoop(self.net, self.machines[place], name)
        zone = self.zones[ZONES[int(place[1:]) % 2]]
        self.upstreams[place] = Upstream(name, loop, port, zone, self.habits, self.story, cold, self._who)
        self.registry.tell(self._row(name, "active"))

    def _up_ends(self, place: str, silently: bool = False) -> None:
        upstream = self.upstreams[place]
        self.clock.note(f"{upstream.name} ends")
        upstream.loop.kill(silently)
        self.registry.tell(self._row(upstream.name, "left"))

    # ------------------------------------------------ faults

    def _do(self, fault: Fault) -> None:
        self.clock.note(f"fault: {fault}")
        begin, end = self._acts(fault)
        begin()
        self.clock.after(fault.for_s, self._undo, fault, end)

    def _undo(self, fault: Fault, end: Callable[[], None]) -> None:
        self.clock.note(f"over: {fault}")
        end()

    def _acts(self, fault: Fault) -> tuple[Callable[[], None], Callable[[], None]]:
        kind, whom = fault.kind, fault.whom
        if kind.startswith("up"):
            return self._up_acts(kind, whom, fault.amount)
        if kind in ("cut", "cut one way"):
            one, two = self.machines[whom].ip, self.machines[fault.other].ip
            pairs = [(one, two)] + ([(two, one)] if kind == "cut" else [])
            return lambda: [self.air.cut(*pair) for pair in pairs] and None, lambda: self._heal(pairs)
        if kind == "slow way":
            ip = self.machines[whom].ip
            return lambda: self.air.slow(ip, fault.amount), lambda: self.air.slow(ip, 0.0)
        if kind == "connects late":
            ip = self.machines[whom].ip
            return (
                lambda: self.air.late_handshakes(ip, fault.amount),
                lambda: self.air.late_handshakes(ip, 0.0),
            )
        item = self.balancers[whom]
        if kind.startswith("reload"):
            return self._reload_acts(kind, item)
        if kind.startswith("control"):
            return self._control_acts(kind, whom, fault.for_s)
        if kind.startswith("agent"):
            return self._agent_acts(kind, item)
        table: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
            "stop": (item.stop, item.go_on),
            "kill": (item.kill, item.start),
            "drain": (item.drain, lambda: self._again(item)),
            "vanish": (item.vanish, item.come_back),
            "beside": (item.start_beside, item.drain_older),
            "hand over": (item.hand_over, lambda: None),
            "hand over kill": (item.hand_over, lambda: self._kill_successor(item)),
            "disk": (lambda: setattr(item.drive, "full", True), lambda: setattr(item.drive, "full", False)),
        }
        return table[kind]

    def _agent_acts(self, kind: str, item: Balancer) -> tuple[Callable[[], None], Callable[[], None]]:
        agent = item.agent
        table: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
            "agent down": (agent.stop, lambda: self._agent_again(item, agent.generation)),
            "agent hush": (agent.hush, agent.speak),
            "agent mute": (agent.hush, agent.speak),
            "agent ends calls": (lambda: agent.end_calls(True), lambda: agent.end_calls(False)),
            "agent wholes": (lambda: setattr(agent, "wholes", True), lambda: setattr(agent, "wholes", False)),
            "agent again": (agent.stop, lambda: self._agent_again(item, 1)),
            "agent misses": (lambda: setattr(agent, "loses", True), agent.catches_up),
        }
        return table[kind]

    def _reload_acts(self, kind: str, item: Balancer) -> tuple[Callable[[], None], Callable[[], None]]:
        """The platform file is changed and SIGHUP sent, and again at the end."""

        def change(make: Callable[..., dict[str, Any]], *args: Any) -> Callable[[], None]:
            def act() -> None:
                item.settings = make(item.settings, *args)
                item.reload()

            return act

        def move(there: Agent, back: Agent) -> Callable[[], None]:
            def act() -> None:
                there.speak()
                item.discovery = there.source.at
                item.reload()
                back.hush()

            return act

        def other_effect() -> None:
            """Of the changing class, also where it comes back."""
            self.effects[item.name] = (
                "non_idempotent" if self.effects[item.name] == "read_like" else "read_like"
            )
            change(with_changing, self.effects[item.name])()

        if kind == "reload class":
            return change(without_changing), other_effect
        if kind == "reload effect":
            return other_effect, other_effect
        if kind == "reload discovery":
            first, second = item.agent, self.second_agents[item.name]
            return move(second, first), move(first, second)
        if kind == "reload deadline":
            return change(with_deadlines, SHORT_DEADLINE_S), change(with_deadlines, DEADLINE_S)
        return change(with_memory, SHORT_MEMORY_S), change(with_memory, self.day.memory_s)

    def _control_acts(
        self, kind: str, whom: str, for_s: float
    ) -> tuple[Callable[[], None], Callable[[], None]]:
        operator = self.operators[whom]

        def pause() -> None:
            operator.order("PAUSE")
            self.clock.after(0.5 * for_s, operator.call, "STATUS")

        def resume() -> None:
            operator.order("RESUME")
            self.clock.after(0.2, operator.call, "STATUS")

        if kind == "control pause":
            return pause, resume
        if kind == "control crowd":
            return lambda: operator.crowd(for_s), lambda: operator.call("STATUS")
        return lambda: operator.ask_status(for_s), lambda: None

    def _heal(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.air.heal(*pair)

    def _heal_and(self, pairs: list[tuple[str, str]], then: Callable[[], None]) -> None:
        self._heal(pairs)
        then()

    def _kill_successor(self, item: Balancer) -> None:
        """Where its predecessor has ended already, the service manager starts the balancer again."""
        item.kill_newest()
        self.clock.after(RESTART_S, item.start)

    def _agent_again(self, item: Balancer, generation: int) -> None:
        if item.machine.up and item.agent.loop.dead:
            item.agent.start(generation)

    def _again(self, item: Balancer) -> None:
        """After a drain: as soon as it has ended."""
        if item.runs:
            item.on_exit = item.start
        else:
            item.start()

    def _up_acts(self, kind: str, place: str, amount: float) -> tuple[Callable[[], None], Callable[[], None]]:
        upstream = self.upstreams[place]

        def leave() -> None:
            self.registry.tell(self._row(upstream.name, "leaving"))

        def left() -> None:
            """Behind the grace, and a while in which a balancer could send what it may not."""
            self.clock.after(2.0 + GRACE_S, self._up_ends, place)
            self.clock.after(2.5 + GRACE_S, self._upstream, place, True)

        def replaced() -> None:
            """Another id at the same address, at once."""
            self._up_ends(place)
            self._upstream(place, True)

        pairs = [(item.machine.ip, self.machines[place].ip) for item in self.balancers.values()]

        def behind() -> None:
            """Connections are coming up, and can't, while it is told to drain; they come up later than its grace."""
            for pair in pairs:
                self.air.cut(*pair)
            self.clock.after(0.05, leave)

        table: dict[str, tuple[Callable[[], None], Callable[[], None]]] = {
            "up drain": (leave, left),
            "up cut drain": (behind, lambda: self._heal_and(pairs, left)),
            "up crash": (lambda: self._up_ends(place), lambda: self._upstream(place, True)),
            "up replace": (replaced, lambda: None),
            "up pause": (upstream.loop.stop_here, upstream.loop.go_on),
            "up slow": (
                lambda: setattr(upstream, "habits", Habits(mean_s=0.003 * amount)),
                lambda: setattr(upstream, "habits", self.habits),
            ),
        }
        return table[kind]

    # ------------------------------------------------ the day

    def run(self) -> Outcome:
        day, clock = self.day, self.clock
        warnings.simplefilter("ignore")
        for item in self.balancers.values():
            clock.after(0.2 * clock.rng.random(), item.start)
        place = self.net.machine("callers")
        homes = ProcessLoop(self.net, place, "callers")
        for item in self.balancers.values():
            for n in range(day.callers):
                think_s = day.callers / day.rate
                clock.at(0.8, self._caller, f"{item.name}c{n}", homes, item, think_s)
        for fault in self.faults:
            clock.at(fault.at_s, self._do, fault)
        clock.run(day.last_s)
        for caller in self.callers:
            caller.over = True
        clock.run(day.last_s + QUIET_S)
        wrong = [line for item in self.balancers.values() for line in item.leftovers()]
        for item in self.balancers.values():
            item.on_exit = lambda: None
            item.drain()
        clock.run(
            day.last_s + QUIET_S + END_S, lambda: not any(item.runs for item in self.balancers.values())
        )
        wrong += [
            f"{item.name} has not ended {END_S:g} s after SIGTERM"
            for item in self.balancers.values()
            if item.runs
        ]
        wrong = self.story.faults + wrong + checks.broken(self.story, GRACE_S, day.last_s + QUIET_S)
        homes.kill()
        for item in self.balancers.values():
            item.end()
            item.agent.loop.kill()
        for operator in self.operators.values():
            operator.end()
        for agent in self.second_agents.values():
            agent.loop.kill()
        for upstream in self.upstreams.values():
            upstream.loop.kill()
        asked = self.story.asked.values()
        return Outcome(
            self.seed,
            day.name,
            clock.digest,
            tuple(wrong),
            tuple(self.faults),
            len(asked),
            sum(item.patient for item in asked),
            sum(item.patient and bool(item.statuses) for item in asked),
            clock.events,
            clock.now_s,
            tuple(clock.lines or ()),
        )

    def _caller(self, name: str, homes: ProcessLoop, item: Balancer, think_s: float) -> None:
        self.callers.append(
            Caller(
                name,
                homes,
                item.address,
                item.name,
                self.story,
                lambda: think_s,
                DEADLINE_S,
                self.day.rude,
                self.day.ahead,
                self.day.changing,
                self.day.large,
                self.day.hasty,
                self.day.keyed,
            )
        )


def play(
    day: Day,
    seed: int,
    faults: Sequence[Fault] | None = None,
    keep: bool = False,
    planted: Sequence[Any] = (),
) -> Outcome:
    """One day. `planted`: faults put into the program, as `system.installed` takes them."""
    SteadyTask.serial = 0
    hook, sys.unraisablehook = sys.unraisablehook, lambda args: None
    try:
        with installed(tuple(planted)):
            found = Play(day, seed, faults, keep).run()
            asyncio.tasks._scheduled_tasks.clear() if hasattr(asyncio.tasks, "_scheduled_tasks") else None
            gc.collect()
        return found
    finally:
        sys.unraisablehook = hook
