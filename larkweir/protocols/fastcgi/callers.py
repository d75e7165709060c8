"""A caller's FastCGI connection: many requests at a time, exactly one answer to each. Does its I/O through an asyncio
transport.
"""

from __future__ import annotations

import asyncio
from typing import cast

from larkweir.core import net
from larkweir.core.body_stream import BodyStream
from larkweir.core.message import REASONS, Fault, FramingError, Headers, Message
from larkweir.protocols.caller_writer import CallerWriter
from larkweir.protocols.connection import peer_of
from larkweir.protocols.fastcgi.serving import Bad, Serving, Whole
from larkweir.protocols.fastcgi.unread import UnreadAborts
from larkweir.protocols.listener import Listener


class _Stream:
    """One request on a connection, as the dispatcher answers it."""

    __slots__ = ("connection", "id", "number", "size")
    streams = False  # an answer shares the connection with others: it goes out once it is whole

    def __init__(self, connection: FastcgiCaller, request_id: int, size: int) -> None:
        self.connection = connection
        self.id = request_id
        self.number: int | None = None  # the dispatcher's
        self.size = size

    def gone(self) -> bool:
        """Whether its caller has closed the connection or aborted this request, as the system knows by now."""
        return self.connection.gone() or self.connection.has_unread_abort(self.id)

    @property
    def peer(self) -> str:
        return peer_of(self.connection._transport)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.connection.answered(self, status, headers, body)

    def begin(self, status: int, headers: Headers, stream: BodyStream) -> None:
        raise AssertionError("answers go out whole here")


