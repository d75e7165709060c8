"""Reads HTTP/1.1 messages of both sides: bytes to messages by httptools, within limits (RFC 9112). Pure logic.

`encoding.py` writes them.
"""

from __future__ import annotations

import httptools

from larkweir.core.body_stream import BodyStream
from larkweir.core.event_stream import EventBoundary, is_encoded, is_event_stream
from larkweir.core.message import Fault, FramingError, Message

# All limits are in bytes, but for the numbers of fields and the ratio.
MAX_HEAD = 32 * 1024
# Guards against heads of thousands of short fields, which cost far more than their bytes.
MAX_FIELDS = 100
MAX_BODY = 48 * 1024 * 1024  # of a request or answer that is forwarded while it arrives
# Of an answer that is not: one that is no 200, or that goes to a side that takes it complete.
MAX_ANSWER = 1024 * 1024
MAX_BUFFERED_BODY = 64 * 1024  # of a request, where it has to be buffered complete
MAX_REPLAYABLE_BODY = 512 * 1024  # of a request: up to that it is buffered for another attempt
# Up to that an answer is buffered until it is complete, so that a broken one can be tried again.
MAX_HELD_ANSWER = 64 * 1024
# Guards against chunks, trailers or interim answers without end: so many bytes, and so many times the body's size.
MAX_FRAMING, MAX_FRAMING_RATIO = 1024 * 1024, 16


