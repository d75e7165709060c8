"""One HTTP/1.1 connection (h11) to an upstream, and the call on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import h11

from larkweir.cluster.tcp_options import set_tcp_options

USER_TIMEOUT_MS = (
    1_200.0  # sent bytes that stay unacknowledged for so long: the upstream is gone or partitioned
)
MAX_HEADER_BYTES = 64 * 1024
SIGNATURE_HEADER = b"x-server-signature"
MIN_FAILURE_STATUS = 300  # a lower status is a success, which must name its request and be signed


class CallFailure(Enum):
    """How a call ended without a complete response. The values appear in the debug log (field `ending`)."""

    CLOSED = "closed"  # the connection ended; the request may have run
    GARBLED = "garbled"  # what was received is no response to the request


class ResponseListener(Protocol):
    """What a call reports to. After `on_response_end` or `on_call_failed` nothing more is called."""

    def on_response_head(self, response: h11.Response) -> None:
        """The head of the response."""

    def on_response_data(self, data: bytes) -> None:
        """A chunk of its body."""

    def on_response_end(self) -> None:
        """The response is complete."""

    def on_call_failed(self, failure: CallFailure) -> None:
        """The response will not be completed."""


class UpstreamConnection(asyncio.Protocol):
    """One connection; one call at a time.

    A response that names another request is a late one of an earlier call on this connection (a copy, or one that
    was given up by the upstream's side only): it is skipped. A success that names no request, or is not signed, is
    not taken for a response.
    """

    def __init__(
        self, on_idle: Callable[[UpstreamConnection], None], on_closed: Callable[[UpstreamConnection], None]
    ):
        """`on_idle` is called when a call is over and another can be made, `on_closed` when the connection ends."""
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._listener: ResponseListener | None = None
        self._request: h11.Request | None = None
        self._request_id = b""
        self._is_stale_response = False  # what is being read responds to an earlier request
        self._is_reusable = True
        self.keep_alive_s: float | None = None  # idle time that the upstream advertises; None: it does not
        self.has_served = False  # at least one call was completed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection can be used."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are none by type
        self._transport = transport
        set_tcp_options(transport, user_timeout_ms=USER_TIMEOUT_MS, keepalive=True)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended, and the call on it has failed."""
        self._transport = None
        self._on_closed(self)
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.on_call_failed(CallFailure.CLOSED)

    def eof_received(self) -> bool:
        """The upstream has closed its side: that completes a response without a length."""
        if self._listener is not None:
            self._h11.receive_data(b"")
            self._advance()
        return False

    @property
    def is_open(self) -> bool:
        """Whether a call can be made."""
        return self._transport is not None and not self._transport.is_closing()

    def close(self) -> None:
        """End the connection, and the call on it without a report."""
        self._listener = None
        if self._transport is not None:
            self._transport.abort()

    def call(self, request: h11.Request, request_id: bytes, body: bytes, listener: ResponseListener) -> None:
        """Send a request. The connection must be open and idle.

        Args:
            request: the head, with a `Content-Length` where there is a body.
            request_id: the value of its `X-Request-Id`, which the response must repeat; empty: it has none.
            body: the complete body.
            listener: reported to until the call is over.
        """
        assert self._transport is not None
        assert self._listener is None
        self._request, self._request_id, self._listener = request, request_id, listener
        self._is_stale_response = False
        out = self._h11.send(request) or b""
        if body:
            out += self._h11.send(h11.Data(data=body)) or b""
        out += self._h11.send(h11.EndOfMessage()) or b""
        self._transport.write(out)

    def pause_reading(self) -> None:
        """The client does not keep up."""
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """The client has caught up."""
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Bytes of a response; on an idle connection they end it."""
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
            self._fail(CallFailure.GARBLED)  # errors may name no request, successes do
        else:
            if not echoed_id:  # a copy of it could not be distinguished from the response to the next request
                self._is_reusable = False
            self._listener.on_response_head(response)

    def _on_end(self) -> None:
        """A response is complete: that to the call, or a late one to an earlier request."""
        if self._is_stale_response:
            self._restart_parser()
            return
        listener, self._listener = self._listener, None
        self.has_served = True
        has_trailing_bytes = bool(self._h11.trailing_data[0])
        is_reusable = (
            self._is_reusable
            and not has_trailing_bytes
            and self._h11.our_state is h11.DONE is self._h11.their_state
        )
        if is_reusable and self._transport is not None:
            self._h11.start_next_cycle()
            self._on_idle(self)
        else:
            self._abort()
        assert listener is not None
        listener.on_response_end()

    def _restart_parser(self) -> None:
        """Parse from here on as if the request had just been sent: its response is still to arrive."""
        self._is_stale_response = False
        if self._h11.their_state is not h11.DONE or not self._is_reusable:
            self._fail(CallFailure.CLOSED)
            return
        remaining = self._h11.trailing_data[0]
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        assert self._request is not None
        self._h11.send(self._request)
        # The body has been sent already: the parser only has to count its bytes.
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
    """The seconds of `Keep-Alive: timeout=N` (RFC 2068, 19.7.1.1) or of a bare number; None where there are none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return float(value) if value.strip().isdigit() else None