class FastcgiCaller(asyncio.Protocol):
    """One caller's connection."""

    MOST = 64  # requests open at a time
    FIRST_MS = 2_000.0  # from the accept, for the first request to come whole
    PART_MS = 2_000.0  # for one that has begun to come whole
    LONG = 64 * 1024  # an answer over that is timed as one that goes out in pieces
    IDLE_MS = 60_000.0
    LINGER_MS = 1_000.0  # for the caller to read its last answers
    LINGER_BYTES = 256 * 1024  # read and dropped meanwhile; past that reading stops

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._dispatcher = listener.dispatcher
        self._transport: asyncio.Transport | None = None
        self._serving = Serving(self.MOST)
        self._streams: dict[int, _Stream] = {}
        self._parts: dict[int, float] = {}  # when each unfinished request was first seen
        self._size = 0  # of requests that wait for their answer
        self._held = 0  # booked of the room that all connections share
        self._blocked = False  # the caller does not read its answers
        self._reading = False  # in the middle of what one read brought
        self._unread_aborts: UnreadAborts | None = None  # since the last read
        self._dropped = 0
        self._writer = CallerWriter(listener.dispatcher.log.write)
        self.ending = False  # nothing more is taken
        self.fresh = True  # no request has come whole
        self.since_ms = listener.dispatcher.clock.now_ms()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        # uvloop's transports are no subclass of it.
        self._transport = self._writer.transport = cast(asyncio.Transport, transport)
        if self.ending:  # made room for others while it was coming up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Serve the requests that these bytes complete."""
        if self.ending:
            self._dropped += len(data)
            if self._dropped > self.LINGER_BYTES and self._transport is not None:
                self._transport.pause_reading()
            return
        serving = self._serving
        self._reading = True
        self._unread_aborts = None
        for event in serving.feed(data):
            if isinstance(event, Whole):
                self._begin(event.id, event.message)
            elif isinstance(event, Bad):
                stream = _Stream(self, event.id, 0)
                self._streams[event.id] = stream
                self._refuse(stream, event.fault)
            else:
                aborted = self._streams.pop(event.id, None)
                if aborted is not None:  # not answered by what the end of another has set free
                    self._leave(aborted)
                    serving.out += serving.ended(event.id)
        if not self._book():
            self._refuse_partial(Fault(503, "out of memory for requests"))
            self._book()
        self._reading = False
        now = self._dispatcher.clock.now_ms()
        partial = serving.partial()
        self._parts = {number: self._parts.get(number, now) for number in partial}
        self._flush()
        if serving.fault is not None:
            # No record can be trusted any more: nobody could say which request an answer would be for. Those that are
            # given are still to be read.
            self._gone()
            self.begin_lingering_close()
            return
        self._after()

    def eof_received(self) -> None:
        """The caller has closed its sending side: it has gone, and no request of it is of use any more."""
        self._gone()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone, whoever has closed it."""
        self._transport = self._writer.transport = None
        self.ending = True
        self._gone()
        self._dispatcher.memory.charge(self._held, 0)
        self._held = 0
        self._listener.remove(self)

    def pause_writing(self) -> None:
        """The transport's write buffer is full."""
        self._blocked = True
        self._writer.restart_timing()
        if self._transport is not None and not self.ending:
            self._transport.pause_reading()  # guards against a caller that sends and never reads

    def resume_writing(self) -> None:
        """The transport's write buffer takes more."""
        self._blocked = False
        if self._transport is not None and not self.ending:
            self._transport.resume_reading()
        self._book()
        self._after()

    # ------------------------------------------------ requests

    def _begin(self, request_id: int, message: Message) -> None:
        self.fresh = False
        stream = _Stream(self, request_id, message.size)
        self._streams[request_id] = stream
        self._size += stream.size
        if not self._book():
            self._refuse(stream, Fault(503, "out of memory for requests"))
            return
        try:
            stream.number = -1
            number = self._listener.request_handler.handle(stream, message)
            if stream.number is not None:  # not answered yet
                stream.number = number
        except FramingError as problem:
            self._refuse(stream, Fault(problem.status, str(problem)))

    def _refuse(self, stream: _Stream, fault: Fault) -> None:
        headers: Headers = [(b"Retry-After", b"1")] if fault.status in (429, 503) else []
        stream.answer(fault.status, headers, fault.text.encode("ascii", "replace") + b"\n")

    def _refuse_partial(self, fault: Fault) -> None:
        for number in self._serving.partial():
            stream = self._streams[number] = _Stream(self, number, 0)
            self._refuse(stream, fault)

    def answered(self, stream: _Stream, status: int, headers: Headers, body: bytes) -> None:
        """The one answer to a request."""
        if self._streams.pop(stream.id, None) is not stream:
            raise AssertionError("an answer to no request")
        stream.number = None
        self._size -= stream.size
        self.since_ms = self._dispatcher.clock.now_ms()
        reason = REASONS.get(status, b"Status")
        self._serving.out += self._serving.answer(stream.id, status, reason, headers, body)
        if not self._reading or len(body) > self.LONG:
            self._flush()
        if len(body) > self.LONG:
            self._writer.end_long_answer()
        if not self._reading:
            self._book()
            self._after()

    def _leave(self, stream: _Stream) -> None:
        """The caller has aborted it, or is gone."""
        self._size -= stream.size
        if stream.number is not None:
            number, stream.number = stream.number, None
            self._dispatcher.client_gone(number)

    def gone(self) -> bool:
        """Whether its caller has closed it, as the system knows by now."""
        return self._writer.is_peer_gone()

    def has_unread_abort(self, request_id: int) -> bool:
        """Whether an abort of this request lies unread: reading is paused, or the loop has not come to it."""
        if self._transport is None:
            return False
        if self._unread_aborts is None:
            self._unread_aborts = UnreadAborts(self._serving.unfinished)
        descriptor = self._transport.get_extra_info("socket").fileno()
        return self._unread_aborts.has(request_id, descriptor)

    def _leave_aborted(self) -> None:
        """End the requests whose aborts lie unread; their streams stay until these are read."""
        for stream in list(self._streams.values()):
            if stream.number is not None and self.has_unread_abort(stream.id):
                self._dispatcher.client_gone(stream.number)

    def _gone(self) -> None:
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            self._leave(stream)

    def _flush(self) -> None:
        out, self._serving.out = self._serving.out, []
        if out:
            self._writer.write(b"".join(out))

    def _after(self) -> None:
        """End it if its last answer is given; and tell the listener what it is now."""
        if self.ending:
            return
        last = self._serving.last or self._listener.closing
        if last and not self._streams and not self._serving.begun and not self.fresh:
            self.begin_lingering_close()
        else:
            self._listener.update(self)

    def _book(self) -> bool:
        """Bring up to date what it holds of the shared room; whether that may be so much."""
        held = self._serving.held + self._size
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        before, self._held = self._held, held
        return self._dispatcher.memory.charge(before, held)

    # ------------------------------------------------ as the listener sees it

    @property
    def awaits_request(self) -> bool:
        """Whether it holds no complete request, and its caller reads."""
        return not self._streams and not self._blocked

    def is_idle(self) -> bool:
        """Whether it holds no whole request, and nothing waits unread in the system."""
        transport = self._transport
        return (
            self.awaits_request
            and transport is not None
            and not net.is_readable(transport.get_extra_info("socket").fileno())
        )

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has come in part."""
        return self.awaits_request and self._serving.begun

    @property
    def busy(self) -> bool:
        """Whether it holds a request, whole or in part, or bytes of an answer that its caller's system has not."""
        return bool(self._streams) or self._serving.begun or self._blocked or self.unsent > 0

    @property
    def unsent(self) -> int:
        """Bytes of answers that are lost if it is closed now."""
        return self._writer.unacknowledged_bytes

    def check(self, now_ms: float) -> None:
        """End what has taken too long: parts of requests, answers unread, an idle stay."""
        spent = now_ms - self.since_ms
        if self.ending:
            if self._writer.check_undelivered(now_ms, self._dispatcher.memory.is_exhausted):
                self.since_ms = now_ms
            elif spent > self.LINGER_MS:
                self.abort()
            return
        if self._blocked:
            if self._streams and self.gone():
                self._gone()  # reading is paused, so that the close is not read
            self._leave_aborted()
            self._writer.check_undelivered(now_ms, self._dispatcher.memory.is_exhausted)
            return
        late = [number for number, seen in self._parts.items() if now_ms - seen > self.PART_MS]
        still = set(self._serving.partial())
        for number in late:
            del self._parts[number]
            if number in still:
                stream = self._streams[number] = _Stream(self, number, 0)
                self._refuse(stream, Fault(408, "the request did not come whole in time"))
        if self.ending or self._streams or self._serving.partial():
            return
        stay = self.FIRST_MS if self.fresh or self._serving.begun else self.IDLE_MS
        if spent > stay and not self._writer.check_undelivered(now_ms) and self.is_idle():
            self.begin_lingering_close()  # not where a request lies unread behind this turn of the loop

    def set_draining(self, draining: bool = True) -> None:
        """Begin no further request: what comes is turned away unseen, and may be asked elsewhere."""
        if not self.ending:
            self._serving.closing = draining

    def begin_lingering_close(self) -> None:
        """Take nothing more; what is written is still read by the caller."""
        self.ending = True
        self._serving.closing = True
        self.since_ms = self._dispatcher.clock.now_ms()
        self._listener.update(self)
        self._writer.close_sending()

    def abort(self) -> None:
        """Close it now, with whatever is not sent or received."""
        self.ending = True
        self._writer.abort()

    def log_truncation(self, why: str) -> None:
        """Log that an answer that has begun ends early, if one does."""
        self._writer.log_truncation(why, self._dispatcher.clock.now_ms())
