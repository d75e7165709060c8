"""FastCGI 1.0 peers, written from the specification and sharing no code with larkweir: an application that behaves as
the HTTP stand-ins do, and a caller that asks as a web server would.

What behaviours send is HTTP; it goes out as a CGI program would say the same, as far as it has come.
"""

from __future__ import annotations

import asyncio
import struct
from contextlib import suppress
from typing import Any

from standins import peers

BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, STDERR, GET_VALUES, VALUES, UNKNOWN = 1, 2, 3, 4, 5, 6, 7, 9, 10, 11


def record(kind: int, number: int, content: bytes = b"", padding: int = 0) -> bytes:
    return struct.pack(">BBHHBB", 1, kind, number, len(content), padding, 0) + content + b"\xaa" * padding


def records(kind: int, number: int, data: bytes, padding: int = 0) -> bytes:
    return b"".join(
        record(kind, number, data[at : at + 60_000], padding) for at in range(0, len(data), 60_000)
    )


def size(n: int) -> bytes:
    return bytes([n]) if n < 128 else struct.pack(">I", n | 1 << 31)


def pairs(values: dict[str, str]) -> bytes:
    out = b""
    for name, value in values.items():
        one, two = name.encode("latin-1"), value.encode("latin-1")
        out += size(len(one)) + size(len(two)) + one + two
    return out


def unpairs(data: bytes) -> dict[str, str]:
    out = {}
    at = 0
    while at < len(data):
        sizes = []
        for _ in range(2):
            if data[at] < 128:
                sizes.append(data[at])
                at += 1
            else:
                sizes.append(struct.unpack_from(">I", data, at)[0] & 0x7FFFFFFF)
                at += 4
        name, value = data[at : at + sizes[0]], data[at + sizes[0] : at + sum(sizes)]
        assert len(name) == sizes[0] and len(value) == sizes[1]
        out[name.decode("latin-1")] = value.decode("latin-1")
        at += sum(sizes)
    return out


async def read_record(reader: asyncio.StreamReader) -> tuple[int, int, bytes] | None:
    try:
        version, kind, number, length, padding, _ = struct.unpack(">BBHHBB", await reader.readexactly(8))
        assert version == 1
        content = await reader.readexactly(length)
        await reader.readexactly(padding)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return kind, number, content


