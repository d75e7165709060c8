"""Graceful shutdown of a router after SIGTERM: accepted requests are finished within the platform's grace period."""

from __future__ import annotations

import asyncio

from larkweir.cluster import log
from larkweir.router.data_plane import DataPlane

# The platform checks readiness every second, and sends new connections until two checks have failed.
ACCEPT_GRACE_S = 2.6
LAST_REQUEST_TIMEOUT_S = 0.2  # time for the request on the last accepted connection to arrive
# Event loop iterations in which connections that are queued in the kernel are still accepted.
FINAL_ACCEPT_ITERATIONS = 3
SHUTDOWN_MARGIN_S = 0.4  # reserved at the end of the grace period for the process to exit
IDLE_CHECK_S = 0.05


class GracefulShutdown:
    """Accepts connections for a while, then closes the listening socket and waits for the requests in progress."""

    def __init__(self, plane: DataPlane, front: asyncio.Server, grace_s: float) -> None:
        """Create the shutdown procedure; `drain` starts it.

        Args:
            plane: the router's shared state, with the connections of clients.
            front: the server that accepts connections of clients.
            grace_s: seconds from SIGTERM until the platform kills the process.
        """
        self._plane = plane
        self._front = front
        self._grace_s = grace_s
        self._loop = asyncio.get_running_loop()

    async def drain(self) -> None:
        """Shut down; returns when all connections have ended or the grace period is almost over."""
        self._plane.stopping = True
        started_s = self._loop.time()
        log.event("router_draining", connections=len(self._plane.connections))
        end_s = started_s + self._grace_s - SHUTDOWN_MARGIN_S
        await self._sleep_until(min(end_s - LAST_REQUEST_TIMEOUT_S, started_s + ACCEPT_GRACE_S))
        await self._stop_accepting()
        await self._sleep_until(min(end_s, started_s + ACCEPT_GRACE_S + LAST_REQUEST_TIMEOUT_S))
        while self._plane.connections and self._loop.time() < end_s:
            for connection in list(self._plane.connections):
                connection.close_if_idle()
            await asyncio.sleep(IDLE_CHECK_S)
        log.event("router_stopped", unfinished=len(self._plane.connections))

    async def _sleep_until(self, when_s: float) -> None:
        await asyncio.sleep(max(0.0, when_s - self._loop.time()))

    async def _stop_accepting(self) -> None:
        """Close the listening socket.

        A request that arrives later could not be finished in time. Its client's connection is refused, so the client
        tries another router.
        """
        for _ in range(FINAL_ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self._front.close()
