"""What a router does periodically."""

from __future__ import annotations

import asyncio

from larkweir.cluster import log
from larkweir.cluster.settings_watcher import SettingsWatcher
from larkweir.router.data_plane import DataPlane
from larkweir.router.fleet_sync import FleetSync

TICK_S = 0.1
PAUSE_MS = 700.0  # a tick that comes so late means that this process did not run
TICKS_PER_EXPIRY = 10  # of idle connections to upstreams


class TickLoop:
    """Keeps connections to controllers alive, checks the settings file, and notices when the process was paused."""

    def __init__(self, plane: DataPlane, sync: FleetSync, watcher: SettingsWatcher) -> None:
        """Nothing runs before `run`."""
        self._plane = plane
        self._sync = sync
        self._watcher = watcher
        self._loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Until it is cancelled."""
        last_ms = self._loop.time() * 1000.0
        count = 0
        while True:
            now_ms = self._loop.time() * 1000.0
            if now_ms >= last_ms + PAUSE_MS:
                log.event("process_paused")
                self._sync.on_process_paused()
            last_ms = now_ms
            self._sync.tick()
            self._watcher.tick(now_ms)
            count += 1
            if count % TICKS_PER_EXPIRY == 0:
                self._plane.pool.expire()
            await asyncio.sleep(TICK_S)
