"""One HTTP/1.1 connection (h11) to an upstream, and the current call on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import h11

from larkweir.cluster.dead_peer_detection import DeadPeerDetector
from larkweir.cluster.tcp_options import set_keepalive, set_no_delay

ACKNOWLEDGEMENT_TIMEOUT_MS = (
    1_200.0  # an upstream that acknowledges nothing for this long is gone or partitioned
)
MAX_STALL_AFTER_RESPONSE_MS = (
    30_000.0  # how long an upstream may read no more of a request that it has answered
)
MAX_HEADER_BYTES = 64 * 1024
SIGNATURE_HEADER = b"x-server-signature"
MIN_FAILURE_STATUS = 300  # a lower status is a success, which must be signed and repeat the request's id


class CallFailure(Enum):
    """Why a call ended without a complete response. The values appear in the debug log (field `ending`)."""

    CLOSED = "closed"  # the connection ended; the request may have run
    CUT_OFF = "cut_off"  # the connection ended in order, but inside an event of a stream without a length
    GARBLED = "garbled"  # the bytes received are no valid response to the request


class ResponseListener(Protocol):
    """Receives the events of a call. No method is called after `on_response_end` or `on_call_failed`."""

    def on_response_head(self, response: h11.Response) -> None:
        """Called when the head of the response arrives."""

    def on_response_data(self, data: bytes) -> None:
        """Called with each chunk of the body."""

    def on_response_end(self) -> None:
        """Called when the response is complete; one without a length is, once its connection ends in order."""

    def on_call_failed(self, failure: CallFailure) -> None:
        """Called when the response can't be completed any more."""


