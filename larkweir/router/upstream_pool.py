"""Connections to upstreams: kept open for reuse, and opened where none is idle."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from larkweir.cluster.settings import parse_address
from larkweir.router.connect_timeout import ConnectTimeout
from larkweir.router.upstream_connection import UpstreamConnection

MAX_IDLE_S = 30.0  # where the upstream advertises no time
IDLE_MARGIN_S = 1.0  # before the upstream closes an idle connection, by the time that it advertises


@dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: UpstreamConnection
    reusable_until_s: float


class UpstreamPool:
    """Owns all connections of a router to upstreams, by address (`IP:PORT`)."""

    def __init__(self) -> None:
        """Open nothing yet."""
        self._loop = asyncio.get_running_loop()
        self._connect_timeout = ConnectTimeout()
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._addresses: dict[UpstreamConnection, str] = {}

    def take(self, address: str) -> UpstreamConnection | None:
        """Take out the idle connection that was used last; None where there is none."""
        idle = self._idle.get(address)
        while idle:
            found = idle.pop()
            if found.connection.is_open and self._loop.time() < found.reusable_until_s:
                return found.connection
            found.connection.close()
        return None

    def has_idle(self, address: str) -> bool:
        """Whether a connection to that address is idle."""
        return bool(self._idle.get(address))

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a new connection.

        Raises:
            OSError: the upstream does not accept it.
            TimeoutError: it was not made in time.
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
        """Close idle connections that the upstream would close soon; to be called about once a second."""
        now_s = self._loop.time()
        for idle in list(self._idle.values()):
            for entry in [entry for entry in idle if now_s >= entry.reusable_until_s]:
                entry.connection.close()
                idle.remove(entry)

    def close(self) -> None:
        """End all connections, idle or not."""
        for connection in list(self._addresses):
            connection.close()

    def drop(self, address: str) -> None:
        """Close the idle connections to an upstream that is gone."""
        for entry in self._idle.pop(address, ()):
            entry.connection.close()
