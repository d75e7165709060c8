"""Rules: HTTP/1.1 framing for both sides: bytes to messages by httptools, messages to bytes."""

from __future__ import annotations

from collections.abc import Iterable

import httptools

from larkweir.core.message import REASONS, Fault, FramingError, Message
from larkweir.core.stream import Stream

MAX_HEAD = 32 * 1024
# Guards against heads of thousands of short fields, which cost far more than their bytes.
MAX_FIELDS = 100
MAX_BODY = 48 * 1024 * 1024  # of a request or answer that is passed on while it comes
# Of an answer that is not: one that is no 200, or that goes to a side that takes it whole.
MAX_ANSWER = 1024 * 1024
MAX_WHOLE = 64 * 1024  # of a request, where it has to be held whole
KEPT_BODY = 512 * 1024  # of a request: up to that it is kept whole for another attempt
KEPT_ANSWER = (
    64 * 1024
)  # up to that an answer is held until it is whole, so that a spoilt one may be tried again
# Guards against chunks, trailers or interim answers without end: so many bytes, and so many times the body's.
MAX_FRAMING, FRAMING = 1024 * 1024, 16


class _Reader:
    """Feeds one connection's bytes to httptools and bounds what a message may hold.

    The parser holds the reader's methods, and so the reader itself: `close` ends that cycle, which would else
    wait for the collector with all that the connection held.
    """

    def __init__(self, max_body: int, most: int, keep: int | None = None) -> None:
        """`keep`: a longer body is passed on while it comes; none: every body is held whole."""
        self.keep = keep
        self._stream: Stream | None = None  # of the unfinished message
        self._length: int | None = None  # its announced one
        self._hosts = 0  # Host fields of its head
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
        if not self._raw:
            return 0
        return min(self._raw, MAX_HEAD) + (self._size if self._stream is None else self._stream.held)

    def close(self, why: str = "") -> None:
        """Nothing more is read, and what is held of an unfinished message is let go. `why`, for whoever takes it."""
        self._parser = None
        self._message = Message()
        self._parts = []
        self._done = []
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.fail(why)
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
        elif self.fault is None and self._raw > MAX_HEAD + MAX_FRAMING + FRAMING * self._size:
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
        self.close(fault.text)
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
        self._length = None
        self._hosts = 0

    def on_header(self, name: bytes, value: bytes) -> None:
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
            self._hosts += 1
        elif lower == b"transfer-encoding" and value.lower() != b"chunked":
            # Guards against two readers that find different ends: the parser takes lists ending in `chunked`.
            raise FramingError(400, "Transfer-Encoding is not one `chunked`")

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._in_head = False
        version = self._parser.get_http_version()
        if version != "1.1" and (version != "1.0" or self._message.values(b"transfer-encoding")):
            raise FramingError(400, f"HTTP/{version} is not spoken here")
        self._message.keep_alive = self._parser.should_keep_alive()
        self._message.minor = int(version == "1.1")

    @property
    def in_body(self) -> bool:
        """Whether the head of an unfinished message has come whole."""
        return self._raw > 0 and not self._in_head

    @property
    def size(self) -> int:
        """Bytes of the unfinished message's body that have come."""
        return self._size

    @property
    def open_ended(self) -> bool:
        """Whether nothing says how long the unfinished message's body is."""
        return self._length is None

    def passes_on(self) -> bool:
        """Whether this message's body may be passed on while it comes."""
        return self.keep is not None

    def spill(self) -> list[Message]:
        """Hand the unfinished message on as it is, and its body while it comes; none if there is nothing to hand on."""
        if not self.in_body or self._stream is not None or self.fault is not None or not self.passes_on():
            return []
        return [self._start()]

    def _start(self) -> Message:
        message = self._message
        message.stream = self._stream = Stream(self._length, self.keep or 0)
        for data in self._parts:
            self._stream.feed(data)
        self._parts = []
        return message

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._max_body:
            raise FramingError(413, "the body is too long")
        if self._stream is not None:
            self._stream.feed(data)
            return
        self._parts.append(data)
        if self.keep is not None and self._size > self.keep and self.passes_on():
            self._done.append(self._start())

    def on_message_complete(self) -> None:
        stream, self._stream = self._stream, None
        if stream is not None:  # it was handed on before
            self._raw = self._size = 0
            self._in_head = True
            stream.end()
            return
        self._message.body = b"".join(self._parts)
        self._parts = []
        self._raw = self._size = 0
        self._in_head = True
        self._done.append(self._message)


