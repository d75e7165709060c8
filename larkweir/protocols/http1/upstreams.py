"""Hands: an HTTP/1.1 connection to an upstream, which carries one call at a time."""

from __future__ import annotations

import asyncio
import select
from typing import cast

from larkweir.core.message import Message
from larkweir.protocols.http1.codec import ResponseReader, encode_request
from larkweir.upstreams.call import Call, Upstream, outcome_of
from larkweir.upstreams.pool import Upstreams

EXPIRES = b"x-expires-in-ms"


class UpstreamConnection(asyncio.Protocol):
    """One connection; carries one call at a time."""

    def __init__(self, pool: Upstreams, upstream: Upstream) -> None:
        self._pool = pool
        self.upstream = upstream
        self.address = upstream.address
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._call: Call | None = None
        self._held = 0  # booked of the room that all connections share
        self._report: bytes | None = None  # the body of the answer before, if that was a probe's
        self.resting = False  # the answer before was an attempt's: see REST_MS
        self.idle_since_ms = 0.0
        self.listed = False
        self._gone = False
        self.retired = False
        self._poll = select.poll()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing: so `resume_writing` marks the last byte.
        self._transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def resume_writing(self) -> None:
        if self._call is not None:
            self._call.written = True

    def data_received(self, data: bytes) -> None:
        call = self._call
        if call is None:  # nothing was asked
            self.abort()
            return
        call.touched = True
        answers = self._reader.feed(data)
        fits = self._book(self._reader.held)
        if answers:
            self._take(call, answers)
        elif self._reader.fault is not None or not fits:
            self.abort()
            call.broken()

    def _take(self, call: Call, answers: list[Message]) -> None:
        answer = answers[0]
        reader = self._reader
        # A whole answer counts, whatever comes behind it; the connection is of no further use then.
        clean = call.written and len(answers) == 1 and reader.fault is None and not reader.begun
        self._call = None
        report, self._report = self._report, answer.body if call.probe else None
        if not call.probe and report is not None and answer.body == report and report.strip():
            # The probe's answer once more, which came after this call was written: its own is still to come.
            self.abort()
            call.connection = None
            call.broken()
            return
        if clean and answer.keep_alive:
            call.connection = None
            self.resting = not call.probe
            self._pool.put(self)
        else:
            self.abort()
        call.end(outcome_of(answer), answer)

    def _book(self, held: int) -> bool:
        fits = self._pool.room.book(self._held, held)
        self._held = held
        return fits

    def eof_received(self) -> None:
        self.abort()  # half-closed: no further answer comes, and nothing may be written to it
        if self._call is not None:
            self._call.broken()

    def connection_lost(self, exc: Exception | None) -> None:
        self._gone = True
        self._pool.closed(self)
        self._transport = None
        self._reader.close()
        self._book(0)
        if self._call is not None:
            self._call.broken()

    # Called by the pool and by calls.

    def send(self, call: Call) -> None:
        assert self._transport is not None
        self._call = call
        message = call.message
        if call.probe:
            head = message.headers
        else:
            head = message.passed_on(EXPIRES)
            left = call.until_ms - call.margin_ms - self._pool.clock.now_ms()
            head.append((b"X-Expires-In-Ms", b"%d" % max(1, int(left))))
            if call.extra:
                head += call.extra
        self._transport.write(encode_request(message.method, message.target, head, message.body))
        if self._transport.get_write_buffer_size() == 0:
            call.written = True

    @property
    def calls(self) -> int:
        return int(self._call is not None)

    @property
    def room(self) -> int:
        return int(self._call is None and not self._gone)

    def look(self, call: Call) -> None:
        """Its line is its last byte, and `resume_writing` marks that."""

    def release(self, call: Call) -> None:
        """The call has ended without an answer: closing the connection is what gives it up."""
        if self._call is call:
            self._call = None
            self.abort()

    def usable(self) -> bool:
        """Whether it is up, with neither an end nor unread bytes waiting in the system."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll.poll(0)

    def abort(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