class UpstreamConnection(asyncio.Protocol):
    """One connection, with one call at a time.

    A response with the `X-Request-Id` of another request is a late response to an earlier call on this connection (a
    duplicate, or the response to a call that only the upstream had given up). It is skipped. A success without a
    request id or without a signature is not accepted: the call fails.
    """

    def __init__(
        self, on_idle: Callable[[UpstreamConnection], None], on_closed: Callable[[UpstreamConnection], None]
    ):
        """`on_idle` is called when the connection can be used for another call, `on_closed` when it has ended."""
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._detector: DeadPeerDetector | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._listener: ResponseListener | None = None
        self._request: h11.Request | None = None
        self._request_id = b""
        self._is_stale_response = False  # the response being read belongs to an earlier request
        self._is_reusable = True
        self.keep_alive_s: float | None = None  # idle time-out that the upstream advertises, if any
        self.has_served = False  # at least one call has been completed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Prepare the connection for calls."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport = transport
        set_no_delay(transport)
        set_keepalive(transport)
        self._detector = DeadPeerDetector(transport, ACKNOWLEDGEMENT_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection has ended, and that the current call has failed."""
        self._transport = None
        if self._detector is not None:
            self._detector.stop()
        self._on_closed(self)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_call_failed(CallFailure.CLOSED)

    def eof_received(self) -> bool:
        """Complete a response without a length: the upstream has closed its side."""
        if self._listener is not None:
            self._h11.receive_data(b"")
            self._advance()
        return False

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """Close the connection. The current call ends without a report to its listener."""
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def call(self, request: h11.Request, request_id: bytes, body: bytes, listener: ResponseListener) -> None:
        """Send a request. The connection must be open and idle.

        Args:
            request: the head of the request; it must have a `Content-Length` if there is a body.
            request_id: the value of `X-Request-Id`, which the response must repeat; empty if there is none.
            body: the complete body.
            listener: receives the events of the call.
        """
        assert self._transport is not None
        assert self._detector is not None
        assert self._listener is None
        self._request, self._request_id, self._listener = request, request_id, listener
        self._is_stale_response = False
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        out += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(out)
        self._detector.on_written(len(out))

    def pause_reading(self) -> None:
        """Stop reading the response: the client reads more slowly than the upstream sends."""
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading the response."""
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a response. An idle connection is closed, as it should receive no bytes."""
        if self._listener is None:  # no request is in progress
            self.close()
            return
        self._h11.receive_data(data)
        self._advance()

    def _advance(self) -> None:
        while self._listener is not None:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError:
                self._fail(CallFailure.GARBLED)
                return
            if isinstance(event, h11.Response):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                if not self._is_stale_response:
                    self._listener.on_response_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._on_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail(CallFailure.CLOSED)
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                return

    def _on_head(self, response: h11.Response) -> None:
        assert self._listener is not None
        echoed_id, is_signed = b"", False
        for name, value in response.headers:
            if name == b"x-request-id":
                echoed_id = value
            elif name == SIGNATURE_HEADER:
                is_signed = True
            elif name == b"keep-alive":
                self.keep_alive_s = _parse_idle_timeout(value)
            elif name == b"connection" and b"close" in value.lower():
                self._is_reusable = False
        if echoed_id and echoed_id != self._request_id:
            self._is_stale_response = True
        elif response.status_code < MIN_FAILURE_STATUS and not (echoed_id and is_signed):
            self._fail(CallFailure.GARBLED)  # only errors may omit the request id and the signature
        else:
            if not echoed_id:  # a duplicate could not be distinguished from the response to the next request
                self._is_reusable = False
            self._listener.on_response_head(response)

    def _on_end(self) -> None:
        """Handle the end of a response, either to the current call or, if stale, to an earlier request."""
        if self._is_stale_response:
            self._restart_parser()
            return
        listener, self._listener = self._listener, None
        assert listener is not None
        self.has_served = True
        if self._can_be_reused():
            self._h11.start_next_cycle()
            self._on_idle(self)
        else:
            self._close_after_response()
        listener.on_response_end()

    def _can_be_reused(self) -> bool:
        """Whether nothing of the call that has just ended would reach the next one on this connection.

        A call may leave behind:

        - a connection that the upstream is about to close, or on which a duplicate could not be told from the response
          to the next request;
        - bytes after the response, or a request or response that the parser does not hold complete;
        - a transport that does not read because the client was slow: further bytes, or the upstream's close, may wait;
        - a part of the request that the upstream has not accepted, behind which the next request would wait.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not transport.is_reading():
            return False
        is_parser_done = self._h11.our_state is h11.DONE is self._h11.their_state
        has_trailing_bytes = bool(self._h11.trailing_data[0])
        if not self._is_reusable or not is_parser_done or has_trailing_bytes:
            return False
        return not self._has_unread_request()

    def _has_unread_request(self) -> bool:
        return self._detector is not None and self._detector.has_unacknowledged_bytes()

    def _close_after_response(self) -> None:
        """Close the connection. An upstream that is still reading the request may read it to its end."""
        if self._transport is None:
            return
        if self._detector is not None and self._has_unread_request():
            self._detector.limit_stall(MAX_STALL_AFTER_RESPONSE_MS)
            self._transport.close()
        else:
            self._transport.abort()

    def _restart_parser(self) -> None:
        """Reset the parser after a stale response: the response to the current request is still to arrive."""
        self._is_stale_response = False
        if self._h11.their_state is not h11.DONE or not self._is_reusable:
            self._fail(CallFailure.CLOSED)
            return
        remaining = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        assert self._request is not None
        self._h11.send(self._request)
        # The real body has already been sent; zero bytes of the same length bring the parser into the same state.
        length = next((int(value) for name, value in self._request.headers if name == b"content-length"), 0)
        if length:
            self._h11.send(h11.Data(data=bytes(length)))
        self._h11.send(h11.EndOfMessage())
        if remaining:
            self._h11.receive_data(remaining)

    def _fail(self, failure: CallFailure) -> None:
        listener, self._listener = self._listener, None
        self._abort()
        if listener is not None:
            listener.on_call_failed(failure)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _parse_idle_timeout(value: bytes) -> float | None:
    """Parse the seconds of `Keep-Alive: timeout=N` (RFC 2068, 19.7.1.1) or of a bare number; None if not stated."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return float(value) if value.strip().isdigit() else None
