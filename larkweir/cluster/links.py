"""TCP connections between processes of the fleet. They carry JSON lines, have an idle timeout, and reconnect."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import msgspec

from larkweir.cluster.messages import MAX_LINE_BYTES, Message, Ping
from larkweir.cluster.tasks import start_task
from larkweir.cluster.tcp_options import set_no_delay, set_user_timeout

PING_INTERVAL_MS = 250.0
IDLE_TIMEOUT_MS = 1_000.0  # a network partition may drop packets without resetting the connection
CONNECT_TIMEOUT_MS = 200.0  # short, since a machine that did not answer may be reachable again soon
MIN_RECONNECT_DELAY_MS = 120.0
MAX_RECONNECT_DELAY_MS = 500.0
MAX_UNSENT_BYTES = 16 * 1024 * 1024  # a peer with more unread data than this is disconnected

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)


class Connection(asyncio.Protocol):
    """The protocol of one connection, used by the connecting and by the accepting process.

    Attributes:
        node: the IP address of the peer; empty until it is known.
        incarnation: the incarnation of the peer's process; empty until it is known.
        received_ms: when bytes last arrived, by the event loop's clock.
        sent_ms: when a message was last sent, by the same clock.
    """

    def __init__(
        self,
        on_message: Callable[[Connection, Message], None],
        on_lost: Callable[[Connection], None],
        on_made: Callable[[Connection], None] | None = None,
    ) -> None:
        """Create the protocol of a connection that is not yet established.

        Args:
            on_message: called with each message except `Ping`. A line that can't be decoded closes the connection.
            on_lost: called when the connection has ended.
            on_made: called when the connection has been established.
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
        """Configure the socket and call `on_made`; called by the event loop."""
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._transport = transport
        set_no_delay(transport)
        set_user_timeout(transport, IDLE_TIMEOUT_MS)
        if self._on_made is not None:
            self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Call `on_message` for each complete line; called by the event loop."""
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
        """Call `on_lost`; called by the event loop."""
        self._transport = None
        self._on_lost(self)

    @property
    def is_receiving(self) -> bool:
        """Whether a message has arrived only in part."""
        return self._buffered_bytes > 0

    def send(self, message: Message) -> None:
        """Queue one message. It is lost if the connection has ended or ends before the message is sent."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()
            return
        self.sent_ms = self._now_ms()
        self._transport.write(_encoder.encode(message) + b"\n")

    def keep_alive(self) -> None:
        """Send a ping if one is due, or close the connection if it has been idle too long.

        To be called several times a second.
        """
        now_ms = self._now_ms()
        if now_ms >= self.received_ms + IDLE_TIMEOUT_MS:
            self.close()
        elif now_ms >= self.sent_ms + PING_INTERVAL_MS:
            self.send(Ping())

    def reset_idle_timeout(self) -> None:
        """Restart the idle timeout after a pause of this process, during which it did not read what arrived."""
        self.received_ms = self._now_ms()

    def close(self) -> None:
        """Close the connection immediately; unsent messages are lost."""
        if self._transport is not None:
            self._transport.abort()


class Link:
    """An outgoing connection that is reopened whenever it ends.

    Attributes:
        node: the IP address of the peer.
        connection: the current connection; None while disconnected.
        failures: the number of consecutive failed attempts to connect.
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
            on_made: called with each new connection, to send the first message.
            on_lost: called with `node` when a connection has ended.
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
        """Keep the connection alive, or reconnect if an attempt is due; to be called several times a second."""
        if self.connection is not None:
            self.connection.keep_alive()
        elif self._connecting is None and self._loop.time() * 1000.0 >= self._next_attempt_ms:
            self._connecting = start_task("connect_to_node", self._connect())

    def send(self, message: Message) -> bool:
        """Send a message. Return False if there is no connection."""
        if self.connection is None:
            return False
        self.connection.send(message)
        return True

    def close(self) -> None:
        """Close the connection and stop connecting."""
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
                # The attempt was cancelled in the same loop iteration in which it succeeded. In this case uvloop closes
                # the transport without calling connection_lost, and the link would keep a dead connection.
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
