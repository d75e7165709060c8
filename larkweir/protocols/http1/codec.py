"""Rules: HTTP/1.1 framing for both sides: bytes to messages by httptools, messages to bytes."""

from __future__ import annotations

from collections.abc import Iterable

import httptools

from larkweir.core.message import REASONS, Fault, FramingError, Message

MAX_HEAD = 32 * 1024
# Guards against heads of thousands of short fields, which cost far more than their bytes.
MAX_FIELDS = 100
MAX_BODY = 64 * 1024  # of a request
# Of an answer. The protocol says 64 KiB, but upstreams were seen to give good ones of 200 to 380 KiB; what
# all connections hold together is bounded by their room.
MAX_ANSWER = 1024 * 1024
MAX_FRAMING = 1024 * 1024  # guards against chunks, trailers or interim answers without end


class _Reader:
    """Feeds one connection's bytes to httptools and bounds what a message may hold.

    The parser holds the reader's methods, and so the reader itself: `close` ends that cycle, which would else
    wait for the collector with all that the connection held.
    """

    def __init__(self, max_body: int, most: int) -> None:
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._make_parser()
        self._max_body = max_body
        self._most = most  # messages that one read may bring
        self._done: list[Message] = []
        self._message = Message()
        self._parts: list[bytes] = []
        self._size = 0  # of the body
        self._raw = 0  # bytes fed since the last whole message
        self._in_head = True
        self.fault: Fault | None = None

    def _make_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        raise NotImplementedError

    @property
    def begun(self) -> bool:
        """Whether bytes of an unfinished message have come."""
        return self._raw > 0

    @property
    def held(self) -> int:
        """About what the unfinished message holds in memory."""
        return min(self._raw, MAX_HEAD) + self._size if self._raw else 0

    def close(self) -> None:
        """Nothing more is read, and what is held of an unfinished message is let go."""
        self._parser = None
        self._message = Message()
        self._parts = []
        self._done = []
        self._size = self._raw = 0

    def feed(self, data: bytes) -> list[Message]:
        """The messages that these bytes complete; a fault after them is left in `fault`, for good."""
        if self.fault is not None or self._parser is None:
            return []
        done: list[Message] = []
        self._done = done
        self._raw += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self.fault = self._fault_of(problem)
        # Guards against a head, or chunk extensions and trailers, that never end.
        if self.fault is None and self._in_head and self._raw > MAX_HEAD:
            self.fault = Fault(431, "the head is too long")
        elif self.fault is None and self._raw > MAX_HEAD + self._max_body + MAX_FRAMING:
            self.fault = Fault(413, "the message is too long")
        self._done = []
        if self.fault is not None:
            self.fail(self.fault)
            if self.fault.status == 429:
                return []  # nothing of such a read is taken
        return done

    def fail(self, fault: Fault) -> None:
        """Read no further: what follows is never parsed, and what came in part is of no use."""
        begun = self.begun
        self.fault = fault
        self.close()
        self._raw = int(begun)

    @staticmethod
    def _fault_of(problem: Exception) -> Fault:
        cause = problem.__context__
        if isinstance(cause, FramingError):
            return Fault(cause.status, str(cause))
        return Fault(400, f"malformed HTTP: {problem}")

    # Called by httptools.

    def on_message_begin(self) -> None:
        if len(self._done) >= self._most:
            raise FramingError(429, "too many requests sent ahead")
        self._message = Message()
        self._parts = []
        self._size = 0
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_head:
            return  # a trailer: nothing here uses one
        headers = self._message.headers
        if len(headers) >= MAX_FIELDS:
            raise FramingError(431, "the head has too many fields")
        headers.append((name, value))
        lower = name.lower()
        if lower == b"content-length":
            size = int(value) if len(value) < 20 and value.isdigit() else 0  # else the parser objects
            if size > self._max_body:  # refused before the body comes
                raise FramingError(413, "the body is too long")
        elif lower == b"transfer-encoding" and value.strip().lower() != b"chunked":
            # Guards against two readers that find different ends: the parser takes lists ending in `chunked`.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._in_head = False
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or self._message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        self._message.keep_alive = self._parser.should_keep_alive()

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._max_body:
            raise FramingError(413, "the body is too long")
        self._parts.append(data)

    def on_message_complete(self) -> None:
        self._message.body = b"".join(self._parts)
        self._parts = []
        self._raw = self._size = 0
        self._in_head = True
        self._done.append(self._message)


class RequestReader(_Reader):
    """Reads requests; `expects_continue` says that the caller waits for leave to send its body."""

    _parser: httptools.HttpRequestParser | None

    def __init__(self, max_body: int = MAX_BODY, most: int = 4) -> None:
        super().__init__(max_body, most)
        self.expects_continue = False

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        self._message.method = self._parser.get_method()
        if self._parser.should_upgrade():
            raise FramingError(400, "no upgrade is offered")
        self.expects_continue = any(v.lower() == b"100-continue" for v in self._message.values(b"expect"))

    def on_message_complete(self) -> None:
        self.expects_continue = False
        super().on_message_complete()


class ResponseReader(_Reader):
    """Reads answers. One whose end only the closed connection would show never completes: it can't be told
    from one that was cut off.
    """

    _parser: httptools.HttpResponseParser | None
    MOST = 64  # answers in one read, interim ones not counted: the first is used, and one more is a fault

    def __init__(self, max_body: int = MAX_ANSWER) -> None:
        super().__init__(max_body, self.MOST)

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        self._message.status = self._parser.get_status_code()

    def on_message_complete(self) -> None:
        if self._message.status >= 200:  # an interim answer announces the real one
            super().on_message_complete()


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """A request in one piece. A body, or a method that usually has one, states its length."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method != b"GET":
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts += (b"\r\n", body)
    return b"".join(parts)


def encode_response(
    status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes, close: bool = False
) -> bytes:
    """An answer in one piece."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)
