"""One balancer of the world: the real daemon on its own machine, its lives, and what its log says.

A handover's successor is a second process (`ProcessLoop`) that runs the same text: `Successor` stands in place of
`larkweir.lifecycle.handover.Successor`, and passes the listening sockets and a channel as the real one does.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from larkweir_balancing.interface import ServerState

from larkweir.config.operator import decode as decode_options
from larkweir.config.options import Operator
from larkweir.config.platform import decode, read_object
from larkweir.core.clock import Clock
from larkweir.lifecycle.channel import MessageKind
from larkweir.lifecycle.config_loader import ConfigGeneration
from larkweir.lifecycle.daemon import Daemon
from larkweir.lifecycle.handover import Channel, OnEnd, OnMessage
from standins.checkers import GivenUp, Hit, Owned, Taken
from standins.world.agents import PORT, Agent
from standins.world.disk import Drive
from standins.world.kernel import Address, End, Listening, Machine
from standins.world.loop import ProcessLoop
from standins.world.settings import terms
from standins.world.sockets import Sock, running
from standins.world.story import Reload, Story

FORK_S = 0.03  # from the order to start a process to its first turn, on the mean
OPERATOR_FILE = "operator.toml"
PAIR = (1, 2)  # in place of ports, the two ends of a socket pair
LISTEN = 8_080
CONTROL = 8_081
OWNED = re.compile(r"owners: (\S+) owned here, term (\d+)$")
GIVEN_UP = re.compile(r"owners: (\S+) given up: (.*)$")
TAKEN = re.compile(r"owners: (\S+) (\d+)\.(\d+) taken$")
RELOADED = re.compile(r"reload: discovery is ")
HANDOVER = re.compile(r"handover: ")
TAKEN_OVER = "handover: the successor has taken over"
TAKEN_BACK = re.compile(r"handover: .*this life (goes on|takes over again)")
WRONG = re.compile(r"Traceback|Error\(|Exception|no handler for action|which has ended")
MOST_LOG = 2_000


@dataclass(slots=True, eq=False)
class Process:
    """One start of the program."""

    loop: ProcessLoop
    daemon: Daemon | None = None


class Balancer:
    """All processes of one balancer's machine, the newest last: several only while one hands over to the next."""

    def __init__(
        self,
        name: str,
        machine: Machine,
        agent: Agent,
        settings: dict[str, Any],
        story: Story,
        tables: str = "",
        descriptors: int = 256,
        slow: float = 1.0,
    ) -> None:
        """`tables` is the operator file's text."""
        self.name, self.machine, self.agent, self.story = name, machine, agent, story
        self.settings, self.tables, self.descriptors = settings, tables, descriptors
        machine.drive = self.drive = Drive()
        self.log: list[str] = []
        self.processes: list[Process] = []
        self.discovery: Address = (machine.ip, PORT)
        self._control_port = CONTROL
        self.edition = 0  # of the platform file
        self._read = (0, settings, self.discovery)  # of the file that was read last
        self.code: int | None = None  # of the last process that has ended by itself
        self.on_exit: Callable[[], None] = lambda: None
        self.slow = slow

    @property
    def life(self) -> int:
        return self.story.lives[self.name]

    @property
    def loop(self) -> ProcessLoop | None:
        return self.processes[-1].loop if self.processes else None

    @property
    def daemon(self) -> Daemon | None:
        return self.processes[-1].daemon if self.processes else None

    @property
    def control(self) -> Address:
        return self.machine.ip, CONTROL

    @property
    def address(self) -> Address:
        return self.machine.ip, LISTEN

    @property
    def runs(self) -> bool:
        return any(not process.loop.dead for process in self.processes)

    def hit(self, what: str) -> None:
        clock = self.machine.net.clock
        clock.note(f"{self.name}: {what}")
        self.story.history.append(Hit(clock.now_s * 1000.0, self.name, what))

    def start(self) -> None:
        if self.runs or not self.machine.up:
            return
        self.processes.clear()
        self._control_port = CONTROL
        process = self._process()
        self.hit("start")
        process.loop.begin(self._main(process, [], None))

    def start_successor(self, channel: End, listening: Sequence[tuple[str, Listening]]) -> ProcessLoop:
        """A process that inherits listening sockets, each with its protocol, and its end of a channel."""
        process = self._process()
        channel.owner = process.loop
        process.loop.opens(channel)
        for _, item in listening:
            item.share(process.loop)
        self.hit("successor")
        process.loop.begin(self._main(process, listening, channel))
        return process.loop

    def _process(self) -> Process:
        self.story.lives[self.name] += 1
        loop = ProcessLoop(
            self.machine.net,
            self.machine,
            f"{self.name}.{self.life}",
            self.descriptors,
            self.slow,
            self.life,
        )
        loop.on_line = lambda text: self._line(loop, text)
        loop.memory["balancer"] = self
        self.processes.append(Process(loop))
        return self.processes[-1]

    # ------------------------------------------------ its files

    def text(self) -> str:
        """The platform file as it stands now."""
        return json.dumps(
            {
                "name": self.name,
                "listen": f"{self.machine.ip}:{LISTEN}",
                "discovery": f"{self.discovery[0]}:{self.discovery[1]}",
                "control": f"{self.machine.ip}:{self._control_port}",
                "seed": f"{self.machine.net.clock.rng.randrange(1 << 30):x}",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.descriptors},
                "settings": self.settings,
            }
        )

    def read_again(self) -> str:
        """For a reload."""
        self._read = (self.edition, self.settings, self.discovery)
        return self.text()

    def options(self) -> Operator:
        if not self.tables:
            return Operator()
        options, faults = decode_options(self.tables)
        assert not faults, faults
        return options

    def _generation(self) -> ConfigGeneration:
        text = self.read_again()
        return ConfigGeneration(decode(text, {}), self.options(), read_object(text))

    def _in_force(self, life: int) -> None:
        """The file that was read last counts."""
        now_s = self.machine.net.clock.now_s
        _, settings, discovery = self._read
        self.story.in_force[self.name, life].append((now_s, terms(settings)))
        self.story.pointed.append((self.name, now_s, discovery))

    # ------------------------------------------------ a process's life

    async def _main(
        self, process: Process, listening: Sequence[tuple[str, Listening]], channel: End | None
    ) -> None:
        loop = process.loop
        try:
            sockets: Any = [(protocol, Sock(listening=item)) for protocol, item in listening]
            predecessor: Any = Sock(end=channel) if channel is not None else None
            generation = self._generation()
            self._in_force(loop.life)
            process.daemon = Daemon(generation, OPERATOR_FILE, (), sockets, predecessor)
            self.code = await process.daemon.run()
        except Exception as problem:  # the program has ended by what it never should
            self.story.fault(f"{self.name} ended: {problem!r:.300}")
            self.code = -1
        loop.call_soon(self._exited, loop)

    def _exited(self, loop: ProcessLoop) -> None:
        loop.call_later(0.01, self._gone, loop)  # whatever its end has called soon runs before

    def _gone(self, loop: ProcessLoop) -> None:
        # Callers' connections that have had their last answer are left to the system, and so is the channel to a
        # successor, which sees this process's end by it. So are operators' connections: they are kept for a second for
        # the answer to be read.
        left = (LISTEN, PAIR[0], *range(CONTROL, CONTROL + self.life + 1))
        kept = [item for item in loop.descriptors if not (isinstance(item, End) and item.local[1] in left)]
        tasks = [task.get_name() for task in loop.tasks]
        if kept or tasks:
            self.story.fault(f"{self.name} ended and kept {kept[:5]} and tasks {tasks[:5]}")
        loop.kill()
        self.processes = [process for process in self.processes if process.loop is not loop]
        if self.processes:
            self.hit("one of two exits")
        else:
            self.hit(f"exit {self.code}")
            self.on_exit()

    def forget(self, loop: ProcessLoop) -> None:
        """A process that was killed."""
        self.processes = [process for process in self.processes if process.loop is not loop]

    def _line(self, loop: ProcessLoop, text: str) -> None:
        now_s = self.machine.net.clock.now_s
        now_ms = now_s * 1000.0
        self.machine.net.clock.note(f"{loop.name} says {text}")
        self.log.append(text)
        del self.log[:-MOST_LOG]
        history = self.story.history
        if WRONG.search(text):
            self.story.fault(f"{self.name} says: {text:.600}")
        elif RELOADED.search(text):
            self.story.reloads.append(Reload(self.name, loop.life, now_s, self._read[0], True))
            self._in_force(loop.life)
        elif HANDOVER.search(text):
            self.story.handover_lines.append((self.name, now_s, text))
            if TAKEN_OVER in text:
                self.hit("drain")
            elif TAKEN_BACK.search(text):
                self.hit("drain is over")
        elif found := OWNED.search(text):
            history.append(Owned(now_ms, self.name, loop.life, found[1], int(found[2])))
        elif found := GIVEN_UP.search(text):
            history.append(GivenUp(now_ms, self.name, loop.life, found[1], found[2]))
        elif found := TAKEN.search(text):
            history.append(Taken(now_ms, self.name, loop.life, found[1], int(found[2]), int(found[3])))

    # ------------------------------------------------ what is done to it

    def stop(self) -> None:
        if any(not process.loop.stopped for process in self.processes):
            self.hit("stop")
            for process in self.processes:
                process.loop.stop_here()

    def go_on(self) -> None:
        if any(process.loop.stopped for process in self.processes):
            self.hit("go on")
            for process in self.processes:
                process.loop.go_on()

    def drain(self) -> None:
        if self.runs:
            self.hit("drain")
            for process in self.processes:
                process.loop.signal(signal.SIGTERM)

    def kill(self, silently: bool = False) -> None:
        if self.runs:
            self.hit("kill")
            for process in self.processes:
                process.loop.kill(silently)
            self.processes.clear()

    def vanish(self) -> None:
        """Its whole machine, with the agent: no word of it."""
        machine = self.machine
        machine.up = False
        self.kill(silently=True)
        self.agent.stop(silently=True)
        self.drive.crash(machine.net.clock.rng)

    def come_back(self) -> None:
        self.machine.up = True
        self.agent.start()
        self.start()

    def end(self) -> None:
        """At a day's end, with no word of it."""
        for process in self.processes:
            process.loop.kill()

    def reload(self) -> None:
        """SIGHUP, after the platform file was changed."""
        self.edition += 1
        loop = self.loop
        if loop is not None and self.runs:
            self.hit("reload")
            now_s = self.machine.net.clock.now_s
            self.story.reloads.append(Reload(self.name, loop.life, now_s, self.edition))
            loop.signal(signal.SIGHUP)

    def hand_over(self) -> None:
        """SIGUSR2."""
        loop = self.loop
        if loop is not None and self.runs:
            self.hit("hand over")
            self.story.handovers.append((self.name, self.machine.net.clock.now_s))
            loop.signal(signal.SIGUSR2)

    def start_beside(self) -> None:
        """Another process of the same balancer, which knows nothing of the one that serves: it opens sockets of its own
        at the same address (SO_REUSEPORT, socket(7)).
        """
        if self.runs and self.machine.up:
            self._control_port += 1  # each has one of its own
            process = self._process()
            self.hit("successor")
            process.loop.begin(self._main(process, [], None))

    def drain_older(self) -> None:
        """SIGTERM to all but the newest process."""
        if len(self.processes) > 1:
            self.hit("drain")
            for process in self.processes[:-1]:
                process.loop.signal(signal.SIGTERM)

    def kill_newest(self) -> None:
        """SIGKILL to a successor that is there, and to nobody else."""
        if len(self.processes) > 1:
            self.hit("kill of the successor")
            process = self.processes.pop()
            process.loop.kill()
            self.story.killed_lives.add((self.name, process.loop.life))
            self.hit("drain is over")

    # ------------------------------------------------ what is left of a day

    def leftovers(self) -> list[str]:
        """What is held although nothing is owed."""
        if self.daemon is None or not self.runs:
            return []
        if len(self.processes) > 1:
            return [f"{self.name} is left with {len(self.processes)} processes"]
        node = self.daemon.node
        found = []
        dispatcher, pool, listener = node.dispatcher, node.upstreams, node.listener
        counts = {
            "exchanges": len(dispatcher.requests),
            "open ids": len(dispatcher.requests.open_ids),
            "callers": listener.count,
            "arriving": len(listener._arriving),
            "connections coming up": len(pool._connecting),
            "calls that wait": len(pool._waiting),
            "bytes of room": node.memory.used_bytes,
            "fresh": len(listener._fresh),
            "connections that are gone": sum(item._lost for item in pool._open),
            "connections with a call": sum(item.calls for item in pool._open),
            "upstreams that are gone": sum(item.state is ServerState.GONE for item in pool.table.values()),
            "leaving": len(listener._leaving),
        }
        found += [f"{self.name} is left with {n} {what}" for what, n in counts.items() if n]
        balancer: Any = node.decisions
        held = [s for s in getattr(balancer.table, "servers", {}).values() if getattr(s, "in_flight", 0)]
        if held:
            found.append(f"{self.name} counts calls out at {len(held)} upstreams")
        return found


