"""Calls to the discovery agent: on a connection that is kept open, on one of their own, or repeated while the agent is
silent. Does its I/O through asyncio.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from larkweir.core.message import Message
from larkweir.core.ports import Address
from larkweir.membership.agent_connection import AgentConnection

LIST_PATH = b"/v1/endpoints"  # the whole list; with a query, the watch


class AgentClient:
    """Calls the agent at one address at a time. Calls that fail raise DiscoveryError or OSError; a time-out is an
    OSError.
    """

    CALL_S = 2.0  # for a call that the agent answers at once
    # For a connection to come up, with the one more packet that the system sends after 1 s in place of a lost one. One
    # to a machine that is cut off never does.
    CONNECT_S = 1.25
    REPEAT_S = 0.5  # of silence, until a call is repeated beside those in flight

    def __init__(self, address: Address) -> None:
        self.connection: AgentConnection | None = None  # that is kept open
        self.move(address)

    def move(self, address: Address) -> None:
        """Call another address from now on. Calls in flight are the caller's to cancel."""
        self.address = address
        self._host = f"{address[0]}:{address[1]}".encode()

    async def call(self, target: bytes, timeout_s: float) -> Message:
        """One call on the connection that is kept open, or on a new one."""
        async with asyncio.timeout(timeout_s):
            if self.connection is None or not self.connection.open:
                self.connection = await AgentConnection.connect(self.address, self.CONNECT_S)
            return await self.connection.get(target, self._host)

    async def full_list(self) -> Message:
        """The whole list, on the connection that is kept open."""
        return await self.call(LIST_PATH, self.CALL_S)

    async def changes(self, generation: int, wait_s: float, grace_s: float) -> Message:
        """What has changed after a generation: the agent waits up to `wait_s` for a change, and `grace_s` later it
        counts as silent.
        """
        target = b"%b?after=%d&wait_ms=%d" % (LIST_PATH, generation, wait_s * 1000)
        return await self.call(target, wait_s + grace_s)

    async def full_list_on_new_connection(self) -> Message:
        """The whole list, on a connection of its own."""
        connection, answer = await self._call_apart()
        connection.close()
        return answer

    async def full_list_with_retries(self, on_silence: Callable[[], None]) -> Message:
        """The whole list from an agent that may be silent: it is asked again and again, a few calls at a time, on
        connections of their own, and the first answer counts: it may come late, or to the newest call alone. That
        call's connection is kept open. `on_silence` is called at each repeat.
        """
        calls: list[asyncio.Task[tuple[AgentConnection, Message]]] = []
        try:
            while True:
                calls.append(asyncio.get_running_loop().create_task(self._call_apart()))
                done, _ = await asyncio.wait(
                    calls, timeout=self.REPEAT_S, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    # The first answer there is; else the failure of one of them.
                    first = min(done, key=lambda task: task.exception() is not None)
                    self.connection, answer = first.result()
                    return answer
                on_silence()
        finally:
            for task in calls:
                self._give_up(task)

    def _give_up(self, task: asyncio.Task[tuple[AgentConnection, Message]]) -> None:
        if not task.done():
            task.cancel()
        elif not task.cancelled() and task.exception() is None:
            connection, _ = task.result()
            if connection is not self.connection:
                connection.close()

    async def _call_apart(self) -> tuple[AgentConnection, Message]:
        async with asyncio.timeout(self.CALL_S):
            connection = await AgentConnection.connect(self.address, self.CONNECT_S)
            try:
                return connection, await connection.get(LIST_PATH, self._host)
            except BaseException:
                connection.close()
                raise

    def close(self) -> None:
        """Close the connection that is kept open; a call on it fails."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None
