"""Rules: a body that is passed on while it comes: bounded, with back-pressure, and never held whole.

One side feeds it (the producer, a connection that reads), the other takes it (the sink, a connection that writes). What
comes before there is a sink waits here, up to `most` bytes; past that, and whenever the sink says so, the producer is
told to hold. Nothing is kept once the sink has it: `taken` says that a body can't be sent a second time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class Sink(Protocol):
    """Who takes a body."""

    def piece(self, data: bytes) -> None: ...

    def finished(self) -> None:
        """The last byte has been handed over."""

    def broken(self) -> None:
        """The rest will never come."""


class Stream:
    """Exactly one of `whole` and `failed` becomes true, once, and stays."""

    __slots__ = (
        "_hold",
        "_holding",
        "_pieces",
        "_sink",
        "_sink_holds",
        "failed",
        "held",
        "length",
        "most",
        "on_end",
        "size",
        "taken",
        "whole",
        "why",
    )

    def __init__(self, length: int | None, most: int) -> None:
        """`length` is the announced one, where there is one; `most` is held for a sink that has not come yet."""
        self.length = length
        self.most = most
        self.held = 0  # bytes that wait here
        self.size = 0  # bytes that have come
        self.taken = False  # the sink has had some of it
        self.whole = False
        self.failed = False
        self.why = ""  # it failed, in words for the log
        self._hold: Callable[[bool], None] | None = None  # what the producer gave by `steer`
        self.on_end: Callable[[bool], None] | None = None  # told once whether it came whole
        self._pieces: list[bytes] = []
        self._sink: Sink | None = None
        self._sink_holds = False
        self._holding = False

    @property
    def over(self) -> bool:
        return self.whole or self.failed

    # ------------------------------------------------ the producer's side

    def steer(self, hold: Callable[[bool], None]) -> None:
        """Whom to tell: True to stop reading, False to go on. Told of the present state at once where that is to stop,
        since what was fed before may have filled it already, and of changes from then on.
        """
        if not self.over:
            self._hold = hold
            if self._holding:
                hold(True)

    def feed(self, data: bytes) -> None:
        if self.over:
            return
        self.size += len(data)
        if self._sink is not None:
            self.taken = True
            self._sink.piece(data)
        else:
            self._pieces.append(data)
            self.held += len(data)
        self._steer()

    def end(self) -> None:
        """It has come whole."""
        if not self.over:
            self.whole = True
            self._ended()
            if self._sink is not None:
                self._sink.finished()

    def fail(self, why: str = "") -> None:
        """The rest will never come."""
        if not self.over:
            self.failed = True
            self.why = why
            self._drop()
            self._ended()
            if self._sink is not None:
                self._sink.broken()

    def _ended(self) -> None:
        told, self.on_end = self.on_end, None
        hold, self._hold = self._hold, None
        if hold is not None and self._holding:
            hold(
                False
            )  # guards against a producer that was told to hold with the last piece, and then never goes on
        self._holding = False
        if told is not None:
            told(self.whole)

    # ------------------------------------------------ the sink's side

    def attach(self, sink: Sink, holds: bool) -> None:
        """Hand over what waits, and from now on whatever comes. `holds`: the sink can't take more for now, and was told
        so before there was a stream to tell.
        """
        self._sink = sink
        self._sink_holds = holds
        pieces = self._pieces
        self._drop()
        for data in pieces:
            if self._sink is not sink:
                return  # it has let go in the middle
            self.taken = True
            sink.piece(data)
        if self._sink is sink and self.whole:
            sink.finished()
        elif self._sink is sink and self.failed:
            sink.broken()
        self._steer()

    def detach(self, sink: Sink) -> None:
        """The sink takes no more. Where it has had some, nobody else can take the rest."""
        if self._sink is sink:
            self._sink = None
            self._sink_holds = False
            self._steer()

    def sink_holds(self, holding: bool) -> None:
        """The sink can't take more for now, or can again."""
        self._sink_holds = holding
        self._steer()

    def _drop(self) -> None:
        self._pieces = []
        self.held = 0

    def _steer(self) -> None:
        full = self._sink_holds if self._sink is not None else self.held >= self.most
        if full is not self._holding:
            self._holding = full
            if self._hold is not None:
                self._hold(full)
