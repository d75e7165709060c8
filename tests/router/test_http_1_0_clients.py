"""Responses without a length to HTTP/1.0 clients, over loopback sockets: the end of the connection ends them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop

from larkweir.router import client_connection
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from larkweir.router.request_metadata import Headers

BODY = b"id: 1\ndata: a\n\n"
TEST_TIMEOUT_S = 20.0


class ScriptedExchange:
    """An exchange whose response begins at once, and breaks off if it is told to."""

    headers: Headers = ()
    breaks_off = False

    def __init__(
        self, plane: DataPlane, client: ClientConnection, request: object, on_done: Callable[[], None]
    ) -> None:
        self._client, self._on_done = client, on_done

    def start(self) -> None:
        self._client.start_response(200, self.headers)
        self._client.send_body(BODY)
        if self.breaks_off:
            self._client.abort_response()
        else:
            self._client.end_response()
        self._on_done()

    def cancel(self) -> None:
        pass


def receive_response(
    request: bytes, headers: Headers, breaks_off: bool, monkeypatch: pytest.MonkeyPatch
) -> bytes:
    """Returns all that a client receives until the end of the connection.

    Raises:
        ConnectionResetError: the connection is reset.
    """
    monkeypatch.setattr(client_connection, "Exchange", ScriptedExchange)
    monkeypatch.setattr(ScriptedExchange, "headers", headers)
    monkeypatch.setattr(ScriptedExchange, "breaks_off", breaks_off)
    plane: Any = SimpleNamespace(configuration=SimpleNamespace(table=None), connections=set(), stopping=False)

    async def scenario() -> bytes:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: ClientConnection(plane), "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(request)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return await reader.read()
        finally:
            writer.close()
            server.close()

    return uvloop.run(scenario())


@pytest.mark.parametrize("request_line", [b"GET / HTTP/1.0", b"POST / HTTP/1.0"])
def test_a_response_without_a_length_that_breaks_off_is_reset(
    request_line: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an end of the connection that an HTTP/1.0 client takes for the end of the stream (review/4).
    with pytest.raises(ConnectionResetError):
        receive_response(request_line + b"\r\nHost: a\r\n\r\n", (), True, monkeypatch)


def test_a_complete_response_without_a_length_ends_with_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    received = receive_response(b"GET / HTTP/1.0\r\n\r\n", (), False, monkeypatch)
    assert received.endswith(BODY)


@pytest.mark.parametrize(
    ("request_line", "headers"),
    [
        (b"GET / HTTP/1.0", ((b"content-length", b"100"),)),
        (b"GET / HTTP/1.1", ((b"content-length", b"100"),)),
        (b"GET / HTTP/1.1", ()),
    ],
)
def test_what_was_sent_of_a_response_that_shows_its_own_end_still_arrives(
    request_line: bytes, headers: Headers, monkeypatch: pytest.MonkeyPatch
) -> None:
    received = receive_response(request_line + b"\r\nHost: a\r\n\r\n", headers, True, monkeypatch)
    assert BODY in received
    assert not received.endswith(b"0\r\n\r\n")
