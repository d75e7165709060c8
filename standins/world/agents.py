"""Discovery: one registry of the world, and an agent on each balancer's machine that tells what it has heard."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from standins.world.http import GarbledError, Reader, Whole, answer
from standins.world.kernel import Machine, Net
from standins.world.loop import ProcessLoop
from standins.world.story import Source, Story, Told
from standins.world.transport import StreamTransport

PORT = 4_100


class Registry:
    """What is true of the upstreams; each change goes to each agent after a while of its own."""

    def __init__(self, net: Net, delay_s: float = 0.05) -> None:
        self._net, self._delay_s = net, delay_s
        self.rows: dict[str, dict[str, Any]] = {}
        self.agents: list[Agent] = []

    def tell(self, row: dict[str, Any]) -> None:
        self.rows[row["instanceId"]] = row
        clock = self._net.clock
        clock.note(f"registry: {row['instanceId']} {row['lifecycle']} at {row['hostPort']}")
        for agent in self.agents:
            clock.after(self._delay_s * clock.rng.random(), agent.hears, dict(row))


class Agent:
    """On one machine, over all its lives. `quiet`: calls are taken and not answered. `omits`: its whole lists are
    without the upstreams that leave, which is how they say so.
    """

    def __init__(
        self,
        registry: Registry,
        machine: Machine,
        copy: str,
        story: Story,
        omits: bool = False,
        port: int = PORT,
    ) -> None:
        self.registry, self.machine, self.copy, self.story = registry, machine, copy, story
        self.omits, self.port = omits, port
        self.source = Source(copy, (machine.ip, port))
        story.sources.append(self.source)
        self.rows: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.generation = 1
        self.quiet = False
        self.loses = False  # changes that come now are missed, until `catches_up`
        self.breaks = False  # calls are ended in place of an answer
        self.wholes = False  # watches are answered with whole lists
        self.loop: ProcessLoop
        self.talks: dict[_Talk, None] = {}
        registry.agents.append(self)
        self.start()

    def start(self, generation: int = 1) -> None:
        self.rows = {
            name: dict(row) for name, row in self.registry.rows.items() if row["lifecycle"] != "left"
        }
        self.changes, self.generation = [], generation
        self.talks = {}
        now_s = self.machine.net.clock.now_s
        for name, row in self.registry.rows.items():
            if row["lifecycle"] != "active":
                self.source.heard.setdefault(name, now_s)
        self.loop = ProcessLoop(self.machine.net, self.machine, f"agent-{self.copy}")
        self.loop.begin(self._main())

    def stop(self, silently: bool = False) -> None:
        self.source.answers(self.machine.net.clock.now_s, False)
        self.loop.kill(silently)

    async def _main(self) -> None:
        await self.loop.create_server(lambda: _Talk(self), "", self.port)
        self._look_whether_it_answers()

    def _look_whether_it_answers(self) -> None:
        answers = not (self.quiet or self.breaks or self.loop.dead)
        self.source.answers(self.machine.net.clock.now_s, answers)

    def hears(self, row: dict[str, Any]) -> None:
        if self.loses or self.loop.dead:
            return
        if (
            self.rows.get(row["instanceId"], {}).get("lifecycle") == "left"
            or self.rows.get(row["instanceId"]) == row
        ):
            return
        if row["lifecycle"] == "active" and self.registry.rows[row["instanceId"]]["lifecycle"] != "active":
            return  # overtaken
        if row["lifecycle"] != "active":
            self.source.heard.setdefault(row["instanceId"], self.machine.net.clock.now_s)
        self.generation += 1
        self.rows[row["instanceId"]] = row
        self.changes.append((self.generation, row))
        self.loop.call_soon(self._look)

    def catches_up(self) -> None:
        self.loses = False
        for row in self.registry.rows.values():
            self.hears(dict(row))

    def _look(self) -> None:
        for talk in list(self.talks):
            talk.look()

    def hush(self) -> None:
        self.quiet = True
        self._look_whether_it_answers()

    def speak(self) -> None:
        self.quiet = False
        self._look_whether_it_answers()
        if not self.loop.dead:
            self.loop.call_soon(self._look)

    def end_calls(self, ending: bool) -> None:
        """Whether calls are ended in place of an answer."""
        self.breaks = ending
        self._look_whether_it_answers()

    def whole(self) -> dict[str, Any]:
        stays = ("active",) if self.omits else ("active", "leaving")
        rows = [row for row in self.rows.values() if row["lifecycle"] in stays]
        return {"generation": self.generation, "reset": True, "instances": rows}

    def delta(self, after: int) -> dict[str, Any]:
        rows = [row for at, row in self.changes if at > after]
        return {"generation": self.generation, "reset": False, "instances": rows}


class _Talk(asyncio.Protocol):
    def __init__(self, agent: Agent) -> None:
        self._agent = agent
        self._reader = Reader()
        self._after: int | None = None  # of the watch that is out
        self._timer: asyncio.TimerHandle | None = None
        self._whole = False  # asked for
        self.transport: StreamTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._agent.talks[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._agent.talks.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            for request in self._reader.feed(data):
                self._asked(request)
        except GarbledError as problem:
            self._agent.story.fault(f"the agent of {self._agent.copy} was sent {problem!r:.80}")
            self.transport.abort()

    def _asked(self, request: Whole) -> None:
        target = request.first.split()[1]
        if "after=" in target:
            self._after = int(target.partition("after=")[2].partition("&")[0])
            wait_s = int(target.partition("wait_ms=")[2]) / 1000.0
            self._timer = self._agent.loop.call_later(wait_s, self._due)
        else:
            self._whole = True
        self.look()

    def _due(self) -> None:
        self._timer = None
        self.look()

    def look(self) -> None:
        agent = self._agent
        if agent.quiet:
            return
        if agent.breaks and (self._whole or self._due_now):
            self.transport.abort()
        elif self._whole:
            self._whole = False
            self._say(agent.whole())
        elif self._due_now:
            after, self._after = self._after or 0, None
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
            self._say(agent.whole() if agent.wholes else agent.delta(after))

    @property
    def _due_now(self) -> bool:
        """Whether a watch is out that is to be answered."""
        return self._after is not None and (self._timer is None or self._agent.generation != self._after)

    def _say(self, data: dict[str, Any]) -> None:
        if self.transport.is_closing():
            return
        self.transport.write(answer(200, json.dumps(data).encode()))
        agent, end = self._agent, self.transport.end
        story, life = agent.story, end.peer.owner.life if end.peer is not None else 0
        for row in data["instances"]:
            told = Told(agent.copy, life, row["instanceId"], end, end.written)
            (story.listed if row["lifecycle"] == "active" else story.told).append(told)
        if data["reset"]:
            there = {row["instanceId"] for row in data["instances"]}
            story.left_out += [
                Told(agent.copy, life, name, end, end.written)
                for name, row in agent.registry.rows.items()
                if row["lifecycle"] != "active" and name not in there
            ]
