"""The end of a router after SIGTERM: it finishes what it has accepted, within the platform's grace period."""

from __future__ import annotations

import asyncio

from larkweir.cluster import log
from larkweir.router.data_plane import DataPlane

# The platform checks readiness every second, and sends connections until the second check has failed.
ACCEPT_GRACE_S = 2.6
LAST_REQUEST_TIMEOUT_S = 0.2  # that a connection accepted at the last moment has for its request to arrive
FINAL_ACCEPT_ITERATIONS = (
    3  # turns of the event loop in which connections that wait in the kernel are still accepted
)
SHUTDOWN_MARGIN_S = 0.4  # of the grace period, kept for the process to end in
IDLE_CHECK_S = 0.05


class GracefulShutdown:
    """Accepts for a while, then closes the listening socket, then waits for the requests in progress."""

    def __init__(self, plane: DataPlane, front: asyncio.Server, grace_s: float) -> None:
        """Change nothing yet.

        Args:
            plane: with the clients' connections.
            front: the server that accepts them.
            grace_s: seconds from SIGTERM until the platform kills the process.
        """
        self._plane = plane
        self._front = front
        self._grace_s = grace_s
        self._loop = asyncio.get_running_loop()

    async def drain(self) -> None:
        """Return when all connections have ended, or the grace period is almost over."""
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
        """A later request could not be finished: its client gets a refused connection and tries another router."""
        for _ in range(FINAL_ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        self._front.close()
