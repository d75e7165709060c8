"""The floor of the hot path: a bare relay on the two libraries that larkweir stands on. It parses a request,
writes it anew to the next idle connection, parses the answer and writes that anew: no decisions, no rules.

    python -m standins.floor LISTEN_PORT UPSTREAM_PORT...
"""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from itertools import cycle
from typing import Any

import httptools
import uvloop


class Message:
    """One message while it is read."""

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""


class Side(asyncio.Protocol):
    """What both sides share: a parser that calls `whole` with each message."""

    parser: Any

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.message = Message()

    def on_url(self, url: bytes) -> None:
        self.message.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.message.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        self.message.body += data

    def on_message_complete(self) -> None:
        self.whole(self.message)

    def whole(self, message: Message) -> None:
        raise NotImplementedError

    @staticmethod
    def encode(first: bytes, message: Message) -> bytes:
        parts = [first]
        for name, value in message.headers:
            if name.lower() not in (b"content-length", b"connection"):
                parts += (name, b": ", value, b"\r\n")
        parts.append(b"Content-Length: %d\r\n\r\n" % len(message.body))
        parts.append(message.body)
        return b"".join(parts)


class CallerSide(Side):
    def __init__(self, relay: Relay) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.relay = relay

    def whole(self, message: Message) -> None:
        first = b"%s %s HTTP/1.1\r\n" % (self.parser.get_method(), message.target)
        self.relay.forward(self, self.encode(first, message))


class UpstreamSide(Side):
    def __init__(self, relay: Relay) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.relay = relay
        self.caller: CallerSide | None = None

    def whole(self, message: Message) -> None:
        caller, self.caller = self.caller, None
        self.relay.idle.append(self)
        assert caller is not None
        caller.transport.write(self.encode(b"HTTP/1.1 200 OK\r\n", message))


class Relay:
    def __init__(self, ports: list[int]) -> None:
        self.idle: deque[UpstreamSide] = deque()
        self._ports = cycle(ports)
        self._opening: set[asyncio.Future[None]] = set()

    def forward(self, caller: CallerSide, data: bytes) -> None:
        if self.idle:
            side = self.idle.popleft()
            side.caller = caller
            side.transport.write(data)
        else:
            task = asyncio.ensure_future(self._open(caller, data))
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    async def _open(self, caller: CallerSide, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        _, side = await loop.create_connection(lambda: UpstreamSide(self), "127.0.0.1", next(self._ports))
        side.caller = caller
        side.transport.write(data)


async def main(listen: int, ports: list[int]) -> None:
    relay = Relay(ports)
    server = await asyncio.get_running_loop().create_server(lambda: CallerSide(relay), "127.0.0.1", listen)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main(int(sys.argv[1]), [int(item) for item in sys.argv[2:]]))
