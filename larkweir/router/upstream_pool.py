"""Connections to upstreams: kept for reuse, since new ones are dear, and opened where none is idle."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from larkweir_balancing.decision_options import OPTIONS

from larkweir.cluster.settings import parse_address
from larkweir.router.upstream_connection import UpstreamConnection

MAX_CONNECT_TIMEOUT_S = 0.4  # an upstream that is there answers in milliseconds
MIN_CONNECT_TIMEOUT_S = 0.1  # on a slow link the answer comes behind what that carries already
DEVIATION_FACTOR = 4.0
MAX_IDLE_S = 30.0
IDLE_MARGIN_S = 1.0  # before an upstream closes an idle connection, by the time that it says


@dataclass(slots=True)
class ConnectTimeout:
    """How long a new connection may take, by those that were made: as RFC 6298 sets a retransmission timer."""

    seconds: float = MAX_CONNECT_TIMEOUT_S
    _mean_s: float | None = None
    _deviation_s: float = 0.0

    def observe(self, elapsed_s: float) -> None:
        """A connection was made in that time."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = elapsed_s, elapsed_s / 2.0
        else:
            self._deviation_s += (abs(elapsed_s - self._mean_s) - self._deviation_s) / 4.0
            self._mean_s += (elapsed_s - self._mean_s) / 8.0
        if not OPTIONS.adaptive_connect_timeout:
            return
        timeout_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self.seconds = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))


@dataclass(slots=True)
class _Idle:
    connection: UpstreamConnection
    until_s: float


class UpstreamPool:
    """All connections of a router to upstreams, by address."""

    def __init__(self) -> None:
        """Opens nothing yet."""
        self._loop = asyncio.get_running_loop()
        self._connect_timeout = ConnectTimeout()
        self._idle: dict[str, list[_Idle]] = {}
        self._addresses: dict[UpstreamConnection, str] = {}

    def take(self, address: str) -> UpstreamConnection | None:
        """An idle connection, the one that was used last; None where there is none."""
        idle = self._idle.get(address)
        while idle:
            found = idle.pop()
            if found.connection.is_open and self._loop.time() < found.until_s:
                return found.connection
            found.connection.close()
        return None

    def has_idle(self, address: str) -> bool:
        """Whether an idle connection is at hand."""
        return bool(self._idle.get(address))

    async def connect(self, address: str) -> UpstreamConnection:
        """A new connection. OSError or TimeoutError where there is none in time."""
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
        keep_s = MAX_IDLE_S if advertised_s is None else advertised_s - IDLE_MARGIN_S
        address = self._addresses.get(connection)
        if address is None or keep_s <= 0.0:
            connection.close()
            return
        self._idle.setdefault(address, []).append(_Idle(connection, self._loop.time() + keep_s))

    def _on_closed(self, connection: UpstreamConnection) -> None:
        address = self._addresses.pop(connection, None)
        if address is None:
            return
        remaining = [one for one in self._idle.get(address, ()) if one.connection is not connection]
        if remaining:
            self._idle[address] = remaining
        else:
            self._idle.pop(address, None)

    def expire(self) -> None:
        """Closes idle connections that the upstream would close soon; to be called about once a second."""
        now_s = self._loop.time()
        for idle in list(self._idle.values()):
            for one in [one for one in idle if now_s >= one.until_s]:
                one.connection.close()
                idle.remove(one)

    def close(self) -> None:
        """Ends all connections, idle or not."""
        for connection in list(self._addresses):
            connection.close()

    def drop(self, address: str) -> None:
        """Closes the idle connections to an upstream that has gone."""
        for one in self._idle.pop(address, ()):
            one.connection.close()
