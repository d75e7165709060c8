"""A scenario's faults in simulated time: which servers they affect, and how. Pure logic."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from larkweir.lab.scenario import Fault, time_ms
from larkweir.lab.servers import Server

if TYPE_CHECKING:
    from larkweir.lab.model import World

DRAIN_MS, DOWN_MS = 1_000.0, 1_000.0  # of a deploy: a server takes nothing new, and is not there
DISCOVERY_MS = 1_000.0  # until discovery has seen a crash or a restart


class Faults:
    """Schedules the faults of one run."""

    def __init__(self, world: World) -> None:
        self._world = world

    def schedule(self, number: int, fault: Fault) -> None:
        """Schedule the scenario's `number`th fault. The servers that it affects are drawn by the seed and `number`."""
        world, affected = self._world, self._affected(number, fault)
        at = time_ms(fault.at, "at")
        if fault.kind == "deploy":
            step = (time_ms(fault.until, "until") - at) / len(affected)
            for place, server in enumerate(affected):
                world.after(at + place * step, partial(self._release, server))
            return
        world.after(at, lambda: self._apply(affected, fault, True))
        if fault.until:
            world.after(time_ms(fault.until, "until"), lambda: self._apply(affected, fault, False))

    def _affected(self, number: int, fault: Fault) -> list[Server]:
        servers = self._world.servers
        if fault.server >= 0:
            return [servers[fault.server]]
        if fault.zone:
            return [
                server for server, zone in zip(servers, self._world.zones, strict=True) if zone == fault.zone
            ]
        rng = Random(f"{self._world.seed} fault {number}")
        return rng.sample(servers, max(1, round(fault.part * len(servers))))

    def _release(self, server: Server) -> None:
        """Deploy one server: off the list, then down for a moment, then back and cold."""
        server.draining = True
        self._world.list_servers()
        self._world.after(DRAIN_MS, partial(self._take_down, server))

    def _take_down(self, server: Server) -> None:
        server.crash()
        self._world.after(DOWN_MS, partial(self._bring_back, server))

    def _bring_back(self, server: Server) -> None:
        server.draining = False
        server.restart()
        self._world.list_servers()

    def _apply(self, affected: list[Server], fault: Fault, on: bool) -> None:
        for server in affected:
            if fault.kind == "stall":
                server.stall(on)
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
            self._world.after(DISCOVERY_MS, self._world.list_servers)
