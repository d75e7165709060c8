"""The balancer's real parts between stand-in peers on loopback sockets."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from larkweir_balancing.interface import Action, AttemptEnded, Event, Fail, RequestArrived, Send

from larkweir.config.options import Door, Fastcgi, Operator, Pool, Route, Storms
from larkweir.config.platform import decode
from larkweir.core.clock import Clock
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.loop_timing import LoopTiming
from larkweir.core.ports import Decisions
from larkweir.lifecycle.node import Node
from larkweir.protocols.listener import Listener
from standins.peers import PATIENCE_S as PATIENCE_S
from standins.peers import TRACES as TRACES
from standins.peers import Answer as Answer
from standins.peers import Behaviour as Behaviour
from standins.peers import Caller as Caller
from standins.peers import FakeDiscovery as FakeDiscovery
from standins.peers import FakeUpstream as FakeUpstream
from standins.peers import Incoming as Incoming
from standins.peers import Talk as Talk
from standins.peers import entry as entry
from standins.peers import ok as ok
from standins.peers import read_answer as read_answer
from standins.peers import read_head as read_head
from standins.peers import request_bytes as request_bytes
from standins.peers import serve_ok as serve_ok
from standins.peers import status as status

SETTINGS: dict[str, Any] = {
    "Categories": [
        {"Name": "look", "Effect": "read_like", "AimMs": 5000, "HardLimitMs": 8000, "Group": "all"},
        {
            "Name": "post",
            "Effect": "idempotency_key",
            "AimMs": 5000,
            "HardLimitMs": 8000,
            "Group": "zone",
            "MemorySpanMs": 4000,
            "Worth": 8,
        },
        {"Name": "move", "Effect": "non_idempotent", "AimMs": 5000, "HardLimitMs": 8000, "Worth": 8},
    ],
    "Tenants": [{"Name": "acme", "QuotaPerS": 1000, "Fraction": 1.0}],
    "Zones": ["north", "south"],
    "MachineTypes": ["box"],
    "Tiers": ["front"],
    "Discovery": "pushed",
    "Guarantees": {
        "AnswerSlackMs": 5,
        "ColdShare": 0.3,
        "ColdMs": 9000,
        "DrainGraceMs": 500,
        "FallMultiple": 3,
        "FallMs": 1000,
    },
    "PolicyLimits": {
        "SendCap": 4,
        "MayCancel": True,
        "SecondCopies": True,
        "ConnIdleMs": 60000,
        "ConnectTimeoutMs": 2000,
        "RetryAfter": True,
        "MaxRetryAfterMs": 2000,
    },
    "Stats": {"How": "off", "Fields": []},
}


class Script:
    """Stands in for the decisions: each request's sends go to the given servers in turn, then it fails. Keeps
    every event, so that a test sees just what the decisions would be told.
    """

    def __init__(self, servers: list[int], timeout_ms: float = 0.0) -> None:
        self.servers = servers
        self.timeout_ms = timeout_ms
        self.events: list[Event] = []
        self.told: asyncio.Queue[Event] = asyncio.Queue()
        self.more: Callable[[Event], list[Action] | None] = lambda event: None

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        self.told.put_nowait(event)
        actions = self.more(event)
        if actions is not None:
            return actions
        if isinstance(event, RequestArrived):
            return [Send(event.request, self.servers[0], self.timeout_ms)]
        if isinstance(event, AttemptEnded) and not event.is_final:
            if event.attempt + 1 < len(self.servers):
                return [Send(event.request, self.servers[event.attempt + 1], self.timeout_ms)]
            return [Fail(event.request)]
        return []

    async def ended(self) -> AttemptEnded:
        """The next end of an attempt."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                event = await self.told.get()
                if isinstance(event, AttemptEnded):
                    return event

    def ends(self) -> list[AttemptEnded]:
        return [event for event in self.events if isinstance(event, AttemptEnded)]


@dataclass
class Running:
    dispatcher: Dispatcher
    listener: Listener
    discovery: FakeDiscovery
    port: int
    errors: list[str] = field(default_factory=list)
    node: Node | None = None


def config_data(entries: list[dict[str, Any]], discovery_port: int, **more: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"generation": 1, "reset": True, "instances": entries},
        "settings": SETTINGS,
    } | more


def speaking() -> Fastcgi:
    """What the stand-ins speak just now."""
    return Fastcgi(
        listen=("127.0.0.1:0",) if Caller.speaks == "fastcgi" else (),
        upstreams="tier" if FakeUpstream.speaks == "fastcgi" else "off",
        multiplex="on" if MULTIPLEX[0] else "off",
    )


MULTIPLEX = [False]


def pass_time(clock: Clock, ms: float) -> None:
    """Let so many milliseconds go by at once for whatever reads this clock: what falls due fires in its order, and no
    turn of the loop counts as late. Nothing comes from a socket meanwhile.
    """
    until = clock.now_ms() + ms
    while True:
        due = min(until, clock._heap[0][0]) if clock._heap else until
        clock.offset_ms += max(0.0, due - clock.now_ms())
        clock.timing = LoopTiming(clock.now_ms())
        if clock._armed is not None:
            clock._armed.cancel()
        clock._fire()
        if due >= until:
            break


@asynccontextmanager
async def running(
    *entries: dict[str, Any],
    script: Decisions | None = None,
    limits: dict[str, Any] | None = None,
    stats: dict[str, Any] | None = None,
    categories: list[dict[str, Any]] | None = None,
    base: dict[str, Any] | None = None,
    machine: dict[str, Any] | None = None,
    generation: int = 1,
    rest_ms: float = 0.0,
    fastcgi: Fastcgi | None = None,
    door: Door | None = None,
    storms: Storms | None = None,
    routes: dict[str, Route] | None = None,
    pools: dict[str, Pool] | None = None,
    **more: Any,
) -> AsyncIterator[Running]:
    """The balancer's real parts, with a fake discovery that knows the entries. Connections to upstreams don't
    rest between calls, unless a test asks for that.
    """
    discovery = await FakeDiscovery(list(entries)).start()
    discovery.generation = generation
    if machine is not None:
        more["limits"] = machine
    known = {"generation": generation, "reset": True, "instances": list(entries)}
    more.setdefault("known", known)
    settings = (base or SETTINGS) | {
        "PolicyLimits": SETTINGS["PolicyLimits"] | (limits or {}),
        "Stats": stats or SETTINGS["Stats"],
        "Categories": categories or SETTINGS["Categories"],
    }
    data = config_data(list(entries), discovery.port, settings=settings, **more)
    config = decode(json.dumps(data), {})
    options = Operator(
        fastcgi=fastcgi or speaking(),
        door=door or Door(),
        storms=storms or Storms(),
        routes=routes or {},
        pools=pools or {},
    )
    node = Node(config, asyncio.get_running_loop(), script, options=options)
    dispatcher, listener = node.dispatcher, node.listener
    node.upstreams.REUSE_DELAY_MS = rest_ms
    listener.start(listener.bind(config.listen), make=node.connection_types[Caller.speaks])
    node.discovery.start()
    async with asyncio.timeout(PATIENCE_S):
        while not node.discovery.begun:
            await asyncio.sleep(0.001)
    try:
        yield Running(dispatcher, listener, discovery, listener.port, node=node)
    finally:
        node.discovery.stop()
        listener.stop_accepting()
        listener.end_idle()
        node.close()
        discovery.stop()
        await asyncio.sleep(0)
