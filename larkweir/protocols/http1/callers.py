"""A caller's HTTP/1.1 connection: requests are answered one after another, in the order in which they were received
(RFC 9112, section 9.3.2). Does its I/O through an asyncio transport.
"""

from __future__ import annotations

import asyncio
from typing import cast

from larkweir.core import net
from larkweir.core.body_stream import BodyStream
from larkweir.core.message import REASONS, Fault, FramingError, Headers, Message
from larkweir.protocols.caller_writer import CallerWriter
from larkweir.protocols.connection import peer_of
from larkweir.protocols.http1.caller_input import CallerInput
from larkweir.protocols.http1.encoding import LAST_CHUNK, chunk, encode_head, encode_response
from larkweir.protocols.http1.lingering_close import LingeringClose
from larkweir.protocols.listener import Listener

LATE_REQUEST = Fault(408, "the request did not come whole in time")
BODY_NOT_TAKEN = Fault(504, "the request's body was not taken in time")
OUT_OF_MEMORY = Fault(503, "out of memory for requests")

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"  # RFC 9110, section 15.2.1
BEING_PARSED = -1  # in place of the dispatcher's number, while the request is on its way to the dispatcher


class CallerConnection(asyncio.Protocol):
    """One caller's connection. Pipelined requests are queued, a few at most. It is the `Sink` of an answer that is
    forwarded while it arrives, and feeds the body of a request that is forwarded before it is complete.
    """

    IDLE_MS = 60_000.0  # between requests

    streams = True

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._dispatcher = listener.dispatcher
        self._transport: asyncio.Transport | None = None
        self._input = CallerInput(
            listener.dispatcher.clock, listener.dispatcher.memory, listener.request_handler.streams
        )
        self._parser = self._input.parser
        self._queue = self._input.queue
        self._writer = CallerWriter(listener.dispatcher.log.write)
        self._lingering = LingeringClose(self._input.since_ms)
        self._current: Message | None = None  # the request that is served
        self._number: int | None = None  # the dispatcher's, of the current request
        self._charged_bytes = 0  # to the memory budget that all connections share
        self._write_paused = False  # the caller does not read its answers
        self._serving = False  # guards `_serve_queue` against being entered again by an answer
        self._continue_sent = False
        self._answer_body: BodyStream | None = None  # of the answer that is forwarded while it arrives
        self._answer_chunked = False  # its framing (RFC 9112, section 7.1)
        self._answer_is_last = False  # of its connection
        self.ending = False  # no further request is taken
        self.fresh = True  # no request was complete so far

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        # uvloop's transports are no subclass of it.
        self._transport = self._input.transport = self._writer.transport = cast(asyncio.Transport, transport)
        if self.ending:  # it was closed to make room for others while it was coming up
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Queue what is complete, and serve it in turn."""
        if self.ending:
            self._discard(data)
            return
        must_wait = self._current is not None or self._write_paused
        if self._input.receive(data, must_wait):
            self.fresh = False
        if not self._charge_memory():
            self._refuse_for_memory()
        if self._parser.fault is not None and self._body_arriving:
            self._abandon_body(self._parser.fault)
        if len(self._queue) >= CallerInput.MAX_PIPELINED:
            self._input.pause_reading()  # guards against a caller that sends and never reads
        self._serve_queue()
        if self._parser.expects_continue and not self._continue_sent and self._awaits_body():
            self._continue_sent = True
            self._writer.write(CONTINUE)

    def eof_received(self) -> None:
        """The caller has closed its sending side: it has gone, and no request of it is of use any more."""
        self._abandon_requests()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone, whoever has closed it."""
        if self._answer_body is not None:
            self.log_truncation(f"its caller is gone ({exc or 'closed'})")
        self._transport = self._input.transport = self._writer.transport = None
        self.ending = True
        self._answer_body = None
        self._abandon_requests()
        self._input.close()
        self._current = None
        self._charge_memory()
        self._listener.remove(self)

    def pause_writing(self) -> None:
        """The transport's write buffer is full."""
        self._write_paused = True
        self._writer.restart_timing()
        self._charge_memory()
        if self._answer_body is not None:
            self._answer_body.set_sink_paused(True)

    def resume_writing(self) -> None:
        """The transport's write buffer takes more."""
        self._write_paused = False
        self._charge_memory()
        if self._answer_body is not None:
            self._answer_body.set_sink_paused(False)
        self._serve_queue()

    # ------------------------------------------------ receiving

    def _discard(self, data: bytes) -> None:
        goes_on = self._lingering.discard(len(data), self._dispatcher.clock.now_ms())
        if not goes_on and self._transport is not None:
            self._transport.pause_reading()

    def _refuse_for_memory(self) -> None:
        """Guards the memory limit; what was not begun is let go, and may be asked again elsewhere."""
        self._input.clear_queue()
        self._parser.fail(OUT_OF_MEMORY)
        self._charge_memory()

    def _awaits_body(self) -> bool:
        """Whether the body that the caller waits to send is the next thing to receive (RFC 9110, section 10.1.1)."""
        if self._current is None:
            return not self._queue and self._parser.fault is None
        return self._body_arriving and not self._queue

    @property
    def _body_arriving(self) -> bool:
        """Whether the current request's body is still being received."""
        message = self._current
        return message is not None and message.stream is not None and self._parser.in_body and not self._queue

    def _abandon_body(self, fault: Fault) -> None:
        """The current request's body will not be complete."""
        assert self._current is not None
        self._current.keep_alive = False
        number = self._number
        if number is not None and number > 0 and self._answer_body is None:
            self._dispatcher.give_up(number, fault.status, _body_of(fault))

    def _abandon_requests(self) -> None:
        """Nobody waits for answers any more."""
        self._input.clear_queue()
        if self._number is not None:
            number, self._number = self._number, None
            self._dispatcher.client_gone(number)

    def _charge_memory(self) -> bool:
        """Update what it charges to the memory budget that all connections share; whether that is within the limit."""
        held = self._parser.buffered_bytes + self._input.request_bytes
        current = self._current
        if current is not None and current.stream is not None and current.stream.ended:
            held += current.stream.buffered_bytes
        for message in self._queue:
            if message.stream is not None and message.stream.ended:
                held += message.stream.buffered_bytes
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        before, self._charged_bytes = self._charged_bytes, held
        return self._dispatcher.memory.charge(before, held)

    # ------------------------------------------------ answering, in order

    def _serve_queue(self) -> None:
        """Serve the queued requests, each after the answer to the one before."""
        if self._serving:
            return
        self._serving = True
        try:
            while self._current is None and not self.ending and not self._write_paused:
                if self._queue:
                    self._serve(self._queue.popleft())
                elif self._parser.fault is not None:
                    self._refuse_rest(self._parser.fault)
                else:
                    break
        finally:
            self._serving = False
        self._listener.update(self)
        if self._input.reading_paused and not self.ending and len(self._queue) < CallerInput.MAX_PIPELINED:
            self._input.resume_reading()

    def _serve(self, message: Message) -> None:
        self._current = message
        self._continue_sent = False
        try:
            self._number = BEING_PARSED
            number = self._listener.request_handler.handle(self, message)
            if self._number is not None:  # not answered yet
                self._number = number
        except FramingError as problem:
            message.keep_alive = False  # whoever sends such a request is not asked for more of them
            self.answer(problem.status, [], str(problem).encode("ascii", "replace") + b"\n")

    def _refuse_rest(self, fault: Fault) -> None:
        """Answer what can't be parsed; nothing behind it is."""
        self._current = Message()
        self._current.keep_alive = False
        self.fresh = False
        headers = [(b"Retry-After", b"1")] if fault.status in (429, 503) else []
        self.answer(fault.status, headers, _body_of(fault))

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write the one answer to the current request."""
        message = self._current
        if message is None:
            raise AssertionError("an answer to no request")
        close = not message.keep_alive or self._listener.closing
        if message.stream is not None and not message.stream.complete:
            close = True  # what is still to be received of its body is dropped
        self._writer.write(encode_response(status, headers, body, close))
        self._answered(message, close)

    def _answered(self, message: Message, close: bool) -> None:
        self._continue_sent = False
        self._current = None
        self._number = None
        self._input.release(message)
        self._input.since_ms = self._dispatcher.clock.now_ms()
        self._charge_memory()
        if close:
            self.begin_lingering_close()
        else:
            self._serve_queue()

    def begin(self, status: int, headers: Headers, stream: BodyStream) -> None:
        """Begin the one answer to the current request, whose body is forwarded while it arrives."""
        message = self._current
        if message is None:
            raise AssertionError("an answer to no request")
        # An old caller knows no chunks: the end of the connection is the end of the body (RFC 9112, section 6.3).
        self._answer_chunked = stream.length is None and message.minor > 0
        self._answer_is_last = self._must_close_after(message, stream)
        if self._answer_is_last:
            headers = [*headers, (b"Connection", b"close")]
        self._write_head(status, headers, stream.length)
        self._answer_body = stream
        self._writer.begin_long_answer(stream)
        stream.attach(self, self._write_paused)

    def _must_close_after(self, message: Message, answer_body: BodyStream) -> bool:
        if not message.keep_alive or self._listener.closing:
            return True
        if answer_body.length is None and not self._answer_chunked:
            return True
        return message.stream is not None and not message.stream.complete

    def _write_head(self, status: int, headers: Headers, length: int | None) -> None:
        first = b"HTTP/1.1 %d %b" % (status, REASONS.get(status, b"Status"))
        if length is not None or self._answer_chunked:
            self._writer.write(encode_head(first, headers, length))
        else:
            self._writer.write(encode_head(first, headers, 0).replace(b"Content-Length: 0\r\n", b""))

    # ------------------------------------------------ called by the body of an answer, as it arrives

    def write(self, data: bytes) -> None:
        """Write the next bytes of the answer's body."""
        self._writer.on_body_received(self._dispatcher.clock.now_ms())
        self._writer.write(chunk(data) if self._answer_chunked else data)

    def write_eof(self) -> None:
        """The answer's body is complete."""
        message, self._answer_body = self._current, None
        if message is None:
            return
        if self._answer_chunked:
            self._writer.write(LAST_CHUNK)
        self._writer.end_long_answer()
        self._answered(message, self._answer_is_last or self._listener.closing)

    def on_body_failed(self) -> None:
        """The answer's body will not be complete, and its caller must be able to tell (RFC 9112, section 8): no last
        chunk, short of its length, or a reset. With the first two, what is written, an answer before this one among it,
        is still to be read.
        """
        stream, self._answer_body = self._answer_body, None
        if stream is None:
            return
        self.log_truncation(stream.failure)
        if stream.length is None and not self._answer_chunked:
            self.ending = True
            self._writer.reset()
            return
        if self._current is not None:
            self._input.release(self._current)
        self._current = self._number = None
        self.begin_lingering_close()

    # ------------------------------------------------ called by the dispatcher and the listener

    @property
    def peer(self) -> str:
        """The caller's address; see `peer_of`."""
        return peer_of(self._transport)

    def gone(self) -> bool:
        """Whether its caller has closed it, as the system knows by now."""
        return self._writer.is_peer_gone()

    @property
    def awaits_request(self) -> bool:
        """Whether it holds no complete request, and its caller reads."""
        return self._current is None and not self._queue and not self._write_paused

    def is_idle(self) -> bool:
        """Whether it holds no complete request, and nothing waits unread in the system."""
        transport = self._transport
        return (
            self.awaits_request
            and transport is not None
            and not net.is_readable(transport.get_extra_info("socket").fileno())
        )

    @property
    def has_partial_request(self) -> bool:
        """Whether a request was received in part."""
        return self.awaits_request and self._parser.is_incomplete

    @property
    def busy(self) -> bool:
        """Whether it holds a request, complete or in part, or bytes of an answer that its caller's system has not."""
        return not self.awaits_request or self.has_partial_request or self.unsent > 0

    @property
    def unsent(self) -> int:
        """Bytes of answers that are lost if it is closed now."""
        return self._writer.unacknowledged_bytes

    def check(self, now_ms: float) -> None:
        """End what has taken too long: a first request, a part of one, an answer unread, an idle stay."""
        if self.ending:
            self._check_lingering(now_ms)
        elif self._input.reading_paused and self.gone():
            self._on_unread_close()
        elif self._write_paused:
            self._writer.check_undelivered(now_ms, self._dispatcher.memory.is_exhausted)
        elif self._body_arriving:
            self._check_body(now_ms)
        elif self._current is None and not self._queue:
            self._check_idle(now_ms)

    def _check_lingering(self, now_ms: float) -> None:
        """The last answer is given: the connection ends once its caller has had its time to read it."""
        if self._writer.check_undelivered(now_ms, self._dispatcher.memory.is_exhausted):
            self._lingering.start(now_ms)
        elif self._lingering.is_over(now_ms):
            self.abort()

    def _on_unread_close(self) -> None:
        """Its caller has closed it, which is not read since reading is paused."""
        self._abandon_requests()
        if not self.ending:
            self.begin_lingering_close()

    def _check_body(self, now_ms: float) -> None:
        if self._input.consumer_is_late(now_ms):
            self._abandon_body(BODY_NOT_TAKEN)
        elif self._input.body_is_late(now_ms):
            self._abandon_body(LATE_REQUEST)

    def _check_idle(self, now_ms: float) -> None:
        if self.has_partial_request:
            if self._input.incomplete_is_late(now_ms):
                self._refuse_rest(LATE_REQUEST)
            return
        limit_ms = CallerInput.RECEIVE_TIMEOUT_MS if self.fresh else self.IDLE_MS
        if now_ms - self._input.since_ms > limit_ms:
            self._end_idle(now_ms)

    def _end_idle(self, now_ms: float) -> None:
        """End an idle stay, unless a request lies unread that this loop iteration has not received."""
        if not self._writer.check_undelivered(now_ms) and self.is_idle():
            self.begin_lingering_close()

    def set_draining(self, draining: bool = True) -> None:
        """Every answer is the last of its connection then: HTTP/1.1 has nothing else to say."""

    def log_truncation(self, why: str) -> None:
        """Log that an answer that has begun ends early, if one does."""
        self._writer.log_truncation(why, self._dispatcher.clock.now_ms())

    # ------------------------------------------------ the end of the connection

    def begin_lingering_close(self) -> None:
        """Begin a lingering close: nothing more is taken, and the sending side is closed behind what is written."""
        self.ending = True
        self._input.clear_queue()
        self._parser.close()
        self._charge_memory()
        self._lingering.start(self._dispatcher.clock.now_ms())
        self._input.forget_consumer()
        self._listener.update(self)
        self._writer.close_sending()

    def abort(self) -> None:
        """Close it now, with whatever is not sent or received."""
        self.ending = True
        self._writer.abort()


def _body_of(fault: Fault) -> bytes:
    """The body of the answer that reports a fault."""
    return fault.text.encode("ascii", "replace") + b"\n"
