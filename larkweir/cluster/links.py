"""Connections between processes of the fleet: messages as JSON lines over TCP, with an idle time-out and reconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from larkweir.cluster.messages import MAX_LINE_BYTES, Message, Ping
from larkweir.cluster.tasks import start_task
from larkweir.cluster.tcp_options import set_tcp_options

PING_INTERVAL_MS = 250.0
IDLE_TIMEOUT_MS = 1_000.0  # a partition may drop packets without any reset
CONNECT_TIMEOUT_MS = 200.0  # short: a machine that did not answer may be back soon
MIN_RECONNECT_DELAY_MS = 120.0
MAX_RECONNECT_DELAY_MS = 500.0
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # a peer that does not read more than this is disconnected

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


class Connection(asyncio.Protocol):
    """One connection, at either end.

    Attributes:
        node: the IP address of the other side; empty until it is known.
        incarnation: of the process at the other side; empty until it is known.
        received_ms: when bytes last arrived, by the loop's clock.
        sent_ms: when a message was last sent.
    """

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None],
        on_made: Callable[[Connection], None] | None = None,
    ) -> None:
        """Create the protocol of a connection that is about to be made.

        Args:
            on_message: called with each message but `Ping`. One that can't be decoded ends the connection.
            on_lost: called once it has ended.
            on_made: called once it has been made.
        """
        self._on_message = on_message
        self._on_lost = on_lost
        self._on_made = on_made
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._line_chunks: list[bytes] = []
        self._buffered_bytes = 0
        self.node = ""
        self.incarnation = ""
        self.received_ms = self.sent_ms = self._now_ms()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notify `on_made`; called by the event loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's are none by type
        self._transport = transport
        set_tcp_options(transport, user_timeout_ms=IDLE_TIMEOUT_MS)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Notify `on_message` of each complete line; called by the event loop."""
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
        """Notify `on_lost`; called by the event loop."""
        self._transport = None
        self._on_lost(self)

    @property
    def is_receiving(self) -> bool:
        """Whether a message has arrived in part."""
        return self._buffered_bytes > 0

    def send(self, message: Message) -> None:
        """Queue one message; it is lost where the connection has ended, or ends before it is sent."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self.sent_ms = self._now_ms()
        self._transport.write(_encoder.encode(message) + b"\n")

    def keep_alive(self) -> None:
        """Ping, or end a connection that has been idle for too long; to be called several times a second."""
        now_ms = self._now_ms()
        if now_ms >= self.received_ms + IDLE_TIMEOUT_MS:
            self.close()
        elif now_ms >= self.sent_ms + PING_INTERVAL_MS:
            self.send(Ping())

    def reset_idle_timeout(self) -> None:
        """Restart the idle time-out, after this process was paused: it did not read what arrived in that time."""
        self.received_ms = self._now_ms()

    def close(self) -> None:
        """End the connection at once; what was not sent is lost."""
        if self._transport is not None:
            self._transport.abort()


class Link:
    """A connection that this process opens, and opens again when it ends.

    Attributes:
        node: the IP address of the other side.
        connection: the connection; None while there is none.
        failures: attempts in a row that made no connection.
    """

    def __init__(
        self,
        node: str,
        port: int,
        on_message: Callable[[Connection, Message], None],
        on_made: Callable[[Connection], None],
        on_lost: Callable[[str], None],
    ) -> None:
        """Create a link that connects at the next `keep_alive`.

        Args:
            node: the IP address to connect to.
            port: the port to connect to.
            on_message: called with each message.
            on_made: called with each new connection; it sends the first message.
            on_lost: called with the node when a connection has ended.
        """
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
        self.failures = 0

    def keep_alive(self) -> None:
        """Keep the connection alive, or connect when that is due; to be called several times a second."""
        if self.connection is not None:
            self.connection.keep_alive()
        elif self._connecting is None and self._loop.time() * 1000.0 >= self._next_attempt_ms:
            self._connecting = start_task("connect_to_node", self._connect())

    def send(self, message: Message) -> bool:
        """Send a message; return whether there was a connection to send it on."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def close(self) -> None:
        """End the connection for good."""
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
                # The attempt was cancelled in the loop iteration in which it succeeded. uvloop closes the transport
                # then without a call of connection_lost, and the link would keep a dead connection.
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
