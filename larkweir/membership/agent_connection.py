"""A connection to the discovery agent, over HTTP/1.1 (RFC 9112). Does its I/O through an asyncio transport."""

from __future__ import annotations

import asyncio
from typing import cast

from larkweir.core.message import Message
from larkweir.core.ports import Address
from larkweir.membership.listing import DiscoveryError
from larkweir.protocols.http1.codec import ResponseReader
from larkweir.protocols.http1.encoding import encode_request

MAX_LIST = 4 * 1024 * 1024  # bytes of an answer's body


class ListReader(ResponseReader):
    """Reads answers of discovery, with a limit of their own on the body.

    One without a length ends with its connection, whether that was announced or not: a list that was cut off is no
    JSON. A reset ends none.
    """

    def __init__(self) -> None:
        super().__init__(MAX_LIST)

    def on_headers_complete(self) -> None:
        """The head is complete."""
        super().on_headers_complete()
        self._until_close = self.lacks_length and not self._message.values(b"transfer-encoding")

    def on_body(self, data: bytes) -> None:
        """The next bytes of the body."""
        # Past `ResponseReader`, whose limit is that of an upstream's answer, and lower.
        super(ResponseReader, self).on_body(data)


class AgentConnection(asyncio.Protocol):
    """One connection; one call at a time."""

    def __init__(self) -> None:
        self._reader = ListReader()
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[Message] | None = None  # of the call in flight
        self.open = False
        self._closed = False

    @classmethod
    async def connect(cls, address: Address, timeout_s: float) -> AgentConnection:
        """A new connection that is up; DiscoveryError if it takes longer, OSError where the system says so."""
        connection = cls()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
        except BaseException as problem:
            connection.close()
            if isinstance(problem, TimeoutError):  # the agent is not silent: nothing was asked
                raise DiscoveryError("no connection comes up") from None
            raise
        return connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        self.open = not self._closed
        if self._closed:  # given up while it was coming up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parse what the agent answers."""
        self._complete(self._reader.feed(data))

    def _complete(self, answers: list[Message]) -> None:
        spoilt = self._reader.fault is not None or self._reader.is_incomplete
        waiting = self._answer
        if answers and waiting is not None and not waiting.done():
            waiting.set_result(answers[0])
            if spoilt or len(answers) > 1 or not answers[0].keep_alive:
                self.close()
        elif answers or self._reader.fault is not None:
            self.close()

    def eof_received(self) -> None:
        """The agent has closed its sending side, which may end an answer."""
        self._complete(self._reader.finish())
        self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self.close()

    def close(self) -> None:
        """Close it; the call in flight fails."""
        self.open = False
        self._closed = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(DiscoveryError("the connection ended"))

    async def get(self, target: bytes, host: bytes) -> Message:
        """The answer to one GET; DiscoveryError if the connection ends before it is complete."""
        # Its end may have been read between its coming up and this call; nobody would report it any more.
        if self._transport is None or not self.open:
            raise DiscoveryError("the connection ended")
        self._answer = asyncio.get_running_loop().create_future()
        self._transport.write(encode_request(b"GET", target, ((b"Host", host),), b""))
        return await self._answer
