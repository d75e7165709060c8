"""Heartbeats and departures of upstreams."""

from __future__ import annotations

import asyncio

import msgspec
from larkweir_registry.liveness import Liveness
from larkweir_registry.records import State, Upstream
from larkweir_registry.registry import Registry

from larkweir.system.controller.distribution import Distribution
from larkweir.system.http_server import Request, Response

PATH = "/instances/"
MAX_BODY_BYTES = 4_096
CONFIRM_S = 0.4  # an upstream that leaves waits a second for its acknowledgement
STATES = {"ready": State.READY, "draining": State.DRAINING}


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of `PUT /instances/ID`. Unknown fields are ignored."""

    backend: str
    address: str
    zone: str
    sequence: int
    state: str = "ready"
    slots: int = 1


class InstancesApi:
    """`/instances/` of a controller."""

    def __init__(self, registry: Registry, liveness: Liveness, distribution: Distribution) -> None:
        """All three are the controller's own."""
        self._registry = registry
        self._liveness = liveness
        self._distribution = distribution

    async def put(self, request: Request) -> Response:
        """A heartbeat. One that changes what routers must know is acknowledged once they have it."""
        if len(request.body) > MAX_BODY_BYTES:
            return Response(413)
        try:
            heartbeat: Heartbeat = msgspec.json.decode(request.body, type=Heartbeat)
            state = STATES[heartbeat.state]
        except (msgspec.DecodeError, KeyError):
            return Response(400)
        id_ = request.target.removeprefix(PATH)
        upstream = Upstream(
            id=id_,
            service=heartbeat.backend,
            address=heartbeat.address,
            zone=heartbeat.zone,
            slots=heartbeat.slots,
            sequence=heartbeat.sequence,
            state=state,
        )
        now_ms = asyncio.get_running_loop().time() * 1000.0
        self._liveness.heard(id_, heartbeat.sequence, now_ms)
        if self._registry.note(upstream, now_ms):
            await self._tell(state)
        return Response(200, b"{}")

    async def delete(self, request: Request) -> Response:
        """The upstream has ended, or is about to."""
        id_ = request.target.removeprefix(PATH)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        known = self._registry.upstreams.get(id_)
        gone = (
            msgspec.structs.replace(known, state=State.GONE)
            if known is not None
            else Upstream(id=id_, service="", address="", zone="", state=State.GONE)
        )
        self._liveness.forget(id_)
        if self._registry.note(gone, now_ms):
            await self._tell(State.GONE)
        return Response(200)

    async def _tell(self, state: State) -> None:
        if state is State.READY:
            self._distribution.wake()
        else:
            await self._distribution.confirmed(CONFIRM_S)
