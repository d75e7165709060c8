"""Hands: one balancer of the world: the real daemon on its own machine, its lives, and what its log says."""

from __future__ import annotations

import json
import re
import signal
from collections.abc import Callable
from typing import Any

from larkweir.config.operator import decode as decode_options
from larkweir.config.options import Operator
from larkweir.config.platform import decode, read_object
from larkweir.lifecycle.daemon import Daemon
from larkweir.lifecycle.reading import Generation
from mulleinhitch.interface import ServerState
from standins.checkers import GivenUp, Hit, Owned, Taken
from standins.world.agents import PORT, Agent
from standins.world.disk import Drive
from standins.world.kernel import Address, End, Machine
from standins.world.loop import ProcessLoop
from standins.world.story import Story

LISTEN = 8_080
OWNED = re.compile(r"owners: (\S+) owned here, term (\d+)$")
GIVEN_UP = re.compile(r"owners: (\S+) given up: (.*)$")
TAKEN = re.compile(r"owners: (\S+) (\d+)\.(\d+) taken$")
WRONG = re.compile(r"Traceback|Error\(|Exception|is not built|which is over")
MOST_LOG = 2_000


class Balancer:
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
        self.daemon: Daemon | None = None
        self.loop: ProcessLoop | None = None
        self.code: int | None = None  # of the present life, once it has ended by itself
        self.on_exit: Callable[[], None] = lambda: None
        self.slow = slow

    @property
    def life(self) -> int:
        return self.story.lives[self.name]

    @property
    def address(self) -> Address:
        return self.machine.ip, LISTEN

    @property
    def runs(self) -> bool:
        return self.loop is not None and not self.loop.dead

    def hit(self, what: str) -> None:
        clock = self.machine.net.clock
        clock.note(f"{self.name}: {what}")
        self.story.history.append(Hit(clock.now_s * 1000.0, self.name, what))

    def start(self) -> None:
        if self.runs or not self.machine.up:
            return
        self.story.lives[self.name] += 1
        self.code, self.daemon = None, None
        self.loop = ProcessLoop(
            self.machine.net, self.machine, f"{self.name}.{self.life}", self.descriptors, self.slow
        )
        self.loop.on_line = self._line
        self.hit("start")
        self.loop.begin(self._main())

    def _generation(self) -> Generation:
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{LISTEN}",
                "discovery": f"{self.machine.ip}:{PORT}",
                "seed": f"{self.machine.net.clock.rng.randrange(1 << 30):x}",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.descriptors},
                "settings": self.settings,
            }
        )
        options = Operator()
        if self.tables:
            options, faults = decode_options(self.tables)
            assert not faults, faults
        return Generation(decode(text, {}), options, read_object(text))

    async def _main(self) -> None:
        loop = self.loop
        assert loop is not None
        try:
            self.daemon = Daemon(self._generation())
            self.code = await self.daemon.run()
        except Exception as problem:  # the program has ended by what it never should
            self.story.fault(f"{self.name} ended: {problem!r:.300}")
            self.code = -1
        loop.call_soon(self._exited, loop)

    def _exited(self, loop: ProcessLoop) -> None:
        loop.call_later(0.01, self._gone, loop)  # whatever its end has called soon runs before

    def _gone(self, loop: ProcessLoop) -> None:
        # Callers' connections that have had their last answer are left to the system.
        kept = [
            item for item in loop.descriptors if not (isinstance(item, End) and item.local == self.address)
        ]
        tasks = [task.get_name() for task in loop.tasks]
        if kept or tasks:
            self.story.fault(f"{self.name} ended and kept {kept[:5]} and tasks {tasks[:5]}")
        self.hit(f"exit {self.code}")
        loop.kill()
        self.on_exit()

    def _line(self, text: str) -> None:
        now_ms = self.machine.net.clock.now_s * 1000.0
        self.machine.net.clock.note(f"{self.name} says {text}")
        self.log.append(text)
        del self.log[:-MOST_LOG]
        history = self.story.history
        if WRONG.search(text):
            self.story.fault(f"{self.name} says: {text:.600}")
        elif found := OWNED.search(text):
            history.append(Owned(now_ms, self.name, self.life, found[1], int(found[2])))
        elif found := GIVEN_UP.search(text):
            history.append(GivenUp(now_ms, self.name, self.life, found[1], found[2]))
        elif found := TAKEN.search(text):
            history.append(Taken(now_ms, self.name, self.life, found[1], int(found[2]), int(found[3])))

    # ------------------------------------------------ what is done to it

    def stop(self) -> None:
        if self.runs and self.loop is not None and not self.loop.stopped:
            self.hit("stop")
            self.loop.stop_here()

    def go_on(self) -> None:
        if self.runs and self.loop is not None and self.loop.stopped:
            self.hit("go on")
            self.loop.go_on()

    def drain(self) -> None:
        if self.runs and self.loop is not None:
            self.hit("drain")
            self.loop.signal(signal.SIGTERM)

    def kill(self) -> None:
        if self.runs and self.loop is not None:
            self.hit("kill")
            self.loop.kill()

    def vanish(self) -> None:
        """Its whole machine, with the agent: no word of it."""
        machine = self.machine
        machine.up = False
        if self.runs and self.loop is not None:
            self.hit("kill")
            self.loop.kill(silently=True)
        self.agent.loop.kill(silently=True)
        self.drive.crash(machine.net.clock.rng)

    def come_back(self) -> None:
        self.machine.up = True
        self.agent.start()
        self.start()

    # ------------------------------------------------ what is left of a day

    def leftovers(self) -> list[str]:
        """What is held although nothing is owed."""
        if self.daemon is None or not self.runs:
            return []
        node = self.daemon.node
        found = []
        engine, pool, listener = node.engine, node.upstreams, node.listener
        counts = {
            "exchanges": len(engine._exchanges),
            "open ids": len(engine._traces),
            "callers": listener.count,
            "arriving": len(listener._arriving),
            "connections coming up": len(pool._connecting),
            "calls that wait": len(pool._waiting),
            "bytes of room": node.room.used,
            "fresh": len(listener._fresh),
            "connections that are gone": sum(getattr(item, "_gone", False) for item in pool._open),
            "connections with a call": sum(item.calls for item in pool._open),
            "upstreams that are gone": sum(item.state is ServerState.GONE for item in pool.table.values()),
            "leaving": len(listener._leaving),
        }
        found += [f"{self.name} is left with {n} {what}" for what, n in counts.items() if n]
        balancer: Any = node.decisions
        held = [s for s in getattr(balancer.fleet, "servers", {}).values() if getattr(s, "outstanding", 0)]
        if held:
            found.append(f"{self.name} counts calls out at {len(held)} upstreams")
        return found
