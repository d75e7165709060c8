"""The HTTP server of control interfaces, called over a socket."""

from __future__ import annotations

import asyncio

import pytest
import uvloop

from larkweir.cluster import http_server
from larkweir.cluster.http_server import HttpServerConnection, Request, Response
from tests.cluster.late_readers import narrow_socket, read_bytes, read_head, until_probed

MAX_BODY_BYTES = 8
LONG_BODY_BYTES = 4_000_000  # more than the buffers of both sockets hold


async def echo(request: Request) -> Response:
    if request.target == "/fault":
        raise RuntimeError("the handler fails")
    return Response(200, request.method.encode() + b" " + request.body, close=request.target == "/last")


def exchange(sent: bytes, until: bytes = b"") -> bytes:
    """Send bytes and return the server's, up to the bytes `until` or else to the end of the connection."""

    async def scenario() -> bytes:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: HttpServerConnection(echo, MAX_BODY_BYTES), "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(sent)
        received = b""
        async with asyncio.timeout(5.0):
            while not until or not received.endswith(until):
                data = await reader.read(65_536)
                if not data:
                    break
                received += data
        writer.close()
        server.close()
        return received

    return asyncio.run(scenario())


def test_requests_on_one_connection_are_answered_in_order() -> None:
    sent = (
        b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"
        + b"GET /last HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    received = exchange(sent)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b"PUT one") < received.index(b"GET ")
    assert received.endswith(b"Connection: close\r\n\r\nGET ")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789", b"413"),
        (b"no request\r\n\r\n", b"400"),
        (b"GET /fault HTTP/1.1\r\nHost: h\r\n\r\n", b"500"),
    ],
)
def test_too_long_invalid_or_failing_requests_end_the_connection(sent: bytes, status: bytes) -> None:
    received = exchange(sent)
    assert received.startswith(b"HTTP/1.1 " + status)


def test_a_head_request_gets_no_body() -> None:
    received = exchange(b"HEAD /last HTTP/1.1\r\nHost: h\r\n\r\n")
    assert b"Content-Length: 5\r\n" in received
    assert received.endswith(b"\r\n\r\n")


def test_a_client_that_reads_a_long_response_late_gets_all_of_it(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a time-out that ends connections whose peer answers all window probes (review/2).
    monkeypatch.setattr(http_server, "ACKNOWLEDGEMENT_TIMEOUT_MS", 300.0)

    async def respond(request: Request) -> Response:
        return Response(200, bytes(LONG_BODY_BYTES))

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        transports: list[asyncio.BaseTransport] = []

        class Connection(HttpServerConnection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                transports.append(transport)
                super().connection_made(transport)

        server = await loop.create_server(lambda: Connection(respond, MAX_BODY_BYTES), "127.0.0.1", 0)
        client = narrow_socket()
        await loop.sock_connect(client, server.sockets[0].getsockname())
        await loop.sock_sendall(client, b"GET /config HTTP/1.1\r\nHost: h\r\n\r\n")
        assert (await read_head(client)).startswith(b"HTTP/1.1 200")
        await until_probed(transports[0])
        assert len(await read_bytes(client, LONG_BODY_BYTES)) == LONG_BODY_BYTES
        client.close()
        server.close()

    uvloop.run(scenario())


@pytest.mark.parametrize("requests", [1, 3])
def test_a_client_that_closes_its_sending_side_is_answered_and_then_closed(requests: int) -> None:
    # Guards against connections that are kept for ever after their client has said that nothing follows.
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        is_answering, may_answer = asyncio.Event(), asyncio.Event()

        async def wait(request: Request) -> Response:
            is_answering.set()
            await may_answer.wait()
            return Response(200, b"late")

        server = await loop.create_server(lambda: HttpServerConnection(wait, MAX_BODY_BYTES), "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * requests)
        writer.write_eof()
        async with asyncio.timeout(5.0):
            await is_answering.wait()
            may_answer.set()
            received = await reader.read()
        assert received.count(b"late") == requests
        writer.close()
        server.close()

    uvloop.run(scenario())
