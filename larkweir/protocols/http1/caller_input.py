"""What an HTTP/1.1 caller sends: it is parsed into requests, pipelined ones are queued; when reading pauses, and the
time limits of a request that was received in part (RFC 9112, sections 9.3 and 9.5). The only I/O is to pause and resume
reading.
"""

from __future__ import annotations

import asyncio
from collections import deque

from larkweir.core.clock import Clock
from larkweir.core.memory_budget import MemoryBudget
from larkweir.core.message import Message
from larkweir.protocols.http1.codec import MAX_BUFFERED_BODY, MAX_REPLAYABLE_BODY, RequestReader


class CallerInput:
    """The receiving side of one caller's connection."""

    MAX_PIPELINED = 4  # requests in the queue; with so many, reading pauses
    # From the accept for a first byte, from that for a complete head, and without a byte of a body. A caller may take
    # 2 s for a head, and one whose request never completes is to hear of it within 3 s.
    RECEIVE_TIMEOUT_MS = 2_500.0
    MIN_BODY_BYTES_PER_MS = 16.0  # of a body on the average, beside that time
    CONSUMER_TIMEOUT_MS = 15_000.0  # for whoever takes a body to take more of it

    __slots__ = (
        "_clock",
        "_in_body",
        "_memory",
        "_paused_by_consumer",
        "body_received_ms",
        "parser",
        "queue",
        "reading_paused",
        "request_bytes",
        "since_ms",
        "transport",
    )

    def __init__(self, clock: Clock, memory: MemoryBudget, streams: bool) -> None:
        """`streams`: whether long bodies are forwarded while they arrive."""
        self._clock = clock
        self._memory = memory
        self.transport: asyncio.Transport | None = None
        self.parser = RequestReader(streams, self.MAX_PIPELINED)
        self.queue: deque[Message] = deque()  # requests behind the one that is served
        self.request_bytes = 0  # of the requests in the queue and the one that is served
        # What the present state is timed from: the accept, the last answer, or of an incomplete request its first byte
        # or the end of its head.
        self.since_ms = clock.now_ms()
        self.body_received_ms = 0.0  # when an incomplete request's last byte was received
        self._in_body = False  # the incomplete request's head is complete
        self.reading_paused = False
        self._paused_by_consumer = False  # whoever takes a body can't take more for now

    # ------------------------------------------------ receiving

    def receive(self, data: bytes, must_wait: bool) -> bool:
        """Parse `data` and queue the requests that it begins or completes; whether there are any. `must_wait`:
        whether the next request can't be served at once. What can't be parsed is left in the parser's `fault`.
        """
        parser = self.parser
        was_incomplete = parser.is_incomplete
        if was_incomplete and parser.forward_over is not None:  # a body may be arriving
            parser.forward_over = MAX_BUFFERED_BODY if self._memory.is_half_used else MAX_REPLAYABLE_BODY
        messages = parser.feed(data)
        queue = self.queue
        for message in messages:
            if must_wait or queue:
                message.queued_since_ms = self._clock.now_ms()
            queue.append(message)
            self.request_bytes += message.size
            if message.stream is not None:
                message.stream.on_backpressure(self._on_backpressure)
        if parser.is_incomplete:
            self._time_incomplete(is_new=bool(messages) or not was_incomplete)
        else:
            self._in_body = False
        return len(messages) > 0

    def _time_incomplete(self, is_new: bool) -> None:
        """Start or renew the limits of an incomplete request: its head is timed from its first byte, which later ones
        don't renew; its body from the end of the head, and from byte to byte.
        """
        in_body = self.parser.in_body
        now = self._clock.now_ms()
        if is_new or (in_body and not self._in_body):
            self.since_ms = now
        self._in_body = in_body
        self.body_received_ms = now

    def clear_queue(self) -> None:
        """Drop the requests that are not served yet."""
        self.request_bytes -= sum(message.size for message in self.queue)
        self.queue.clear()

    def release(self, message: Message) -> None:
        """The served request has had its answer."""
        if self.request_bytes:
            self.request_bytes -= message.size

    def close(self) -> None:
        """Nothing more is parsed, and nothing is in the queue any more."""
        self.parser.close()
        self.request_bytes = 0

    # ------------------------------------------------ time limits

    def incomplete_is_late(self, now_ms: float) -> bool:
        """Whether an incomplete request, whose body nobody takes yet, is past its limit."""
        if self._in_body:
            return self._body_is_late(now_ms)
        return now_ms - self.since_ms > self.RECEIVE_TIMEOUT_MS

    def body_is_late(self, now_ms: float) -> bool:
        """Whether a body that is forwarded while it arrives is past its limit. Never while reading pauses for whoever
        takes it.
        """
        return not self._paused_by_consumer and self._body_is_late(now_ms)

    def consumer_is_late(self, now_ms: float) -> bool:
        """Whether whoever takes a body has taken nothing for too long."""
        return self._paused_by_consumer and now_ms - self.body_received_ms > self.CONSUMER_TIMEOUT_MS

    def _body_is_late(self, now_ms: float) -> bool:
        """Whether a body has paused for too long, or arrives more slowly than any good caller sends."""
        if now_ms - self.body_received_ms > self.RECEIVE_TIMEOUT_MS:
            return True
        allowed_ms = self.RECEIVE_TIMEOUT_MS + self.parser.body_size / self.MIN_BODY_BYTES_PER_MS
        return now_ms - self.since_ms > allowed_ms

    # ------------------------------------------------ flow control

    def _on_backpressure(self, paused: bool) -> None:
        """Whoever takes a body can't take more for now, or can again."""
        self._paused_by_consumer = paused
        self.body_received_ms = self._clock.now_ms()
        if paused:
            self.pause_reading()
        elif len(self.queue) < self.MAX_PIPELINED:
            self.resume_reading()

    def pause_reading(self) -> None:
        """Leave what the caller sends from now on in the system's buffers."""
        transport = self.transport
        if not self.reading_paused and transport is not None and not transport.is_closing():
            self.reading_paused = True
            transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, unless whoever takes a body can't take more."""
        if not self.reading_paused or self._paused_by_consumer:
            return
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self.reading_paused = False
            transport.resume_reading()

    def forget_consumer(self) -> None:
        """Nobody takes a body any more: nothing it said pauses reading from now on."""
        self._paused_by_consumer = False
