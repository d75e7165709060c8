"""Calls of an operator's command to controllers, one after the other until one answers."""

from __future__ import annotations

import http.client
import itertools
import time
from collections.abc import Sequence
from dataclasses import dataclass

from larkweir.cluster.errors import LarkweirError
from larkweir.cluster.settings import parse_address

ATTEMPT_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.2
TOTAL_TIMEOUT_S = 10.0


class ControllersUnreachableError(LarkweirError, RuntimeError):
    """No controller gave a clear answer in time; a change may or may not be in force."""


@dataclass(frozen=True, slots=True)
class ControllerResponse:
    """A clear answer, and who gave it."""

    controller: str
    status: int
    body: bytes


def call_controllers(
    controllers: Sequence[str], method: str, path: str, body: bytes | None = None, base: int | None = None
) -> ControllerResponse:
    """The first answer below 500. `base`: the version that a change builds on. Raises ControllersUnreachableError."""
    headers = {} if base is None else {"If-Match": str(base)}
    deadline_s = time.monotonic() + TOTAL_TIMEOUT_S
    reason = "no controller is named"
    for address in itertools.cycle(controllers):
        try:
            answer = _call(address, method, path, body, headers)
        except (OSError, http.client.HTTPException) as problem:
            reason = f"{address}: {problem or type(problem).__name__}"
        else:
            if answer.status < 500:
                return answer
            reason = f"{address}: {answer.status} {answer.body.decode(errors='replace')}"
        if time.monotonic() >= deadline_s:
            break
        time.sleep(RETRY_DELAY_S)
    raise ControllersUnreachableError(reason)


def _call(
    address: str, method: str, path: str, body: bytes | None, headers: dict[str, str]
) -> ControllerResponse:
    host, port = parse_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=ATTEMPT_TIMEOUT_S)
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return ControllerResponse(address, response.status, response.read())
    finally:
        connection.close()