class RequestReader(_Reader):
    """Reads requests; `expects_continue` says that the caller waits for leave to send its body."""

    _parser: httptools.HttpRequestParser | None

    def __init__(self, streams: bool = True, most: int = 4) -> None:
        """`streams`: long bodies are passed on while they come."""
        super().__init__(MAX_BODY if streams else MAX_WHOLE, most, KEPT_BODY if streams else None)
        self.expects_continue = False

    def _make_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def on_url(self, url: bytes) -> None:
        self._message.target += url

    def _place_target(self) -> None:
        """Absolute form becomes the origin form (RFC 9112 section 3.2.2), and its authority goes before the Host field.
        One Host is wanted (section 3.2), but of those who ask whether this process is ready: nothing is routed for
        them, and a supervisor's probe may have none.
        """
        message = self._message
        if not message.target.startswith(b"/"):
            scheme, mark, rest = message.target.partition(b"://")
            if mark and scheme.lower() in (b"http", b"https"):
                authority, slash, path = rest.partition(b"/")
                authority, query, words = authority.partition(b"?")
                if not authority or b"@" in authority:
                    raise FramingError(400, "the target names no host")
                message.target = b"/" + (path if slash else query + words)
                message.headers = [
                    (name, authority if name.lower() == b"host" else value) for name, value in message.headers
                ]
        if self._hosts != 1 and (message.minor or self._hosts) and message.target != b"/ready":
            raise FramingError(400, "one Host field is wanted")

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        self._message.method = self._parser.get_method()
        self._place_target()
        if self._parser.should_upgrade():
            raise FramingError(400, "no upgrade is offered")
        self.expects_continue = any(v.lower() == b"100-continue" for v in self._message.values(b"expect"))
        if self.keep is not None and (self._length or 0) > self.keep:
            self._done.append(self._start())

    def on_message_complete(self) -> None:
        self.expects_continue = False
        super().on_message_complete()


class ResponseReader(_Reader):
    """Reads answers. One whose end only the end of the connection shows (RFC 9112 section 6.3, rule 8) completes by
    `finish`, where its head announces that end; else it can't be told from one that was cut off.
    """

    _parser: httptools.HttpResponseParser | None
    MOST = 64  # answers in one read, interim ones not counted: the first is used, and one more is a fault

    def __init__(self, max_body: int = MAX_ANSWER, keep: int | None = None) -> None:
        super().__init__(max_body if keep is None else MAX_BODY, self.MOST, keep)
        self._until_close = False

    def finish(self) -> list[Message]:
        """The other side has ended the connection in good order: the answer that this completes, if it does."""
        done: list[Message] = []
        if self.in_body and self._until_close and self.fault is None:
            self._done = done
            self.on_message_complete()
            self._done = []
        return done

    def _make_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        assert self._parser is not None
        message = self._message
        message.status = self._parser.get_status_code()
        self._until_close = (
            self._length is None
            and not message.values(b"transfer-encoding")
            and (message.minor == 0 or says_close(message))
        )
        if self.keep is not None and (self._length or 0) > self.keep and self.passes_on():
            self._done.append(self._start())

    def passes_on(self) -> bool:
        return super().passes_on() and self._message.status == 200

    def on_body(self, data: bytes) -> None:
        super().on_body(data)
        if self._stream is None and self._size > MAX_ANSWER:
            raise FramingError(413, "the body is too long")

    def on_message_complete(self) -> None:
        if self._message.status >= 200:  # an interim answer announces the real one
            super().on_message_complete()


def says_close(message: Message) -> bool:
    """Whether it announces the end of its connection."""
    words = b",".join(message.values(b"connection")).lower().split(b",")
    return b"close" in [word.strip() for word in words]


def encode_head(first: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None) -> bytes:
    """The head of a message whose body follows: of that length, or chunked where none is known."""
    parts = [first, b"\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)


def chunk(data: bytes) -> bytes:
    """RFC 9112 section 7.1; of no bytes none, since that would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


LAST_CHUNK = b"0\r\n\r\n"


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
