"""Forwards operators' calls to the current primary and returns its answers."""

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

FORWARD_TIMEOUT_S = 0.45  # after it the caller may retry, perhaps at another primary


class PrimaryClient:
    """Calls the replica of this controller if it is the primary, else the primary that it follows."""

    def __init__(self, driver: ReplicaDriver, links: ControllerLinks) -> None:
        """Both arguments belong to this controller."""
        self._driver = driver
        self._links = links
        self._request_ids = itertools.count(1)
        self._forwarded: dict[int, asyncio.Future[CallOutcome]] = {}  # by request id

    async def call(self, command: Command | None) -> CallOutcome:
        """Makes one attempt to carry out a command, or to read the configuration if `command` is None.

        The outcome is unknown if no primary can be reached. A forwarded call takes `FORWARD_TIMEOUT_S` at most. A
        call at this controller's own replica has no time-out: the caller must set one.
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
        """Carries out and answers a call that was forwarded by a controller that considers this one the primary."""
        outcome = await self._driver.call(forward.command)
        connection.send(to_message(forward.request_id, outcome))

    def answered(self, message: PrimaryResponse) -> None:
        """Accepts the primary's answer to a forwarded call. Answers after the time-out are ignored."""
        answer = self._forwarded.pop(message.request_id, None)
        if answer is not None and not answer.done():
            answer.set_result(from_message(message))
