"""Connections between processes of the fleet: JSON lines over TCP, dialled again when they end, dead when silent."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from larkweir.cluster.messages import MAX_LINE_BYTES, Message, Ping

PING_MS = 250.0
SILENCE_MS = 1_000.0  # after it a connection counts as dead, also where a cut is silent
CONNECT_MS = 200.0  # what a machine without power leaves unanswered is dialled anew soon: it may be back
REDIAL_MS = 120.0
REDIAL_MOST_MS = 500.0
UNREAD_MOST_BYTES = 16 * 1024 * 1024  # that a peer has not taken; then it is cut off

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


class Connection(asyncio.Protocol):
    """One connection, whoever dialled it."""

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None],
        on_made: Callable[[Connection], None] | None = None,
    ) -> None:
        """Messages that can't be read end the connection."""
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._parts: list[bytes] = []
        self._held = 0
        self.node = ""  # of the other side, once it is known
        self.life = ""
        self.received_ms = self.sent_ms = self._now_ms()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are none by type
        self._transport = transport
        tune(transport, user_timeout_ms=SILENCE_MS)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self.received_ms = self._now_ms()
        if b"\n" not in data:
            self._hold(data)
            return
        lines = (b"".join(self._parts) + data).split(b"\n")
        self._parts, self._held = [], 0
        self._hold(lines.pop())
        for line in lines:
            try:
                message = _decoder.decode(line)
            except msgspec.DecodeError:
                self.close()
                return
            if not isinstance(message, Ping):
                self._on_message(self, message)

    def _hold(self, data: bytes) -> None:
        if data:
            self._parts.append(data)
            self._held += len(data)
        if self._held > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._transport = None
        self._on_lost(self)

    @property
    def is_receiving(self) -> bool:
        """Whether a message is arriving that is not whole yet."""
        return self._held > 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: Message) -> None:
        """Queues one message; nothing where the connection has ended."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > UNREAD_MOST_BYTES:
            self.close()
            return
        self.sent_ms = self._now_ms()
        self._transport.write(_encoder.encode(message) + b"\n")

    def keep_alive(self) -> None:
        """To be called several times a second: pings, and ends a connection whose other side is silent."""
        now_ms = self._now_ms()
        if now_ms >= self.received_ms + SILENCE_MS:
            self.close()
        elif now_ms >= self.sent_ms + PING_MS:
            self.send(Ping())

    def excuse_silence(self) -> None:
        """This process stood still: what it did not read in that time is not the other side's silence."""
        self.received_ms = self._now_ms()

    def close(self) -> None:
        """Ends the connection at once; what was not sent is lost."""
        if self._transport is not None:
            self._transport.abort()


class Link:
    """A connection that this process dials, and dials again when it ends."""

    def __init__(
        self,
        node: str,
        port: int,
        on_message: Callable[[Connection, Message], None],
        on_made: Callable[[Connection], None],
        on_lost: Callable[[str], None],
    ) -> None:
        """`node`: the IP number. `on_made` is to send the first message."""
        self.node = node
        self._port = port
        self._on_message = on_message
        self._on_made = on_made
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._dialling: asyncio.Task[None] | None = None
        self._dial_at_ms = 0.0
        self._pause_ms = REDIAL_MS
        self.connection: Connection | None = None
        self.failures = 0  # dials in a row that made no connection

    def keep_alive(self) -> None:
        """To be called several times a second: dials where there is no connection."""
        if self.connection is not None:
            self.connection.keep_alive()
        elif self._dialling is None and self._loop.time() * 1000.0 >= self._dial_at_ms:
            self._dialling = self._loop.create_task(self._dial())

    def send(self, message: Message) -> bool:
        """Whether there was a connection to send it on."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def close(self) -> None:
        """For good."""
        if self._dialling is not None:
            self._dialling.cancel()
        if self.connection is not None:
            self.connection.close()

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_MS / 1000.0):
                await self._loop.create_connection(self._new, self.node, self._port)
            self._pause_ms, self.failures = REDIAL_MS, 0
        except (OSError, TimeoutError):
            self.failures += 1
            if self.connection is not None:
                # The dial was cancelled in the loop iteration in which it succeeded. uvloop closes the transport then
                # without a call of connection_lost, and the link would keep a dead connection.
                self.connection.connection_lost(None)
            else:
                self._retry_later()
        finally:
            self._dialling = None

    def _new(self) -> Connection:
        return Connection(self._on_message, self._lost, self._made)

    def _made(self, connection: Connection) -> None:
        connection.node = self.node
        self.connection = connection
        self._on_made(connection)

    def _lost(self, connection: Connection) -> None:
        if self.connection is connection:
            self.connection = None
            self._retry_later()
            self._on_lost(self.node)

    def _retry_later(self) -> None:
        self._dial_at_ms = self._loop.time() * 1000.0 + self._pause_ms
        self._pause_ms = min(REDIAL_MOST_MS, 1.5 * self._pause_ms)


KEEP_ALIVE_S = 1  # tcp(7) takes whole seconds


def tune(transport: asyncio.BaseTransport, user_timeout_ms: float, *, probe: bool = False) -> None:
    """Small writes go out at once; bytes that stay unacknowledged for that long end the connection (tcp(7)).

    `probe`: the other side is probed after a second of silence, so that one that is gone or cut off shows.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(user_timeout_ms))
        if probe:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    except OSError:
        pass  # the connection has ended: its protocol is told
