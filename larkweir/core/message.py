"""Requests and answers, independent of the protocol, and the errors for malformed messages. Pure logic."""

from __future__ import annotations

from typing import NamedTuple

from larkweir.core.body_stream import BodyStream

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). Each connection writes its own framing.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class FramingError(Exception):
    """A message is malformed or not acceptable; `status` is the HTTP status of the answer to the caller."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Fault(NamedTuple):
    """Why a connection's reader stopped. It is stored instead of the exception, whose traceback would keep the reader's
    frames alive.
    """

    status: int
    text: str


class Message:
    """One request or answer. It is complete, except that its body may still be arriving (`stream`). Header names keep
    the case in which they were received; lookups take names in lower case.
    """

    __slots__ = (
        "body",
        "headers",
        "keep_alive",
        "method",
        "minor",
        "queued_since_ms",
        "status",
        "stream",
        "target",
    )

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.body = b""
        # The body if it is streamed, that is, forwarded while it arrives; else None.
        self.stream: BodyStream | None = None
        self.keep_alive = True
        self.minor = 1  # the x of HTTP/1.x
        # When it was queued behind another request of its connection (head-of-line blocking); 0: it was not queued.
        self.queued_since_ms = 0.0

    def values(self, name: bytes) -> list[bytes]:
        """All values of a header, in order; `name` in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    @property
    def size(self) -> int:
        """The approximate memory use in bytes."""
        return len(self.body) + len(self.target) + sum(len(k) + len(v) + 128 for k, v in self.headers)

    def value(self, name: bytes) -> bytes | None:
        """The only value of a header, or None. Raises FramingError if the header is repeated."""
        values = self.values(name)
        if len(values) > 1:
            raise FramingError(400, f"header {name.decode('latin-1')} comes more than once")
        return values[0] if values else None

    def end_to_end_headers(self, less: bytes = b"") -> Headers:
        """The end-to-end headers, which are forwarded. They exclude `HOP_BY_HOP`, the headers that Connection names
        (RFC 9110, section 7.6.1), and `less`, a name in lower case.
        """
        dropped = HOP_BY_HOP
        for key, value in self.headers:
            if key.lower() == b"connection":
                dropped = dropped | {item.strip().lower() for item in value.split(b",")}
        return [
            (key, value) for key, value in self.headers if (low := key.lower()) not in dropped and low != less
        ]
