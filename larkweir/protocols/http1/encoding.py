"""Writes HTTP/1.1 messages: heads, chunks, and whole requests and answers as bytes (RFC 9112). Pure logic."""

from __future__ import annotations

from collections.abc import Iterable

from larkweir.core.message import REASONS

LAST_CHUNK = b"0\r\n\r\n"  # RFC 9112, section 7.1


def encode_head(first: bytes, headers: Iterable[tuple[bytes, bytes]], length: int | None) -> bytes:
    """The head of a message whose body follows: of `length` bytes, or chunked for None. `first` is its start line."""
    parts = [first, b"\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)


def chunk(data: bytes) -> bytes:
    """One chunk (RFC 9112, section 7.1); of no bytes none, since that would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def encode_request(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body: bytes
) -> bytes:
    """A request as a whole. A body, or a method that usually has one, states its length."""
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
    """An answer as a whole. `close`: it is the last of its connection."""
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status"))]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)
