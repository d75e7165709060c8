"""As much HTTP/1.1 as the stand-ins speak: whole messages with a stated length."""

from __future__ import annotations

from typing import NamedTuple


class GarbledError(Exception):
    """It is no message."""


class Whole(NamedTuple):
    first: str
    headers: dict[str, str]
    body: bytes
    at: int  # offset of its first byte in the connection
    size: int


class Reader:
    """Messages out of bytes that come in any pieces. GarbledError where they are none."""

    MOST_HEAD = 64 * 1024

    def __init__(self) -> None:
        self._held = bytearray()
        self._at = 0

    @property
    def begun(self) -> bool:
        return bool(self._held)

    def feed(self, data: bytes) -> list[Whole]:
        self._held += data
        found: list[Whole] = []
        while (one := self._next()) is not None:
            found.append(one)
        return found

    def _next(self) -> Whole | None:
        over = self._held.find(b"\r\n\r\n")
        if over < 0:
            if len(self._held) > self.MOST_HEAD or (self._held and not self._held[:1].isalpha()):
                raise GarbledError(bytes(self._held[:40]))
            return None
        lines = self._held[:over].decode("latin-1").split("\r\n")
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon:
                raise GarbledError(line)
            headers[name.strip().lower()] = value.strip()
        length = headers.get("content-length", "0")
        if not length.isdigit():
            raise GarbledError(length)
        end = over + 4 + int(length)
        if len(self._held) < end:
            return None
        found = Whole(lines[0], headers, bytes(self._held[over + 4 : end]), self._at, end)
        del self._held[:end]
        self._at += end
        return found


def request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    if body or method != "GET":
        headers = headers | {"Content-Length": str(len(body))}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {target} HTTP/1.1\r\nHost: api.internal\r\n{lines}\r\n".encode() + body


def answer(code: int, body: bytes = b"", **headers: str) -> bytes:
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 {code} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode() + body
