"""The operator's calls on `/config`: they read, replace or patch the configuration at the current primary."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
from larkweir_replication.messages import MAX_COUNTER, Command

from larkweir.cluster.configuration.changes import ConfigurationChange
from larkweir.cluster.configuration.rollouts import operators_text
from larkweir.cluster.http_server import Request, Response
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed, Rejected, Unknown

ANSWER_TIMEOUT_S = 0.9  # operators try another controller after one second without an answer
RETRY_PAUSE_S = 0.04
MAX_VERSION_DIGITS = len(str(MAX_COUNTER))
NO_PRIMARY = "no primary answers"

CallPrimary = Callable[[Command | None], Awaitable[CallOutcome]]
"""Makes one attempt at the current primary to carry out a command, or a read if there is no command."""


class OperatorApi:
    """Serves `/config` at a controller."""

    def __init__(self, call: CallPrimary) -> None:
        """`call` is retried while its outcome is unknown."""
        self._call = call

    async def get(self) -> Response:
        """Returns the newest configuration, confirmed by the primary."""
        outcome = await call_until_known(self._call, None)
        match outcome:
            case Completed(value) if value:
                return Response(200, operators_text(value).encode())
            case Completed():
                return error_response(404, "there is no configuration yet")
            case Rejected(detail=detail):
                return error_response(503, detail or NO_PRIMARY)
            case Unknown():
                return error_response(503, NO_PRIMARY)

    async def change(self, request: Request) -> Response:
        """Handles a PUT of a complete configuration or a PATCH of named items."""
        base = request.headers.get("if-match", "").strip().strip('"')
        if not (base.isascii() and base.isdigit() and len(base) <= MAX_VERSION_DIGITS):
            return error_response(400, "If-Match: the version that the change builds on is needed")
        if int(base) > MAX_COUNTER:  # no message between controllers can hold it
            return error_response(400, f"If-Match: versions are {MAX_COUNTER} at most")
        try:
            body = request.body.decode()
        except UnicodeDecodeError:
            return error_response(400, "the body is no UTF-8")
        change = ConfigurationChange(request.method == "PATCH", int(base), body)
        outcome = await call_until_known(self._call, Command(change.identity, change.base, change.encode()))
        match outcome:
            case Completed():
                return Response(200, b"{}")
            case Rejected(status, detail):
                return error_response(status, detail or NO_PRIMARY)
            case Unknown():
                return error_response(503, NO_PRIMARY)


async def call_until_known(call: CallPrimary, command: Command | None) -> CallOutcome:
    """Retries the call while its outcome is unknown, for `ANSWER_TIMEOUT_S` at most.

    Retries are safe: the primary recognises a command that it has already carried out by its identity.
    """
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while True:
                outcome = await call(command)
                if not isinstance(outcome, Unknown):
                    return outcome
                await asyncio.sleep(RETRY_PAUSE_S)
    except TimeoutError:
        return UNKNOWN


def error_response(status: int, detail: str) -> Response:
    """Returns the response to a call that was not carried out."""
    return Response(status, msgspec.json.encode({"error": detail}))