class _Reader:
    """Feeds one connection's bytes to httptools and bounds what a message may hold.

    The parser holds the reader's methods, and so the reader itself: `close` ends that reference cycle, which would else
    wait for the garbage collector with all that the connection held.
    """

    def __init__(self, max_body: int, max_messages: int, forward_over: int | None = None) -> None:
        """`max_body`: bytes of a body. `max_messages`: that one read may bring. `forward_over`: a body of more bytes is
        forwarded while it arrives; None: every body is buffered until it is complete.
        """
        self.forward_over = forward_over
        self._stream: BodyStream | None = None  # of the incomplete message, where its body is forwarded
        self._length: int | None = None  # its Content-Length
        self._host_fields = 0  # in its head
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._make_parser()
        self._max_body = max_body
        self._max_messages = max_messages
        self._completed: list[Message] = []  # by the present read
        self._message = Message()
        self._body_parts: list[bytes] = []
        self.body_size = 0  # bytes received of the incomplete message's body
        self._incomplete_bytes = 0  # fed since the last complete message
        self._in_head = True
        self.fault: Fault | None = None  # why nothing more is parsed

    def _make_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        raise NotImplementedError

    @property
    def is_incomplete(self) -> bool:
        """Whether a message was received in part."""
        return self._incomplete_bytes > 0

    @property
    def buffered_bytes(self) -> int:
        """About what the incomplete message holds in memory."""
        if not self._incomplete_bytes:
            return 0
        return min(self._incomplete_bytes, MAX_HEAD) + (
            self.body_size if self._stream is None else self._stream.buffered_bytes
        )

    def close(self, why: str = "") -> None:
        """Parse no more, and drop what is buffered of an incomplete message. `why` is for whoever its body goes to."""
        self._parser = None
        self._message = Message()
        self._body_parts = []
        self._completed = []
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.fail(why)
        self.body_size = self._incomplete_bytes = 0

    def feed(self, data: bytes) -> list[Message]:
        """Parse `data`; returns the messages that it completes, or whose forwarding it begins. A fault behind them is
        left in `fault`, for good.
        """
        if self.fault is not None or self._parser is None:
            return []
        completed: list[Message] = []
        self._completed = completed
        self._incomplete_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self.fault = self._fault_of(problem)
        # Guards against a head, or chunk extensions and trailers, that never end.
        if self.fault is None and self._in_head and self._incomplete_bytes > MAX_HEAD:
            self.fault = Fault(431, "the head is too long")
        elif (
            self.fault is None
            and self._incomplete_bytes > MAX_HEAD + MAX_FRAMING + MAX_FRAMING_RATIO * self.body_size
        ):
            self.fault = Fault(413, "the message is too long")
        self._completed = []
        if self.fault is not None:
            self.fail(self.fault)
            if self.fault.status == 429:
                return []  # nothing of such a read is taken
        return completed

    def fail(self, fault: Fault) -> None:
        """Parse no more: what follows is never looked at, and a message in part is of no use."""
        was_incomplete = self.is_incomplete
        self.fault = fault
        self.close(fault.text)
        self._incomplete_bytes = int(was_incomplete)

    @staticmethod
    def _fault_of(problem: Exception) -> Fault:
        cause = problem.__context__
        if isinstance(cause, FramingError):
            return Fault(cause.status, str(cause))
        return Fault(400, f"malformed HTTP: {problem}")

    # ------------------------------------------------ called by httptools

    def on_message_begin(self) -> None:
        """Another message begins."""
        if len(self._completed) >= self._max_messages:
            raise FramingError(429, "too many requests sent ahead")
        self._message = Message()
        self._body_parts = []
        self.body_size = 0
        self._in_head = True
        self._length = None
        self._host_fields = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """One field of the head, or of the trailers."""
        if not self._in_head:
            return  # a trailer: nothing here uses one
        headers = self._message.headers
        if len(headers) >= MAX_FIELDS:
            raise FramingError(431, "the head has too many fields")
        value = value.strip(b" \t")  # white space round a value is no part of it (RFC 9110 section 5.5)
        headers.append((name, value))
        lower = name.lower()
        if lower == b"content-length":
            self._length = size = int(value) if len(value) < 20 and value.isdigit() else 0  # else it objects
            if size > self._max_body:  # refused before the body comes
                raise FramingError(413, "the body is too long")
        elif lower == b"host":
            self._host_fields += 1
        elif lower == b"transfer-encoding" and value.lower() != b"chunked":
            # Guards against two readers that find different ends: the parser takes lists ending in `chunked`.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def on_headers_complete(self) -> None:
        """The head is complete."""
        assert self._parser is not None
        self._in_head = False
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or self._message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        self._message.keep_alive = self._parser.should_keep_alive()
        self._message.minor = int(version == "1.1")

    @property
    def in_body(self) -> bool:
        """Whether the head of an incomplete message is complete."""
        return self._incomplete_bytes > 0 and not self._in_head

    @property
    def lacks_length(self) -> bool:
        """Whether the incomplete message's head states no Content-Length."""
        return self._length is None

    def can_forward(self) -> bool:
        """Whether the incomplete message's body can be forwarded while it arrives."""
        return self.forward_over is not None

    def forward_incomplete(self) -> list[Message]:
        """Begin to forward the incomplete message now, however short it is so far; empty where that can't be done."""
        if not self.in_body or self._stream is not None or self.fault is not None or not self.can_forward():
            return []
        return [self._start_forwarding()]

    def _start_forwarding(self) -> Message:
        """The incomplete message, whose body goes on through its stream."""
        message = self._message
        message.stream = self._stream = BodyStream(self._length, self.forward_over or 0)
        for data in self._body_parts:
            self._stream.feed(data)
        self._body_parts = []
        return message

    def on_body(self, data: bytes) -> None:
        """The next bytes of the body."""
        self.body_size += len(data)
        if self.body_size > self._max_body:
            raise FramingError(413, "the body is too long")
        if self._stream is not None:
            self._stream.feed(data)
            return
        self._body_parts.append(data)
        if self.forward_over is not None and self.body_size > self.forward_over and self.can_forward():
            self._completed.append(self._start_forwarding())

    def on_message_complete(self) -> None:
        """The message is complete."""
        stream, self._stream = self._stream, None
        if stream is not None:  # the message was returned when forwarding began
            self._incomplete_bytes = self.body_size = 0
            self._in_head = True
            stream.end()
            return
        self._message.body = b"".join(self._body_parts)
        self._body_parts = []
        self._incomplete_bytes = self.body_size = 0
        self._in_head = True
        self._completed.append(self._message)


