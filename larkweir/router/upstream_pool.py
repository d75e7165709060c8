"""A pool of connections to upstreams, which are kept open for reuse."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from larkweir.cluster.settings import parse_address
from larkweir.router.connect_timeout import ConnectTimeout
from larkweir.router.upstream_connection import UpstreamConnection

MAX_IDLE_S = 30.0  # idle time-out if the upstream advertises none
IDLE_MARGIN_S = 1.0  # idle connections are closed this long before the advertised time-out of the upstream


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: UpstreamConnection
    reusable_until_s: float


class UpstreamPool:
    """Owns all connections of a router to upstreams, by address (`IP:PORT`)."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._loop = asyncio.get_running_loop()
        self._connect_timeout = ConnectTimeout()
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._addresses: dict[UpstreamConnection, str] = {}

    def take(self, address: str) -> UpstreamConnection | None:
        """Remove and return the most recently used idle connection; None if no connection is idle."""
        idle = self._idle.get(address)
        while idle:
            found = idle.pop()
            if found.connection.is_open and self._loop.time() < found.reusable_until_s:
                return found.connection
            found.connection.close()
        return None

    def has_idle(self, address: str) -> bool:
        """Whether the pool has an idle connection to `address`."""
        return bool(self._idle.get(address))

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a new connection.

        Raises:
            OSError: the upstream does not accept the connection.
            TimeoutError: the connect did not finish within the time-out.
        """
        host, port = parse_address(address)
        started_s = self._loop.time()
        async with asyncio.timeout(self._connect_timeout.seconds):
            _, connection = await self._loop.create_connection(
                lambda: UpstreamConnection(self._on_idle, self._on_closed), host, port
            )
        self._connect_timeout.observe(self._loop.time() - started_s)
        self._addresses[connection] = address
        return connection

    def _on_idle(self, connection: UpstreamConnection) -> None:
        advertised_s = connection.keep_alive_s
        idle_timeout_s = MAX_IDLE_S if advertised_s is None else advertised_s - IDLE_MARGIN_S
        address = self._addresses.get(connection)
        if address is None or idle_timeout_s <= 0.0:
            connection.close()
            return
        self._idle.setdefault(address, []).append(
            _IdleConnection(connection, self._loop.time() + idle_timeout_s)
        )

    def _on_closed(self, connection: UpstreamConnection) -> None:
        address = self._addresses.pop(connection, None)
        if address is None:
            return
        remaining = [entry for entry in self._idle.get(address, ()) if entry.connection is not connection]
        if remaining:
            self._idle[address] = remaining
        else:
            self._idle.pop(address, None)

    def expire(self) -> None:
        """Close idle connections that the upstream would close soon. Must be called about once a second."""
        now_s = self._loop.time()
        for idle in list(self._idle.values()):
            for entry in [entry for entry in idle if now_s >= entry.reusable_until_s]:
                entry.connection.close()
                idle.remove(entry)

    def close(self) -> None:
        """Close all connections, whether idle or in use."""
        for connection in list(self._addresses):
            connection.close()

    def drop(self, address: str) -> None:
        """Close the idle connections to `address`, whose upstream is gone."""
        for entry in self._idle.pop(address, ()):
            entry.connection.close()
