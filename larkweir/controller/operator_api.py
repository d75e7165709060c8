"""The operator's calls: the configuration read, replaced and changed, through whoever is the primary."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from larkweir_replication.messages import Command

from larkweir.cluster.configuration.changes import Change
from larkweir.cluster.http_server import Request, Response
from larkweir.cluster.messages import Forwarded
from larkweir.controller.replica_driver import OK, UNKNOWN

ANSWER_TIMEOUT_S = 0.9  # the operator goes to another controller after a second of silence
RETRY_PAUSE_S = 0.04

CallPrimary = Callable[[Command | None], Awaitable[Forwarded]]
"""A command, or a read where there is none, to the primary wherever it is."""


class OperatorApi:
    """`/config` of a controller."""

    def __init__(self, call: CallPrimary) -> None:
        """`call`: tries the primary once."""
        self._call = call

    async def get(self) -> Response:
        """The newest configuration, confirmed by the primary."""
        answer = await self._call_until_known(None)
        if answer.status != OK:
            return _error(503, answer.detail or "no primary answers")
        if not answer.value:
            return _error(404, "there is no configuration yet")
        return Response(200, answer.value.encode())

    async def change(self, request: Request) -> Response:
        """PUT of a whole configuration or PATCH of named items."""
        base = request.headers.get("if-match", "").strip().strip('"')
        if not base.isdigit():
            return _error(400, "If-Match: the version that the change builds on is needed")
        try:
            body = request.body.decode()
        except UnicodeDecodeError:
            return _error(400, "the body is no UTF-8")
        change = Change(request.method == "PATCH", int(base), body)
        answer = await self._call_until_known(Command(change.identity, change.base, change.encode()))
        if answer.status == OK:
            return Response(200, b"{}")
        return _error(answer.status or 503, answer.detail or "no primary answers")

    async def _call_until_known(self, command: Command | None) -> Forwarded:
        """Tries again while the outcome is unknown: a command that was carried out is known by its identity."""
        answer = Forwarded(0, UNKNOWN)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while True:
                    answer = await self._call(command)
                    if answer.status != UNKNOWN:
                        return answer
                    await asyncio.sleep(RETRY_PAUSE_S)
        except TimeoutError:
            return Forwarded(0, UNKNOWN)


def _error(status: int, detail: str) -> Response:
    return Response(status, msgspec.json.encode({"error": detail}))
