"""Hands: a caller's HTTP/1.1 connection: bodies, requests sent ahead, one answer to each."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import cast

from larkweir.core.message import Fault, FramingError, Headers, Message
from larkweir.protocols.http1.codec import RequestReader, encode_response
from larkweir.protocols.listener import Listener, peer_of, waits


class CallerConnection(asyncio.Protocol):
    """One caller's connection. Requests that are sent ahead wait their turn, a few at most."""

    AHEAD = 4
    FIRST_MS = 2_000.0  # from the accept, for the first request to come whole
    PART_MS = 2_000.0  # from its first byte, for a later one; and for an answer to be read
    IDLE_MS = 60_000.0
    LINGER_MS = 1_000.0  # for the caller to read an answer, before what it still sends would reset it
    LINGER_BYTES = 256 * 1024  # read and dropped meanwhile; past that reading stops

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._engine = listener.engine
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(most=self.AHEAD)
        self._waiting: deque[Message] = deque()
        self._current: Message | None = None
        self._number: int | None = None  # the engine's, of the current request
        self._size = 0  # of the requests that wait and the current one
        self._held = 0  # booked of the room that all connections share
        self._blocked = False  # the caller does not read its answers
        self.ending = False  # nothing more is taken
        self._dropped = 0  # bytes that came all the same
        self._stepping = False
        self._continued = False
        self.fresh = True  # no request has come whole
        self.since_ms = listener.engine.clock.now_ms()  # of what its state is timed from

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        if self.ending:  # made room for others while it was coming up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.ending:
            self._dropped += len(data)
            if self._dropped > self.LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        begun = self._reader.begun
        came = self._reader.feed(data)
        if came:
            self.fresh = False
            self._waiting.extend(came)
            self._size += sum(message.size for message in came)
        if not self.fresh and self.begun and (came or not begun):
            self.since_ms = self._engine.clock.now_ms()  # of the first byte: later ones don't renew it
        if not self._book():
            # Guards the memory limit; what was not begun is let go, and may be asked again elsewhere.
            self._drop_waiting()
            self._reader.fail(Fault(503, "out of memory for requests"))
            self._book()
        if len(self._waiting) >= self.AHEAD and self._transport is not None:
            self._transport.pause_reading()  # guards against a caller that sends and never reads
        if self._reader.expects_continue and not self._continued and self._idle_but_reading():
            self._continued = True
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._step()

    def _idle_but_reading(self) -> bool:
        return self._current is None and not self._waiting and self._reader.fault is None

    def eof_received(self) -> None:
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.ending = True
        self._gone()
        self._reader.close()
        self._current = None
        self._size = 0
        self._book()
        self._listener.left(self)

    def pause_writing(self) -> None:
        self._blocked = True

    def resume_writing(self) -> None:
        self._blocked = False
        self._book()
        self._step()

    def _book(self) -> bool:
        """Bring up to date what it holds of the shared room; whether that may be so much."""
        held = self._reader.held + self._size
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        before, self._held = self._held, held
        return self._engine.room.book(before, held)

    def _drop_waiting(self) -> None:
        self._size -= sum(message.size for message in self._waiting)
        self._waiting.clear()

    # ------------------------------------------------

    @property
    def idle(self) -> bool:
        return self._current is None and not self._waiting and not self._blocked

    def quiet(self) -> bool:
        """Whether it holds no whole request, and nothing waits unread in the system."""
        transport = self._transport
        return self.idle and transport is not None and not waits(transport.get_extra_info("socket").fileno())

    @property
    def begun(self) -> bool:
        """Whether a request has come in part."""
        return self.idle and self._reader.begun

    @property
    def busy(self) -> bool:
        """Whether it holds a request, whole or in part, or bytes of an answer not yet sent."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        return not self.idle or self.begun or unsent

    def check(self, now_ms: float) -> None:
        """End what has taken too long: a first request, a part of one, an answer unread, an idle stay."""
        spent = now_ms - self.since_ms
        if self.ending:
            if spent > self.LINGER_MS:
                self.abort()
        elif self._blocked:
            if spent > self.PART_MS:
                self.abort()
        elif self._current is not None or self._waiting:
            return
        elif self.begun:
            if spent > (self.FIRST_MS if self.fresh else self.PART_MS):
                self._finish_with(Fault(408, "the request did not come whole in time"))
        elif spent > (self.FIRST_MS if self.fresh else self.IDLE_MS):
            self.abort()

    def _gone(self) -> None:
        self._drop_waiting()
        if self._number is not None:
            number, self._number = self._number, None
            self._engine.client_gone(number)

    def _step(self) -> None:
        """Take up the requests that have come, one after the other's answer."""
        if self._stepping:
            return
        self._stepping = True
        try:
            while self._current is None and not self.ending and not self._blocked:
                if self._waiting:
                    self._begin(self._waiting.popleft())
                elif self._reader.fault is not None:
                    self._finish_with(self._reader.fault)
                else:
                    break
        finally:
            self._stepping = False
        self._listener.place(self)
        if self._transport is not None and not self.ending and len(self._waiting) < self.AHEAD:
            self._transport.resume_reading()

    def _begin(self, message: Message) -> None:
        self._current = message
        self._continued = False
        try:
            self._number = -1
            number = self._listener.intake.take(self, message)
            if self._number is not None:  # not answered yet
                self._number = number
        except FramingError as problem:
            message.keep_alive = False  # whoever sends such a request is not asked for more of them
            self.answer(problem.status, [], str(problem).encode("ascii", "replace") + b"\n")

    def _finish_with(self, fault: Fault) -> None:
        self._current = Message()
        self._current.keep_alive = False
        self.fresh = False
        headers = [(b"Retry-After", b"1")] if fault.status in (429, 503) else []
        self.answer(fault.status, headers, fault.text.encode("ascii", "replace") + b"\n")

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """The one answer to the current request."""
        message = self._current
        if message is None:
            raise AssertionError("an answer to no request")
        self._current = None
        self._number = None
        self._size -= message.size if self._size else 0
        self.since_ms = self._engine.clock.now_ms()
        close = not message.keep_alive or self._listener.closing
        self._write(encode_response(status, headers, body, close))
        self._book()
        if close:
            self.end()
        else:
            self._step()

    @property
    def peer(self) -> str:
        return peer_of(self._transport)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def wind_down(self) -> None:
        """Every answer is the last of its connection then."""

    def end(self) -> None:
        """Take nothing more. The sending side is closed first, and what still comes is read and dropped:
        closing with bytes unread would reset the connection, and the answer on its way with it.
        """
        self.ending = True
        self._drop_waiting()
        self._reader.close()
        self._book()
        self.since_ms = self._engine.clock.now_ms()
        self._listener.place(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()
            self._transport.resume_reading()

    def abort(self) -> None:
        self.ending = True
        if self._transport is not None:
            self._transport.abort()
