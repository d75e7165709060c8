"""A client's HTTP/1.1 connection (h11). Its requests are processed one after the other, each by an `Exchange`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import h11

from larkweir.cluster.dead_peer_detection import DeadPeerDetector
from larkweir.cluster.tcp_options import set_no_delay, set_reset_at_close
from larkweir.router.answers import ERROR_RESPONSES, ErrorKind
from larkweir.router.client_request import ClientRequest
from larkweir.router.configuration import Limits
from larkweir.router.data_plane import DataPlane
from larkweir.router.exchange import Exchange
from larkweir.router.request_metadata import Headers, InvalidHeaderError, parse_metadata
from larkweir.router.response_relay import ends_with_connection

ACKNOWLEDGEMENT_TIMEOUT_MS = 10_000.0  # a client that acknowledges no sent bytes for this long is gone
MAX_STALL_MS = 60_000.0  # how long a client may read nothing of what waits for it
# Reading pauses when more than this is received while a request is in progress.
MAX_PIPELINED_BYTES = 64 * 1024
# Reading from the upstream pauses when more than this is buffered for the client.
MAX_UNSENT_BYTES = 64 * 1024
# The parser's own bound on incomplete heads is fixed when a connection is opened, so it is the highest valid limit.
MAX_PARSER_BYTES = 2**30
MIN_REMAINING_IDLE_MS = 1.0  # timers may fire this much early
CLOSE_HEADER = (b"connection", b"close")


class ClientConnection(asyncio.Protocol):
    """One connection of a client. Enforces the limits and time-outs of requests, and writes the responses.

    Implements `response_relay.ResponseWriter` and `data_plane.OpenConnection`.
    """

    def __init__(self, plane: DataPlane) -> None:
        """Create the protocol. It is in `plane.connections` from `connection_made` until `connection_lost`."""
        self._plane = plane
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._detector: DeadPeerDetector | None = None
        self._limits = Limits()  # of the current request and of the pause before it
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_PARSER_BYTES)
        self._request_head: h11.Request | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._pipelined_bytes = 0
        self._exchange: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle_timer = False
        self._idle_since_s = 0.0  # on the event loop's clock
        self._writable = True

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request: the client has connected."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        set_no_delay(transport)
        self._detector = DeadPeerDetector(transport, ACKNOWLEDGEMENT_TIMEOUT_MS, max_stall_ms=MAX_STALL_MS)
        self._plane.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: the connection has ended."""
        self._transport = None
        if self._detector is not None:
            self._detector.stop()
        self._plane.connections.discard(self)
        self._stop_timer()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()

    def eof_received(self) -> bool:
        """Return False, so that the transport closes: a client that closes its side counts as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Make `send_body` return False: too much is buffered for the client."""
        self._writable = False

    def resume_writing(self) -> None:
        """Continue sending: the client has read what was buffered."""
        self._writable = True
        if self._exchange is not None:
            self._exchange.on_client_writable()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the next request. Bytes of pipelined requests stay buffered until their turn."""
        self._h11.receive_data(data)
        if self._exchange is not None:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        if self._is_idle_timer:
            self._start_header_timer()
        self._advance()

    # Time-outs

    def _start_idle_timer(self) -> None:
        self._update_limits()
        self._idle_since_s = self._loop.time()
        self._start_timer(self._limits.idle_timeout_ms, self._on_idle_timeout)
        self._is_idle_timer = True

    def _on_idle_timeout(self) -> None:
        """Close the connection, unless a configuration that has come into force meanwhile lets it idle for longer."""
        self._update_limits()
        idle_ms = 1000.0 * (self._loop.time() - self._idle_since_s)
        remaining_ms = self._limits.idle_timeout_ms - idle_ms
        if remaining_ms >= MIN_REMAINING_IDLE_MS:
            self._start_timer(remaining_ms, self._on_idle_timeout)
        else:
            self.close_if_idle()

    def _start_header_timer(self) -> None:
        self._update_limits()
        self._start_timer(self._limits.header_timeout_ms, self._on_request_timeout)
        self._is_idle_timer = False

    def _start_timer(self, timeout_ms: float, on_timeout: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(timeout_ms / 1000.0, on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_body_timer(self) -> None:
        self._start_timer(self._limits.idle_timeout_ms, self._on_request_timeout)
        self._is_idle_timer = False

    def _on_request_timeout(self) -> None:
        self._reject(ErrorKind.CLIENT_TOO_SLOW)

    def _update_limits(self) -> None:
        """Take the limits of the configuration in force, which may have changed since the connection was opened."""
        table = self._plane.configuration.table
        if table is not None:
            self._limits = table.limits

    @property
    def is_idle(self) -> bool:
        """Whether no byte of an unanswered request has been received."""
        return self._exchange is None and self._request_head is None and self._is_idle_timer

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection, even if a request is in progress."""
        if self._transport is not None:
            self._transport.abort()

    # Requests

    def _advance(self) -> None:
        """Parse the received bytes until a request is complete or more bytes are needed."""
        while self._exchange is None and self._transport is not None and not self._transport.is_closing():
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                too_large = error.error_status_hint == 431
                self._reject(ErrorKind.HEADERS_TOO_LARGE if too_large else ErrorKind.BAD_REQUEST)
                return
            if isinstance(event, h11.Request):
                if not self._on_request_head(event):
                    return
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > self._limits.max_body_bytes:
                    self._reject(ErrorKind.BODY_TOO_LARGE)
                    return
                self._body_chunks.append(bytes(event.data))
                self._start_body_timer()
            elif isinstance(event, h11.EndOfMessage):
                self._start_exchange()
            else:
                self._check_incomplete_event()
                return

    def _check_incomplete_event(self) -> None:
        """Reject a request whose head, or the framing of whose body, goes on beyond the limit of heads."""
        if self._request_head is None:
            self._update_limits()
        if len(self._h11.trailing_data[0]) > self._limits.max_header_bytes:
            self._reject(ErrorKind.HEADERS_TOO_LARGE)

    def _on_request_head(self, head: h11.Request) -> bool:
        self._request_head, self._body_chunks, self._body_bytes = head, [], 0
        self._update_limits()
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.max_body_bytes:
                self._reject(ErrorKind.BODY_TOO_LARGE)
                return False
        if self._h11.they_are_waiting_for_100_continue:
            self._start_body_timer()
            self._write(self._h11.send(h11.InformationalResponse(status_code=100, headers=[])))
        return True

    def _start_exchange(self) -> None:
        assert self._request_head is not None
        self._stop_timer()
        self._is_idle_timer = False
        headers = [(bytes(name), bytes(value)) for name, value in self._request_head.headers]
        try:
            metadata = parse_metadata(headers)
        except InvalidHeaderError as error:
            self._reject(ErrorKind.BAD_REQUEST, str(error))
            return
        request = ClientRequest(
            method=bytes(self._request_head.method),
            target=bytes(self._request_head.target),
            headers=headers,
            body=b"".join(self._body_chunks),
            received_ms=self._loop.time() * 1000.0,
            metadata=metadata,
        )
        self._body_chunks = []
        self._pipelined_bytes = 0
        exchange = self._exchange = Exchange(self._plane, self, request, self._on_exchange_done)
        exchange.start()

    def _on_exchange_done(self) -> None:
        """Close the connection, or continue with the next request: the exchange is done."""
        self._exchange = None
        self._request_head = None
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            transport.close()
            return
        self._h11.start_next_cycle()
        transport.resume_reading()
        self._start_idle_timer()
        if self._h11.trailing_data[0]:
            self._start_header_timer()
            self._loop.call_soon(self._advance)
        elif self._plane.stopping:
            transport.close()

    def _reject(self, kind: ErrorKind, problem: str = "") -> None:
        """Respond to an invalid request, or to one that exceeds a limit, and close the connection.

        `problem`: one line of text for the client that says what is wrong; if empty, the response has no body.
        """
        self._stop_timer()
        if self._transport is None:
            return
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._plane.count_error(kind)
            body = f"{problem}\n".encode() if problem else b""
            headers = [(b"content-length", b"%d" % len(body)), CLOSE_HEADER]
            if body:
                headers.insert(0, (b"content-type", b"text/plain; charset=utf-8"))
            self.start_response(ERROR_RESPONSES[kind].status, headers)
            if body and self._request_head is not None and self._request_head.method != b"HEAD":
                self.send_body(body)
            self.end_response()
        self._transport.close()

    # response_relay.ResponseWriter

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of a response. A router that is shutting down adds `Connection: close`."""
        if self._plane.stopping and CLOSE_HEADER not in headers:
            headers = [*headers, CLOSE_HEADER]
        self._write(self._h11.send(h11.Response(status_code=status, headers=list(headers))))
        if self._has_http_1_0_client and ends_with_connection(headers):
            self._set_reset_at_close(enabled=True)

    def send_body(self, data: bytes) -> bool:
        """Send a chunk of the body; returns False while too much is buffered for the client."""
        self._write(self._h11.send(h11.Data(data=data)))
        return self._writable

    def end_response(self) -> None:
        """Mark the response as complete, or abort it if its body is shorter than its `Content-Length`."""
        try:
            out = self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError:  # the body is shorter than its Content-Length
            self.abort_response()
            return
        self._write(out)
        if self._has_http_1_0_client:
            self._set_reset_at_close(enabled=False)

    @property
    def _has_http_1_0_client(self) -> bool:
        """Whether the client of the current request knows no chunks (RFC 9112, 6.3).

        It takes the end of the connection for the end of a response without a length, so until such a response is
        complete, any end of the connection has to be a reset.
        """
        return self._request_head is not None and self._request_head.http_version < b"1.1"

    def _set_reset_at_close(self, *, enabled: bool) -> None:
        if self._transport is not None:
            set_reset_at_close(self._transport, enabled=enabled)

    def abort_response(self) -> None:
        """Close the connection without marking the response as complete.

        Bytes already sent still arrive, unless only a reset can show that the response is incomplete.
        """
        self._h11.send_failed()
        if self._transport is not None:
            self._transport.close()

    def _write(self, data: bytes | None) -> None:
        if self._transport is not None and self._detector is not None and data:
            self._transport.write(data)
            self._detector.on_written(len(data))
