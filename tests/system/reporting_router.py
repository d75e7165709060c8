"""The control-plane side of a router: it pulls from every controller and reports outcomes that the test chooses."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field
from typing import Any

import msgspec
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples
from larkweir_rollouts.state import Rollout

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from larkweir.cluster.configuration.rollouts import rollouts_of
from larkweir.cluster.messages import Delta, Hello, Message, NodeRole, Pull
from tests.system.loopback import Fleet

ANSWERS_PER_PULL = 5


@dataclass
class ReportingRouter:
    """Adds samples at every pull: successes of the other versions, and successes or failures of the target."""

    fleet: Fleet
    target_fails: bool = False
    sequence: int = -1
    rollout: Rollout | None = None
    target: RouteSamples = field(default_factory=RouteSamples)
    others: RouteSamples = field(default_factory=RouteSamples)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Connect to all controllers."""
        for address in self.fleet.control:
            self.tasks.append(asyncio.create_task(self._stay_connected(address)))

    async def stop(self) -> None:
        """Close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _stay_connected(self, address: str) -> None:
        """Reconnect whenever a controller that was not killed closes the connection, as it does after a stall."""
        while address in self.fleet.nodes:
            with contextlib.suppress(OSError):
                await self._pull_from(address.partition(":")[0])

    async def _pull_from(self, ip: str) -> None:
        reader, writer = await asyncio.open_connection(ip, self.fleet.port)
        writer.write(msgspec.json.encode(Hello("r", NodeRole.ROUTER, "life")) + b"\n")
        writer.write(msgspec.json.encode(Pull(self.sequence, {}, rollouts=self._reports())) + b"\n")
        while line := await reader.readline():
            message = msgspec.json.decode(line, type=Message)
            if isinstance(message, Delta):
                self._apply(message)
                writer.write(msgspec.json.encode(Pull(self.sequence, rollouts=self._reports())) + b"\n")
        writer.close()

    def _apply(self, delta: Delta) -> None:
        if delta.config is None or delta.config.sequence <= self.sequence:
            return
        body: dict[str, Any] = msgspec.json.decode(delta.config.body)
        if delta.config.base_sequence not in (-1, self.sequence):
            return
        self.sequence = delta.config.sequence
        if ROLLOUTS_KEY in body:
            self.rollout = next(iter(rollouts_of(body)), None)

    def _reports(self) -> dict[str, RolloutReport]:
        if self.rollout is None or not self.rollout.is_running:
            return {}
        if self.rollout.target_weight < 1.0:
            self.others.answered += ANSWERS_PER_PULL
        if self.target_fails:
            self.target.failed += ANSWERS_PER_PULL
        else:
            self.target.answered += ANSWERS_PER_PULL
        tracks = [TrackSamples(routes={"plain": samples}) for samples in (self.target, self.others)]
        return {self.rollout.service: RolloutReport(self.rollout.order_id, *tracks)}
