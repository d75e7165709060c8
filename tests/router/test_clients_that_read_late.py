"""A client that reads a long response late, over a loopback socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
import uvloop

from larkweir.router import client_connection
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from tests.cluster.late_readers import narrow_socket, read_bytes, read_head, until_probed

BODY_BYTES = 4_000_000  # more than the buffers of both sockets hold
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class LongResponse:
    """An exchange whose response is complete at once."""

    def __init__(
        self, plane: DataPlane, client: ClientConnection, request: object, on_done: Callable[[], None]
    ) -> None:
        self._client, self._on_done = client, on_done

    def start(self) -> None:
        self._client.start_response(200, [(b"content-length", b"%d" % BODY_BYTES)])
        self._client.send_body(bytes(BODY_BYTES))
        self._client.end_response()
        self._on_done()

    def on_client_writable(self) -> None:
        pass

    def cancel(self) -> None:
        pass


def test_a_client_that_reads_a_long_response_late_gets_all_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a time-out that ends connections whose peer answers all window probes (review/2).
    monkeypatch.setattr(client_connection, "ACKNOWLEDGEMENT_TIMEOUT_MS", 300.0)
    monkeypatch.setattr(client_connection, "Exchange", LongResponse)
    plane: Any = SimpleNamespace(configuration=SimpleNamespace(table=None), connections=set(), stopping=False)

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        transports: list[asyncio.BaseTransport] = []

        class Connection(ClientConnection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                transports.append(transport)
                super().connection_made(transport)

        server = await loop.create_server(lambda: Connection(cast(DataPlane, plane)), "127.0.0.1", 0)
        client = narrow_socket()
        await loop.sock_connect(client, server.sockets[0].getsockname())
        await loop.sock_sendall(client, REQUEST)
        assert (await read_head(client)).startswith(b"HTTP/1.1 200")
        await until_probed(transports[0])
        assert len(await read_bytes(client, BODY_BYTES)) == BODY_BYTES
        client.close()
        server.close()

    uvloop.run(scenario())
