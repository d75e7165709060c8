"""A client's connection over h11: requests in turn, each as one exchange."""

from __future__ import annotations

import asyncio
from typing import cast

import h11

from larkweir.cluster.tcp_options import set_tcp_options
from larkweir.router.answers import ERROR_RESPONSES, ErrorKind
from larkweir.router.client_request import ClientRequest, Headers
from larkweir.router.configuration import Limits
from larkweir.router.data_plane import DataPlane
from larkweir.router.exchange import Exchange

USER_TIMEOUT_MS = 10_000.0
MAX_PIPELINED_BYTES = 64 * 1024  # sent ahead while a request is being answered
MAX_UNSENT_BYTES = 64 * 1024  # that the client has not taken, from which the upstream is held up
CLOSE_HEADER = (b"connection", b"close")


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, plane: DataPlane) -> None:
        """Registers with the data plane once it is made."""
        self._plane = plane
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        table = plane.configuration.table
        self._limits = table.limits if table is not None else Limits()
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.max_header_bytes)
        self._request_head: h11.Request | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._pipelined_bytes = 0
        self._exchange: Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._is_idle_timer = False
        self._writable = True
        self._chunks: list[bytes] = []

    # Called by the loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are none by type
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        set_tcp_options(transport, user_timeout_ms=USER_TIMEOUT_MS)
        self._plane.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._transport = None
        self._plane.connections.discard(self)
        self._stop_timer()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.cancel()

    def eof_received(self) -> bool:
        """Called by the loop. A client that sends no more has gone."""
        return False

    def pause_writing(self) -> None:
        """Called by the loop."""
        self._writable = False

    def resume_writing(self) -> None:
        """Called by the loop."""
        self._writable = True
        if self._exchange is not None:
            self._exchange.on_client_writable()

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self._h11.receive_data(data)
        if self._exchange is not None:
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        if self._is_idle_timer:
            self._start_header_timer()
        self._advance()

    # Times

    def _start_idle_timer(self) -> None:
        self._start_timer(self._limits.idle_timeout_ms, self.close_if_idle)
        self._is_idle_timer = True

    def _start_header_timer(self) -> None:
        self._start_timer(self._limits.header_timeout_ms, self._on_request_timeout)
        self._is_idle_timer = False

    def _start_timer(self, for_ms: float, then: object) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(for_ms / 1000.0, then)  # type: ignore[arg-type]

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_body_timer(self) -> None:
        self._start_timer(self._limits.idle_timeout_ms, self._on_request_timeout)
        self._is_idle_timer = False

    def _on_request_timeout(self) -> None:
        self._reject(ErrorKind.CLIENT_TOO_SLOW)

    @property
    def is_idle(self) -> bool:
        """Whether nothing of a request has come that is not answered."""
        return self._exchange is None and self._request_head is None and self._is_idle_timer

    def close_if_idle(self) -> None:
        """Ends a connection on which nobody waits."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Ends the connection whatever is under way."""
        if self._transport is not None:
            self._transport.abort()

    # Requests

    def _advance(self) -> None:
        """Takes what has come, until a request is whole or more is needed."""
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
                return

    def _on_request_head(self, head: h11.Request) -> bool:
        self._request_head, self._body_chunks, self._body_bytes = head, [], 0
        table = self._plane.configuration.table
        if table is not None:
            self._limits = table.limits
        for name, value in head.headers:
            if name == b"content-length" and int(value) > self._limits.max_body_bytes:
                self._reject(ErrorKind.BODY_TOO_LARGE)
                return False
        if self._h11.they_are_waiting_for_100_continue and self._transport is not None:
            self._start_body_timer()
            informational = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._h11.send(informational) or b"")
        return True

    def _start_exchange(self) -> None:
        assert self._request_head is not None
        self._stop_timer()
        self._is_idle_timer = False
        request = ClientRequest(
            method=bytes(self._request_head.method),
            target=bytes(self._request_head.target),
            headers=[(bytes(name), bytes(value)) for name, value in self._request_head.headers],
            body=b"".join(self._body_chunks),
            received_ms=self._loop.time() * 1000.0,
        )
        self._body_chunks = []
        self._pipelined_bytes = 0
        exchange = self._exchange = Exchange(self._plane, self, request, self._on_exchange_done)
        exchange.start()

    def _on_exchange_done(self) -> None:
        """The exchange is over; the answer may have ended the connection."""
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

    def _reject(self, kind: ErrorKind) -> None:
        """Answers what can't be read as a request, and ends the connection."""
        self._stop_timer()
        if self._transport is None:
            return
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._plane.count_error(kind)
            self.start_response(ERROR_RESPONSES[kind].status, [(b"content-length", b"0"), CLOSE_HEADER])
            self.end_response()
        self._transport.close()

    # Answers

    def start_response(self, status: int, headers: Headers) -> None:
        """The head is written with the first piece behind it."""
        if self._plane.stopping and CLOSE_HEADER not in headers:
            headers = [*headers, CLOSE_HEADER]
        out = self._h11.send(h11.Response(status_code=status, headers=list(headers)))
        if self._transport is not None and out:
            self._transport.write(out)

    def send_body(self, data: bytes) -> bool:
        """Passed on as it comes; False while the client does not keep up."""
        out = self._h11.send(h11.Data(data=data))
        if self._transport is not None and out:
            self._transport.write(out)
        return self._writable

    def end_response(self) -> None:
        """The answer is whole."""
        try:
            out = self._h11.send(h11.EndOfMessage())
        except h11.LocalProtocolError:  # fewer bytes than its head promised
            self.abort_response()
            return
        if self._transport is not None and out:
            self._transport.write(out)

    def abort_response(self) -> None:
        """Closes without the mark of a whole answer; what was passed on still arrives."""
        self._h11.send_failed()
        if self._transport is not None:
            self._transport.close()
