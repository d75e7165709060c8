"""CGI/1.1 variables and answers (RFC 3875) to messages, and back. Pure logic."""

from __future__ import annotations

import re
from functools import lru_cache

from larkweir.core.message import FramingError, Headers, Message

MAX_HEAD = 32 * 1024
MAX_FIELDS = 100
MAX_VARIABLES = 200  # a caller's server adds its own to the fields
# Never passed on, in either direction: a client's `Proxy` field would become HTTP_PROXY, which programs take for
# their own configuration (RFC 3875 section 4.1.18 leaves such fields out at will).
FORGEABLE = frozenset((b"proxy", b"content-length", b"content-type"))
METHODS = frozenset((b"GET", b"HEAD", b"POST", b"PUT", b"PATCH", b"DELETE", b"OPTIONS"))


CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")  # none may stand in a field's value
NOT_A_TARGET = re.compile(rb"[^\x21-\x7e]")
FIELD_NAME = re.compile(rb"[\x21-\x39\x3b-\x7e]+")  # visible, without a colon
VARIABLE_NAME = re.compile(rb"HTTP_[0-9A-Za-z_]*[0-9A-Za-z][0-9A-Za-z_]*")


@lru_cache(maxsize=1024)  # the same few names come with every request; a flood of others only costs their own
def variable(name: bytes) -> tuple[bytes, bytes, bool]:
    """The variable that a header field becomes (section 4.1.18), its name in lower case, and whether it may be
    passed on.
    """
    lower = name.lower()
    return b"HTTP_" + name.upper().replace(b"-", b"_"), lower, lower not in FORGEABLE


@lru_cache(maxsize=1024)
def field(name: bytes) -> bytes:
    """The field that a variable `HTTP_...` stands for; empty if it may not be passed on. FramingError if it is
    none.
    """
    if not VARIABLE_NAME.fullmatch(name):
        raise FramingError(400, f"{name!r:.60} is no field")
    found = name[5:].replace(b"_", b"-").title()
    return b"" if found.lower() in FORGEABLE else found


def collapse(headers: Headers) -> bytes | None:
    """A field whose name becomes the same variable as another, different one; none if there is none. Such are
    refused, never merged: `X_A` could stand in for the `X-A` that an upstream trusts.
    """
    seen: dict[bytes, bytes] = {}
    for name, _ in headers:
        key, lower, _ = variable(name)
        if seen.setdefault(key, lower) != lower:
            return name
    return None


def fixed(port: int) -> list[tuple[bytes, bytes]]:
    """The variables that every request to an upstream has (section 4.1); `port` is its own."""
    return [
        (b"GATEWAY_INTERFACE", b"CGI/1.1"),
        (b"SERVER_PROTOCOL", b"HTTP/1.1"),
        (b"SERVER_SOFTWARE", b"larkweir"),
        (b"SERVER_NAME", b"localhost"),
        (b"SERVER_PORT", b"%d" % port),
        (b"REMOTE_ADDR", b"127.0.0.1"),
    ]


def variables(message: Message, headers: Headers, extra: Headers) -> list[tuple[bytes, bytes]]:
    """The variables of one request (section 4.1), `headers` and `extra` among them.

    FramingError if two fields would become one variable.
    """
    path, _, query = message.target.partition(b"?")
    found = [
        (b"REQUEST_METHOD", message.method),
        (b"REQUEST_URI", message.target),
        (b"SCRIPT_NAME", path),
        (b"PATH_INFO", b""),
        (b"QUERY_STRING", query),
    ]
    if message.body or message.method != b"GET":
        found.append((b"CONTENT_LENGTH", b"%d" % len(message.body)))
    fields: dict[bytes, tuple[bytes, bytes]] = {}  # by variable: the name it came under, and its value
    for name, value in (*headers, *extra):
        key, lower, passes = variable(name)
        if not passes:
            if lower == b"content-type":
                found.append((b"CONTENT_TYPE", value))
            continue
        before = fields.get(key)
        if before is None:
            fields[key] = (lower, value)
        elif before[0] != lower:
            raise FramingError(400, f"fields {before[0]!r:.60} and {lower!r:.60} are one variable")
        else:  # a field that came twice is one list (RFC 9110 section 5.3)
            fields[key] = (lower, before[1] + b", " + value)
    found += [(key, value) for key, (_, value) in fields.items()]
    return found