class CgiTalk(peers.Talk):
    """One request, as a behaviour sees it. What it sends as HTTP goes out as CGI."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, app: Application, number: int
    ) -> None:
        super().__init__(reader, writer)
        self._app = app
        self.number = number
        self._head = b""
        self._in_body = False
        self._left: int | None = None
        self.over = False
        self.aborted = asyncio.Event()

    async def raw(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def send(self, data: bytes) -> None:
        if self.over:  # more HTTP behind the answer: more stdout
            await self.raw(records(STDOUT, self.number, data, self._app.padding))
            return
        if not self._in_body:
            self._head += data
            head, mark, data = self._head.partition(b"\r\n\r\n")
            if not mark:
                if len(self._head) > 16 * 1024:  # a head without end goes out as it comes
                    self.writer.write(records(STDOUT, self.number, self._head.partition(b"\r\n")[2]))
                    self._head = b""
                return
            first, _, fields = head.partition(b"\r\n")
            code = first.split(b" ")[1] if first.startswith(b"HTTP/1.1 ") else first
            if code.startswith(b"10"):  # CGI has no interim answers
                self._head = b""
                if data:
                    await self.send(data)
                return
            self._in_body = True
            lines = [line for line in fields.split(b"\r\n") if line]
            for line in lines:
                name, _, value = line.partition(b":")
                if name.lower() == b"content-length" and value.strip().isdigit():
                    self._left = int(value)
            text = b"Status: " + code + b" X\r\n" + b"".join(line + b"\r\n" for line in lines) + b"\r\n"
            self.writer.write(records(STDOUT, self.number, text, self._app.padding))
        if data:
            self.writer.write(records(STDOUT, self.number, data, self._app.padding))
        if self._left is not None:
            self._left -= len(data)
            if self._left <= 0:
                await self.finish()
                return
        await self.writer.drain()

    async def finish(self, app_status: int = 0, protocol_status: int = 0) -> None:
        if not self.over:
            self.over = True
            self.writer.write(record(STDOUT, self.number))
            body = struct.pack(">IB3x", app_status, protocol_status)
            await self.raw(record(END, self.number, body))

    async def ended(self) -> None:
        """Until the request is aborted, or the balancer closes."""
        await self.aborted.wait()


class Application:
    """One connection of an application. Requests run side by side, whatever it says of multiplexing."""

    def __init__(
        self, owner: peers.FakeUpstream, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._owner = owner
        self._reader = reader
        self._writer = writer
        self.padding = owner.padding
        self._open: dict[int, dict[str, Any]] = {}
        self._talks: dict[int, CgiTalk] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.aborts: list[int] = []
        self.ids: list[int] = []

    async def run(self) -> None:
        try:
            while (got := await read_record(self._reader)) is not None:
                await self._take(*got)
        finally:
            for talk in self._talks.values():
                talk.aborted.set()
            await asyncio.sleep(0)
            for task in list(self._tasks):
                task.cancel()

    async def _take(self, kind: int, number: int, content: bytes) -> None:
        if kind == GET_VALUES:
            if self._owner.values is None:
                return  # silence
            asked = unpairs(content)
            said = {name: value for name, value in self._owner.values.items() if name in asked}
            self._writer.write(record(VALUES, 0, pairs(said)))
        elif kind == BEGIN:
            assert number not in self._open, "an id that is open is asked again"
            role, flags = struct.unpack(">HB5x", content)
            assert role == 1
            self._open[number] = {"params": b"", "body": b"", "keep": flags & 1, "state": PARAMS}
            self.ids.append(number)
        elif kind == ABORT:
            self.aborts.append(number)
            talk = self._talks.get(number)
            if talk is not None:
                talk.aborted.set()
                if self._owner.ends_aborted:
                    await talk.finish()
        else:
            item = self._open[number]
            assert item["state"] == kind, "a stream out of its order"
            if kind == PARAMS:
                item["params"] += content
                if not content:
                    item["state"] = STDIN
            else:
                item["body"] += content
                if not content:
                    item["state"] = 0
                    self._begin(number, item)

    def _begin(self, number: int, item: dict[str, Any]) -> None:
        values = unpairs(item["params"])
        headers = {k[5:].replace("_", "-").lower(): v for k, v in values.items() if k.startswith("HTTP_")}
        if "CONTENT_LENGTH" in values:
            assert int(values["CONTENT_LENGTH"]) == len(item["body"])
            headers["content-length"] = values["CONTENT_LENGTH"]
        request = peers.Incoming(values["REQUEST_METHOD"], values["REQUEST_URI"], headers, item["body"])
        request.values = values
        talk = CgiTalk(self._reader, self._writer, self, number)
        self._talks[number] = talk
        self._owner.note(request)

        async def serve() -> None:
            with suppress(ConnectionError):
                await self._owner.behave(request, talk)
                if not talk.over and talk._in_body and talk._left is None and not self._writer.is_closing():
                    await talk.finish()
                if talk.over:
                    self._open.pop(number, None)
                    self._talks.pop(number, None)
                    if not item["keep"]:
                        self._writer.close()

        task = asyncio.ensure_future(serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


# ---------------------------------------------------------------- a caller


def variables(data: bytes) -> tuple[dict[str, str], bytes]:
    """A whole HTTP request as CGI variables and a body."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    path, _, query = target.partition("?")
    values = {
        "REQUEST_METHOD": method,
        "REQUEST_URI": target,
        "SCRIPT_NAME": path,
        "QUERY_STRING": query,
        "SERVER_PROTOCOL": "HTTP/1.1",
        "GATEWAY_INTERFACE": "CGI/1.1",
    }
    for line in lines:
        name, _, value = line.partition(":")
        upper = name.upper().replace("-", "_")
        values[upper if upper in ("CONTENT_LENGTH", "CONTENT_TYPE") else f"HTTP_{upper}"] = value.strip()
    return values, body


def ask(data: bytes, number: int, keep: bool = True) -> bytes:
    """A whole HTTP request as records."""
    values, body = variables(data)
    return (
        record(BEGIN, number, struct.pack(">HB5x", 1, int(keep)))
        + records(PARAMS, number, pairs(values))
        + record(PARAMS, number)
        + records(STDIN, number, body)
        + record(STDIN, number)
    )


async def read_answers(
    reader: asyncio.StreamReader, store: dict[int, bytes]
) -> tuple[int, int, peers.Answer]:
    """The next request that is ended: its id, its protocol status, and what was said. `store` keeps the stdout of
    the others.
    """
    while True:
        got = await read_record(reader)
        assert got is not None, "the connection ended without an answer"
        kind, number, content = got
        if kind == STDOUT:
            store[number] = store.get(number, b"") + content
        elif kind == END:
            _, status = struct.unpack(">IB3x", content)
            text = store.pop(number, b"")
            head, _, body = text.partition(b"\r\n\r\n")
            lines = (line.partition(":") for line in head.decode("latin-1").split("\r\n") if line)
            headers = {name.lower(): value.strip() for name, _, value in lines}
            code = int(headers.get("status", "0").split()[0]) if text else 0
            return number, status, peers.Answer(code, headers, body)
        else:
            store.setdefault(0, b"")
            store[0] += record(kind, number, content)
