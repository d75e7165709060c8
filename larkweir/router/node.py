"""The composition root of a router."""

from __future__ import annotations

import asyncio
import signal
from random import Random

from larkweir.cluster import log, settings_watcher
from larkweir.cluster.http_server import HttpServerConnection, Request, Response
from larkweir.cluster.settings import Settings, parse_address
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from larkweir.router.fleet_view import FleetView

TICK_S = 0.1
MIN_PAUSE_MS = 700.0
TICKS_PER_EXPIRY = 10
BACKLOG = 1_024
ACCEPT_GRACE_S = 2.6  # the platform asks every second and sends connections until the second time in vain
LAST_REQUEST_TIMEOUT_S = 0.2  # that a connection taken at the last moment has for its request to come
FINAL_ACCEPT_TURNS = 3  # turns of the event loop in which connections that wait in the kernel are still taken
MAX_READY_BODY_BYTES = 1_024
SHUTDOWN_MARGIN_S = 0.4


class Router:
    """One router process."""

    def __init__(self, settings: Settings) -> None:
        """Opens nothing yet."""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._plane = DataPlane(settings.bounds, Random(), settings.limits.link_mbps)
        self._view = FleetView(settings, self._plane)
        self._terminated = asyncio.Event()
        self._front: asyncio.Server | None = None
        self._ready_server: asyncio.Server | None = None
        self._ticking: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serves until SIGTERM and the end of what it has taken."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._terminated.set)
        watch = settings_watcher.SettingsWatcher(self._settings, self._view.settings_changed)
        self._loop.add_signal_handler(signal.SIGHUP, watch.reload)
        listen = self._settings.listen
        assert listen.front is not None
        front = parse_address(listen.front)
        self._front = await self._loop.create_server(
            lambda: ClientConnection(self._plane), *front, backlog=BACKLOG
        )
        if listen.ready is not None:
            ready = parse_address(listen.ready)
            self._ready_server = await self._loop.create_server(
                lambda: HttpServerConnection(self._answer_ready, MAX_READY_BODY_BYTES), *ready
            )
        log.event("router_started", front=listen.front)
        self._ticking = self._loop.create_task(self._tick_forever(watch))
        await self._terminated.wait()
        await self._drain()
        self.close()

    def close(self) -> None:
        """Ends all at once, as a kill would."""
        for server in (self._front, self._ready_server):
            if server is not None:
                server.close()
        if self._ticking is not None:
            self._ticking.cancel()
        self._view.close()
        for connection in list(self._plane.connections):
            connection.abort()
        self._plane.pool.close()

    async def _tick_forever(self, watch: settings_watcher.SettingsWatcher) -> None:
        last_ms = self._loop.time() * 1000.0
        count = 0
        while True:
            now_ms = self._loop.time() * 1000.0
            if now_ms >= last_ms + MIN_PAUSE_MS:
                log.event("stood_still")
                self._view.excuse_silence()
            last_ms = now_ms
            self._view.tick()
            watch.tick(now_ms)
            count += 1
            if count % TICKS_PER_EXPIRY == 0:
                self._plane.pool.expire()
            await asyncio.sleep(TICK_S)

    async def _answer_ready(self, request: Request) -> Response:
        plane = self._plane
        ready = self._view.is_settled and plane.upstreams.has_ready and not plane.stopping
        return Response(200 if ready else 503, close=True)

    async def _drain(self) -> None:
        """Takes what the platform still sends, answers what was taken, and ends before the platform's patience does."""
        self._plane.stopping = True
        started_s = self._loop.time()
        log.event("router_draining", connections=len(self._plane.connections))
        end_s = started_s + self._settings.bounds.grace_s - SHUTDOWN_MARGIN_S
        await self._sleep_until(min(end_s - LAST_REQUEST_TIMEOUT_S, started_s + ACCEPT_GRACE_S))
        await self._stop_accepting()
        await self._sleep_until(min(end_s, started_s + ACCEPT_GRACE_S + LAST_REQUEST_TIMEOUT_S))
        while self._plane.connections and self._loop.time() < end_s:
            for connection in list(self._plane.connections):
                connection.close_if_idle()
            await asyncio.sleep(TICK_S / 2)
        log.event("router_stopped", unfinished=len(self._plane.connections))

    async def _sleep_until(self, when_s: float) -> None:
        await asyncio.sleep(max(0.0, when_s - self._loop.time()))

    async def _stop_accepting(self) -> None:
        """A request that came later could not be answered any more: its client is refused and goes elsewhere."""
        for _ in range(FINAL_ACCEPT_TURNS):
            await asyncio.sleep(0)
        if self._front is not None:
            self._front.close()
