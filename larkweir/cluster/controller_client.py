"""HTTP calls from an operator's command, retried at each controller in turn until one responds."""

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
    """No controller gave a definite answer within `TOTAL_TIMEOUT_S`; a change may or may not have been committed."""


@dataclass(frozen=True, slots=True)
class ControllerResponse:
    """A definite answer, that is a response with a status below 500.

    Attributes:
        controller: the control address of the controller that sent it.
        status: the HTTP status.
        body: the body, as received.
    """

    controller: str
    status: int
    body: bytes


def call_controllers(
    controllers: Sequence[str], method: str, path: str, body: bytes | None = None, base: int | None = None
) -> ControllerResponse:
    """Call the controllers in turn, repeatedly, until one gives a definite answer.

    Args:
        controllers: their control addresses, `HOST:PORT`.
        method: the HTTP method.
        path: the request target.
        body: the body of the request.
        base: the configuration version that a change builds on; sent as `If-Match`.

    Raises:
        ControllersUnreachableError: no controller gave a definite answer within `TOTAL_TIMEOUT_S`.
    """
    headers = {} if base is None else {"If-Match": str(base)}
    deadline_s = time.monotonic() + TOTAL_TIMEOUT_S
    reason = "no controller address is given"
    for address in itertools.cycle(controllers):
        try:
            response = _call(address, method, path, body, headers)
        except (OSError, http.client.HTTPException) as error:
            reason = f"{address}: {error or type(error).__name__}"
        else:
            if response.status < 500:
                return response
            reason = f"{address}: {response.status} {response.body.decode(errors='replace')}"
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
