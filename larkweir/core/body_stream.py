"""A message body that is forwarded while it arrives, with bounded buffering and back-pressure. Pure logic.

The producer is the connection that reads the body, and the sink is the connection that writes it. Bytes that arrive
before there is a sink are buffered. The producer is told to pause when `max_buffered_bytes` are buffered, and whenever
the sink can't accept more. Bytes are not retained after they were passed to the sink, so a body that is partly
`consumed` can't be sent a second time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Sink(Protocol):
    """The connection to which a body is forwarded."""

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""

    def write_eof(self) -> None:
        """The body is complete: all of it was passed to `write`."""

    def on_body_failed(self) -> None:
        """The rest of the body will never arrive."""


class BodyStream:
    """One body. It ends once: either `complete` or `failed` becomes true and stays true."""

    __slots__ = (
        "_is_paused",
        "_is_sink_paused",
        "_pause",
        "_pieces",
        "_sink",
        "buffered_bytes",
        "complete",
        "consumed",
        "failed",
        "failure",
        "length",
        "max_buffered_bytes",
        "on_end",
        "size",
    )

    def __init__(self, length: int | None, max_buffered_bytes: int) -> None:
        """`length`: the body's announced length in bytes, or None. `max_buffered_bytes`: without a sink, the producer
        is paused when this many bytes are buffered.
        """
        self.length = length
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered_bytes = 0
        self.size = 0  # bytes received
        self.consumed = False  # part of it was passed to a sink
        self.complete = False
        self.failed = False
        self.failure = ""  # why it failed, for the log
        self._pause: Callable[[bool], None] | None = None  # the producer's callback
        # Called once at the end of the body. The argument says whether the body is complete.
        self.on_end: Callable[[bool], None] | None = None
        self._pieces: list[bytes] = []
        self._sink: Sink | None = None
        self._is_sink_paused = False
        self._is_paused = False

    @property
    def ended(self) -> bool:
        """Whether it has ended, complete or not."""
        return self.complete or self.failed

    # ------------------------------------------------ the producer's side

    def on_backpressure(self, pause: Callable[[bool], None]) -> None:
        """Set the producer's callback for back-pressure: True pauses reading, False resumes it. The callback is called
        on every change, and immediately if the bytes that were fed earlier have already filled the buffer.
        """
        if not self.ended:
            self._pause = pause
            if self._is_paused:
                pause(True)

    def feed(self, data: bytes) -> None:
        """Add received bytes. Ignored after the body has ended."""
        if self.ended:
            return
        self.size += len(data)
        if self._sink is not None:
            self.consumed = True
            self._sink.write(data)
        else:
            self._pieces.append(data)
            self.buffered_bytes += len(data)
        self._update_backpressure()

    def end(self) -> None:
        """The body is complete."""
        if not self.ended:
            self.complete = True
            self._ended()
            if self._sink is not None:
                self._sink.write_eof()

    def fail(self, why: str = "") -> None:
        """The rest of the body will never arrive. Buffered bytes are dropped."""
        if not self.ended:
            self.failed = True
            self.failure = why
            self._drop()
            self._ended()
            if self._sink is not None:
                self._sink.on_body_failed()

    def _ended(self) -> None:
        on_end, self.on_end = self.on_end, None
        pause, self._pause = self._pause, None
        if pause is not None and self._is_paused:
            pause(False)  # otherwise a producer that was paused at the last bytes would never read again
        self._is_paused = False
        if on_end is not None:
            on_end(self.complete)

    # ------------------------------------------------ the sink's side

    def attach(self, sink: Sink, is_paused: bool) -> None:
        """Pass the buffered bytes to `sink`, and then all further bytes as they arrive. `is_paused`: the sink can't
        accept more at present; its transport was paused before the sink was attached.
        """
        self._sink = sink
        self._is_sink_paused = is_paused
        pieces = self._pieces
        self._drop()
        for data in pieces:
            if self._sink is not sink:
                return  # the sink detached itself during `write`
            self.consumed = True
            sink.write(data)
        if self._sink is sink and self.complete:
            sink.write_eof()
        elif self._sink is sink and self.failed:
            sink.on_body_failed()
        self._update_backpressure()

    def detach(self, sink: Sink) -> None:
        """Detach the sink. If it has received part of the body, no other sink can receive the rest."""
        if self._sink is sink:
            self._sink = None
            self._is_sink_paused = False
            self._update_backpressure()

    def set_sink_paused(self, paused: bool) -> None:
        """Set whether the sink can't accept more at present because its write buffer is full."""
        self._is_sink_paused = paused
        self._update_backpressure()

    def _drop(self) -> None:
        self._pieces = []
        self.buffered_bytes = 0

    def _update_backpressure(self) -> None:
        full = (
            self._is_sink_paused if self._sink is not None else self.buffered_bytes >= self.max_buffered_bytes
        )
        if full is not self._is_paused:
            self._is_paused = full
            if self._pause is not None:
                self._pause(full)