class Successor:
    """`larkweir.lifecycle.handover.Successor` on a process of the world."""

    pid = 1

    def __init__(self, loop: ProcessLoop, channel: Channel) -> None:
        self._loop, self.channel = loop, channel

    @classmethod
    async def start(
        cls,
        arguments: Sequence[str],
        sockets: Sequence[tuple[str, Any]],
        clock: Clock,
        on_message: OnMessage,
        on_end: OnEnd,
    ) -> Successor:
        parent = running()
        balancer: Balancer = parent.memory["balancer"]
        ours, theirs = _pair(parent)
        await asyncio.sleep(FORK_S * (0.5 + parent.clock.rng.random()))
        child = balancer.start_successor(theirs, [(protocol, sock.listening) for protocol, sock in sockets])
        end: Any = Sock(end=ours)
        return cls(child, await Channel.on(end, on_message, on_end))

    def abandon(self, gracefully: bool) -> None:
        """As the real one does it."""
        self.channel.send(MessageKind.GIVE_UP)
        self.channel.close()
        if not self._loop.dead:
            if gracefully:
                self._loop.signal(signal.SIGTERM)
            else:
                self._loop.kill()
                balancer: Balancer = self._loop.memory["balancer"]
                balancer.forget(self._loop)


def _pair(owner: ProcessLoop) -> tuple[End, End]:
    """Two ends that are up, as `socket.socketpair` makes them; the second gets its owner later."""
    machine = owner.machine
    here, there = ((machine.ip, port) for port in PAIR)
    ours, theirs = End(machine, owner, here, there), End(machine, owner, there, here)
    ours.peer, theirs.peer = theirs, ours
    ours.up = theirs.up = True
    owner.opens(ours)
    return ours, theirs
