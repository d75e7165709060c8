"""Operators' calls on their way to the primary, wherever it is, and the answers on their way back."""

from __future__ import annotations

import asyncio
import itertools

from larkweir_replication.messages import Command
from larkweir_replication.status import ReplicaStatus

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import PrimaryRequest, PrimaryResponse
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, from_message, to_message
from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.replica_driver import ReplicaDriver

FORWARD_TIMEOUT_S = 0.45  # then the call is retried, perhaps at another primary


class PrimaryClient:
    """Calls the replica of this controller, or the one that it follows."""

    def __init__(self, driver: ReplicaDriver, links: ControllerLinks) -> None:
        """Both are the controller's own."""
        self._driver = driver
        self._links = links
        self._request_ids = itertools.count(1)
        self._forwarded: dict[int, asyncio.Future[CallOutcome]] = {}  # by request id

    async def call(self, command: Command | None) -> CallOutcome:
        """One attempt: a command, or a read where there is none. Unknown where no primary can be reached.

        At another controller it takes `FORWARD_TIMEOUT_S` at most; at this one the caller bounds the time.
        """
        replica = self._driver.replica
        if replica.status is ReplicaStatus.PRIMARY:
            return await self._driver.call(command)
        if replica.primary is None or not self._links.is_connected(replica.primary):
            return UNKNOWN
        request_id = next(self._request_ids)
        answer: asyncio.Future[CallOutcome] = asyncio.get_running_loop().create_future()
        self._forwarded[request_id] = answer
        try:
            self._links.send(replica.primary, PrimaryRequest(request_id, command))
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return UNKNOWN
        finally:
            self._forwarded.pop(request_id, None)

    async def serve(self, connection: Connection, forward: PrimaryRequest) -> None:
        """Carries out the call of a controller that sees this one as the primary, and answers it."""
        outcome = await self._driver.call(forward.command)
        connection.send(to_message(forward.request_id, outcome))

    def answered(self, message: PrimaryResponse) -> None:
        """The primary's answer to a forwarded call; one that comes after the time-out is ignored."""
        answer = self._forwarded.pop(message.request_id, None)
        if answer is not None and not answer.done():
            answer.set_result(from_message(message))
