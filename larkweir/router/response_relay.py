"""Relays a response to the client. The body of a resumable stream is relayed in complete events only."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from larkweir.core.event_stream import EventBoundary, is_encoded, is_event_stream
from larkweir.router.client_request import HOP_BY_HOP_HEADERS
from larkweir.router.configuration import Route
from larkweir.router.event_stream import EventBuffer
from larkweir.router.request_metadata import Headers


class ResponseWriter(Protocol):
    """Writes the response of an exchange to the client."""

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the head of the response."""

    def send_body(self, data: bytes) -> bool:
        """Send a chunk of the body; returns False while too much is buffered for the client."""

    def end_response(self) -> None:
        """Mark the response as complete."""

    def abort_response(self) -> None:
        """End the response early, in a way that the client can't mistake for a complete response."""


class ResponseRelay:
    """The response to one request, which may be composed of responses of several upstreams."""

    def __init__(self, writer: ResponseWriter) -> None:
        """Create a relay that sends to `writer`."""
        self._writer = writer
        self.has_started = False
        self.events: EventBuffer | None = None  # None if the response is not a resumable stream
        # None unless the upstream's response is an event stream whose end only the end of its connection marks
        self._boundary: EventBoundary | None = None

    @property
    def is_cut_off(self) -> bool:
        """Whether a response that ends now, with its connection, lacks the rest of an event."""
        return self._boundary is not None and not self._boundary.is_between_events

    @property
    def can_resume(self) -> bool:
        """Whether another upstream can provide the rest of a response that has started."""
        return self.events is not None and self.events.resumable

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last event that was relayed; None if there is none or the response is no resumable stream."""
        return self.events.last_id if self.events is not None else None

    def start(self, status: int, headers: Headers, route: Route) -> None:
        """Relay the head of a response. The head of a resumed stream is dropped, as the client already has one."""
        is_unframed_stream = ends_with_connection(headers) and has_events(status, headers, route)
        self._boundary = EventBoundary() if is_unframed_stream else None
        if self.has_started:
            return
        if (
            route.is_streaming
            and route.resumable
            and status == HTTPStatus.OK
            and not has_encoded_body(headers)
        ):
            self.events = EventBuffer()
        self.has_started = True
        relayed = [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]
        self._writer.start_response(status, relayed)

    def send(self, data: bytes) -> bool:
        """Relay a chunk of the body; returns False while too much is buffered for the client."""
        if self._boundary is not None:
            self._boundary.feed(data)
        if self.events is not None:
            data = self.events.feed(data)
        return not data or self._writer.send_body(data)

    def flush(self) -> None:
        """Relay the buffered rest of the body, at the end of the upstream's response."""
        rest = self.events.flush() if self.events is not None else b""
        if rest:
            self._writer.send_body(rest)

    def end(self) -> None:
        """Mark the response as complete."""
        self._writer.end_response()

    def restart(self) -> None:
        """Prepare for another upstream to continue after the last complete event: the previous one failed."""
        if self.events is not None:
            self.events.restart()

    def abort(self) -> None:
        """Abort a response that can't be completed."""
        self._writer.abort_response()

    def send_error(self, status: int, headers: Headers) -> None:
        """Respond with an error of the router's own, without a body."""
        self._writer.start_response(status, headers)
        self._writer.end_response()


def ends_with_connection(headers: Headers) -> bool:
    """Whether only the end of the connection marks the end of a response (RFC 9112, 6.3, rule 8)."""
    return all(name not in (b"content-length", b"transfer-encoding") for name, _ in headers)


def has_events(status: int, headers: Headers, route: Route) -> bool:
    """Whether the bytes of a body are events: by the response's type, or by the route if it states no type."""
    if has_encoded_body(headers):
        return False
    for name, value in headers:
        if name == b"content-type":
            return is_event_stream(value)
    return route.is_streaming and status == HTTPStatus.OK


def has_encoded_body(headers: Headers) -> bool:
    """Whether a content coding transforms the body of a response."""
    return any(name == b"content-encoding" and is_encoded(value) for name, value in headers)
