"""The way of a response to the client: head, body by complete events where the stream can be resumed, end."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from larkweir.router.client_request import HOP_BY_HOP_HEADERS
from larkweir.router.configuration import Route
from larkweir.router.event_stream import EventBuffer
from larkweir.router.request_metadata import Headers


class ResponseWriter(Protocol):
    """The client's side of an exchange."""

    def start_response(self, status: int, headers: Headers) -> None:
        """The response begins."""

    def send_body(self, data: bytes) -> bool:
        """A chunk of its body; False while the client does not keep up."""

    def end_response(self) -> None:
        """The response is complete."""

    def abort_response(self) -> None:
        """The response ends early and must not look complete."""


class ResponseRelay:
    """What the client has received of the response to one request, from however many upstreams."""

    def __init__(self, writer: ResponseWriter) -> None:
        """Nothing has been sent to `writer` yet."""
        self._writer = writer
        self.has_started = False
        self.events: EventBuffer | None = None  # of a stream that can be resumed

    @property
    def can_resume(self) -> bool:
        """Whether the rest of a response that has begun can come from another upstream."""
        return self.events is not None and self.events.resumable

    @property
    def last_event_id(self) -> bytes | None:
        """The id of the last event that the client has received, where the stream can be resumed."""
        return self.events.last_id if self.events is not None else None

    def start(self, status: int, headers: Headers, route: Route) -> None:
        """Pass on the head of a response; that of a resumed stream is dropped, as the client has the first one."""
        if self.has_started:
            return
        if route.is_streaming and route.resumable and status == HTTPStatus.OK:
            self.events = EventBuffer()
        self.has_started = True
        relayed = [(name, value) for name, value in headers if name not in HOP_BY_HOP_HEADERS]
        self._writer.start_response(status, relayed)

    def send(self, data: bytes) -> bool:
        """Pass on a chunk of the body; False while the client does not keep up."""
        if self.events is not None:
            data = self.events.feed(data)
        return not data or self._writer.send_body(data)

    def flush(self) -> None:
        """The upstream's response is complete: pass on what is left of its body."""
        rest = self.events.flush() if self.events is not None else b""
        if rest:
            self._writer.send_body(rest)

    def end(self) -> None:
        """Mark the response as complete."""
        self._writer.end_response()

    def restart(self) -> None:
        """The upstream failed and another goes on behind the last complete event."""
        if self.events is not None:
            self.events.restart()

    def abort(self) -> None:
        """End a response that can't be completed."""
        self._writer.abort_response()

    def send_error(self, status: int, headers: Headers) -> None:
        """Respond with an error of the router's own, without a body."""
        self._writer.start_response(status, headers)
        self._writer.end_response()
