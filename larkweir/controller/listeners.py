"""The listening sockets of a controller, and the connections that were accepted there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from weakref import WeakSet

from larkweir.cluster.http_server import Handler, HttpServerConnection
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Message

BACKLOG = 1_024


class Listeners:
    """Accepts other processes of the fleet, and HTTP clients."""

    def __init__(self) -> None:
        """Nothing is open."""
        self._servers: list[asyncio.Server] = []
        self._accepted: WeakSet[Connection | HttpServerConnection] = WeakSet()

    async def listen_to_processes(
        self,
        host: str,
        port: int,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None],
    ) -> None:
        """Accepts routers and other controllers.

        Raises:
            OSError: the address can't be listened to.
        """

        def accept() -> Connection:
            connection = Connection(on_message, on_lost)
            self._accepted.add(connection)
            return connection

        await self._listen(accept, host, port)

    async def listen_to_http(self, host: str, port: int, handler: Handler, max_body_bytes: int) -> None:
        """Accepts operators and upstreams.

        Raises:
            OSError: the address can't be listened to.
        """

        def accept() -> HttpServerConnection:
            connection = HttpServerConnection(handler, max_body_bytes)
            self._accepted.add(connection)
            return connection

        await self._listen(accept, host, port)

    async def _listen(self, accept: Callable[[], asyncio.Protocol], host: str, port: int) -> None:
        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(accept, host, port, backlog=BACKLOG))

    def receiving_nodes(self) -> list[str]:
        """The processes of which a message is arriving that is not complete yet."""
        return [
            connection.node
            for connection in self._accepted
            if isinstance(connection, Connection) and connection.is_receiving
        ]

    def stop_accepting(self) -> None:
        """Closes the listening sockets."""
        for server in self._servers:
            server.close()

    def close_connections(self) -> None:
        """Ends all accepted connections at once."""
        for connection in list(self._accepted):
            connection.close()
