"""Operators' calls on their way to the primary, wherever it is, and the answers on their way back."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Mapping

import msgspec
from larkweir_replication.messages import Command
from larkweir_replication.replica import Status

from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import Forward, Forwarded
from larkweir.controller.replica_driver import UNKNOWN, ReplicaDriver

FORWARD_TIMEOUT_S = 0.45  # then the call is tried again, perhaps at another primary


class PrimaryClient:
    """Calls the replica of this controller, or the one that it follows."""

    def __init__(self, driver: ReplicaDriver, links: Mapping[str, Link]) -> None:
        """`links`: to the other controllers, by node."""
        self._driver = driver
        self._links = links
        self._loop = asyncio.get_running_loop()
        self._tickets = itertools.count(1)
        self._forwarded: dict[int, asyncio.Future[Forwarded]] = {}

    async def call(self, command: Command | None) -> Forwarded:
        """One try: a command, or a read where there is none. Unknown where there is no primary in reach."""
        replica = self._driver.replica
        if replica.status is Status.PRIMARY:
            return await self._driver.call(command)
        link = self._links.get(replica.primary or "")
        if link is None or link.connection is None:
            return Forwarded(0, UNKNOWN)
        ticket = next(self._tickets)
        answer: asyncio.Future[Forwarded] = self._loop.create_future()
        self._forwarded[ticket] = answer
        try:
            link.send(Forward(ticket, command))
            async with asyncio.timeout(FORWARD_TIMEOUT_S):
                return await answer
        except TimeoutError:
            return Forwarded(ticket, UNKNOWN)
        finally:
            self._forwarded.pop(ticket, None)

    async def serve(self, connection: Connection, forward: Forward) -> None:
        """Another controller takes this one for the primary."""
        answer = await self._driver.call(forward.command)
        connection.send(msgspec.structs.replace(answer, ticket=forward.ticket))

    def answered(self, message: Forwarded) -> None:
        """The primary's answer to a call that was sent on; one that is late is passed over."""
        answer = self._forwarded.pop(message.ticket, None)
        if answer is not None and not answer.done():
            answer.set_result(message)
