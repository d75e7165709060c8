"""`/rollouts` of a controller: operators order, read and abort roll-outs through the current primary."""

from __future__ import annotations

import asyncio
from typing import Annotated

import msgspec
from larkweir_rollouts.orders import rollout_of
from larkweir_rollouts.schedule import CANARY_WEIGHT
from larkweir_rollouts.state import MAX_DURATION_S, Rollout

from larkweir.cluster import log
from larkweir.cluster.configuration.rollout_commands import (
    RolloutAbort,
    RolloutCommand,
    RolloutOrder,
    replicated_command,
)
from larkweir.cluster.configuration.rollouts import Rollouts, rollouts_of
from larkweir.cluster.http_server import Request, Response
from larkweir.controller.call_outcome import Completed, Rejected
from larkweir.controller.clock import unix_ms
from larkweir.controller.operator_api import NO_PRIMARY, CallPrimary, call_until_known, error_response

PATH = "/rollouts"
MAX_BODY_BYTES = 16 * 1024
MAX_NAME_CHARS = 256
READ_BACK_TIMEOUT_S = 0.05  # must fit in the second that operators wait for an acknowledgement

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]


class RolloutRequest(msgspec.Struct, frozen=True):
    """The body of `POST /rollouts`. Unknown fields are ignored."""

    service: Name = msgspec.field(name="backend")
    target_version: Name
    duration_s: Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)]


class RolloutStatus(msgspec.Struct, frozen=True):
    """The body of `GET /rollouts/SERVICE`."""

    state: str
    target_version: str
    target_weight: float
    reason: str
    service: str = msgspec.field(name="backend")
    duration_s: float


class RolloutsApi:
    """Answers after the primary has committed a change or confirmed a read."""

    def __init__(self, call: CallPrimary) -> None:
        """`call` is retried while its outcome is unknown."""
        self._call = call

    async def order(self, request: Request) -> Response:
        """Handles `POST /rollouts`. A repeated order is acknowledged again."""
        if len(request.body) > MAX_BODY_BYTES:
            return error_response(413, "the body is too long")
        try:
            body: RolloutRequest = msgspec.json.decode(request.body, type=RolloutRequest)
        except (msgspec.DecodeError, RecursionError) as error:  # the error message names the invalid field
            return error_response(400, str(error))
        rollout = Rollout(
            body.service, body.target_version, body.duration_s, unix_ms(), target_weight=CANARY_WEIGHT
        )
        response = await self._change(RolloutOrder(rollout), rollout.service)
        if response.status == 200:
            log.event(
                "rollout_ordered",
                service=rollout.service,
                version=rollout.target_version,
                duration_s=rollout.duration_s,
            )
        return response

    async def abort(self, service: str) -> Response:
        """Handles `DELETE /rollouts/SERVICE`: a running roll-out is rolled back."""
        response = await self._change(RolloutAbort(service), service)
        if response.status == 200:
            log.event("rollout_aborted", service=service)
        return response

    async def get(self, service: str) -> Response:
        """Handles `GET /rollouts/SERVICE`."""
        rollouts = await self._read()
        if isinstance(rollouts, Response):
            return rollouts
        rollout = rollout_of(rollouts, service)
        if rollout is None:
            return error_response(404, f"there was no roll-out of {service}")
        return _answer(_status(rollout))

    async def list(self) -> Response:
        """Handles `GET /rollouts`: the latest roll-out of each service that has had one."""
        rollouts = await self._read()
        if isinstance(rollouts, Response):
            return rollouts
        return _answer([_status(rollout) for rollout in rollouts])

    async def _change(self, command: RolloutCommand, service: str) -> Response:
        outcome = await call_until_known(self._call, replicated_command(command))
        match outcome:
            case Completed():
                return await self._read_back(service)
            case Rejected(status, detail):
                return error_response(status, detail)
            case _:
                return error_response(503, NO_PRIMARY)

    async def _read_back(self, service: str) -> Response:
        """Returns the state after a change, or an empty object as acknowledgement if it can't be read in time."""
        try:
            async with asyncio.timeout(READ_BACK_TIMEOUT_S):
                outcome = await self._call(None)
        except TimeoutError:
            return _answer({})
        found = rollout_of(_decoded(outcome.value), service) if isinstance(outcome, Completed) else None
        return _answer(_status(found) if found is not None else {})

    async def _read(self) -> Rollouts | Response:
        outcome = await call_until_known(self._call, None)
        if isinstance(outcome, Completed):
            return _decoded(outcome.value)
        return error_response(503, NO_PRIMARY)


def _decoded(value: str) -> Rollouts:
    return rollouts_of(msgspec.json.decode(value)) if value else ()


def _status(rollout: Rollout) -> RolloutStatus:
    return RolloutStatus(
        state=rollout.state,
        target_version=rollout.target_version,
        target_weight=rollout.target_weight,
        reason=rollout.reason,
        service=rollout.service,
        duration_s=rollout.duration_s,
    )


def _answer(body: object) -> Response:
    return Response(200, msgspec.json.encode(body))
