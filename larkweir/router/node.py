"""The composition root of a router: creates its parts and connects them."""

from __future__ import annotations

import asyncio
import signal
from random import Random

from larkweir.cluster import log
from larkweir.cluster.http_server import HttpServerConnection, Request, Response
from larkweir.cluster.periodic_tasks import PeriodicTask, TickLoop
from larkweir.cluster.settings import Settings, parse_address
from larkweir.cluster.settings_watcher import SettingsWatcher
from larkweir.cluster.tasks import start_task, wait_unless_failed
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from larkweir.router.fleet_sync import FleetSync
from larkweir.router.graceful_shutdown import GracefulShutdown

BACKLOG = 1_024  # connections that the kernel queues until they are accepted
MAX_READY_BODY_BYTES = 1_024
TICK_S = 0.1
QUOTA_LOG_EVERY_TICKS = 10
EXPIRY_EVERY_TICKS = 10  # interval between two expiries of idle connections to upstreams


class Router:
    """One router process. Owns its listening servers and the task of its tick loop."""

    def __init__(self, settings: Settings) -> None:
        """Create a router; `run` starts it."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._plane = DataPlane(settings.bounds, Random(), settings.limits.link_mbps)
        self._sync = FleetSync(settings, self._plane)
        self._terminated = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tick_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the accepted requests.

        Raises:
            OSError: the router can't listen on an address of the settings.
            EssentialTaskError: the periodic tasks have ended.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._terminated.set)
        watcher = SettingsWatcher(self._settings, self._sync.update_settings)
        self._loop.add_signal_handler(signal.SIGHUP, watcher.reload)
        listen = self._settings.listen
        assert listen.front is not None
        front = await self._loop.create_server(
            lambda: ClientConnection(self._plane), *parse_address(listen.front), backlog=BACKLOG
        )
        self._servers.append(front)
        if listen.ready is not None:
            ready = await self._loop.create_server(
                lambda: HttpServerConnection(self._answer_ready, MAX_READY_BODY_BYTES),
                *parse_address(listen.ready),
            )
            self._servers.append(ready)
        log.event("router_started", front=listen.front)
        ticks = TickLoop(self._periodic_tasks(watcher), self._sync.on_process_paused, TICK_S, self._now_ms)
        tick_task = self._tick_task = start_task("ticks", ticks.run())
        try:
            await wait_unless_failed(self._terminated, tick_task)
            self._sync.is_leaving = True
            await GracefulShutdown(self._plane, front, self._settings.bounds.grace_s).drain()
        finally:
            self.close()
        await asyncio.wait((tick_task,))

    def _periodic_tasks(self, watcher: SettingsWatcher) -> list[PeriodicTask]:
        return [
            PeriodicTask("controllers", self._sync.tick),
            PeriodicTask("settings", lambda: watcher.tick(self._now_ms())),
            PeriodicTask("admitted_quotas", self._plane.quotas.log_admitted, QUOTA_LOG_EVERY_TICKS),
            PeriodicTask("idle_connections", self._plane.pool.expire, EXPIRY_EVERY_TICKS),
        ]

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def close(self) -> None:
        """Close all servers and connections at once, without waiting for requests in progress."""
        for server in self._servers:
            server.close()
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._sync.close()
        for connection in list(self._plane.connections):
            connection.abort()
        self._plane.pool.close()

    async def _answer_ready(self, request: Request) -> Response:
        plane = self._plane
        is_ready = self._sync.is_synced and plane.upstreams.has_ready and not plane.stopping
        return Response(200 if is_ready else 503, close=True)
