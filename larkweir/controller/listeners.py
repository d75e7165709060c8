"""The listening sockets of a controller and the connections accepted on them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from weakref import WeakSet

from larkweir.cluster.http_server import Handler, HttpServerConnection
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Message

BACKLOG = 1_024


class Listeners:
    """Accepts connections from other processes of the fleet and from HTTP clients."""

    def __init__(self) -> None:
        """Starts without any open sockets."""
        self._servers: list[asyncio.Server] = []
        self._accepted: WeakSet[Connection | HttpServerConnection] = WeakSet()

    async def listen_to_processes(
        self,
        host: str,
        port: int,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None],
    ) -> None:
        """Accepts connections from routers and other controllers.

        Raises:
            OSError: listening on the address failed.
        """

        def accept() -> Connection:
            connection = Connection(on_message, on_lost)
            self._accepted.add(connection)
            return connection

        await self._listen(accept, host, port)

    async def listen_to_http(self, host: str, port: int, handler: Handler, max_body_bytes: int) -> None:
        """Accepts HTTP connections from operators and upstreams.

        Raises:
            OSError: listening on the address failed.
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
        """Returns the nodes from which a message has arrived only in part so far."""
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
        """Closes all accepted connections immediately."""
        for connection in list(self._accepted):
            connection.close()
