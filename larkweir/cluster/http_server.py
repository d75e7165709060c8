"""A small HTTP/1.1 server for control interfaces, built on h11. It handles only complete requests and responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import cast

import h11

from larkweir.cluster import log
from larkweir.cluster.dead_peer_detection import DeadPeerDetector
from larkweir.cluster.tasks import start_task
from larkweir.cluster.tcp_options import set_no_delay

MAX_HEADER_BYTES = 32 * 1024
ACKNOWLEDGEMENT_TIMEOUT_MS = 5_000.0  # a client that acknowledges no sent bytes for this long is gone
MAX_STALL_MS = 60_000.0  # how long a client may read nothing of what waits for it


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request. Header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response. `close`: whether to close the connection after it."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    close: bool = False


Handler = Callable[[Request], Awaitable[Response]]


class HttpServerConnection(asyncio.Protocol):
    """A connection of one client. Its requests are answered one at a time, in order."""

    def __init__(self, handler: Handler, max_body_bytes: int) -> None:
        """Create the protocol of one connection.

        Args:
            handler: answers requests. If it raises, the exception is logged and the client gets a 500.
            max_body_bytes: the largest request body; a larger one is answered with 413.
        """
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._detector: DeadPeerDetector | None = None
        self._request_head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._has_eof = False  # the client has closed its sending side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the socket; called by the event loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport = transport
        set_no_delay(transport)
        self._detector = DeadPeerDetector(transport, ACKNOWLEDGEMENT_TIMEOUT_MS, max_stall_ms=MAX_STALL_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; called by the event loop."""
        self._h11.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        """Keep the connection open until the last response has been sent; called by the event loop."""
        self._has_eof = True
        return self._task is not None

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress; called by the event loop."""
        self._transport = None
        if self._detector is not None:
            self._detector.stop()
        if self._task is not None:
            self._task.cancel()

    def close(self) -> None:
        """Close the connection immediately, without sending what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def _advance(self) -> None:
        """Parse received bytes until a request is complete or more bytes are needed."""
        while self._task is None and self._transport is not None:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._respond(Response(error.error_status_hint or 400, close=True))
                return
            if isinstance(event, h11.Request):
                self._request_head, self._body, self._body_bytes = event, [], 0
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > self._max_body_bytes:
                    self._respond(Response(413, close=True))
                    return
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._start_handling()
            else:
                return

    def _start_handling(self) -> None:
        assert self._request_head is not None
        headers = {
            name.decode("latin-1"): value.decode("latin-1") for name, value in self._request_head.headers
        }
        request = Request(
            self._request_head.method.decode("latin-1"),
            self._request_head.target.decode("latin-1"),
            headers,
            b"".join(self._body),
        )
        self._task = start_task("http_request", self._handle(request))

    async def _handle(self, request: Request) -> None:
        try:
            response = await self._handler(request)
        except Exception as error:  # the client gets a response even if the handler fails
            log.event("handler_failed", target=request.target, error=repr(error))
            response = Response(500, close=True)
        self._task = None
        self._respond(response)
        self._advance()
        if self._has_eof and self._task is None and self._transport is not None:
            self._transport.close()

    def _respond(self, response: Response) -> None:
        transport = self._transport
        if transport is None or self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [("Content-Length", str(len(response.body)))]
        if response.body:
            headers.append(("Content-Type", response.content_type))
        if response.close:
            headers.append(("Connection", "close"))
        out = self._h11.send(h11.Response(status_code=response.status, headers=headers))
        if self._request_head is None or self._request_head.method != b"HEAD":
            out = (out or b"") + (self._h11.send(h11.Data(data=response.body)) or b"")
        out = (out or b"") + (self._h11.send(h11.EndOfMessage()) or b"")
        transport.write(out)
        if self._detector is not None:
            self._detector.on_written(len(out))
        if self._h11.our_state is h11.MUST_CLOSE or response.close:
            transport.close()
        elif self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