class RequestReader(_Reader):
    """Reads requests; `expects_continue` says that the caller waits for a 100 before it sends its body (RFC 9110,
    section 10.1.1).
    """

    _parser: httptools.HttpRequestParser | None

    def __init__(self, streams: bool = True, max_messages: int = 4) -> None:
        """`streams`: long bodies are forwarded while they arrive. `max_messages`: requests that one read may bring."""
        super().__init__(
            MAX_BODY if streams else MAX_BUFFERED_BODY, max_messages, MAX_REPLAYABLE_BODY if streams else None
        )
        self.expects_continue = False

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        """The next bytes of the target."""
        self._message.target += url

    def _normalize_target(self) -> None:
        """Absolute form becomes the origin form (RFC 9112, section 3.2.2), and its authority replaces the Host field.
        One Host is required (section 3.2), but of those who ask whether this process is ready: nothing is routed for
        them, and a supervisor's probe may have none.
        """
        message = self._message
        if not message.target.startswith(b"/"):
            scheme, mark, rest = message.target.partition(b"://")
            if mark and scheme.lower() in (b"http", b"https"):
                authority, slash, path = rest.partition(b"/")
                authority, query, arguments = authority.partition(b"?")
                if not authority or b"@" in authority:
                    raise FramingError(400, "the target names no host")
                message.target = b"/" + (path if slash else query + arguments)
                message.headers = [
                    (name, authority if name.lower() == b"host" else value) for name, value in message.headers
                ]
        if self._host_fields != 1 and (message.minor or self._host_fields) and message.target != b"/ready":
            raise FramingError(400, "one Host field is wanted")

    def on_headers_complete(self) -> None:
        """The head is complete: check it, and begin to forward a body that is announced as long."""
        super().on_headers_complete()
        assert self._parser is not None
        self._message.method = self._parser.get_method()
        self._normalize_target()
        if self._parser.should_upgrade():
            raise FramingError(400, "no upgrade is offered")
        self.expects_continue = any(v.lower() == b"100-continue" for v in self._message.values(b"expect"))
        if self.forward_over is not None and (self._length or 0) > self.forward_over:
            self._completed.append(self._start_forwarding())

    def on_message_complete(self) -> None:
        """The request is complete."""
        self.expects_continue = False
        super().on_message_complete()


class ResponseReader(_Reader):
    """Reads answers. One that only the end of the connection delimits (RFC 9112, section 6.3, rule 8) is completed by
    `finish`, where its head announces that end; else it can't be told from one that was cut off. An event stream that
    ends inside an event was cut off too.
    """

    _parser: httptools.HttpResponseParser | None
    MAX_MESSAGES = 64  # in one read, interim ones not counted: the first is used, and one more is a fault

    def __init__(self, max_body: int = MAX_ANSWER, forward_over: int | None = None) -> None:
        """`max_body` counts where bodies are not forwarded while they arrive; see `_Reader` for `forward_over`."""
        super().__init__(max_body if forward_over is None else MAX_BODY, self.MAX_MESSAGES, forward_over)
        self._until_close = False
        self._boundary: EventBoundary | None = (
            None  # of an event stream that only its connection's end delimits
        )

    def finish(self) -> list[Message]:
        """The upstream has ended the connection in good order; returns the answer that this completes, if it does."""
        completed: list[Message] = []
        if self._boundary is not None and not self._boundary.is_between_events:
            return completed
        if self.in_body and self._until_close and self.fault is None:
            self._completed = completed
            self.on_message_complete()
            self._completed = []
        return completed

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """The head is complete: begin to forward a body that is announced as long."""
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.status = self._parser.get_status_code()
        self._until_close = (
            self._length is None
            and not message.values(b"transfer-encoding")
            and (message.minor == 0 or announces_close(message))
        )
        self._boundary = EventBoundary() if self._until_close and _has_events(message) else None
        if self.forward_over is not None and (self._length or 0) > self.forward_over and self.can_forward():
            self._completed.append(self._start_forwarding())

    def can_forward(self) -> bool:
        """Only the body of a 200 is forwarded while it arrives: another status may be tried again."""
        return super().can_forward() and self._message.status == 200

    def on_body(self, data: bytes) -> None:
        """The next bytes of the body."""
        if self._boundary is not None:
            self._boundary.feed(data)
        super().on_body(data)
        if self._stream is None and self.body_size > MAX_ANSWER:
            raise FramingError(413, "the body is too long")

    def on_message_complete(self) -> None:
        """The answer is complete, if it is no interim one (RFC 9110, section 15.2)."""
        if self._message.status >= 200:  # an interim answer announces the real one
            super().on_message_complete()


def announces_close(message: Message) -> bool:
    """Whether it announces the end of its connection (RFC 9112, section 9.6)."""
    options = b",".join(message.values(b"connection")).lower().split(b",")
    return b"close" in [option.strip() for option in options]


def _has_events(message: Message) -> bool:
    """Whether the bytes of an answer's body are those of an event stream."""
    is_stream = any(is_event_stream(value) for value in message.values(b"content-type"))
    return is_stream and not any(is_encoded(value) for value in message.values(b"content-encoding"))
