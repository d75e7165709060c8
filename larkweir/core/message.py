"""Rules: a request or an answer as every protocol hands it on, and why one can't be taken."""

from __future__ import annotations

from typing import NamedTuple

from larkweir.core.stream import Stream

Headers = list[tuple[bytes, bytes]]

# Headers that speak of one connection, never passed on; framing is written anew.
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
    """What came is no message that may be taken; `status` is what a caller is told."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Fault(NamedTuple):
    """Why no further message is read. Not the exception itself, whose traceback would hold the reader."""

    status: int
    text: str


class Message:
    """One request or answer, whole but for a body that is still coming (`stream`). Header names are kept as they came;
    look-ups go by lower case.
    """

    __slots__ = ("body", "came_ms", "headers", "keep_alive", "method", "minor", "status", "stream", "target")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: Headers = []
        self.body = b""
        self.stream: Stream | None = None  # the body, where it is passed on while it comes
        self.keep_alive = True
        self.minor = 1  # of HTTP/1.x
        self.came_ms = 0.0  # since when it has waited behind another request of its connection; 0: it has not

    def values(self, name: bytes) -> list[bytes]:
        return [value for key, value in self.headers if key.lower() == name]

    @property
    def size(self) -> int:
        """About what it holds in memory, in bytes."""
        return len(self.body) + len(self.target) + sum(len(k) + len(v) + 128 for k, v in self.headers)

    def value(self, name: bytes) -> bytes | None:
        """The only value of a header; none if it is absent, FramingError if it comes twice."""
        found = self.values(name)
        if len(found) > 1:
            raise FramingError(400, f"header {name.decode('latin-1')} comes more than once")
        return found[0] if found else None

    def passed_on(self, less: bytes = b"") -> Headers:
        """The headers that go on to the other side, without the one whose lower-case name is `less`."""
        named = HOP_BY_HOP
        for key, value in self.headers:
            if key.lower() == b"connection":
                named = named | {item.strip().lower() for item in value.split(b",")}
        return [
            (key, value) for key, value in self.headers if (low := key.lower()) not in named and low != less
        ]