def request(found: list[tuple[bytes, bytes]]) -> tuple[Message, int | None]:
    """The request that variables describe, still without a body, and the body's stated length.

    FramingError if it is none, or if a variable comes twice.
    """
    values = dict(found)
    if len(values) != len(found):
        raise FramingError(400, "a variable comes more than once")
    message = Message()
    message.method = values.get(b"REQUEST_METHOD", b"")
    if message.method not in METHODS:
        raise FramingError(400, "REQUEST_METHOD is missing or unknown")
    target = values.get(b"REQUEST_URI", b"")
    if not target:
        target = values.get(b"SCRIPT_NAME", b"") + values.get(b"PATH_INFO", b"")
        query = values.get(b"QUERY_STRING", b"")
        if query:
            target += b"?" + query
    if not target.startswith(b"/") or NOT_A_TARGET.search(target):
        raise FramingError(400, "REQUEST_URI or SCRIPT_NAME is missing or no path")
    message.target = target
    for name, value in found:
        if name.startswith(b"HTTP_"):
            if CONTROL.search(value):
                raise FramingError(400, f"{name!r:.60} holds control bytes")
            known = field(name)
            if known:
                message.headers.append((known, value))
    if len(message.headers) > MAX_FIELDS:
        raise FramingError(431, "the head has too many fields")
    kind = values.get(b"CONTENT_TYPE", b"")
    if kind and not CONTROL.search(kind):
        message.headers.append((b"Content-Type", kind))
    text = values.get(b"CONTENT_LENGTH", b"")
    if not text:
        return message, None
    if not text.isdigit() or len(text) > 15:
        raise FramingError(400, f"CONTENT_LENGTH {text!r:.60} is no length")
    return message, int(text)


def head(status: int, reason: bytes, headers: Headers) -> bytes:
    """An answer's head as a CGI program writes it (section 6)."""
    parts = [b"Status: %d %s\r\n" % (status, reason)]
    for name, value in headers:
        if name.lower() != b"status":
            parts += (name, b": ", value, b"\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


class Answer:
    """Reads one answer as a CGI program writes it: a head, an empty line, and a body that its end delimits.
    Lines may end in CR LF or in LF alone (section 6.2).
    """

    __slots__ = ("_head", "_size", "body", "fault", "message", "most", "stated")

    def __init__(self, most: int) -> None:
        """`most` bounds the body, in bytes."""
        self.most = most
        self.message: Message | None = None  # once the head has come
        self.body: list[bytes] = []
        self._head = b""
        self._size = 0
        self.stated: int | None = None  # Content-Length
        self.fault = ""

    @property
    def held(self) -> int:
        """Bytes buffered of it."""
        return len(self._head) + self._size

    def feed(self, data: bytes) -> None:
        """More of it; `fault` says why it can't be one."""
        if self.fault:
            return
        if self.message is None:
            self._head += data
            data = self._take_head()
            if self.message is None or self.fault:
                return
        self._size += len(data)
        if self._size > self.most:
            self.fault = "the body is too long"
            self.body = []
            self._size = 0
        elif data:
            self.body.append(data)

    def _take_head(self) -> bytes:
        """Read the head if it is whole; what comes behind it."""
        text = self._head
        ends = [(at, size) for mark, size in ((b"\r\n\r\n", 4), (b"\n\n", 2)) if (at := text.find(mark)) >= 0]
        if not ends:
            if len(text) > MAX_HEAD:
                self.fault = "the head is too long"
                self._head = b""
            return b""
        at, size = min(ends)
        self._head = b""
        message = Message()
        message.status = 200
        stated = False
        head = text[:at].replace(b"\r\n", b"\n")
        for line in head.split(b"\n"):
            name, colon, value = line.partition(b":")
            if not colon or not FIELD_NAME.fullmatch(name):
                self.fault = f"{line!r:.60} is no field"
                return b""
            value = value.strip(b" \t")
            if CONTROL.search(value):
                self.fault = f"{name!r:.60} holds control bytes"
                return b""
            lower = name.lower()
            if lower == b"status":
                code = value[:3]
                if (
                    not code.isdigit()
                    or len(code) != 3
                    or not 200 <= int(code) <= 599
                    or value[3:4].isdigit()
                ):
                    self.fault = f"Status {value!r:.60} is none"
                    return b""
                message.status = int(code)
                stated = True
                continue
            if lower == b"content-length":
                if not value.isdigit() or len(value) > 15:
                    self.fault = f"Content-Length {value!r:.60} is no length"
                    return b""
                self.stated = int(value)
            message.headers.append((name, value))
        if len(message.headers) > MAX_FIELDS:
            self.fault = "the head has too many fields"
            return b""
        if not stated and message.values(b"location"):
            message.status = 302  # section 6.2.3
        self.message = message
        return text[at + size :]

    def whole(self) -> Message | None:
        """The answer, once its end was told; none if it is cut short. What lies behind a stated length is left
        out.
        """
        message = self.message
        if message is None or self.fault:
            return None
        body = b"".join(self.body)
        if self.stated is not None:
            if len(body) < self.stated:
                return None
            body = body[: self.stated]
        message.body = body
        return message


def refuse_collapsing(message: Message) -> None:
    """FramingError if two different fields of a request would become one variable."""
    name = collapse(message.headers)
    if name is not None:
        raise FramingError(400, f"field {name!r:.60} and another would be one CGI variable")
