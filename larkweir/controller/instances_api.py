"""Heartbeats and departures of upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
from larkweir_registry.liveness import Liveness
from larkweir_registry.records import State, Upstream
from larkweir_registry.registry import Registry

from larkweir.cluster.http_server import Request, Response
from larkweir.controller.pull_service import PullService, Quorum

PATH_PREFIX = "/instances/"
MAX_HEARTBEAT_BYTES = 4_096
CONFIRM_TIMEOUT_S = 0.4  # an upstream that leaves waits a second for its acknowledgement
NO_MAJORITY = Response(503, b'{"error":"no majority of controllers is in reach"}')
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
    """`/instances/` of a controller.

    What an upstream says is noted whatever comes of it, but acknowledged only by a controller in touch with a majority:
    an upstream that has its acknowledgement tells nobody else, so that the routers in touch must hear of it from here.
    """

    def __init__(
        self,
        registry: Registry,
        liveness: Liveness,
        pulls: PullService,
        *,
        is_connected: Callable[[], bool],
        quorum: Quorum,
    ) -> None:
        """The first three are the controller's own.

        `is_connected`: whether it has links to a majority. `quorum`: whether it and these others are one.
        """
        self._registry = registry
        self._liveness = liveness
        self._pulls = pulls
        self._is_connected = is_connected
        self._quorum = quorum

    async def put(self, request: Request) -> Response:
        """A heartbeat. One that changes what routers must know is acknowledged once they have it."""
        if len(request.body) > MAX_HEARTBEAT_BYTES:
            return Response(413)
        try:
            heartbeat: Heartbeat = msgspec.json.decode(request.body, type=Heartbeat)
            state = STATES[heartbeat.state]
        except (msgspec.DecodeError, KeyError):
            return Response(400)
        id_ = request.target.removeprefix(PATH_PREFIX)
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
        self._registry.note(upstream, now_ms)
        if state is State.READY:
            self._pulls.wake()
            return Response(200, b"{}") if self._is_connected() else NO_MAJORITY
        return await self._acknowledge_departure()

    async def delete(self, request: Request) -> Response:
        """The upstream has ended, or is about to."""
        id_ = request.target.removeprefix(PATH_PREFIX)
        now_ms = asyncio.get_running_loop().time() * 1000.0
        known = self._registry.upstreams.get(id_)
        gone = (
            msgspec.structs.replace(known, state=State.GONE)
            if known is not None
            else Upstream(id=id_, service="", address="", zone="", state=State.GONE)
        )
        self._liveness.forget(id_)
        self._registry.note(gone, now_ms)
        return await self._acknowledge_departure()

    async def _acknowledge_departure(self) -> Response:
        """An upstream drains or has gone: `drain_ms` run from the acknowledgement for all routers in touch."""
        known = await self._pulls.wait_until_delivered(CONFIRM_TIMEOUT_S, self._quorum)
        return Response(200, b"{}") if known else NO_MAJORITY
