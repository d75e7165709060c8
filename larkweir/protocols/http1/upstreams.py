"""An HTTP/1.1 connection to an upstream, which carries one call at a time (RFC 9112). Does its I/O through an asyncio
transport.
"""

from __future__ import annotations

import asyncio
from typing import cast

from larkweir_balancing.interface import Outcome

from larkweir.core import net
from larkweir.core.body_stream import BodyStream
from larkweir.core.message import Message
from larkweir.protocols.http1.codec import MAX_HELD_ANSWER, ResponseReader
from larkweir.protocols.http1.encoding import LAST_CHUNK, chunk, encode_head, encode_request
from larkweir.upstreams.attempt_call import AttemptCall, outcome_of
from larkweir.upstreams.pool import UpstreamPool
from larkweir.upstreams.upstream import Upstream

EXPIRES = b"x-expires-in-ms"  # the time until the deadline, in milliseconds


class UpstreamConnection(asyncio.Protocol):
    """One connection, with one call at a time. It is the `Sink` of a call's body that is forwarded while it arrives."""

    FORWARD_AFTER_MS = (
        500.0  # from its first bytes until an answer without a length is forwarded as far as it is there
    )
    STALL_MS = 15_000.0  # without a byte of an answer that is forwarded: it is given up
    RECHECK_MS = 250.0  # until the next check, where bytes of it wait in the system and are only not read yet

    def __init__(self, pool: UpstreamPool, upstream: Upstream) -> None:
        self._pool = pool
        self.upstream = upstream
        self.address = upstream.address
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader(forward_over=MAX_HELD_ANSWER)
        self._call: AttemptCall | None = None
        self._charged_bytes = 0  # to the memory budget that all connections share
        self._probe_body: bytes | None = None  # of the answer before, if that was a health check's
        self.reuse_delayed = False  # the answer before was an attempt's: see `REUSE_DELAY_MS` of the pool
        self.idle_since_ms = 0.0
        self.listed = False
        self._lost = False
        self.retired = False
        self._socket_watch: net.Watch  # set when it is up
        self._request_body: BodyStream | None = None  # of the call, while it is still being written
        self._write_paused = False  # the system does not take all that is written
        self._forwarded: Message | None = None  # the answer whose body is being forwarded
        self._forward_soon: AttemptCall | None = None  # whose incomplete answer is forwarded soon
        self._body_received_ms = 0.0
        self._paused_by_consumer = False  # whoever takes the answer can't take more for now

    # ------------------------------------------------ called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing: so `resume_writing` marks the last byte.
        self._transport.set_write_buffer_limits(high=0)
        self._socket_watch = net.watch(transport.get_extra_info("socket").fileno())

    def pause_writing(self) -> None:
        """The system does not take all that is written."""
        self._write_paused = True
        if self._request_body is not None:
            self._request_body.set_sink_paused(True)

    def resume_writing(self) -> None:
        """The system has taken all that is written."""
        self._write_paused = False
        if self._request_body is not None:
            self._request_body.set_sink_paused(False)
        elif self._call is not None:
            self._call.written = True

    def data_received(self, data: bytes) -> None:
        """Parse what the upstream answers."""
        call = self._call
        if call is None:  # nothing was asked
            self.abort()
            return
        call.has_answer_bytes = True
        reader = self._reader
        answers = reader.feed(data)
        fits = self._charge_memory(reader.buffered_bytes)
        if self._forwarded is not None:
            self._body_received_ms = self._pool.clock.now_ms()
            self._continue_forwarding(call, bool(answers))
        elif answers and answers[0].stream is not None:
            self._begin_forwarding(call, answers)
        elif answers:
            self._complete(call, answers)
        elif reader.fault is not None or not fits:
            self.abort()
            call.on_connection_lost()
        elif reader.in_body and reader.lacks_length and self._forward_soon is not call:
            self._forward_soon = call
            self._pool.clock.after(self.FORWARD_AFTER_MS, lambda: self._forward_incomplete(call))

    def _forward_incomplete(self, call: AttemptCall) -> None:
        """Guards against holding back what is there of an answer that arrives slowly."""
        if self._call is call and self._forwarded is None:
            answers = self._reader.forward_incomplete()
            if answers:
                self._begin_forwarding(call, answers)

    def _begin_forwarding(self, call: AttemptCall, answers: list[Message]) -> None:
        """A long answer has begun: its bytes are forwarded as they arrive."""
        self._forwarded = answers[0]
        stream = self._forwarded.stream
        assert stream is not None
        stream.on_backpressure(self._on_backpressure)
        self._body_received_ms = self._pool.clock.now_ms()
        if call.probe or not call.begin(self._forwarded):
            self._forwarded = self._call = None
            self.abort()
            call.connection = None
            # Served, and nobody wants it any more; a health check is never answered so.
            call.end(Outcome.ERROR if call.probe else Outcome.OK, None if call.probe else answers[0])
            return
        if not stream.ended:
            self._pool.clock.after(self.STALL_MS, lambda: self._check_stall(call))
        if self._call is call:
            self._continue_forwarding(call, len(answers) > 1)

    def _continue_forwarding(self, call: AttemptCall, more: bool) -> None:
        """See whether the answer that is forwarded has ended; `more`: something was received behind it."""
        answer, reader = self._forwarded, self._reader
        if answer is None or answer.stream is None:
            return
        if answer.stream.complete:
            self._forwarded = self._call = self._probe_body = None
            if (
                call.written
                and not more
                and reader.fault is None
                and not reader.is_incomplete
                and answer.keep_alive
            ):
                call.connection = None
                self.reuse_delayed = True
                self._pool.put(self)
            else:
                self.abort()
            call.end(Outcome.OK, answer)
        elif answer.stream.failed or reader.fault is not None:
            self.abort()
            call.on_connection_lost()

    def _on_backpressure(self, paused: bool) -> None:
        """Whoever takes the answer can't take more for now, or can again."""
        self._paused_by_consumer = paused
        self._body_received_ms = self._pool.clock.now_ms()
        if self._transport is not None and not self._transport.is_closing():
            if paused:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()

    def _check_stall(self, call: AttemptCall) -> None:
        """Give up an answer that is forwarded if its upstream has sent nothing of it for too long."""
        if self._call is not call or self._forwarded is None:
            return
        left_ms = self._body_received_ms + self.STALL_MS - self._pool.clock.now_ms()
        if self._paused_by_consumer:  # whoever takes it is timed there
            left_ms = self.STALL_MS
        elif left_ms <= 0.0 and self._socket_watch.poll(0):
            left_ms = self.RECHECK_MS  # guards against taking a standstill of this process for the upstream's
        if left_ms <= 0.0:
            self._reader.close(f"its upstream sent nothing for {self.STALL_MS - left_ms:.0f} ms")
            self.abort()
            call.on_connection_lost()
        else:
            self._pool.clock.after(left_ms, lambda: self._check_stall(call))

    def _complete(self, call: AttemptCall, answers: list[Message]) -> None:
        """The answer is complete: end the call, and keep the connection if it is of use."""
        answer = answers[0]
        reader = self._reader
        # A complete answer counts, whatever is received behind it; the connection is of no further use then.
        self._detach_request_body()
        clean = call.written and len(answers) == 1 and reader.fault is None and not reader.is_incomplete
        self._call = None
        probe_body, self._probe_body = self._probe_body, answer.body if call.probe else None
        if not call.probe and probe_body is not None and answer.body == probe_body and probe_body.strip():
            # The health check's answer once more, received after this call was written: its own is still to come.
            self.abort()
            call.connection = None
            call.on_connection_lost()
            return
        if clean and answer.keep_alive:
            call.connection = None
            self.reuse_delayed = not call.probe
            self._pool.put(self)
        else:
            self.abort()
        call.end(outcome_of(answer), answer)

    def _charge_memory(self, held: int) -> bool:
        """Charge `held` bytes to the memory budget that all connections share; whether that is within the limit."""
        fits = self._pool.memory.charge(self._charged_bytes, held)
        self._charged_bytes = held
        return fits

    def eof_received(self) -> None:
        """The upstream has closed its sending side, which may end an answer (RFC 9112, section 6.3)."""
        call = self._call
        if call is not None and call.written:
            answers = self._reader.finish()
            if self._forwarded is not None:
                self._continue_forwarding(call, False)
            elif answers:
                self._complete(call, answers)
        self._reader.close("its upstream ended the connection before it was whole")
        self.abort()  # half-closed: no further answer comes, and nothing may be written to it
        if self._call is not None:
            self._call.on_connection_lost()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone, whoever has closed it."""
        self._lost = True
        self._pool.closed(self)
        self._transport = None
        self._detach_request_body()
        self._reader.close(f"its upstream's connection is lost ({exc or 'closed here'})")
        self._charge_memory(0)
        if self._call is not None:
            self._call.on_connection_lost()

    # ------------------------------------------------ called by the pool and by calls

    def send(self, call: AttemptCall) -> None:
        """Write a call's request; its body may still be arriving."""
        assert self._transport is not None
        self._call = call
        message = call.message
        if call.probe:
            head = message.headers
        else:
            head = message.end_to_end_headers(EXPIRES)
            head.append((b"X-Expires-In-Ms", b"%d" % call.left_ms(call.written_ms)))
            if call.extra:
                head += call.extra
        self._reader.forward_over = MAX_HELD_ANSWER if call.observer.streams else None
        if message.stream is not None:
            first = b"%b %b HTTP/1.1" % (message.method, message.target)
            self._transport.write(encode_head(first, head, message.stream.length))
            self._request_body = message.stream
            message.stream.attach(self, self._write_paused)
            return
        self._transport.write(encode_request(message.method, message.target, head, message.body))
        if self._transport.get_write_buffer_size() == 0:
            call.written = True

    # ------------------------------------------------ called by the body of a call, as it arrives

    def write(self, data: bytes) -> None:
        """Write the next bytes of the request's body."""
        if self._call is not None:
            self._call.end_if_unwritten()  # a call that ends so lets go of its body
        if (
            self._transport is not None
            and self._request_body is not None
            and not self._transport.is_closing()
        ):
            self._transport.write(data if self._request_body.length is not None else chunk(data))

    def write_eof(self) -> None:
        """The request's body is complete."""
        body, self._request_body = self._request_body, None
        call = self._call
        if body is None or call is None or self._transport is None or self._transport.is_closing():
            return
        if body.length is None:
            self._transport.write(LAST_CHUNK)
        call.written_ms = self._pool.clock.now_ms()
        if self._transport.get_write_buffer_size() == 0:
            call.written = True

    def on_body_failed(self) -> None:
        """The rest of the request's body will never arrive: whoever reads it calls this off."""

    def _detach_request_body(self) -> None:
        body, self._request_body = self._request_body, None
        if body is not None:
            body.detach(self)

    @property
    def calls(self) -> int:
        """Calls in flight on it."""
        return int(self._call is not None)

    @property
    def room(self) -> int:
        """How many more calls it can carry now."""
        return int(self._call is None and not self._lost)

    def update_written(self, call: AttemptCall) -> None:
        """Nothing to do: a request may have run from its last byte on, and `resume_writing` marks that."""

    def release(self, call: AttemptCall) -> None:
        """The call has ended without an answer: HTTP/1.1 has no way to give it up but to close the connection."""
        self._detach_request_body()
        if self._call is call:
            self._call = None
            answer, self._forwarded = self._forwarded, None
            if answer is not None and answer.stream is not None:
                answer.stream.fail("it was called off")
            self._discard_and_abort()

    def usable(self) -> bool:
        """Whether it is up, with neither a close nor unread bytes waiting in the system."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._socket_watch.poll(0)

    def _discard_and_abort(self) -> None:
        """Close it so that a request that its upstream has not received yet never gets there: a keyed one would run
        again where its repeats are forgotten by then.
        """
        if self._transport is not None and not self._transport.is_closing():
            net.discard_unacknowledged(self._transport.get_extra_info("socket"))
        self.abort()

    def abort(self) -> None:
        """Close it now, with whatever is not sent or received."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
