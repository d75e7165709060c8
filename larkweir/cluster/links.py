"""Connections between processes of the fleet: JSON lines over TCP, dialled again when they end, dead when silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from larkweir.cluster.messages import MAX_LINE_BYTES, Message, Ping
from larkweir.cluster.tcp_options import set_tcp_options

PING_INTERVAL_MS = 250.0
IDLE_TIMEOUT_MS = 1_000.0  # after it a connection counts as dead, also where a cut is silent
CONNECT_TIMEOUT_MS = (
    200.0  # what a machine without power leaves unanswered is dialled anew soon: it may be back
)
MIN_RECONNECT_DELAY_MS = 120.0
MAX_RECONNECT_DELAY_MS = 500.0
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # that a peer has not taken; then it is cut off

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
        self._line_chunks: list[bytes] = []
        self._buffered_bytes = 0
        self.node = ""  # of the other side, once it is known
        self.incarnation = ""
        self.received_ms = self.sent_ms = self._now_ms()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are none by type
        self._transport = transport
        set_tcp_options(transport, user_timeout_ms=IDLE_TIMEOUT_MS)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        self.received_ms = self._now_ms()
        if b"\n" not in data:
            self._buffer(data)
            return
        lines = (b"".join(self._line_chunks) + data).split(b"\n")
        self._line_chunks, self._buffered_bytes = [], 0
        self._buffer(lines.pop())
        for line in lines:
            try:
                message = _decoder.decode(line)
            except msgspec.DecodeError:
                self.close()
                return
            if not isinstance(message, Ping):
                self._on_message(self, message)

    def _buffer(self, data: bytes) -> None:
        if data:
            self._line_chunks.append(data)
            self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_LINE_BYTES:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the loop."""
        self._transport = None
        self._on_lost(self)

    @property
    def is_receiving(self) -> bool:
        """Whether a message is arriving that is not whole yet."""
        return self._buffered_bytes > 0

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message: Message) -> None:
        """Queues one message; nothing where the connection has ended."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self.sent_ms = self._now_ms()
        self._transport.write(_encoder.encode(message) + b"\n")

    def keep_alive(self) -> None:
        """To be called several times a second: pings, and ends a connection whose other side is silent."""
        now_ms = self._now_ms()
        if now_ms >= self.received_ms + IDLE_TIMEOUT_MS:
            self.close()
        elif now_ms >= self.sent_ms + PING_INTERVAL_MS:
            self.send(Ping())

    def reset_idle_timeout(self) -> None:
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
        self._connecting: asyncio.Task[None] | None = None
        self._next_attempt_ms = 0.0
        self._delay_ms = MIN_RECONNECT_DELAY_MS
        self.connection: Connection | None = None
        self.failures = 0  # dials in a row that made no connection

    def keep_alive(self) -> None:
        """To be called several times a second: dials where there is no connection."""
        if self.connection is not None:
            self.connection.keep_alive()
        elif self._connecting is None and self._loop.time() * 1000.0 >= self._next_attempt_ms:
            self._connecting = self._loop.create_task(self._connect())

    def send(self, message: Message) -> bool:
        """Whether there was a connection to send it on."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def close(self) -> None:
        """For good."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self.connection is not None:
            self.connection.close()

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000.0):
                await self._loop.create_connection(self._new, self.node, self._port)
            self._delay_ms, self.failures = MIN_RECONNECT_DELAY_MS, 0
        except (OSError, TimeoutError):
            self.failures += 1
            if self.connection is not None:
                # The dial was cancelled in the loop iteration in which it succeeded. uvloop closes the transport then
                # without a call of connection_lost, and the link would keep a dead connection.
                self.connection.connection_lost(None)
            else:
                self._retry_later()
        finally:
            self._connecting = None

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
        self._next_attempt_ms = self._loop.time() * 1000.0 + self._delay_ms
        self._delay_ms = min(MAX_RECONNECT_DELAY_MS, 1.5 * self._delay_ms)
